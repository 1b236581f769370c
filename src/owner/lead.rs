//! The work of an owner: deciding, committing, and acting on what was committed.

use std::time::Duration;

use bytes::Bytes;

use crate::clock::{Instant, Unix};
use crate::job::Kind;
use crate::owner::active::{Active, Pending};
use crate::owner::journal::{self, Tag};
use crate::owner::machine::{Answer, Beat, Call, Effect, Machine, Refusal, Role};
use crate::owner::record::{
    Acceptance, Batch, Cancellation, Conclusion, Entry, Placement, Position, Statement,
};
use crate::owner::replica::Replica;
use crate::owner::session::Session;
use crate::owner::table::{Job, Table};
use crate::owner::{Ticket, Timings};
use crate::placement::{Assignment, Decision};
use crate::store::Offset;
use crate::worker::Command;
use crate::{alert, job, placement, task, worker};

/// Bound on the tasks placed in one step, so that messages are handled in between.
const MAX_DECISIONS: usize = 256;
/// Bound on the jobs stated anew in one batch.
const MAX_STATEMENTS: usize = 64;
/// Interval of the checks that go over every job or worker.
const SWEEP: Duration = Duration::from_millis(500);

impl Machine {
    pub(super) fn advance_owner(&mut self, now: Instant, unix: Unix) {
        self.beat(now);
        self.end_recovery(now, unix);
        self.sweep(now, unix);
        self.wake_resting(now);
        self.decide(now, unix);
        self.commit(now, unix);
        self.hand_out(now);
        self.exchange(now);
        self.hand_over();
    }

    fn beat(&mut self, now: Instant) {
        let to: Vec<_> = self.peers().map(|(_, address)| address).collect();
        let Role::Owner(active) = &mut self.role else { return };
        if now < active.beat_at {
            return;
        }
        active.beat_at = now.after(self.timings.beat);
        let beat = Beat {
            domain: self.domain.clone(),
            owner: self.me.clone(),
            epoch: active.epoch,
            without_log: active.journal.failing_since().is_some() || !active.logged,
            enrolled: active.enrolled.values().cloned().collect(),
        };
        self.out.push(Effect::Beat { to, beat });
    }

    fn sweep(&mut self, now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        if now < active.sweep_at {
            return;
        }
        active.sweep_at = now.after(SWEEP);
        if active.is_settled() {
            active.end_caution(&self.replica.table, now, unix);
            active.expire_leases(&self.replica, &self.timings, now, unix);
            active.prune(&self.replica.table, self.timings.history, unix);
        }
        active.watch(&self.replica.table, now, unix);
    }

    fn wake_resting(&mut self, now: Instant) {
        let Role::Owner(active) = &mut self.role else { return };
        while let Some(entry) = active.resting.first_entry() {
            let (due, id) = *entry.key();
            if due > now {
                return;
            }
            entry.remove();
            active.requeue(&self.replica.table, id, now);
        }
    }

