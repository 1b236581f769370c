//! Logs once a second which steps wait for placement and why.

use std::cmp::Reverse;
use std::time::Duration;

use super::Machine;
use super::blocker::{Blocker, GangReadiness};
use super::pending::PendingStep;
use super::rank::Timeliness;
use super::view::WorkerViews;
use crate::clock::Instant;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of gangs with a log line of their own. The widest are logged, since they need the most
/// capacity at once.
const MAX_DETAILED_GANGS: usize = 4;

/// When the next log lines are due, and what they count.
#[derive(Debug)]
pub(super) struct BacklogLog {
    next: Instant,
    /// When the next lines about customers at their caps are due.
    next_capped: Instant,
    /// When the next lines about steps that are passed over are due.
    next_passed_over: Instant,
    /// Placement rounds since the last line.
    rounds: u32,
}

impl BacklogLog {
    pub(super) const fn new(now: Instant) -> Self {
        Self { next: now, next_capped: now, next_passed_over: now, rounds: 0 }
    }

    /// Whether lines about customers at their caps are due; the next ones then wait.
    pub(super) fn take_capped_turn(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_capped;
        if is_due {
            self.next_capped = now.after(LOG_INTERVAL);
        }
        is_due
    }

    /// The same for lines about steps that are passed over.
    pub(super) fn take_passed_over_turn(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_passed_over;
        if is_due {
            self.next_passed_over = now.after(LOG_INTERVAL);
        }
        is_due
    }
}

impl Machine {
    /// Logs how many steps wait, how many of them the policy service has not been queried about,
    /// how many instances could send queries, and how much CPU is free. This shows whether steps
    /// wait although workers are free.
    pub(super) fn log_backlog(
        &mut self,
        waiting: &[PendingStep],
        views: &WorkerViews,
        full_scan: bool,
    ) {
        self.backlog.rounds += 1;
        if !full_scan || self.now < self.backlog.next {
            return;
        }
        self.backlog.next = self.now.after(LOG_INTERVAL);
        let rounds = std::mem::take(&mut self.backlog.rounds);
        let classes =
            [Timeliness::OnTime, Timeliness::Late, Timeliness::Excess, Timeliness::Worthless];
        let [on_time, late, excess, worthless] = classes.map(|timeliness| {
            waiting.iter().filter(|step| step.rank.timeliness == timeliness).count()
        });
        let gangs = waiting.iter().filter(|step| step.spec().gang).count();
        let unqueried = waiting.iter().filter(|step| self.is_unqueried(step)).count();
        let fresh = self.proxies.values().filter(|proxy| proxy.is_fresh(self.now)).count();
        let idle = self.proxies.values().filter(|proxy| proxy.is_idle(self.now)).count();
        let (free, cores) = (views.free_cpu_millis() / 1_000, views.cpu_millis() / 1_000);
        log::info!(
            "event=steps.waiting on_time={on_time} late={late} excess={excess} worthless={worthless} \
             gangs={gangs} unasked={unqueried} askers={fresh} idle_askers={idle} free_cores={free} cores={cores} \
             workers={} rounds={rounds}",
            views.count()
        );
        self.log_gangs(waiting, views, Timeliness::OnTime);
        self.log_gangs(waiting, views, Timeliness::Late);
    }

    /// Logs how many gangs of one timeliness class wait for what and how wide they are, with
    /// details of the widest. This distinguishes gangs that wait for capacity from those whose
    /// tickets expired while capacity was free.
    fn log_gangs(&self, waiting: &[PendingStep], views: &WorkerViews, timeliness: Timeliness) {
        let gangs =
            waiting.iter().filter(|step| step.spec().gang && step.rank.timeliness == timeliness);
        let mut gangs: Vec<(&PendingStep, GangReadiness)> =
            gangs.map(|step| (step, self.readiness(step, views))).collect();
        if gangs.is_empty() {
            return;
        }
        let blockers = [
            Blocker::PolicyAnswer,
            Blocker::EligibleWorkers,
            Blocker::FreeCapacity,
            Blocker::Tickets,
            Blocker::Nothing,
        ];
        let counts = blockers.map(|blocker| {
            let tasks = gangs.iter().filter(|(_, gang)| gang.blocker == blocker);
            let tasks: Vec<usize> = tasks.map(|(_, gang)| gang.tasks).collect();
            let mean = tasks.iter().sum::<usize>() / tasks.len().max(1);
            format!("lacks_{blocker}={} tasks_{blocker}={mean}", tasks.len())
        });
        log::info!(
            "event=gangs.waiting hope={timeliness:?} gangs={} {}",
            gangs.len(),
            counts.join(" ")
        );
        gangs.sort_by_key(|(_, gang)| Reverse(gang.tasks));
        for (step, gang) in gangs.iter().take(MAX_DETAILED_GANGS) {
            log::info!(
                "event=gang.waiting step={} hope={timeliness:?} tasks={} eligible={} fits={} \
                 fits_ticketed={} lacks={}",
                step.key,
                gang.tasks,
                gang.eligible,
                gang.fits,
                gang.ticketed,
                gang.blocker
            );
        }
    }

    /// Whether the step needs a decision of the policy service and no query about it has been sent.
    pub(super) fn is_unqueried(&self, step: &PendingStep) -> bool {
        let tickets = self.tickets.get(&step.key);
        step.queue.policy.is_some()
            && tickets.is_none_or(|tickets| tickets.counts().0 == 0 && !tickets.has_pending_query())
    }
}
