//! Questions to the policy service, spread over the instances, since it answers each of them one
//! question at a time.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::askers::Askers;
use super::field::{Field, Fields};
use super::reservation::Budget;
use super::waiting::Waiting;
use super::{Effect, Machine};
use crate::cell::dependencies::Eligibility;
use crate::cell::job::StepKey;
use crate::cell::queue::PolicyTiming;
use crate::cell::record::WorkerId;
use crate::cell::ticket::Tickets;
use crate::cell::timings::{MAX_POLICY_WORKERS, POLICY_RECHECK_INTERVAL, POLICY_TIMEOUT_MARGIN};
use crate::clock::Instant;

/// Workers asked about at least, where so many have room: a question costs far more than a name.
const FEW_WORKERS: usize = 10;

/// Times the tasks to place that the workers asked about should have room for, eligible ones alone.
const MARGIN: f64 = 1.5;

/// The same for gangs, where each worker counts with a task at least: others are placed on many of them
/// while the question is under way.
const GANG_MARGIN: f64 = 3.0;

/// Times the workers expected to suffice that a question about a gang names: most of its time is not for
/// the names, and a second one would take that time again.
const AMPLE: f64 = 2.0;

/// Share of eligible workers that is assumed before the first answer; the lowest that was seen.
const UNKNOWN_SHARE: f64 = 0.25;

/// Share below which no more names are thought to help: a question names a hundred at most.
const LEAST_SHARE: f64 = 0.05;

/// Part of other steps' tasks, and number of tasks, from which a question is worth its time.
const WORTH_ASKING: f64 = 0.25;
const WORTH_ASKING_TASKS: f64 = 8.0;

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

/// Workers that a question may name.
#[derive(Default)]
struct Candidates<'a> {
    workers: Vec<(&'a Field, f64)>,
    /// Tasks that they have room for together.
    slots: f64,
}

impl<'a> Candidates<'a> {
    fn add(&mut self, field: &'a Field, slots: f64) {
        self.workers.push((field, slots));
        self.slots += slots;
    }

    /// The fewest of them with room for `wanted` tasks, those with the most room first.
    fn choose(mut self, wanted: f64) -> Vec<WorkerId> {
        self.workers.sort_by_key(|(field, _)| Reverse(field.room.cpu_millis));
        let mut chosen = Choice::new(wanted);
        for (field, here) in self.workers {
            if chosen.is_enough() {
                break;
            }
            chosen.add(field, here);
        }
        chosen.workers
    }
}

/// Workers that a question names, as few as suffice for the tasks that it is about.
struct Choice {
    workers: Vec<WorkerId>,
    /// Tasks that they have room for together.
    slots: f64,
    wanted: f64,
}

impl Choice {
    const fn new(wanted: f64) -> Self {
        Self { workers: Vec::new(), slots: 0.0, wanted }
    }

    fn is_enough(&self) -> bool {
        let suffices = self.slots >= self.wanted && self.workers.len() >= FEW_WORKERS;
        suffices || self.workers.len() >= MAX_POLICY_WORKERS
    }

    fn add(&mut self, field: &Field, slots: f64) {
        self.slots += slots;
        self.workers.push(field.id.clone());
    }
}

impl Machine {
    /// Asks the policy service what is still needed to place the step.
    pub(super) fn seek_advice(
        &mut self,
        step: &Waiting,
        advice: &PolicyTiming,
        fields: &mut Fields,
        askers: &mut Askers,
        budget: &mut Budget,
    ) {
        let now = self.now;
        let gang = step.model().gang;
        let tickets = self.tickets.entry(step.key).or_default();
        if tickets.has_pending_question() && !gang || !tickets.may_ask(now) {
            return;
        }
        askers.turn(&step.queue);
        if gang && budget.is_spent(step) && !self.is_under_way(step) {
            return;
        }
        let Some(asker) = self.idle_asker() else { return };
        let admitted = askers.admits(&step.queue);
        if !admitted && !askers.may_postpone() {
            return;
        }
        fields.sort();
        let question = self.question(step, advice, fields);
        if gang && !question.is_empty() && !self.is_under_way(step) && !budget.take(step) {
            return;
        }
        if !question.is_empty() && admitted {
            askers.take(&step.queue);
            self.ask(asker, step.key, question, advice);
        } else if !question.is_empty() {
            askers.postpone(step.key, question, *advice);
        } else if let Some(tickets) = self.tickets.get_mut(&step.key) {
            tickets.postpone(now.after(POLICY_RECHECK_INTERVAL));
        }
    }

    /// Workers to ask about: those with room whose answer may let the step begin.
    ///
    /// Guards against a policy service that is kept busy in vain: on a grown site that is full, steps
    /// without room renewed their tickets all the time, 29 of 30 instances were always asking, and
    /// new jobs waited for their first answer beside room that came free.
    fn question(&self, step: &Waiting, advice: &PolicyTiming, fields: &Fields) -> Vec<WorkerId> {
        let Some(tickets) = self.tickets.get(&step.key) else { return Vec::new() };
        if step.model().gang {
            return self.gang_question(step, fields, tickets);
        }
        let wanted = step.pending.len() as f64;
        let (asked, eligible) = tickets.counts();
        let expected = advice.time_ms(eligible);
        let soon = self.now.after(Duration::from_millis(expected.max(0.0) as u64));
        let mut room = 0.0;
        let mut lapsing = Candidates::default();
        for (worker, until) in tickets.eligible() {
            let Some(at) = fields.find(worker) else { continue };
            let slots = self.reachable_slots(at, step, fields);
            room += slots;
            if until <= soon && slots > 0.0 {
                lapsing.add(fields.get(at), slots);
            }
        }
        if room - lapsing.slots >= wanted {
            return Vec::new();
        }
        if room < wanted && asked < self.workers.len() {
            let further = self.further(step, fields, (wanted - room) * MARGIN);
            if !further.is_empty() {
                return further;
            }
        }
        if room >= (wanted * WORTH_ASKING).min(WORTH_ASKING_TASKS) {
            return lapsing.choose(wanted * MARGIN);
        }
        Vec::new()
    }

