//! Takes the requests of one partition through the log: queues them, appends their intents in
//! batches and reads the stream back to learn which intents won.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use super::admission_decision::{AdmissionDecision, Refusal};
use super::context::Context;
use super::in_flight::InFlightBatch;
use super::key::Request;
use super::machine::{Effect, Now, RequestId};
use super::partition::{AppliedPage, IntentStatus, Partition};
use super::policy::Policy;
use super::queue::{PendingRecord, Queue, ReadProgress, WaitingRequest};
use super::record::{AttemptId, Batch, Entry};
use super::token_bucket::TokenBucket;
use super::wire;
use crate::clock::Instant;
use crate::store::{AppendOutcome, Offset, Page};

/// Maximum number of times that the retry pause doubles after consecutive failures.
const BACKOFF_DOUBLINGS: u32 = 6;

/// Requests and pending records of one partition at one instance.
///
/// At most one call to the log is in progress, and at most one batch is unconfirmed.
#[derive(Debug)]
pub(super) struct PartitionClient {
    number: u16,
    policy: Rc<Policy>,
    partition: Partition,
    queue: Queue,
    in_flight: Option<InFlightBatch>,
    call: ActiveCall,
    /// Whether the partition has been read to its end at least once.
    loaded: bool,
    /// Whether the offset of the first read has been chosen; see `skip_old_records`.
    start_chosen: bool,
    /// Whether to read the log even if no request waits.
    read_requested: bool,
    /// Consecutive failed calls to the log.
    failures: u32,
    /// No call to the log is made before this time.
    resume_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ActiveCall {
    None,
    Read,
    Append,
}

impl PartitionClient {
    pub(super) fn new(number: u16, policy: Rc<Policy>) -> Self {
        Self {
            number,
            partition: Partition::new(number, Rc::clone(&policy)),
            queue: Queue::new(Rc::clone(&policy)),
            policy,
            in_flight: None,
            call: ActiveCall::None,
            loaded: false,
            start_chosen: false,
            read_requested: false,
            failures: 0,
            resume_at: Instant::default(),
        }
    }

    pub(super) fn partition(&self) -> &Partition {
        &self.partition
    }

    /// Whether no request or record waits for the log.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Time at which the oldest request or record was queued.
    pub(super) fn oldest(&self) -> Option<Instant> {
        self.queue.oldest()
    }

    /// Requests a read of the partition before the first request arrives.
    pub(super) fn preload(&mut self) {
        self.read_requested = true;
    }

    pub(super) fn submit(
        &mut self,
        request_id: RequestId,
        request: Request,
        timeout: Duration,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let full = self.queue.is_full().then_some(Refusal::Overloaded);
        let known = self.partition.state(&request.key).is_some();
        let refusal_for_new_key =
            if known { None } else { self.refusal_for_new_key(&request, now).or(full) };
        if let Some(reason) = refusal_for_new_key {
            context.reply(request_id, AdmissionDecision::NotRun(reason));
            return;
        }
        self.queue.waiting.push_back(WaitingRequest {
            request_id,
            request,
            arrived: now.instant,
            deadline: now.instant.after(timeout),
            read_progress: ReadProgress::NotStarted,
        });
    }

    /// Why `request` cannot claim a key that no attempt holds; `None` if it can.
    fn refusal_for_new_key(&self, request: &Request, now: Now) -> Option<Refusal> {
        let in_future = request.created > now.unix.after(self.policy.max_clock_skew);
        let too_old = now.unix.since(request.created) > self.policy.max_key_age;
        match (in_future, too_old || !self.partition.admits(request.created)) {
            (true, _) => Some(Refusal::CreatedInFuture),
            (_, true) => Some(Refusal::Expired),
            _ => None,
        }
    }

    /// Queues a withdrawal or outcome for a later append.
    pub(super) fn enqueue_record(&mut self, entry: Entry, now: Instant) {
        self.queue.enqueue_record(PendingRecord { entry, since: now });
    }

    /// Handles the result of the append in progress.
    pub(super) fn append_ended(
        &mut self,
        answer: Result<Offset, AppendOutcome>,
        context: &mut Context<'_>,
    ) {
        self.call = ActiveCall::None;
        let confirm_by = context.now.instant.after(self.policy.confirm_timeout);
        match answer {
            Ok(offset) => self.await_confirmation(confirm_by, Some(offset)),
            Err(AppendOutcome::Unknown) => {
                context.stats.unconfirmed += 1;
                self.await_confirmation(confirm_by, None);
            }
            Err(AppendOutcome::NotWritten) => self.append_not_written(context),
        }
    }

    fn await_confirmation(&mut self, confirm_by: Instant, reported_offset: Option<Offset>) {
        if let Some(in_flight) = self.in_flight.as_mut() {
            in_flight.confirm_by = Some(confirm_by);
            in_flight.reported_offset = reported_offset;
        }
    }