    fn decide(&mut self, now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let log_away = active.journal.failing_since().is_some() && !active.can_hold(now);
        if log_away || !active.is_settled() || active.journal.is_full() || self.stopping {
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
        let position =
            journal::Position { sequence: self.replica.sequence(), floor: self.replica.floor() };
        let Role::Owner(active) = &mut self.role else { return };
        if !active.logged {
            let epoch = active.epoch;
            return self.claim_epoch(epoch, now);
        }
        let parcel = match active.journal.retry(now) {
            _ if !active.unlogged.is_empty() => {
                let due = active.next_unlogged(now);
                // The next batch goes to peers, until the log has those before it.
                if active.journal.is_idle(now) {
                    active.journal.depart(now, position, Vec::new());
                }
                due
            }
            Some(parcel) => Some(parcel),
            None if active.journal.is_idle(now) => {
                let due = statements(&self.replica, &self.timings, unix);
                active.journal.depart(now, position, due)
            }
            None => None,
        };
        if let Some(parcel) = parcel {
            self.out.push(Effect::Append(parcel));
        }
    }

    fn exchange(&mut self, now: Instant) {
        let Role::Owner(active) = &mut self.role else { return };
        let epoch = active.epoch;
        for (worker, session) in &mut active.sessions {
            for send in session.poll(now, epoch, &self.timings) {
                self.out.push(Effect::Exchange { epoch, worker: worker.clone(), send });
            }
        }
    }

    /// Before stopping, an owner gives its domain to a peer, so that placement goes on without
    /// waiting for the claim timeout.
    fn hand_over(&mut self) {
        let settled = self.active().is_some_and(|active| {
            let written = active.journal.is_settled() && active.unlogged.is_empty();
            written || !active.is_settled()
        });
        if !self.stopping || !settled {
            return;
        }
        let heir = self.peers().map(|(_, address)| address).next();
        if let (Some(to), Some(active)) = (heir, self.active()) {
            let epoch = active.epoch;
            self.out.push(Effect::Handover { to, epoch });
        }
        self.step_down("stopping");
        self.out.push(Effect::Stopped);
    }

    /// Takes in that the batch under way was written at `offset`.
    ///
    /// When nothing lies between what was read and the batch, it took effect: no rival's claim can
    /// precede it. Otherwise the records in between are read before anything is acted on, since an
    /// owner that was paused may write after a rival's claim, and the batch is then void.
    pub(super) fn on_batch_written(&mut self, tag: Tag, offset: Offset, now: Instant, unix: Unix) {
        let next = self.replica.next();
        let payload = self.active().and_then(|active| active.payload(tag));
        match payload {
            Some(payload) if offset == next => self.absorb(offset, &payload, now, unix),
            _ if offset >= next => self.read_soon(now),
            _ => {}
        }
    }

    /// Begins anew once all that was kept for an earlier owner is in the log.
    fn end_recovery(&mut self, now: Instant, unix: Unix) {
        let ended =
            self.active().is_some_and(|a| a.recovering && a.journal.is_settled() && a.logged);
        if ended {
            let epoch = self.replica.epoch();
            log::info!("event=owner.recovered epoch={epoch}");
            self.custody.release();
            self.role = Role::Owner(Box::new(self.new_active(epoch, now, unix)));
        }
    }

    pub(super) fn on_changed(&mut self, batch: &Batch, now: Instant, unix: Unix) {
        // What is in the log must not be written a second time by the next owner: its ends would
        // count twice.
        self.custody.logged(batch.epoch, batch.sequence + 1);
        let Role::Owner(active) = &mut self.role else {
            self.election.heard_through_log(now);
            return;
        };
        if batch.epoch != active.epoch {
            return;
        }
        // What was kept for an earlier owner only has to reach the table: this owner has no word from
        // the workers yet, and begins anew once all of it is written.
        let acted_on = if active.is_settled() { batch.entries.as_slice() } else { &[] };
        for entry in acted_on {
            active.on_entry(entry, &self.replica.table, &self.timings, now, unix);
        }
        if active.unlogged.is_empty() {
            active.journal.recovered();
        }
        let tickets = active.journal.committed(batch.sequence);
        if !active.unlogged.is_empty() {
            // Peers' memory may be lost with them, so "accepted" is said once the log has it.
            active.owed.insert(batch.sequence, tickets);
            return;
        }
        for ticket in tickets {
            self.out.extend(active.answer_committed(ticket));
        }
    }

    pub(super) fn on_call(&mut self, ticket: Ticket, call: Call, now: Instant, unix: Unix) {
        let owner = self.owner().cloned();
        let answer = match &mut self.role {
            Role::Follower => Some(Answer::Refused(Refusal::NotOwner(owner))),
            Role::Owner(_) if self.stopping => Some(Answer::Refused(Refusal::NotOwner(None))),
            Role::Owner(active) if !active.is_settled() => Some(Answer::Refused(Refusal::LogAway)),
            Role::Owner(active) => match call {
                Call::Submit { job, key, spec } => {
                    let acceptance = Acceptance { job, key, spec, at: unix };
                    active.submit(ticket, acceptance, &self.replica.table)
                }
                Call::Cancel(job) => active.cancel(ticket, job, &self.replica.table, unix),
                Call::Acknowledge { alert, by } => active.acknowledge(ticket, alert, &by, unix),
                Call::GiveUp(worker) => {
                    active.give_up(ticket, &worker, &self.replica.table, now, unix)
                }
            },
        };
        if let Some(answer) = answer {
            self.out.push(Effect::Reply { ticket, answer });
        }
    }

    pub(super) fn on_expired(&mut self, ticket: Ticket) {
        let Role::Owner(active) = &mut self.role else { return };
        let out = active.expire(ticket);
        self.out.extend(out);
    }
}

/// Jobs whose last whole statement is about to leave the log.
fn statements(replica: &Replica, timings: &Timings, unix: Unix) -> Vec<Entry> {
    let far = |job: &&Job| {
        let behind = replica.next().saturating_sub(job.stated) > timings.restate_records;
        behind || unix.since(job.restated_at) > timings.restate_age
    };
    let state = |job| Entry::Restated(Statement::from(job));
    let jobs = replica.table.by_statement().take_while(far).take(MAX_STATEMENTS).map(state);
    let board = replica.is_board_old(timings.restate_records).then(|| {
        let ledger = replica.board.ledger();
        Entry::Alerts(alert::wire::Ledger::from(&ledger))
    });
    jobs.chain(board).collect()
}

impl Active {
    /// Content of the batch that `tag` names, if its answer is awaited.
    fn payload(&self, tag: Tag) -> Option<Bytes> {
        let first = self.unlogged.front().filter(|parcel| parcel.tag == tag);
        first.map(|parcel| parcel.payload.clone()).or_else(|| self.journal.payload(tag))
    }

