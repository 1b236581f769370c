//! Shares out the instances that can query the policy service among the queues.
//!
//! Guards against starvation on a site that is nearly full, where the queries of one queue take a
//! second each and are repeated whenever their tickets expire. When instances were assigned by rank
//! alone, that queue occupied 25 of 30 instances for half a minute, and the steps of a lower queue,
//! whose queries take 0.14 s, were not queried once although a third of the workers' capacity was
//! free.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::Machine;
use super::deferral::Rule;
use super::pending::PendingStep;
use super::policy_query::MAX_CONCURRENT_QUERIES;
use super::rank::Timeliness;
use super::view::WorkerViews;
use crate::cell::job::StepKey;
use crate::cell::queue::{PolicyTiming, Queue};
use crate::cell::record::WorkerId;

/// Share of instances of a queue relative to the next higher priority. With half, a lower queue
/// with short queries is served with little of the instances' time; with less, it starves although
/// capacity is free.
const SHARE_OF_NEXT_PRIORITY: f64 = 1.0 / 2.0;

/// Share of free CPU above which all queues are entitled to equal shares; below it, waiting steps
/// may be waiting for capacity. Without equal shares, of 40 small jobs that waited beside gangs
/// without capacity, 12 that could be on time and all late ones had no query within 3 s (in the
/// test `starvation`); with them, all have one.
const MOSTLY_FREE: f64 = 0.5;

/// A query that waits until the other queues have had their share.
pub(super) struct DeferredQuery {
    step: StepKey,
    workers: Vec<WorkerId>,
    timing: PolicyTiming,
}

/// How the instances that can query are shared among queues in one placement round.
///
/// Queues with steps to query are entitled to shares of the instances, each priority to twice as
/// many as the next lower one. Instances that a queue does not use go to the others, by rank, in
/// the same round.
///
/// While most CPU is free, all queues have equal shares, and late jobs count as well. Guards
/// against tasks that wait although workers are free at the end of a busy day: they wait only for a
/// query, while gangs that find no capacity repeat theirs.
pub(super) struct ProxyShares {
    queues: Vec<QueueShare>,
    /// Whether most CPU is free.
    mostly_free: bool,
    /// Instances that can send queries.
    fresh: usize,
    /// Those without a query in flight.
    idle: usize,
    /// Queries that wait for instances that other queues leave.
    deferred: Vec<DeferredQuery>,
}

/// Instances that one queue is entitled to, and those that it uses.
struct QueueShare {
    queue: Rc<Queue>,
    /// Instances that it is entitled to.
    entitled: usize,
    /// Instances that send queries for it.
    used: usize,
    /// Steps that may need a query and have not had their turn in this round.
    unserved_steps: usize,
}

impl ProxyShares {
    /// Whether another query may be deferred: never more than there are idle instances.
    pub(super) const fn may_defer(&self) -> bool {
        self.idle > self.deferred.len()
    }

    /// Whether steps that can still be on time go before all late ones.
    pub(super) const fn on_time_first(&self) -> bool {
        !self.mostly_free
    }

    /// Whether instances are left that new jobs do not need soon: most of the CPU is free, or most
    /// instances are idle.
    pub(super) const fn has_spare(&self) -> bool {
        self.mostly_free || self.idle * 2 > self.fresh
    }

    /// Number of instances that can send queries.
    pub(super) const fn fresh(&self) -> usize {
        self.fresh
    }

    /// Notes that a step has its turn.
    pub(super) fn note_turn(&mut self, queue: &Queue) {
        if let Some(share) = self.share(queue) {
            share.unserved_steps = share.unserved_steps.saturating_sub(1);
        }
    }

    /// Whether a step of `queue` may query before the others have had their turn: its queue has not
    /// used its share, or enough instances are left for the shares of the others.
    pub(super) fn admits(&self, queue: &Queue) -> bool {
        let own = self.queues.iter().find(|share| share.queue.name == queue.name);
        let others = self.queues.iter().filter(|share| share.queue.name != queue.name);
        let unclaimed: usize = others.map(QueueShare::unclaimed).sum();
        own.is_none_or(|share| share.used < share.entitled) || self.idle > unclaimed
    }

