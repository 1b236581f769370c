//! Queries to the policy service, which decides which workers may run a step.
//!
//! The service answers each instance one query at a time, so the owner sends queries through all
//! instances.

use std::net::SocketAddr;
use std::time::Duration;

use super::deferral::Rule;
use super::pending::PendingStep;
use super::proxy_shares::ProxyShares;
use super::query_workers::Choice;
use super::reservation::GangBudget;
use super::view::WorkerViews;
use super::{Effect, Machine};
use crate::cell::dependencies::Eligibility;
use crate::cell::job::StepKey;
use crate::cell::queue::PolicyTiming;
use crate::cell::record::WorkerId;
use crate::cell::timings::{POLICY_RECHECK_INTERVAL, POLICY_TIMEOUT_MARGIN};
use crate::clock::Instant;

/// Maximum number of queries in flight: one for each instance of a site of 300.
///
/// Guards against an owner of a thousand instances whose thread is taken by queries: while many
/// steps waited, it sent more than a thousand a second.
pub(super) const MAX_CONCURRENT_QUERIES: usize = 300;

/// A query to the policy service about one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyQuery {
    /// Its number.
    pub number: u64,
    /// Instance that sends it.
    pub proxy: SocketAddr,
    /// The step.
    pub step: StepKey,
    /// Workers that the query is about.
    pub workers: Vec<WorkerId>,
    /// How long tickets are valid unless the answer states another time.
    pub ticket_lifetime: Duration,
    /// When it was sent.
    pub sent: Instant,
    /// Time after which the query counts as failed.
    pub timeout: Duration,
}

impl Machine {
    /// Sends the query that the step still needs before it can be placed, if there is one. With
    /// `waived`, the rules that pass over queries do not apply.
    pub(super) fn query_policy(
        &mut self,
        step: &PendingStep,
        timing: &PolicyTiming,
        views: &mut WorkerViews,
        shares: &mut ProxyShares,
        budget: &mut GangBudget,
        waived: bool,
    ) {
        let now = self.now;
        let gang = step.spec().gang;
        let tickets = self.tickets.entry(step.key).or_default();
        if tickets.has_pending_query() && !gang || !tickets.may_query(now) {
            return;
        }
        shares.note_turn(&step.queue);
        let budgeted = gang && !self.has_query_or_tickets(step);
        if budgeted && !waived && budget.is_exhausted(step) {
            self.note_deferral(step, Rule::GangBudget, None, step.pending.len() as f64);
            return;
        }
        let Some(proxy) = self.idle_proxy() else {
            self.note_no_instance(step);
            return;
        };
        let admitted = waived || shares.admits(&step.queue);
        if !admitted && !shares.may_defer() {
            self.note_no_instance(step);
            return;
        }
        views.sort();
        let workers = match self.query_workers(step, timing, views, waived) {
            Choice::Workers(workers) => workers,
            Choice::Nothing => return self.postpone_query(step.key),
            Choice::PassedOver { rule, room, wanted } => {
                self.note_deferral(step, rule, room, wanted);
                return self.postpone_query(step.key);
            }
        };
        if budgeted && !waived && !budget.try_take(step) {
            self.note_deferral(step, Rule::GangBudget, None, step.pending.len() as f64);
            return;
        }
        if admitted {
            shares.take(&step.queue);
            self.send_query(proxy, step.key, workers, timing);
        } else {
            shares.defer_query(step.key, workers, *timing);
        }
    }

    /// Considers no query about the step for a while.
    fn postpone_query(&mut self, step: StepKey) {
        let until = self.now.after(POLICY_RECHECK_INTERVAL);
        if let Some(tickets) = self.tickets.get_mut(&step) {
            tickets.postpone(until);
        }
    }

    /// Notes that no instance is left to query about a step, if it has no valid ticket.
    fn note_no_instance(&mut self, step: &PendingStep) {
        if !self.has_query_or_tickets(step) {
            self.note_deferral(step, Rule::NoInstance, None, 1.0);
        }
    }

    /// Number of queries that may be sent in addition to those in flight.
    pub(super) fn spare_queries(&self) -> usize {
        MAX_CONCURRENT_QUERIES.saturating_sub(self.queries.len())
    }

    /// Returns an instance that can send a query now.
    pub(super) fn idle_proxy(&self) -> Option<SocketAddr> {
        if self.spare_queries() == 0 {
            return None;
        }
        self.proxies.iter().find(|(_, proxy)| proxy.is_idle(self.now)).map(|(peer, _)| *peer)
    }

    /// Sends a query about `workers` through the instance `proxy`.
    pub(super) fn send_query(
        &mut self,
        proxy: SocketAddr,
        step: StepKey,
        workers: Vec<WorkerId>,
        timing: &PolicyTiming,
    ) {
        self.last_query += 1;
        let expected = timing.time_ms(workers.len());
        let query = PolicyQuery {
            number: self.last_query,
            proxy,
            step,
            workers,
            ticket_lifetime: Duration::from_millis(timing.valid_ms),
            sent: self.now,
            timeout: Duration::from_millis(expected.max(0.0) as u64) + POLICY_TIMEOUT_MARGIN,
        };
        self.tickets.entry(step).or_default().mark_queried(&query.workers);
        if let Some(proxy) = self.proxies.get_mut(&proxy) {
            proxy.query = Some(query.number);
        }
        log::info!(
            "event=advice.asked step={step} question={} asker={proxy} workers={} valid_workers={}",
            query.number,
            query.workers.len(),
            self.tickets
                .get(&step)
                .map_or(0, |tickets| tickets.with_valid_ticket(self.now).count())
        );
        self.queries.insert(query.number, query.clone());
        self.effects.push(Effect::QueryPolicy(query));
    }

    pub(super) fn policy_answered(&mut self, number: u64, eligibility: Option<&Eligibility>) {
        let Some(query) = self.queries.remove(&number) else { return };
        if let Some(proxy) = self.proxies.get_mut(&query.proxy)
            && proxy.query == Some(number)
        {
            proxy.note_outcome(eligibility.is_some(), self.now);
        }
        if let Some(eligibility) = eligibility {
            let took_ms = self.now.since(query.sent).as_millis();
            let (step, allowed) = (query.step, eligibility.workers.len());
            log::info!(
                "event=advice.answered step={step} question={number} allowed={allowed} took_ms={took_ms}"
            );
        } else {
            let (step, proxy) = (query.step, query.proxy);
            log::warn!("event=advice.failed step={step} asker={proxy} question={number}");
        }
        if eligibility.is_some_and(|eligibility| !eligibility.workers.is_empty()) {
            self.deferrals.restart_queries(query.step, self.now);
        }
        if let Some(tickets) = self.tickets.get_mut(&query.step) {
            tickets.record_answer(&query.workers, eligibility, query.ticket_lifetime, self.now);
            let tally = tickets.counts();
            self.update_eligible_share(&query.step, tally);
        }
        self.needs_placement = true;
    }

    /// Updates the mean share of workers that may run a queue's steps, from which the size of the
    /// next query is computed.
    fn update_eligible_share(&mut self, step: &StepKey, (queried, eligible): (usize, usize)) {
        /// Weight of one answer in the mean.
        const WEIGHT: f64 = 0.1;
        let Some(entry) = self.state.jobs.get(&step.job) else { return };
        let found = eligible as f64 / queried.max(1) as f64;
        let mean = self.eligible_shares.entry(entry.job.queue.clone()).or_insert(found);
        *mean += (found - *mean) * WEIGHT;
    }
}
