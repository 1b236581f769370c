//! Questions to the policy service, spread over the instances, since it answers each of them one
//! question at a time.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, Machine};
use crate::cell::job::StepKey;
use crate::cell::link::Allowed;
use crate::cell::queue::Advice;
use crate::cell::record::WorkerId;
use crate::cell::timings::{ADVICE_SLACK, ADVICE_WORKERS};
use crate::clock::Instant;

/// A question about one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Its number.
    pub number: u64,
    /// The instance that asks it.
    pub asker: SocketAddr,
    /// The step.
    pub step: StepKey,
    /// Workers asked about.
    pub workers: Vec<WorkerId>,
    /// How long tickets hold, unless the answer says otherwise.
    pub valid: Duration,
    /// When it was asked.
    pub sent: Instant,
    /// Time after which no answer is to be expected.
    pub timeout: Duration,
}

impl Machine {
    /// An instance that can ask now.
    pub(super) fn idle_asker(&self) -> Option<SocketAddr> {
        self.askers.iter().find(|(_, asker)| asker.is_idle(self.now)).map(|(peer, _)| *peer)
    }

    /// Asks about `workers`; `false` when every instance is busy.
    pub(super) fn ask(
        &mut self,
        step: StepKey,
        mut workers: Vec<WorkerId>,
        advice: &Advice,
    ) -> bool {
        let Some(asker) = self.idle_asker() else { return false };
        workers.truncate(ADVICE_WORKERS);
        self.last_question += 1;
        let expected = advice.decide_ms + advice.each_ms * workers.len() as f64;
        let question = Question {
            number: self.last_question,
            asker,
            step,
            workers,
            valid: Duration::from_millis(advice.valid_ms),
            sent: self.now,
            timeout: Duration::from_millis(expected.max(0.0) as u64) + ADVICE_SLACK,
        };
        self.tickets.entry(step).or_default().ask(&question.workers);
        if let Some(asker) = self.askers.get_mut(&asker) {
            asker.question = Some(question.number);
        }
        self.questions.insert(question.number, question.clone());
        self.effects.push(Effect::Advise(question));
        true
    }

    pub(super) fn advised(&mut self, number: u64, allowed: Option<&Allowed>) {
        let Some(question) = self.questions.remove(&number) else { return };
        if let Some(asker) = self.askers.get_mut(&question.asker)
            && asker.question == Some(number)
        {
            asker.note_outcome(allowed.is_some(), self.now);
        }
        if allowed.is_none() {
            let (step, asker) = (question.step, question.asker);
            log::warn!("event=advice.failed step={step} asker={asker} question={number}");
        }
        if let Some(tickets) = self.tickets.get_mut(&question.step) {
            tickets.answer(&question.workers, allowed, question.valid, self.now);
            let tally = tickets.tally();
            self.learn_share(&question.step, tally);
        }
        self.dirty = true;
    }

    /// Learns which share of the workers may run a queue's steps, so that the next question names
    /// about as many as are needed.
    fn learn_share(&mut self, step: &StepKey, (asked, eligible): (usize, usize)) {
        /// Weight of one answer in the mean.
        const WEIGHT: f64 = 0.1;
        let Some(entry) = self.state.jobs.get(&step.job) else { return };
        let found = eligible as f64 / asked.max(1) as f64;
        let mean = self.shares.entry(entry.job.queue.clone()).or_insert(found);
        *mean += (found - *mean) * WEIGHT;
    }
}
