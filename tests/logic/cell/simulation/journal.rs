//! The store that holds the journal: fencing, deduplication and lost answers, and what its records
//! tell about the tasks.

use bytes::Bytes;
use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::AppendError;
use oriolefork::cell::job::RunOutcome;
use oriolefork::cell::machine::Message;
use oriolefork::cell::record::{Batch, Record};
use oriolefork::clock::Instant;
use oriolefork::codec;

use super::{Event, Simulation};

impl Simulation {
    pub(super) fn append(
        &mut self,
        owner: usize,
        sequence: u64,
        batch: Bytes,
        epoch: Epoch,
        sent: u64,
        answered: bool,
    ) {
        let outcome = if self.store_down {
            Err(AppendError::NotWritten("down".to_owned()))
        } else if epoch < self.epoch {
            Err(AppendError::Fenced)
        } else if sequence == self.sequence + 1 {
            self.sequence = sequence;
            self.observe_records(&batch);
            self.journal.push(batch);
            Ok(self.journal.len() as u64)
        } else {
            assert!(sequence <= self.sequence, "a gap in the sequence numbers of batches");
            Ok(self.journal.len() as u64)
        };
        let outcome = if answered { outcome } else { Err(AppendError::Unknown("lost".to_owned())) };
        let delay = if answered { 3 } else { 900 };
        let message = Message::Appended { sequence, sent: Instant::from_millis(sent), outcome };
        self.schedule(delay, Event::Owner { owner, message });
    }

    fn observe_records(&mut self, batch: &Bytes) {
        let batch: Batch = codec::decode(batch).expect("a batch");
        for record in batch.records {
            match record {
                Record::Cancelled { job } => {
                    if let Some(submitted) = self.jobs.get_mut(&job) {
                        submitted.cancelled_at.get_or_insert(self.now);
                    }
                }
                Record::Ended { run, outcome: RunOutcome::Succeeded, .. } => {
                    self.recorded_successes.insert(run.task);
                }
                Record::Ended { run, outcome: RunOutcome::Failed, .. } => {
                    self.failures.entry(run.task).or_default().insert(run.number);
                }
                _ => {}
            }
        }
    }
}