    fn place(&mut self, tasks: Vec<Assignment>) {
        let mut placements = Vec::with_capacity(tasks.len());
        for Assignment { task, worker } in tasks {
            self.placing.insert(task);
            self.held.insert(task, worker.clone());
            let run = self.sessions.get(&worker).map_or(0, |session| session.run);
            placements.push(Placement { task, worker, run });
        }
        self.journal.push(Entry::Placed(placements), None);
    }

    fn submit(&mut self, ticket: Ticket, acceptance: Acceptance, table: &Table) -> Option<Answer> {
        let id = acceptance.job;
        if let Some(job) = table.get(id) {
            let same = job.spec == acceptance.spec;
            return Some(match same {
                true => Answer::Accepted { duplicate: true },
                false => Answer::Refused(Refusal::KeyReused),
            });
        }
        if let Some(others) = self.accepting.get_mut(&id) {
            others.push(ticket);
            return None;
        }
        if self.journal.failing_since().is_some() {
            return Some(Answer::Refused(Refusal::LogAway));
        }
        if self.journal.is_full() {
            return Some(Answer::Refused(Refusal::Busy));
        }
        if let Some(reason) = self.impossible(&acceptance.spec) {
            return Some(Answer::Refused(Refusal::Impossible(reason)));
        }
        self.accepting.insert(id, Vec::new());
        self.calls.insert(ticket, Pending::Submit(id));
        self.journal.push(Entry::Accepted(acceptance), Some(ticket));
        None
    }

    /// Why no worker could ever run such a job. Unknown until every listed worker has told what it
    /// has, so that a new owner refuses nothing that a worker it has not reached could run.
    fn impossible(&self, spec: &job::Spec) -> Option<placement::Reason> {
        let tasks = usize::try_from(spec.tasks).unwrap_or(usize::MAX);
        self.knows_all_workers()
            .then(|| self.engine.impossible(&spec.demand, spec.kind, tasks))
            .flatten()
    }

    fn cancel(&mut self, ticket: Ticket, id: job::Id, table: &Table, at: Unix) -> Option<Answer> {
        let Some(job) = table.get(id) else {
            let accepting = self.accepting.contains_key(&id);
            return Some(if accepting { Answer::Unknown } else { Answer::NotFound });
        };
        if job.cancelled.is_some() || job.is_over() {
            return Some(Answer::Cancelled);
        }
        if self.journal.is_full() {
            return Some(Answer::Refused(Refusal::Busy));
        }
        self.calls.insert(ticket, Pending::Cancel);
        self.journal.push(Entry::Cancelled(Cancellation { job: id, at }), Some(ticket));
        None
    }

    /// Takes an operator's word that a worker is gone for good, with all that it ran.
    fn give_up(
        &mut self,
        ticket: Ticket,
        worker: &worker::Name,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) -> Option<Answer> {
        let Some(session) = self.sessions.get(worker) else { return Some(Answer::NotFound) };
        if session.failing_since().is_none() {
            return Some(Answer::Refused(Refusal::WorkerAnswers));
        }
        let tasks: Vec<task::Id> = table.placed_on(worker).collect();
        if let Some(session) = self.sessions.get_mut(worker) {
            session.clear();
        }
        let Some((last, others)) = tasks.split_last() else { return Some(Answer::GivenUp) };
        for task in others {
            self.abandon_try(*task, None, now, unix);
        }
        self.calls.insert(ticket, Pending::GiveUp);
        self.abandon_try(*last, Some(ticket), now, unix);
        None
    }

    fn abandon_try(&mut self, task: task::Id, ticket: Option<Ticket>, now: Instant, at: Unix) {
        let end = task::End::Lapsed;
        self.concluding.insert(task);
        self.journal.push(Entry::Ended(Conclusion { task, end, at }), ticket);
        self.engine.finish(task, end, now);
        self.release(task);
    }

