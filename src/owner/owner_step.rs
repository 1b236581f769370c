//! Periodic work of the owner: deciding, committing, and acting on committed changes.

use std::time::Duration;

use bytes::Bytes;

use crate::alert;
use crate::clock::{Instant, Unix};
use crate::owner::Timings;
use crate::owner::active::Active;
use crate::owner::journal::{self, Tag};
use crate::owner::machine::{Effect, Heartbeat, Machine, Role};
use crate::owner::record::{Batch, Entry, JobSnapshot, Placement};
use crate::owner::replica::Replica;
use crate::owner::table::Job;
use crate::placement::{Assignment, Decision};
use crate::store::Offset;
use crate::worker::Command;

/// Maximum number of placement decisions in one step, so that messages are handled in between.
const MAX_DECISIONS: usize = 256;
/// Maximum number of job snapshots in one batch.
const MAX_SNAPSHOTS: usize = 64;
/// Interval of the checks that visit every job or worker.
const SWEEP: Duration = Duration::from_millis(500);

impl Machine {
    pub(super) fn advance_owner(&mut self, now: Instant, unix: Unix) {
        self.send_heartbeats(now);
        self.keep_alive_in_log(now);
        self.finish_recovery(now, unix);
        self.sweep(now, unix);
        self.requeue_due(now);
        self.decide(now, unix);
        self.commit(now, unix);
        self.replicate_batch(now);
        self.exchange(now);
        self.hand_over();
    }

    fn send_heartbeats(&mut self, now: Instant) {
        if self.active().is_none_or(|active| now < active.next_heartbeat_at) {
            return;
        }
        let to = self.peers().map(|(_, address)| address).collect();
        let Role::Owner(active) = &mut self.role else { return };
        active.next_heartbeat_at = now.after(self.timings.heartbeat_interval);
        let heartbeat = Heartbeat {
            domain: self.domain.clone(),
            owner: self.me.clone(),
            epoch: active.epoch,
            without_log: active.journal.failing_since().is_some() || !active.claim_logged,
            enrolled: active.enrolled.values().cloned().collect(),
        };
        self.out.push(Effect::Heartbeat { to, heartbeat });
    }

    /// Appends an empty batch if an instance does not answer heartbeats, so that it sees in the log
    /// that this owner is alive.
    ///
    /// This guards against two instances that reach the log and the workers but not each other. If
    /// nothing else were written, each would consider the other gone and claim the domain from it
    /// again and again, and every claim stops placement until all workers are fenced.
    fn keep_alive_in_log(&mut self, now: Instant) {
        let silence = self.timings.claim_timeout / 2;
        let Role::Owner(active) = &self.role else { return };
        let last_ack = |name| active.last_acks.get(name).copied().unwrap_or(active.owner_since);
        let unacknowledged = self.peers().any(|(name, _)| now.since(last_ack(name)) > silence);
        if let Some(active) = self.active().filter(|_| unacknowledged) {
            active.journal.keep_alive(now, silence);
        }
    }

    fn sweep(&mut self, now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        if now < active.next_sweep_at {
            return;
        }
        active.next_sweep_at = now.after(SWEEP);
        if active.is_established() {
            active.finish_awaiting_reports(&self.replica.table, now, unix);
            active.resync_unreported(&self.replica.table, now);
            active.expire_leases(&self.replica, &self.timings, now, unix);
            active.prune(&self.replica.table, self.timings.ended_job_retention, unix);
        }
        active.check_alerts(&self.replica.table, now, unix);
    }

    fn requeue_due(&mut self, now: Instant) {
        let Role::Owner(active) = &mut self.role else { return };
        while let Some(entry) = active.retry_queue.first() {
            let (due, id) = *entry;
            if due > now {
                return;
            }
            active.retry_queue.pop_first();
            active.requeue(&self.replica.table, id, now);
        }
    }

    fn decide(&mut self, now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let log_unavailable =
            active.journal.failing_since().is_some() && !active.commits_by_peers(now);
        if log_unavailable || !active.is_established() || active.journal.is_full() || self.stopping
        {
            return;
        }
        for decision in active.engine.decide(now, unix, MAX_DECISIONS) {
            match decision {
                Decision::Start { tasks, .. } => active.place(tasks),
                Decision::Preempt { task, worker, .. } => {
                    if let Some(session) = active.sessions.get_mut(&worker) {
                        session.push(Command::Checkpoint(task));
                    }
                }
            }
        }
    }

    fn commit(&mut self, now: Instant, unix: Unix) {
        let position = journal::BatchPosition {
            sequence: self.replica.next_sequence(),
            replay_point: self.replica.replay_point(),
        };
        let Role::Owner(active) = &mut self.role else { return };
        if !active.claim_logged {
            let epoch = active.epoch;
            return self.claim_epoch(epoch, now);
        }
        let request = match active.journal.retry(now) {
            _ if !active.unlogged.is_empty() => {
                let due = active.next_unlogged(now);
                // The next batch is committed by copies on peers until the log has the batches
                // before it.
                if active.journal.is_idle(now) {
                    active.journal.send_batch(now, position, Vec::new());
                }
                due
            }
            Some(request) => Some(request),
            None if active.journal.is_idle(now) => {
                let snapshots = due_snapshots(&self.replica, &self.timings, unix);
                active.journal.send_batch(now, position, snapshots)
            }
            None => None,
        };
        if let Some(request) = request {
            self.out.push(Effect::Append(request));
        }
    }

