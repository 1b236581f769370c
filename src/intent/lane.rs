//! The way of requests through one partition: wait, share an append, be found in the log.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use super::admission_decision::{AdmissionDecision, Refusal};
use super::context::Context;
use super::flight::Flight;
use super::key::Request;
use super::machine::{Effect, Now, RequestId};
use super::partition::{AppliedPage, IntentStatus, Partition};
use super::policy::Policy;
use super::queue::{Coverage, Owed, Queue, Waiting};
use super::record::{AttemptId, Batch, Entry};
use super::token_bucket::TokenBucket;
use super::wire;
use crate::clock::Instant;
use crate::store::{AppendOutcome, Offset, Page};

/// Doublings of the pause after failures in a row.
const BACKOFF_DOUBLINGS: u32 = 6;

/// The requests and records of one partition at one instance.
///
/// At most one call to the log is under way, and at most one batch is unconfirmed.
#[derive(Debug)]
pub(super) struct Lane {
    number: u16,
    policy: Rc<Policy>,
    partition: Partition,
    queue: Queue,
    flight: Option<Flight>,
    call: Call,
    /// Whether the partition was read to its end once.
    warm: bool,
    /// Whether the length of the stream was looked at.
    measured: bool,
    /// Whether the log is to be read although nothing waits for it.
    probe: bool,
    failures: u32,
    resume: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    None,
    Read,
    Append,
}

impl Lane {
    pub(super) fn new(number: u16, policy: Rc<Policy>) -> Self {
        Self {
            number,
            partition: Partition::new(number, Rc::clone(&policy)),
            queue: Queue::new(Rc::clone(&policy)),
            policy,
            flight: None,
            call: Call::None,
            warm: false,
            measured: false,
            probe: false,
            failures: 0,
            resume: Instant::default(),
        }
    }

    pub(super) fn partition(&self) -> &Partition {
        &self.partition
    }

