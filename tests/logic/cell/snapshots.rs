//! Snapshots of the owner's state.

use std::time::Duration;

use oriolefork::cell::dependencies::JournalSnapshot;
use oriolefork::cell::machine::{Call, Effect, Message};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::{Retention, SNAPSHOT_RETRY, Timings};
use oriolefork::clock::Instant;
use oriolefork::codec;

use super::harness::OwnerHarness;
use super::model::{self, cores, id};

const RETENTION: Duration = Duration::from_secs(20);

/// Time from one call of a caller to the next, in milliseconds.
const CALL_INTERVAL_MS: u64 = 20;

/// An owner without workers, whose journal continues at `end`.
struct Journal {
    harness: OwnerHarness,
    end: u64,
    jobs: u64,
}

impl Journal {
    fn new(retention: Retention) -> Self {
        let harness = OwnerHarness::with_timings(Timings { retention, ..Timings::default() }, 0);
        Self { harness, end: 1, jobs: 0 }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let job = model::job(self.jobs, model::step(1, cores(1)));
        self.harness.call(self.jobs, Call::Submit(job));
    }

    /// Completes the append that is in flight.
    fn store(&mut self) {
        let sequence = self.harness.appends().pop().expect("an append");
        self.harness.effects.retain(|effect| !matches!(effect, Effect::Append { .. }));
        self.end += 1;
        let sent = Instant::from_millis(self.harness.now);
        self.harness.deliver(Message::Appended { sequence, sent, outcome: Ok(self.end) });
        self.harness.advance(1);
    }

    /// Accepts jobs for a while, so that there is always an append in flight and a job that waits
    /// for the next one.
    fn stay_busy(&mut self, span: Duration) {
        let until = self.harness.now + span.as_millis() as u64;
        self.submit();
        while self.harness.now < until {
            self.submit();
            self.store();
            self.harness.advance(CALL_INTERVAL_MS);
        }
    }

    fn drain_snapshots(&mut self) -> Vec<JournalSnapshot> {
        let mut snapshots = Vec::new();
        self.harness.effects.retain(|effect| match effect {
            Effect::Save(snapshot) => {
                snapshots.push(snapshot.clone());
                false
            }
            _ => true,
        });
        snapshots
    }
}

fn retention(time: Duration) -> Retention {
    Retention { time, ..Retention::default() }
}

fn decode(snapshot: &JournalSnapshot) -> State {
    codec::decode(snapshot.state.as_ref().expect("a state")).expect("a readable state")
}

/// Guards against an owner under steady load that saves no snapshot because one of its batches is
/// always being stored, until the store removes records that none contains.
#[test]
fn snapshot_saved_under_steady_load() {
    let mut journal = Journal::new(retention(RETENTION));
    journal.stay_busy(RETENTION / 2);
    assert!(!journal.drain_snapshots().is_empty(), "no snapshot in half of the retention");
}

/// Guards against a snapshot with decisions that are never stored: its reader would take jobs for
/// known that the journal does not contain.
#[test]
fn snapshot_contains_what_is_stored() {
    let mut journal = Journal::new(retention(RETENTION));
    journal.harness.advance(RETENTION.as_millis() as u64 / 4 - 100);
    journal.store();
    journal.submit();
    journal.submit();
    journal.harness.advance(100);
    journal.submit();
    assert!(journal.drain_snapshots().is_empty(), "a decision in it is not stored yet");
    journal.store();
    assert!(journal.drain_snapshots().is_empty(), "a decision in it is not stored yet");
    journal.store();
    let snapshots = journal.drain_snapshots();
    let state = decode(snapshots.first().expect("a snapshot"));
    assert_eq!(snapshots[0].offset, journal.end);
    let known: Vec<bool> = (1..=3).map(|job| state.jobs.contains_key(&id(job))).collect();
    assert_eq!(known, [true, true, false], "jobs in the snapshot");
}

/// Guards against a store that limits the size of a journal, and removes records of a busy owner long
/// before they are old.
#[test]
fn snapshot_saved_after_many_bytes() {
    const BYTES: u64 = 100_000;
    let mut journal = Journal::new(Retention { time: Duration::from_secs(300), bytes: BYTES });
    journal.stay_busy(Duration::from_secs(20));
    assert!(!journal.drain_snapshots().is_empty(), "no snapshot");
}

/// Guards against an owner that counts the age of unsaved records from its own start.
#[test]
fn snapshot_due_at_once_after_old_records() {
    use oriolefork::cell::replay::Unsaved;
    use oriolefork::clock::Unix;

    let mut journal = Journal::new(retention(RETENTION));
    let since = super::harness::UNIX_START_MS - RETENTION.as_millis() as u64 / 2;
    let unsaved = Unsaved { since: Some(Unix::from_millis(since)), bytes: 1 };
    journal.harness.machine.note_unsaved(unsaved);
    journal.harness.advance(10);
    assert_eq!(journal.drain_snapshots().len(), 1);
}

/// Guards against a snapshot that could not be saved and is tried again only a whole interval later,
/// when the store has removed what it would contain.
#[test]
fn snapshot_not_saved_is_tried_again_soon() {
    let mut journal = Journal::new(retention(Duration::from_secs(300)));
    journal.harness.deliver(Message::SnapshotRequested);
    journal.harness.advance(10);
    assert_eq!(journal.drain_snapshots().len(), 1);
    journal.harness.deliver(Message::SnapshotSaved(false));
    journal.stay_busy(Duration::from_secs(61));
    assert_eq!(journal.drain_snapshots().len(), 1, "due by the age of the first record");
    journal.harness.deliver(Message::SnapshotSaved(false));
    journal.stay_busy(SNAPSHOT_RETRY * 2);
    assert_eq!(journal.drain_snapshots().len(), 1, "the second attempt");
}
