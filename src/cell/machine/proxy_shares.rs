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
use crate::cell::queue::{Advice, Queue};
use crate::cell::record::WorkerId;

/// Share of the instances that a queue is entitled to, as a part of that of the next higher priority.
/// Half: a queue below whose questions are short is served with little of the instances' time, and stands
/// still with less beside free room.
const SHARE_OF_NEXT_PRIORITY: f64 = 1.0 / 2.0;

/// Part of the processors that is free from which all queues are entitled to the same: with less, what
/// waits may wait for room. Of 40 small jobs beside gangs that find none, 12 of those on time and all
/// that were late had no question within 3 s without it (in the story of the standstill); now all have.
const MOSTLY_FREE: f64 = 0.5;

/// A question that has to wait until the other queues have had their share.
pub(super) struct DeferredQuery {
    step: StepKey,
    workers: Vec<WorkerId>,
    advice: Advice,
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
pub(super) struct ProxyShares {
    queues: Vec<Share>,
    /// Whether most of the room is free.
    mostly_free: bool,
    /// Instances that have nothing to ask.
    idle: usize,
    /// Questions that wait for what the others leave.
    deferred: Vec<DeferredQuery>,
}

/// What one queue has and needs.
struct Share {
    queue: Rc<Queue>,
    /// Instances that it is entitled to.
    entitled: usize,
    /// Instances that ask for it.
    used: usize,
    /// Steps that may have something to ask and have not had their turn in this round.
    unserved_steps: usize,
}

impl ProxyShares {
    /// Whether one more question may be postponed: never more than instances could ask.
    pub(super) const fn may_defer(&self) -> bool {
        self.idle > self.deferred.len()
    }

    /// Whether a step that can still be on time goes before all that come too late.
    pub(super) const fn on_time_first(&self) -> bool {
        !self.mostly_free
    }

    /// Notes that a step has its turn now.
    pub(super) fn note_turn(&mut self, queue: &Queue) {
        if let Some(share) = self.share(queue) {
            share.unserved_steps = share.unserved_steps.saturating_sub(1);
        }
    }

    /// Whether a step of `queue` may ask before the others have had their turn: within its queue's
    /// share, or where enough instances are left for the shares of the others.
    pub(super) fn admits(&self, queue: &Queue) -> bool {
        let own = self.queues.iter().find(|share| share.queue.name == queue.name);
        let others = self.queues.iter().filter(|share| share.queue.name != queue.name);
        let unclaimed: usize = others.map(Share::unclaimed).sum();
        own.is_none_or(|share| share.used < share.entitled) || self.idle > unclaimed
    }

    /// Notes that an instance asks for `queue` now.
    pub(super) fn take(&mut self, queue: &Queue) {
        self.idle = self.idle.saturating_sub(1);
        if let Some(share) = self.share(queue) {
            share.used += 1;
        }
    }

    /// Keeps a question until the others have had their turn.
    pub(super) fn defer_query(&mut self, step: StepKey, workers: Vec<WorkerId>, advice: Advice) {
        self.deferred.push(DeferredQuery { step, workers, advice });
    }

    fn share(&mut self, queue: &Queue) -> Option<&mut Share> {
        self.queues.iter_mut().find(|share| share.queue.name == queue.name)
    }
}

impl Share {
    const fn new(queue: Rc<Queue>) -> Self {
        Self { queue, entitled: 0, used: 0, unserved_steps: 0 }
    }

    /// Instances that it may still claim in this round.
    fn unclaimed(&self) -> usize {
        self.unserved_steps.min(self.entitled.saturating_sub(self.used))
    }
}

impl Machine {
    /// How the instances are dealt out among the queues of `waiting`.
    pub(super) fn proxy_shares(&self, waiting: &[Waiting], fields: &Fields) -> ProxyShares {
        let mostly_free = fields.free_share() > MOSTLY_FREE;
        let mut queues: Vec<Share> = Vec::new();
        let hopeful = |step: &&Waiting| mostly_free || step.rank.hope == Hope::OnTime;
        for step in waiting.iter().filter(hopeful).filter(|step| self.may_query(step)) {
            share_of(&mut queues, &step.queue).unserved_steps += 1;
        }
        for query in self.queries.values() {
            let entry = self.state.jobs.get(&query.step.job);
            if let Some(queue) = entry.and_then(|entry| self.table.queue(&entry.job.queue)) {
                share_of(&mut queues, queue).used += 1;
            }
        }
        let fresh = self.proxies.values().filter(|proxy| proxy.is_fresh(self.now)).count();
        allot(&mut queues, fresh, if mostly_free { 1.0 } else { SHARE_OF_NEXT_PRIORITY });
        let idle = self.proxies.values().filter(|proxy| proxy.is_idle(self.now)).count();
        ProxyShares { queues, mostly_free, idle, deferred: Vec::new() }
    }

    /// Whether a step may have something to ask.
    fn may_query(&self, step: &Waiting) -> bool {
        let tickets = self.tickets.get(&step.key);
        step.queue.advice.is_some()
            && tickets.is_none_or(|tickets| !tickets.is_asking() && tickets.is_due(self.now))
    }

    /// Asks the questions that were postponed, as far as instances are left.
    pub(super) fn send_deferred(&mut self, shares: &mut ProxyShares) {
        for query in std::mem::take(&mut shares.deferred) {
            let Some(proxy) = self.idle_proxy() else { return };
            self.ask(proxy, query.step, query.workers, &query.advice);
            shares.idle = shares.idle.saturating_sub(1);
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
fn allot(queues: &mut [Share], count: usize, next: f64) {
    let levels: BTreeSet<u32> = queues.iter().map(|share| share.queue.priority).collect();
    let weight = |share: &Share| {
        let above = levels.range(..share.queue.priority).count();
        next.powi(i32::try_from(above).unwrap_or(i32::MAX))
    };
    let all: f64 = queues.iter().map(weight).sum();
    for share in queues.iter_mut() {
        share.entitled = (count as f64 * weight(share) / all) as usize;
    }
}