    fn append_not_written(&mut self, context: &mut Context<'_>) {
        self.back_off(context.now.instant);
        let Some(in_flight) = self.in_flight.take() else { return };
        for (_, waiting) in in_flight.intents {
            context.reply(waiting.request_id, AdmissionDecision::NotRun(Refusal::LogUnavailable));
        }
        self.queue.requeue(in_flight.pending);
    }

    fn back_off(&mut self, now: Instant) {
        let doublings = self.failures.min(BACKOFF_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.resume_at = now.after(self.policy.retry_pause * 2_u32.pow(doublings));
    }

    /// Handles the result of the read in progress; `None` if it failed.
    pub(super) fn read_ended(&mut self, page: Option<&Page>, context: &mut Context<'_>) {
        self.call = ActiveCall::None;
        match page.and_then(|page| self.apply(page, context)) {
            Some(()) => self.failures = 0,
            None => self.back_off(context.now.instant),
        }
    }

    /// Applies a page; `None` if it does not continue where the last read ended.
    fn apply(&mut self, page: &Page, context: &mut Context<'_>) -> Option<()> {
        if self.skip_old_records(page) {
            return Some(());
        }
        let before = self.partition.next_offset();
        let applied = self.partition.apply(page, context.now.unix).ok()?;
        if self.partition.next_offset() >= page.end {
            self.caught_up(context.now.instant);
        }
        self.resolve_confirmed(before, &applied, context);
        Some(())
    }

    /// On the first read of a stream, skips all but its newest `max_initial_records` records.
    ///
    /// Returns whether records were skipped; the page is not applied then.
    fn skip_old_records(&mut self, page: &Page) -> bool {
        let first = !std::mem::replace(&mut self.start_chosen, true);
        let start = page.end.saturating_sub(self.policy.max_initial_records);
        let skips = first && start > page.oldest;
        if skips {
            self.partition.skip_to(start);
        }
        skips
    }

    fn caught_up(&mut self, now: Instant) {
        self.loaded = true;
        self.read_requested = false;
        self.queue.caught_up();
        if self.in_flight.is_some() {
            self.resume_at = now.after(self.policy.retry_pause);
        }
    }

    /// Answers the requests of the batch in flight once it was read from the log.
    fn resolve_confirmed(
        &mut self,
        before: Offset,
        applied: &AppliedPage,
        context: &mut Context<'_>,
    ) {
        let Some(in_flight) =
            self.in_flight.take_if(|in_flight| applied.batches.contains(&in_flight.id))
        else {
            return;
        };
        self.resume_at = context.now.instant;
        context.stats.contiguous += u64::from(in_flight.reported_offset == Some(before));
        for (attempt, waiting) in in_flight.intents {
            self.resolve(attempt, waiting, applied.status(attempt), context);
        }
    }

    fn resolve(
        &mut self,
        attempt: AttemptId,
        waiting: WaitingRequest,
        status: IntentStatus,
        context: &mut Context<'_>,
    ) {
        let state = self.partition.state(&waiting.request.key);
        match (status, state) {
            (IntentStatus::Won, _) => {
                context.reply(waiting.request_id, AdmissionDecision::Granted(attempt))
            }
            (IntentStatus::Lost, Some(state)) => {
                context.reply(
                    waiting.request_id,
                    AdmissionDecision::for_repeat(&waiting.request, state),
                );
            }
            (IntentStatus::Lost, None) => {
                // The attempt that won has been withdrawn since, so the request is queued again.
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

    /// Records the withdrawal of an attempt, so that its intent does not block the key.
    ///
    /// The intent of a job is not withdrawn: it only fixes the failure domain, and another
    /// instance may already have submitted the job there.
    fn withdraw(&mut self, attempt: AttemptId, request: &Request, now: Instant) {
        if request.domain.is_none() {
            self.enqueue_record(Entry::Withdrawal { attempt, key: request.key.clone() }, now);
        }
    }

    /// Answers requests and starts the next call to the log. Called after every input.
    pub(super) fn advance(&mut self, context: &mut Context<'_>) {
        let now = context.now.instant;
        self.refuse_expired(context);
        self.abandon_unconfirmed(context);
        self.answer_decided(context);
        if self.call != ActiveCall::None || now < self.resume_at {
            return;
        }
        if self.must_read() {
            self.read(context);
        } else if self.queue.due(now).is_some_and(|due| due <= now) && context.budget.try_take(now)
        {
            self.append(context);
        }
    }

    /// Time at which [`advance`](Self::advance) is next needed if no input arrives before.
    pub(super) fn next_wakeup(&self, budget: &TokenBucket, now: Instant) -> Option<Instant> {
        let deadline = self.queue.waiting.iter().map(|waiting| waiting.deadline).min();
        let in_flight = self.in_flight.as_ref().and_then(InFlightBatch::next_wakeup);
        let work =
            (self.call == ActiveCall::None).then(|| self.next_call_at(budget, now)).flatten();
        [deadline, in_flight, work].into_iter().flatten().min()
    }

    fn next_call_at(&self, budget: &TokenBucket, now: Instant) -> Option<Instant> {
        if self.must_read() {
            return Some(self.resume_at);
        }
        let due = self.queue.due(now)?;
        Some(due.max(budget.available_at(now)).max(self.resume_at))
    }

    fn must_read(&self) -> bool {
        let first_read = !self.loaded && !self.queue.waiting.is_empty();
        self.in_flight.is_some() || self.read_requested || first_read || self.wants_refresh()
    }

    /// Whether a waiting request's key is held, so that a read may find the key's outcome.
    fn wants_refresh(&self) -> bool {
        let mut keys = self.queue.waiting.iter().map(|waiting| &waiting.request.key);
        keys.any(|key| self.partition.is_held(key))
    }

    /// Refuses the requests whose deadline has passed, or all of them while the log is unavailable.
    fn refuse_expired(&mut self, context: &mut Context<'_>) {
        let now = context.now.instant;
        let unavailable = self.failures >= self.policy.max_failures;
        let mut kept = VecDeque::with_capacity(self.queue.waiting.len());
        for waiting in std::mem::take(&mut self.queue.waiting) {
            if waiting.deadline > now && !unavailable {
                kept.push_back(waiting);
                continue;
            }
            self.read_requested |= unavailable;
            self.refuse(&waiting, Refusal::LogUnavailable, context);
        }
        self.queue.waiting = kept;
        if let Some(in_flight) = self.in_flight.as_mut() {
            let expired = in_flight.take_expired(now);
            self.abandon(expired, context);
        }
    }

    /// Stops waiting for a batch that was not read from the log before its deadline.
    ///
    /// The record may still be written later. No instance runs work from it, since only its writer
    /// could; the withdrawals keep its intents from blocking the keys.
    fn abandon_unconfirmed(&mut self, context: &mut Context<'_>) {
        let now = context.now.instant;
        let overdue =
            |in_flight: &mut InFlightBatch| in_flight.confirm_by.is_some_and(|by| by <= now);
        let Some(in_flight) = self.in_flight.take_if(overdue) else { return };
        self.queue.requeue(in_flight.pending);
        self.abandon(in_flight.intents, context);
    }

    fn abandon(&mut self, intents: Vec<(AttemptId, WaitingRequest)>, context: &mut Context<'_>) {
        for (attempt, waiting) in intents {
            self.withdraw(attempt, &waiting.request, context.now.instant);
            self.refuse(&waiting, Refusal::Unconfirmed, context);
        }
    }

    /// Answers with the state of the key if an attempt holds it, or else with `refusal`.
    fn refuse(&self, waiting: &WaitingRequest, refusal: Refusal, context: &mut Context<'_>) {
        let decision = match self.partition.state(&waiting.request.key) {
            Some(state) => AdmissionDecision::for_repeat(&waiting.request, state),
            None => AdmissionDecision::NotRun(refusal),
        };
        context.reply(waiting.request_id, decision);
    }

    /// Answers the requests that need no further read of the log.
    fn answer_decided(&mut self, context: &mut Context<'_>) {
        let mut kept = VecDeque::with_capacity(self.queue.waiting.len());
        for waiting in std::mem::take(&mut self.queue.waiting) {
            match self.known_decision(&waiting, context.now) {
                Some(decision) => context.reply(waiting.request_id, decision),
                None => kept.push_back(waiting),
            }
        }
        self.queue.waiting = kept;
    }

    fn known_decision(&self, waiting: &WaitingRequest, now: Now) -> Option<AdmissionDecision> {
        let request = &waiting.request;
        match self.partition.state(&request.key) {
            Some(state) if state.is_done() || waiting.read_progress == ReadProgress::Complete => {
                Some(AdmissionDecision::for_repeat(request, state))
            }
            Some(_) => None,
            None => self.refusal_for_new_key(request, now).map(AdmissionDecision::NotRun),
        }
    }

    fn read(&mut self, context: &mut Context<'_>) {
        self.call = ActiveCall::Read;
        self.queue.begin_read();
        context.stats.reads += 1;
        let from = self.partition.next_offset();
        context.effects.push(Effect::Read { partition: self.number, from });
    }

    fn append(&mut self, context: &mut Context<'_>) {
        let id = context.writer.next_attempt();
        let contents = self.queue.take(context.writer);
        let batch = Batch {
            partition: self.number,
            writer: context.writer.name.clone(),
            id,
            read_until: self.partition.next_offset(),
            latest_created: self.partition.latest_created(),
            entries: contents.entries(),
        };
        context.stats.appends += 1;
        context.stats.intents += contents.intents.len() as u64;
        self.in_flight = Some(InFlightBatch::new(id, contents));
        self.call = ActiveCall::Append;
        let payload = wire::encode(&batch);
        context.effects.push(Effect::Append { partition: self.number, payload });
    }
}
