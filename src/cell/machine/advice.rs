//! Questions to the policy service, spread over the instances, since it answers each of them one
//! question at a time.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::field::{Field, Fields};
use super::waiting::Waiting;
use super::{Effect, Machine};
use crate::cell::job::StepKey;
use crate::cell::link::Allowed;
use crate::cell::queue::Advice;
use crate::cell::record::WorkerId;
use crate::cell::timings::{ADVICE_SLACK, ADVICE_WORKERS};
use crate::clock::Instant;

/// Workers asked about at least, and for each task, where most may run a step.
const FEW_WORKERS: usize = 10;
const WORKERS_A_TASK: usize = 4;

/// Share of eligible workers from which asking about a few is enough.
const MOST_ELIGIBLE: f64 = 0.6;

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
    /// Asks the policy service what is still needed to place the step.
    pub(super) fn seek_advice(&mut self, step: &Waiting, advice: &Advice, fields: &Fields) {
        if self.idle_asker().is_none() {
            return;
        }
        let tickets = self.tickets.entry(step.key).or_default();
        if tickets.is_asking() {
            return;
        }
        let question = match tickets.tally() {
            (0, _) => self.first_question(step, fields),
            (asked, eligible) => self.next_question(step, advice, fields, asked, eligible),
        };
        if !question.is_empty() {
            self.ask(step.key, question, advice);
        }
    }

    /// A few workers where most may run the queue's steps, as many as one question takes elsewhere.
    fn first_question(&self, step: &Waiting, fields: &Fields) -> Vec<WorkerId> {
        let share = self.shares.get(&step.queue.name).copied().unwrap_or(0.0);
        let few = FEW_WORKERS.max(WORKERS_A_TASK * step.pending.len());
        let most = if share >= MOST_ELIGIBLE { few } else { ADVICE_WORKERS };
        self.unasked(step, fields, most)
    }

    /// Tickets that are about to expire, if they are many, or else further workers.
    fn next_question(
        &self,
        step: &Waiting,
        advice: &Advice,
        fields: &Fields,
        asked: usize,
        eligible: usize,
    ) -> Vec<WorkerId> {
        let Some(tickets) = self.tickets.get(&step.key) else { return Vec::new() };
        let expected = advice.decide_ms + advice.each_ms * eligible as f64;
        let soon = self.now.after(Duration::from_millis(expected.max(0.0) as u64));
        let mut stale = tickets.stale(soon);
        stale.retain(|worker| fields.find(worker).is_some());
        if !stale.is_empty() && stale.len() * 2 >= eligible {
            return stale;
        }
        // Most steps that wait have been asked about everywhere: with 350 workers, looking through
        // them for each such step took a fifth of all deciding.
        if asked >= self.workers.len() {
            return Vec::new();
        }
        self.unasked(step, fields, ADVICE_WORKERS)
    }

    /// Up to `most` workers that nobody has asked about for the step, those with the most room first.
    fn unasked(&self, step: &Waiting, fields: &Fields, most: usize) -> Vec<WorkerId> {
        let Some(tickets) = self.tickets.get(&step.key) else { return Vec::new() };
        let suits = |field: &&Field| {
            field.suits(&step.queue.service, step.model()) && tickets.is_unasked(&field.id)
        };
        let mut unasked: Vec<&Field> = fields.iter().filter(suits).collect();
        unasked.sort_by_key(|field| Reverse(field.room.cpu_millis));
        unasked.truncate(most);
        unasked.into_iter().map(|field| field.id.clone()).collect()
    }

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