    fn exchange(&mut self, now: Instant) {
        let Role::Owner(active) = &mut self.role else { return };
        let epoch = active.epoch;
        for (worker, session) in &mut active.sessions {
            for request in session.poll(now, epoch, &self.timings) {
                self.out.push(Effect::Exchange { epoch, worker: worker.clone(), request });
            }
        }
    }

    /// Hands the domain to a peer before stopping, so that placement continues without waiting for
    /// the claim timeout.
    fn hand_over(&mut self) {
        let settled = self.active().is_some_and(|active| {
            let written = active.journal.is_empty() && active.unlogged.is_empty();
            written || !active.is_established()
        });
        if !self.stopping || !settled {
            return;
        }
        let successor = self.peers().map(|(_, address)| address).next();
        if let (Some(to), Some(active)) = (successor, self.active()) {
            let epoch = active.epoch;
            self.out.push(Effect::Handover { to, epoch });
        }
        self.step_down("stopping");
        self.out.push(Effect::Stopped);
    }

    /// Handles the answer that a batch was written at `offset`.
    ///
    /// If the batch directly follows the records already read, it has taken effect, because no
    /// claim of a rival can precede it. Otherwise the records in between are read before anything
    /// is acted on: an owner that was paused may write after the claim of a rival, and its batch
    /// then has no effect.
    pub(super) fn on_batch_written(&mut self, tag: Tag, offset: Offset, now: Instant, unix: Unix) {
        let next = self.replica.next_offset();
        let payload = self.active().and_then(|active| active.payload(tag));
        match payload {
            Some(payload) if offset == next => self.apply_record(offset, &payload, now, unix),
            _ if offset >= next => self.read_soon(now),
            _ => {}
        }
    }

    /// Starts again from a new state once all batches stored for an earlier owner are in the log.
    fn finish_recovery(&mut self, now: Instant, unix: Unix) {
        let ended =
            self.active().is_some_and(|a| a.recovering && a.journal.is_empty() && a.claim_logged);
        if ended {
            let epoch = self.replica.epoch();
            log::info!("event=owner.recovered epoch={epoch}");
            self.copies.clear();
            self.role = Role::Owner(Box::new(self.new_active(epoch, now, unix)));
        }
    }

    pub(super) fn on_changed(&mut self, batch: &Batch, now: Instant, unix: Unix) {
        // Entries that are in the log must not be appended a second time by the next owner: the
        // ends of attempts would count twice.
        self.copies.discard_before(batch.epoch, batch.sequence + 1);
        let Role::Owner(active) = &mut self.role else {
            self.election.record_owner_append(now);
            return;
        };
        if batch.epoch != active.epoch {
            return;
        }
        // Entries stored for an earlier owner are only added to the table. This owner has no
        // reports from the workers yet, and starts from a new state once all of them are written.
        let entries = if active.is_established() { batch.entries.as_slice() } else { &[] };
        for entry in entries {
            active.on_entry(entry, &self.replica.table, &self.timings, now, unix);
        }
        if active.unlogged.is_empty() {
            active.journal.mark_log_available();
        }
        let tickets = active.journal.committed(batch.sequence);
        if !active.unlogged.is_empty() {
            // The copies on peers can be lost together with the peers, so callers are answered once
            // the log has the batch.
            active.deferred_replies.insert(batch.sequence, tickets);
            return;
        }
        for ticket in tickets {
            self.out.extend(active.answer_committed(ticket));
        }
    }
}

/// Snapshots of the jobs, and of the alerts, whose latest snapshot is too old.
fn due_snapshots(replica: &Replica, timings: &Timings, unix: Unix) -> Vec<Entry> {
    let is_due = |job: &&Job| {
        let behind =
            replica.next_offset().saturating_sub(job.snapshot_offset) > timings.snapshot_records;
        behind || unix.since(job.snapshot_read_at) > timings.snapshot_age
    };
    let snapshot = |job| Entry::Restated(JobSnapshot::from(job));
    let jobs = replica.table.by_snapshot_age().take_while(is_due).take(MAX_SNAPSHOTS).map(snapshot);
    let board = replica.is_board_snapshot_old(timings.snapshot_records).then(|| {
        let snapshot = replica.board.snapshot();
        Entry::Alerts(alert::wire::BoardSnapshot::from(&snapshot))
    });
    jobs.chain(board).collect()
}

impl Active {
    /// Content of the batch that `tag` identifies, if its append is in flight.
    fn payload(&self, tag: Tag) -> Option<Bytes> {
        let first = self.unlogged.front().filter(|request| request.tag == tag);
        first.map(|request| request.payload.clone()).or_else(|| self.journal.payload(tag))
    }

    fn place(&mut self, tasks: Vec<Assignment>) {
        let mut placements = Vec::with_capacity(tasks.len());
        for Assignment { task, worker } in tasks {
            self.placing.insert(task);
            self.reserved.insert(task, worker.clone());
            let run = self.sessions.get(&worker).map_or(0, |session| session.run);
            placements.push(Placement { task, worker, run });
        }
        self.journal.push(Entry::Placed(placements), None);
    }
}
