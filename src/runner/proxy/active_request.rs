//! A request owned by the task: its body, its caller and its execution record.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use local_sync::oneshot;

use super::{Reply, Submission};
use crate::intent::{self, ExecutionOutcome, Permit};
use crate::job::Effect;
use crate::runner::attempt;
use crate::runner::request::{self, RequestOutcome};
use crate::runner::transport::{Answer, Call};

/// Longest response body that is stored with the record of at-most-once work.
const MAX_RECORDED_BYTES: usize = 4096;

/// A request from its arrival until its last attempt has ended.
pub(super) struct ActiveRequest {
    pub(super) call: Rc<Call>,
    pub(super) effect: Effect,
    reply: Option<oneshot::Sender<Reply>>,
    record: ExecutionRecord,
    answers: HashMap<attempt::Id, Answer>,
}

impl ActiveRequest {
    pub(super) fn new(submission: Submission) -> Self {
        let Submission { call, effect, permit, reply, .. } = submission;
        Self {
            call: Rc::new(call),
            effect,
            reply: Some(reply),
            record: ExecutionRecord { permit, in_flight: 0, sent: false },
            answers: HashMap::new(),
        }
    }

    /// Counts an attempt that is about to be sent.
    pub(super) fn count_attempt(&mut self) {
        self.record.in_flight += 1;
    }

    /// Counts the end of an attempt of which nothing was sent.
    pub(super) fn end_not_sent(&mut self) {
        self.record.in_flight -= 1;
    }

    /// Counts the end of an attempt that was sent. If the caller has already received the outcome
    /// "unknown", a late answer goes to the record only.
    pub(super) fn end_sent(&mut self, id: attempt::Id, answer: Option<Answer>) {
        self.record.in_flight -= 1;
        self.record.sent = true;
        let Some(answer) = answer else { return };
        if self.reply.is_some() {
            self.answers.insert(id, answer);
        } else {
            self.record.finish(&answer);
        }
    }

    /// Whether the caller is answered and no attempt is in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.reply.is_none() && self.record.in_flight == 0
    }

    /// Whether a caller or an execution record still waits for the outcome.
    pub(super) fn is_awaited(&self) -> bool {
        self.reply.is_some() || self.record.permit.is_some()
    }

    /// Sends the outcome to the caller.
    pub(super) fn answer(&mut self, id: request::Id, outcome: RequestOutcome) {
        let reply = match outcome {
            RequestOutcome::Complete(attempt) => self.complete(id, attempt),
            RequestOutcome::NotRun { refusal, retry_after } => {
                self.record.release_permit();
                Reply::NotRun { refusal, retry_after }
            }
            RequestOutcome::Unknown { cause, retry_after } => {
                Reply::Unknown { id, cause, retry_after }
            }
        };
        self.answers.clear();
        if let Some(caller) = self.reply.take() {
            // The send fails when the caller has gone.
            let _ = caller.send(reply);
        }
    }

    fn complete(&mut self, id: request::Id, attempt: attempt::Id) -> Reply {
        let Some(answer) = self.answers.remove(&attempt) else {
            let cause = request::UnknownCause::Broken;
            return Reply::Unknown { id, cause, retry_after: Duration::ZERO };
        };
        self.record.finish(&answer);
        Reply::Complete(answer)
    }
}

/// Permit to run once, and whether an attempt may have used it.
///
/// A dropped permit releases its key, after which a retry would run the work again. Once bytes may
/// have been sent, the permit is therefore recorded as a run whose outcome was lost.
struct ExecutionRecord {
    permit: Option<Permit>,
    in_flight: usize,
    sent: bool,
}

impl ExecutionRecord {
    fn may_have_run(&self) -> bool {
        self.sent || self.in_flight > 0
    }

    fn finish(&mut self, answer: &Answer) {
        let Some(permit) = self.permit.take() else { return };
        let content_type = answer.content_type.as_deref().unwrap_or_default();
        let kept = intent::RecordedResponse::new(
            answer.status,
            content_type,
            &answer.body,
            MAX_RECORDED_BYTES,
        );
        permit.start().finish(ExecutionOutcome::Responded(kept));
    }

    fn release_permit(&mut self) {
        if !self.may_have_run() {
            self.permit = None;
        }
    }
}

impl Drop for ExecutionRecord {
    fn drop(&mut self) {
        let may_have_run = self.may_have_run();
        if let Some(permit) = self.permit.take().filter(|_| may_have_run) {
            permit.start().finish(ExecutionOutcome::ResponseLost);
        }
    }
}