    /// Answers a caller whose time is up. What was not handed to the log is taken back, so that
    /// "not run" is true; what was may be written, and the caller has to ask again.
    fn expire(&mut self, ticket: Ticket) -> Vec<Effect> {
        let follower = self.accepting.values_mut().find_map(|tickets| {
            let at = tickets.iter().position(|other| *other == ticket)?;
            Some(tickets.swap_remove(at))
        });
        if follower.is_some() {
            return vec![Effect::Reply { ticket, answer: Answer::Unknown }];
        }
        if !self.calls.contains_key(&ticket) {
            return Vec::new();
        }
        let others_wait = match self.calls.get(&ticket) {
            Some(Pending::Submit(job)) => self.accepting.get(job).is_some_and(|o| !o.is_empty()),
            _ => false,
        };
        let retracted = !others_wait && self.journal.retract(ticket);
        if retracted {
            let refusal = Answer::Refused(Refusal::Expired);
            return self
                .followers(ticket)
                .into_iter()
                .map(|ticket| Effect::Reply { ticket, answer: refusal.clone() })
                .collect();
        }
        self.muted.insert(ticket);
        vec![Effect::Reply { ticket, answer: Answer::Unknown }]
    }

    fn answer_committed(&mut self, ticket: Ticket) -> Vec<Effect> {
        let answer = match self.calls.get(&ticket) {
            Some(Pending::Submit(_)) => Answer::Accepted { duplicate: false },
            Some(Pending::Cancel) => Answer::Cancelled,
            Some(Pending::Acknowledge) => Answer::Acknowledged,
            Some(Pending::GiveUp) => Answer::GivenUp,
            None => return Vec::new(),
        };
        self.followers(ticket)
            .into_iter()
            .map(|ticket| Effect::Reply { ticket, answer: answer.clone() })
            .collect()
    }

    /// Acts on a change that is now in the log and in the table.
    fn on_entry(
        &mut self,
        entry: &Entry,
        table: &Table,
        timings: &Timings,
        now: Instant,
        unix: Unix,
    ) {
        match entry {
            Entry::Accepted(acceptance) => {
                if let Some(job) = table.get(acceptance.job) {
                    let tasks = (0..job.tasks.len()).map(|index| job.task_id(index)).collect();
                    self.enqueue(job, tasks, now, unix.since(job.accepted));
                }
            }
            Entry::Placed(placements) => {
                for placement in placements {
                    self.on_placed(placement, table, now, unix);
                }
            }
            Entry::Ended(conclusion) => {
                self.on_ended(conclusion, table, timings, now);
                if let Some(job) = table.get(conclusion.task.job) {
                    self.tell_end(job, conclusion.task, unix);
                }
            }
            Entry::Cancelled(cancellation) => {
                if let Some(job) = table.get(cancellation.job) {
                    self.on_cancelled(job, now, unix);
                }
            }
            Entry::Retired(_) => self.alone_since = now,
            Entry::Unresolved(_)
            | Entry::Restated(_)
            | Entry::Pruned(_)
            | Entry::Alert(_)
            | Entry::Alerts(_) => {}
        }
    }

    fn on_placed(&mut self, placement: &Placement, table: &Table, now: Instant, unix: Unix) {
        let task = placement.task;
        self.placing.remove(&task);
        let Some(job) = table.get(task.job) else { return };
        let stands =
            job.current(task).and_then(|current| current.worker()) == Some(&placement.worker);
        if !stands {
            // The job was cancelled while the placement was on its way: it must not start.
            self.release(task);
            return;
        }
        if job.cancelled.is_some() {
            self.conclude(task, task::End::Stopped, now, unix);
            return;
        }
        let unlogged = !self.unlogged.is_empty();
        if unlogged && job.spec.effect == job::Effect::AtMostOnce {
            // Peers' memory may be lost with them; a second start elsewhere would follow.
            self.deferred.insert(task);
            return;
        }
        self.send_start(placement, job, now, unix);
    }

    /// Lets workers drop an ended task. Only once its end is in the log: an owner that finds it
    /// neither there nor at the worker takes it for never started.
    fn forget(&mut self, task: task::Id) {
        for session in self.sessions.values_mut() {
            session.forget(task);
        }
    }

    /// Does what had to wait until a batch that took effect without the log was in it.
    pub(super) fn on_logged(
        &mut self,
        batch: &Batch,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) -> Vec<Effect> {
        self.start_deferred(batch, table, now, unix);
        for entry in &batch.entries {
            if let Entry::Ended(conclusion) = entry {
                self.forget(conclusion.task);
            }
        }
        let owed = self.owed.remove(&batch.sequence).unwrap_or_default();
        owed.into_iter().flat_map(|ticket| self.answer_committed(ticket)).collect()
    }

