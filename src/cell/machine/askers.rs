//! Which queue gets the time of the instances that ask the policy service.
//!
//! The pattern that this answers: a site that is nearly full, where the questions of one queue take a
//! second each and are asked anew whenever their tickets lapse. Dealt out in the order of rank alone,
//! they held 25 of 30 instances for half a minute, and the steps of a queue below, whose questions
//! take 0.14 s, were not asked about once while a third of the workers' room stood empty.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::Machine;
use super::field::Fields;
use super::rank::Hope;
use super::waiting::Waiting;
use crate::cell::job::StepKey;
use crate::cell::queue::{PolicyTiming, Queue};
use crate::cell::record::WorkerId;

/// Share of the instances that a queue is entitled to, as a part of that of the next higher priority.
/// Half: a queue below whose questions are short is served with little of the instances' time, and stands
/// still with less beside free room.
const NEXT_PRIORITY: f64 = 1.0 / 2.0;

/// Part of the processors that is free from which all queues are entitled to the same: with less, what
/// waits may wait for room. Of 40 small jobs beside gangs that find none, 12 of those on time and all
/// that were late had no question within 3 s without it (in the story of the standstill); now all have.
const MOSTLY_FREE: f64 = 0.5;

/// A question that has to wait until the other queues have had their share.
pub(super) struct Postponement {
    step: StepKey,
    workers: Vec<WorkerId>,
    advice: PolicyTiming,
}

/// How the instances that can ask are dealt out in one round of placement.
///
/// Queues with steps to ask about are entitled to shares of the instances, each priority to twice as
/// much as the next one below. What a queue does not use goes to the others, in the order of rank,
/// within the same round.
///
/// While most of the room is free, all queues are entitled to the same, also for jobs that come too
/// late. Guards against tasks that stand still beside free workers at the end of a busy day: what
/// waits then waits for a question alone, and gangs that find no room asked theirs again and again.
pub(super) struct Askers {
    queues: Vec<Share>,
    /// Whether most of the room is free.
    mostly_free: bool,
    /// Instances that have nothing to ask.
    idle: usize,
    /// Questions that wait for what the others leave.
    postponed: Vec<Postponement>,
}

/// What one queue has and needs.
struct Share {
    queue: Rc<Queue>,
    /// Instances that it is entitled to.
    fair: usize,
    /// Instances that ask for it.
    held: usize,
    /// Steps that may have something to ask and have not had their turn in this round.
    wanting: usize,
}

impl Askers {
    /// Whether one more question may be postponed: never more than instances could ask.
    pub(super) const fn may_postpone(&self) -> bool {
        self.idle > self.postponed.len()
    }

    /// Whether a step that can still be on time goes before all that come too late.
    pub(super) const fn prefers_on_time(&self) -> bool {
        !self.mostly_free
    }

    /// Notes that a step has its turn now.
    pub(super) fn turn(&mut self, queue: &Queue) {
        if let Some(share) = self.share(queue) {
            share.wanting = share.wanting.saturating_sub(1);
        }
    }

    /// Whether a step of `queue` may ask before the others have had their turn: within its queue's
    /// share, or where enough instances are left for the shares of the others.
    pub(super) fn admits(&self, queue: &Queue) -> bool {
        let own = self.queues.iter().find(|share| share.queue.name == queue.name);
        let others = self.queues.iter().filter(|share| share.queue.name != queue.name);
        let owed: usize = others.map(Share::owed).sum();
        own.is_none_or(|share| share.held < share.fair) || self.idle > owed
    }

    /// Notes that an instance asks for `queue` now.
    pub(super) fn take(&mut self, queue: &Queue) {
        self.idle = self.idle.saturating_sub(1);
        if let Some(share) = self.share(queue) {
            share.held += 1;
        }
    }

    /// Keeps a question until the others have had their turn.
    pub(super) fn postpone(&mut self, step: StepKey, workers: Vec<WorkerId>, advice: PolicyTiming) {
        self.postponed.push(Postponement { step, workers, advice });
    }

    fn share(&mut self, queue: &Queue) -> Option<&mut Share> {
        self.queues.iter_mut().find(|share| share.queue.name == queue.name)
    }
}

impl Share {
    const fn new(queue: Rc<Queue>) -> Self {
        Self { queue, fair: 0, held: 0, wanting: 0 }
    }

    /// Instances that it may still claim in this round.
    fn owed(&self) -> usize {
        self.wanting.min(self.fair.saturating_sub(self.held))
    }
}

impl Machine {
    /// How the instances are dealt out among the queues of `waiting`.
    pub(super) fn askers(&self, waiting: &[Waiting], fields: &Fields) -> Askers {
        let mostly_free = fields.free_share() > MOSTLY_FREE;
        let mut queues: Vec<Share> = Vec::new();
        let hopeful = |step: &&Waiting| mostly_free || step.rank.hope == Hope::OnTime;
        for step in waiting.iter().filter(hopeful).filter(|step| self.may_ask(step)) {
            share_of(&mut queues, &step.queue).wanting += 1;
        }
        for question in self.questions.values() {
            let entry = self.state.jobs.get(&question.step.job);
            if let Some(queue) = entry.and_then(|entry| self.table.queue(&entry.job.queue)) {
                share_of(&mut queues, queue).held += 1;
            }
        }
        let fresh = self.askers.values().filter(|asker| asker.is_fresh(self.now)).count();
        deal(&mut queues, fresh, if mostly_free { 1.0 } else { NEXT_PRIORITY });
        let idle = self.askers.values().filter(|asker| asker.is_idle(self.now)).count();
        Askers { queues, mostly_free, idle, postponed: Vec::new() }
    }

    /// Whether a step may have something to ask.
    fn may_ask(&self, step: &Waiting) -> bool {
        let tickets = self.tickets.get(&step.key);
        step.queue.policy.is_some()
            && tickets
                .is_none_or(|tickets| !tickets.has_pending_question() && tickets.may_ask(self.now))
    }

    /// Asks the questions that were postponed, as far as instances are left.
    pub(super) fn ask_postponed(&mut self, askers: &mut Askers) {
        for question in std::mem::take(&mut askers.postponed) {
            let Some(asker) = self.idle_asker() else { return };
            self.ask(asker, question.step, question.workers, &question.advice);
            askers.idle = askers.idle.saturating_sub(1);
        }
    }
}

fn share_of<'a>(queues: &'a mut Vec<Share>, queue: &Rc<Queue>) -> &'a mut Share {
    let at = queues.iter().position(|share| share.queue.name == queue.name);
    let at = at.unwrap_or_else(|| {
        queues.push(Share::new(queue.clone()));
        queues.len() - 1
    });
    &mut queues[at]
}

/// Deals `count` instances out; each priority gets `next` times as much as the one above.
fn deal(queues: &mut [Share], count: usize, next: f64) {
    let levels: BTreeSet<u32> = queues.iter().map(|share| share.queue.priority).collect();
    let weight = |share: &Share| {
        let above = levels.range(..share.queue.priority).count();
        next.powi(i32::try_from(above).unwrap_or(i32::MAX))
    };
    let all: f64 = queues.iter().map(weight).sum();
    for share in queues.iter_mut() {
        share.fair = (count as f64 * weight(share) / all) as usize;
    }
}