    /// Whether nothing waits for the log.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none()
    }

    /// When the oldest request or record began to wait.
    pub(super) fn oldest(&self) -> Option<Instant> {
        self.queue.oldest()
    }

    /// Has the partition read although no request waits for it.
    pub(super) fn preload(&mut self) {
        self.probe = true;
    }

    pub(super) fn submit(
        &mut self,
        request_id: RequestId,
        request: Request,
        timeout: Duration,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let crowded = self.queue.is_crowded().then_some(Refusal::Overloaded);
        let known = self.partition.state(&request.key).is_some();
        let unfit = if known { None } else { self.unfit(&request, now).or(crowded) };
        if let Some(reason) = unfit {
            context.reply(request_id, AdmissionDecision::NotRun(reason));
            return;
        }
        self.queue.waiting.push_back(Waiting {
            request_id,
            request,
            arrived: now.instant,
            deadline: now.instant.after(timeout),
            coverage: Coverage::None,
        });
    }

    /// Why a key that nobody holds cannot be won by `request`.
    fn unfit(&self, request: &Request, now: Now) -> Option<Refusal> {
        let ahead = request.created > now.unix.after(self.policy.max_clock_skew);
        let past = now.unix.since(request.created) > self.policy.max_key_age;
        match (ahead, past || !self.partition.admits(request.created)) {
            (true, _) => Some(Refusal::CreatedInFuture),
            (_, true) => Some(Refusal::Expired),
            _ => None,
        }
    }

    /// Takes a withdrawal or outcome that must reach the log some time.
    pub(super) fn owe(&mut self, entry: Entry, now: Instant) {
        self.queue.owe(Owed { entry, since: now });
    }

    /// Takes the answer of the append under way.
    pub(super) fn appended(
        &mut self,
        answer: Result<Offset, AppendOutcome>,
        context: &mut Context<'_>,
    ) {
        self.call = Call::None;
        let settle_by = context.now.instant.after(self.policy.confirm_timeout);
        match answer {
            Ok(offset) => self.look_for_flight(settle_by, Some(offset)),
            Err(AppendOutcome::Unknown) => {
                context.stats.unconfirmed += 1;
                self.look_for_flight(settle_by, None);
            }
            Err(AppendOutcome::NotWritten) => self.not_written(context),
        }
    }

    fn look_for_flight(&mut self, settle_by: Instant, hint: Option<Offset>) {
        if let Some(flight) = self.flight.as_mut() {
            flight.settle_by = Some(settle_by);
            flight.hint = hint;
        }
    }

    fn not_written(&mut self, context: &mut Context<'_>) {
        self.fail(context.now.instant);
        let Some(flight) = self.flight.take() else { return };
        for (_, waiting) in flight.intents {
            context.reply(waiting.request_id, AdmissionDecision::NotRun(Refusal::LogUnavailable));
        }
        self.queue.owe_again(flight.owed);
    }

    fn fail(&mut self, now: Instant) {
        let doublings = self.failures.min(BACKOFF_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.resume = now.after(self.policy.retry_pause * 2_u32.pow(doublings));
    }

    /// Takes the answer of the read under way; `None` when it failed.
    pub(super) fn paged(&mut self, page: Option<&Page>, context: &mut Context<'_>) {
        self.call = Call::None;
        match page.and_then(|page| self.apply(page, context)) {
            Some(()) => self.failures = 0,
            None => self.fail(context.now.instant),
        }
    }

    /// Applies a page; `None` when it does not continue what was read.
    fn apply(&mut self, page: &Page, context: &mut Context<'_>) -> Option<()> {
        if self.skip_old(page) {
            return Some(());
        }
        let before = self.partition.next_offset();
        let applied = self.partition.apply(page, context.now.unix).ok()?;
        if self.partition.next_offset() >= page.end {
            self.caught_up(context.now.instant);
        }
        self.settle(before, &applied, context);
        Some(())
    }

    /// Leaves out all but the newest records of a long stream that is read for the first time.
    fn skip_old(&mut self, page: &Page) -> bool {
        let first = !std::mem::replace(&mut self.measured, true);
        let start = page.end.saturating_sub(self.policy.max_initial_records);
        let skips = first && start > page.oldest;
        if skips {
            self.partition.skip_to(start);
        }
        skips
    }

    fn caught_up(&mut self, now: Instant) {
        self.warm = true;
        self.probe = false;
        self.queue.caught_up();
        if self.flight.is_some() {
            self.resume = now.after(self.policy.retry_pause);
        }
    }

    /// Answers the requests of the batch in flight once it is found in the log.
    fn settle(&mut self, before: Offset, applied: &AppliedPage, context: &mut Context<'_>) {
        let Some(flight) = self.flight.take_if(|flight| applied.batches.contains(&flight.id))
        else {
            return;
        };
        self.resume = context.now.instant;
        context.stats.contiguous += u64::from(flight.hint == Some(before));
        for (attempt, waiting) in flight.intents {
            self.rule(attempt, waiting, applied.status(attempt), context);
        }
    }

    fn rule(
        &mut self,
        attempt: AttemptId,
        waiting: Waiting,
        status: IntentStatus,
        context: &mut Context<'_>,
    ) {
        let state = self.partition.state(&waiting.request.key);
        match (status, state) {
            (IntentStatus::Won, _) => {
                context.reply(waiting.request_id, AdmissionDecision::Granted(attempt))
            }
            (IntentStatus::Lost, Some(state)) => {
                context
                    .reply(waiting.request_id, AdmissionDecision::repeat(&waiting.request, state));
            }
            (IntentStatus::Lost, None) => {
                // It lost to an attempt that was withdrawn since, so it may compete again.
                self.withdraw(attempt, &waiting.request, context.now.instant);
                self.queue.waiting.push_front(waiting);
            }
            (IntentStatus::Expired, _) => {
                self.withdraw(attempt, &waiting.request, context.now.instant);
                let refusal = Refusal::Expired;
                context.reply(waiting.request_id, AdmissionDecision::NotRun(refusal));
            }
        }
    }

    /// Records that an attempt was given up, so that its intent does not block the key.
    ///
    /// A job's intent is left standing: it only fixes the failure domain, and another instance may
    /// already have acted on it.
    fn withdraw(&mut self, attempt: AttemptId, request: &Request, now: Instant) {
        if request.domain.is_none() {
            self.owe(Entry::Withdrawal { attempt, key: request.key.clone() }, now);
        }
    }

    /// Does what is due, after every input.
    pub(super) fn advance(&mut self, context: &mut Context<'_>) {
        let now = context.now.instant;
        self.expire(context);
        self.give_up(context);
        self.answer_known(context);
        if self.call != Call::None || now < self.resume {
            return;
        }
        if self.must_read() {
            self.read(context);
        } else if self.queue.due(now).is_some_and(|due| due <= now) && context.budget.try_take(now)
        {
            self.append(context);
        }
    }

    /// When [`advance`](Self::advance) has something to do next without any input.
    pub(super) fn next_wakeup(&self, budget: &TokenBucket, now: Instant) -> Option<Instant> {
        let deadline = self.queue.waiting.iter().map(|waiting| waiting.deadline).min();
        let in_flight = self.flight.as_ref().and_then(Flight::wake);
        let work = (self.call == Call::None).then(|| self.work_at(budget, now)).flatten();
        [deadline, in_flight, work].into_iter().flatten().min()
    }

    fn work_at(&self, budget: &TokenBucket, now: Instant) -> Option<Instant> {
        if self.must_read() {
            return Some(self.resume);
        }
        let due = self.queue.due(now)?;
        Some(due.max(budget.available_at(now)).max(self.resume))
    }

    fn must_read(&self) -> bool {
        let cold = !self.warm && !self.queue.waiting.is_empty();
        self.flight.is_some() || self.probe || cold || self.wants_refresh()
    }

    /// Whether a request waits whose key is held but may have got its outcome since.
    fn wants_refresh(&self) -> bool {
        let mut keys = self.queue.waiting.iter().map(|waiting| &waiting.request.key);
        keys.any(|key| self.partition.is_held(key))
    }

    /// Answers the requests whose time is over, and all of them while the log is away.
    fn expire(&mut self, context: &mut Context<'_>) {
        let now = context.now.instant;
        let away = self.failures >= self.policy.max_failures;
        let mut kept = VecDeque::with_capacity(self.queue.waiting.len());
        for waiting in std::mem::take(&mut self.queue.waiting) {
            if waiting.deadline > now && !away {
                kept.push_back(waiting);
                continue;
            }
            self.probe |= away;
            self.refuse(&waiting, Refusal::LogUnavailable, context);
        }
        self.queue.waiting = kept;
        if let Some(flight) = self.flight.as_mut() {
            let over = flight.expired(now);
            self.abandon(over, context);
        }
    }

    /// Gives up looking for a batch whose append was answered badly.
    ///
    /// Its record may still reach the log later. Only this instance could act on it, and it never
    /// will; the withdrawals keep it from blocking the keys.
    fn give_up(&mut self, context: &mut Context<'_>) {
        let now = context.now.instant;
        let over = |flight: &mut Flight| flight.settle_by.is_some_and(|by| by <= now);
        let Some(flight) = self.flight.take_if(over) else { return };
        self.queue.owe_again(flight.owed);
        self.abandon(flight.intents, context);
    }

    fn abandon(&mut self, intents: Vec<(AttemptId, Waiting)>, context: &mut Context<'_>) {
        for (attempt, waiting) in intents {
            self.withdraw(attempt, &waiting.request, context.now.instant);
            self.refuse(&waiting, Refusal::Unconfirmed, context);
        }
    }

    /// Tells of the attempt that holds the key, when one is known, and else refuses.
    fn refuse(&self, waiting: &Waiting, refusal: Refusal, context: &mut Context<'_>) {
        let decision = match self.partition.state(&waiting.request.key) {
            Some(state) => AdmissionDecision::repeat(&waiting.request, state),
            None => AdmissionDecision::NotRun(refusal),
        };
        context.reply(waiting.request_id, decision);
    }

    /// Answers the requests whose answer is known without another look at the log.
    fn answer_known(&mut self, context: &mut Context<'_>) {
        let mut kept = VecDeque::with_capacity(self.queue.waiting.len());
        for waiting in std::mem::take(&mut self.queue.waiting) {
            match self.known(&waiting, context.now) {
                Some(decision) => context.reply(waiting.request_id, decision),
                None => kept.push_back(waiting),
            }
        }
        self.queue.waiting = kept;
    }

    fn known(&self, waiting: &Waiting, now: Now) -> Option<AdmissionDecision> {
        let request = &waiting.request;
        match self.partition.state(&request.key) {
            Some(state) if state.is_done() || waiting.coverage == Coverage::Whole => {
                Some(AdmissionDecision::repeat(request, state))
            }
            Some(_) => None,
            None => self.unfit(request, now).map(AdmissionDecision::NotRun),
        }
    }

    fn read(&mut self, context: &mut Context<'_>) {
        self.call = Call::Read;
        self.queue.begin_read();
        context.stats.reads += 1;
        let from = self.partition.next_offset();
        context.effects.push(Effect::Read { partition: self.number, from });
    }

    fn append(&mut self, context: &mut Context<'_>) {
        let id = context.writer.next();
        let load = self.queue.take(context.writer);
        let batch = Batch {
            partition: self.number,
            writer: context.writer.name.clone(),
            id,
            read_until: self.partition.next_offset(),
            latest_created: self.partition.latest_created(),
            entries: load.entries(),
        };
        context.stats.appends += 1;
        context.stats.intents += load.intents.len() as u64;
        self.flight = Some(Flight::new(id, load));
        self.call = Call::Append;
        let payload = wire::encode(&batch);
        context.effects.push(Effect::Append { partition: self.number, payload });
    }
}