    /// Starts what took effect without the log and had to wait for it.
    fn start_deferred(&mut self, batch: &Batch, table: &Table, now: Instant, unix: Unix) {
        let placed = batch.entries.iter().filter_map(|entry| match entry {
            Entry::Placed(placements) => Some(placements),
            _ => None,
        });
        for placement in placed.flatten() {
            let stands = self.deferred.remove(&placement.task);
            if let Some(job) = table.get(placement.task.job).filter(|_| stands) {
                self.send_start(placement, job, now, unix);
            }
        }
    }

    fn send_start(&mut self, placement: &Placement, job: &Job, now: Instant, unix: Unix) {
        let task = placement.task;
        let same_run = |session: &&mut Session| session.run == placement.run;
        match self.sessions.get_mut(&placement.worker).filter(same_run) {
            Some(session) => session.push(start(job, task)),
            // The worker's process changed while the placement was on its way. A start sent now
            // would run, while the log says that the process it was placed on is gone, and the
            // next full report would have the task run a second time.
            None => self.conclude(task, task::End::Rejected, now, unix),
        }
    }

    fn on_ended(
        &mut self,
        conclusion: &Conclusion,
        table: &Table,
        timings: &Timings,
        now: Instant,
    ) {
        self.concluding.remove(&conclusion.task);
        let Some(job) = table.get(conclusion.task.job) else { return };
        if self.unlogged.is_empty() {
            self.forget(conclusion.task);
        }
        if job.is_gang_broken() {
            self.stop_job(job);
        }
        let again: Vec<task::Id> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(index, task)| {
                task.position == Position::Pending
                    && (job.spec.kind == Kind::Gang || *index == conclusion.task.index as usize)
            })
            .map(|(index, _)| job.task_id(index))
            .collect();
        let failures = job.tasks.iter().map(|task| task.failures).max().unwrap_or(0);
        let pause = match conclusion.end {
            task::End::Failed | task::End::Rejected => {
                timings.retry_min.saturating_mul(1 << failures.min(10)).min(timings.retry_max)
            }
            task::End::Succeeded => timings.retry_min,
            _ => Duration::ZERO,
        };
        for id in again {
            self.resting.insert((now.after(pause), id), ());
        }
    }

    /// Queues a task again after its pause. A gang is queued whole, with its first task.
    fn requeue(&mut self, table: &Table, id: task::Id, now: Instant) {
        let Some(job) = table.get(id.job) else { return };
        let waits = job.current(id).is_some_and(|task| task.position == Position::Pending);
        if !waits || self.placing.contains(&id) {
            return;
        }
        if job.spec.kind != Kind::Gang {
            self.enqueue(job, vec![id], now, Duration::ZERO);
        } else if id.index == 0 {
            let tasks = (0..job.tasks.len()).map(|index| job.task_id(index)).collect();
            self.enqueue(job, tasks, now, Duration::ZERO);
        }
    }

    fn on_cancelled(&mut self, job: &Job, now: Instant, unix: Unix) {
        self.engine.withdraw(job.id);
        for (index, task) in job.tasks.iter().enumerate() {
            let id = job.task_id(index);
            let Position::Placed { worker, .. } = &task.position else { continue };
            let Some(session) = self.sessions.get_mut(worker) else { continue };
            if session.withdraw(id) {
                self.conclude(id, task::End::Stopped, now, unix);
            } else {
                session.push(Command::Stop(id));
            }
        }
    }

    fn stop_job(&mut self, job: &Job) {
        for (index, task) in job.tasks.iter().enumerate() {
            let id = job.task_id(index);
            if let Position::Placed { worker, .. } = &task.position
                && let Some(session) = self.sessions.get_mut(worker)
            {
                session.push(Command::Stop(id));
            }
        }
    }

    fn prune(&mut self, table: &Table, history: Duration, unix: Unix) {
        if !self.journal.is_settled() {
            return;
        }
        let old = |job: &&Job| job.ended.is_some_and(|ended| unix.since(ended) > history);
        for job in table.jobs().filter(old).take(MAX_STATEMENTS) {
            self.journal.push(Entry::Pruned(job.id), None);
        }
    }
}

/// The command that starts a task of `job`.
pub(super) fn start(job: &Job, task: task::Id) -> Command {
    Command::Start { task, demand: job.spec.demand, payload: job.spec.payload.clone() }
}