    /// Notes that an instance sends a query for `queue`.
    pub(super) fn take(&mut self, queue: &Queue) {
        self.idle = self.idle.saturating_sub(1);
        if let Some(share) = self.share(queue) {
            share.used += 1;
        }
    }

    /// Keeps a query until the others have had their turn.
    pub(super) fn defer_query(
        &mut self,
        step: StepKey,
        workers: Vec<WorkerId>,
        timing: PolicyTiming,
    ) {
        self.deferred.push(DeferredQuery { step, workers, timing });
    }

    fn share(&mut self, queue: &Queue) -> Option<&mut QueueShare> {
        self.queues.iter_mut().find(|share| share.queue.name == queue.name)
    }
}

impl QueueShare {
    const fn new(queue: Rc<Queue>) -> Self {
        Self { queue, entitled: 0, used: 0, unserved_steps: 0 }
    }

    /// Instances that it may still claim in this round.
    fn unclaimed(&self) -> usize {
        self.unserved_steps.min(self.entitled.saturating_sub(self.used))
    }
}

impl Machine {
    /// Shares the instances among the queues of the `waiting` steps.
    pub(super) fn proxy_shares(&self, waiting: &[PendingStep], views: &WorkerViews) -> ProxyShares {
        let mostly_free = views.free_share() > MOSTLY_FREE;
        let mut queues: Vec<QueueShare> = Vec::new();
        let counted =
            |step: &&PendingStep| mostly_free || step.rank.timeliness == Timeliness::OnTime;
        for step in waiting.iter().filter(counted).filter(|step| self.may_query(step)) {
            share_of(&mut queues, &step.queue).unserved_steps += 1;
        }
        for query in self.queries.values() {
            let entry = self.state.jobs.get(&query.step.job);
            if let Some(queue) = entry.and_then(|entry| self.config.queue(&entry.job.queue)) {
                share_of(&mut queues, queue).used += 1;
            }
        }
        let fresh = self.proxies.values().filter(|proxy| proxy.is_fresh(self.now)).count();
        let fresh = fresh.min(MAX_CONCURRENT_QUERIES);
        allot(&mut queues, fresh, if mostly_free { 1.0 } else { SHARE_OF_NEXT_PRIORITY });
        let idle = self.proxies.values().filter(|proxy| proxy.is_idle(self.now)).count();
        let idle = idle.min(self.spare_queries());
        ProxyShares { queues, mostly_free, fresh, idle, deferred: Vec::new() }
    }

    /// Whether a step may need a query.
    pub(super) fn may_query(&self, step: &PendingStep) -> bool {
        let tickets = self.tickets.get(&step.key);
        step.queue.policy.is_some()
            && tickets
                .is_none_or(|tickets| !tickets.has_pending_query() && tickets.may_query(self.now))
    }

    /// Sends the deferred queries, as far as instances are idle.
    pub(super) fn send_deferred(&mut self, shares: &mut ProxyShares) {
        for query in std::mem::take(&mut shares.deferred) {
            let Some(proxy) = self.idle_proxy() else {
                self.deferrals.note(query.step, Rule::NoInstance, None, 1.0, self.now);
                continue;
            };
            self.send_query(proxy, query.step, query.workers, &query.timing);
            shares.idle = shares.idle.saturating_sub(1);
        }
    }
}

fn share_of<'a>(queues: &'a mut Vec<QueueShare>, queue: &Rc<Queue>) -> &'a mut QueueShare {
    let at = queues.iter().position(|share| share.queue.name == queue.name);
    let at = at.unwrap_or_else(|| {
        queues.push(QueueShare::new(queue.clone()));
        queues.len() - 1
    });
    &mut queues[at]
}

/// Assigns shares of `count` instances; each priority gets `next` times as many as the one above.
fn allot(queues: &mut [QueueShare], count: usize, next: f64) {
    let levels: BTreeSet<u32> = queues.iter().map(|share| share.queue.priority).collect();
    let weight = |share: &QueueShare| {
        let above = levels.range(..share.queue.priority).count();
        next.powi(i32::try_from(above).unwrap_or(i32::MAX))
    };
    let all: f64 = queues.iter().map(weight).sum();
    for share in queues.iter_mut() {
        share.entitled = (count as f64 * weight(share) / all) as usize;
    }
}
