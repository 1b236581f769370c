//! Queries about steps that rules have passed over for as long as they may.

use std::time::Duration;

use super::Machine;
use super::deferral::Rule;
use super::pending::PendingStep;
use super::proxy_shares::ProxyShares;
use super::reservation::GangBudget;
use super::view::WorkerViews;
use crate::clock::Instant;

/// Maximum number of overdue steps that are examined first in one round.
const MAX_EXAMINED: usize = 32;

impl Machine {
    /// Queries about steps of which nothing runs and that have been passed over for longest, before
    /// all others and for a bounded share of the instances' time.
    pub(super) fn query_overdue(
        &mut self,
        waiting: &[PendingStep],
        views: &mut WorkerViews,
        shares: &mut ProxyShares,
        budget: &mut GangBudget,
    ) {
        if !self.deferrals.has_turn(self.now) || self.idle_proxy().is_none() {
            return;
        }
        let overdue = waiting.iter().filter(|step| step.stalled && self.may_query(step));
        let overdue = overdue.filter_map(|step| {
            let due = step.overdue.query_due()?;
            Some((self.deferrals.place_in_line(step.key, due), step))
        });
        let mut overdue: Vec<(Instant, &PendingStep)> = overdue.collect();
        overdue.sort_by_key(|(due, step)| (*due, step.key));
        for (_, step) in overdue.into_iter().take(MAX_EXAMINED) {
            let Some(step) = self.startable_part(step) else { continue };
            let Some(timing) = step.queue.policy else { continue };
            if !self.waives_query_rules(&step, views) {
                continue;
            }
            self.deferrals.note_examined(step.key, self.now);
            let sent = self.last_query;
            self.query_policy(&step, &timing, views, shares, budget, true);
            let query = self.queries.get(&self.last_query).filter(|query| query.number > sent);
            if let Some(query) = query {
                let took = timing.time_ms(query.workers.len()).max(0.0) as u64;
                let took = Duration::from_millis(took);
                let mostly_free = shares.mostly_free();
                self.deferrals.take_turn(took, shares.fresh(), mostly_free, self.now);
                return;
            }
        }
    }

    /// Lets reservations apply again to overdue steps that have no permission to use reserved workers.
    pub(super) fn limit_overrides(&mut self, waiting: &mut [PendingStep], views: &WorkerViews) {
        let mostly_free = views.is_mostly_free();
        for step in waiting.iter_mut().filter(|step| step.overdue.contains(Rule::Reservation)) {
            let permitted =
                step.stalled && self.deferrals.may_override(step.key, mostly_free, self.now);
            if !permitted {
                step.overdue.remove(Rule::Reservation);
            }
        }
    }

    /// Whether the rules about queries no longer apply to a step. For a gang they apply again if it
    /// would find no room now.
    pub(super) fn waives_query_rules(&mut self, step: &PendingStep, views: &WorkerViews) -> bool {
        if step.overdue.query_due().is_none() || !self.may_query(step) {
            return false;
        }
        let waived = !step.spec().gang || self.gang_fits(step, views);
        if !waived {
            self.deferrals.restart_queries(step.key, self.now);
        }
        waived
    }

    /// Whether a gang would find room now, unless the policy service refuses workers that it has not
    /// answered about.
    fn gang_fits(&self, step: &PendingStep, views: &WorkerViews) -> bool {
        let wanted = step.pending.len() as f64;
        let mut room = 0.0;
        for at in views.open() {
            if self.is_refused(step, &views.get(at).id) {
                continue;
            }
            room += self.slots_with_preemption(at, step, views);
            if room >= wanted {
                return true;
            }
        }
        false
    }
}