    /// Workers to ask about for a gang: further ones until those known are good for several times
    /// its tasks, also beside a question under way, so that all tickets hold at the same time; then
    /// those known, once no ticket holds any more.
    ///
    /// Guards against a wide gang that is asked about bit by bit: a question takes as long as a
    /// ticket holds, so that it never had tickets for all its tasks at once.
    fn gang_question(&self, step: &Waiting, fields: &Fields, tickets: &Tickets) -> Vec<WorkerId> {
        // Those behind it have their turn first. Guards against a gang that never fits and has its
        // tickets renewed as long as it waits, while narrow ones find nobody to ask for them.
        if !tickets.has_pending_question()
            && tickets.expired_within(POLICY_RECHECK_INTERVAL, self.now)
        {
            return Vec::new();
        }
        let wanted = step.pending.len() as f64 * GANG_MARGIN;
        let prospects = |at: usize| self.reachable_slots(at, step, fields).max(1.0);
        let mut known = Candidates::default();
        for at in tickets.eligible().filter_map(|(worker, _)| fields.find(worker)) {
            known.add(fields.get(at), prospects(at));
        }
        let awaited = tickets.awaiting_answer().filter_map(|worker| fields.find(worker));
        let expected = known.slots + awaited.map(prospects).sum::<f64>() * self.share(step);
        if expected < wanted {
            let further = self.further(step, fields, (wanted - expected) * AMPLE);
            if !further.is_empty() {
                return further;
            }
        }
        if self.is_under_way(step) {
            return Vec::new();
        }
        known.choose(wanted)
    }

    /// Share of the workers that may be expected to be eligible for a step.
    fn share(&self, step: &Waiting) -> f64 {
        let share = self.shares.get(&step.queue.name).copied().unwrap_or(UNKNOWN_SHARE);
        share.max(LEAST_SHARE)
    }

    /// Workers that nobody has asked about for the step, those with the most room first, until
    /// enough of them may be expected to have room and to be eligible.
    fn further(&self, step: &Waiting, fields: &Fields, wanted: f64) -> Vec<WorkerId> {
        let Some(tickets) = self.tickets.get(&step.key) else { return Vec::new() };
        let model = step.model();
        let service = &step.queue.service;
        let wanted = if model.same_rack || model.data_rack.is_some() {
            f64::INFINITY
        } else {
            wanted / self.share(step)
        };
        let mut chosen = Choice::new(wanted);
        for at in fields.by_room() {
            if chosen.is_enough() {
                break;
            }
            let field = fields.get(at);
            if !tickets.is_unasked(&field.id) {
                continue;
            }
            let slots = self.reachable_slots(at, step, fields);
            // Room for a gang's tasks comes free on all its workers while they are kept for it.
            if model.gang && field.suits(service, model) {
                chosen.add(field, slots.max(1.0));
            } else if slots > 0.0 {
                chosen.add(field, slots);
            }
        }
        chosen.workers
    }

    /// An instance that can ask now.
    pub(super) fn idle_asker(&self) -> Option<SocketAddr> {
        self.askers.iter().find(|(_, asker)| asker.is_idle(self.now)).map(|(peer, _)| *peer)
    }

    /// Has `asker` ask about `workers`.
    pub(super) fn ask(
        &mut self,
        asker: SocketAddr,
        step: StepKey,
        workers: Vec<WorkerId>,
        advice: &PolicyTiming,
    ) {
        self.last_question += 1;
        let expected = advice.time_ms(workers.len());
        let question = Question {
            number: self.last_question,
            asker,
            step,
            workers,
            valid: Duration::from_millis(advice.valid_ms),
            sent: self.now,
            timeout: Duration::from_millis(expected.max(0.0) as u64) + POLICY_TIMEOUT_MARGIN,
        };
        self.tickets.entry(step).or_default().mark_asked(&question.workers);
        if let Some(asker) = self.askers.get_mut(&asker) {
            asker.question = Some(question.number);
        }
        log::info!(
            "event=advice.asked step={step} question={} asker={asker} workers={} valid_workers={}",
            question.number,
            question.workers.len(),
            self.tickets
                .get(&step)
                .map_or(0, |tickets| tickets.with_valid_ticket(self.now).count())
        );
        self.questions.insert(question.number, question.clone());
        self.effects.push(Effect::Advise(question));
    }

    pub(super) fn advised(&mut self, number: u64, allowed: Option<&Eligibility>) {
        let Some(question) = self.questions.remove(&number) else { return };
        if let Some(asker) = self.askers.get_mut(&question.asker)
            && asker.question == Some(number)
        {
            asker.note_outcome(allowed.is_some(), self.now);
        }
        if let Some(allowed) = allowed {
            let took_ms = self.now.since(question.sent).as_millis();
            let (step, allowed) = (question.step, allowed.workers.len());
            log::info!(
                "event=advice.answered step={step} question={number} allowed={allowed} took_ms={took_ms}"
            );
        } else {
            let (step, asker) = (question.step, question.asker);
            log::warn!("event=advice.failed step={step} asker={asker} question={number}");
        }
        if let Some(tickets) = self.tickets.get_mut(&question.step) {
            tickets.record_answer(&question.workers, allowed, question.valid, self.now);
            let tally = tickets.counts();
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
