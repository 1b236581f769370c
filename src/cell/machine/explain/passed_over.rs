//! Which rules pass over a step, and whether that is what the step waits for.

use std::cmp::Reverse;
use std::time::Duration;

use super::super::Machine;
use super::super::caps::CapDecision;
use super::super::deferral::{self, Rule};
use super::reason::Reason;
use crate::cell::explain::{Deferral, PolicyState};
use crate::cell::job::StepKey;
use crate::clock::millis;

/// Longest time between two notes of a rule that goes on passing over a step: each round notes it
/// that considers the step, at least every 350 ms unless the owner is overloaded.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

/// State of a step that tells which rules it can be waiting for. Guards against reports that name a
/// rule whose last note is a few seconds old although the step waits for something else by now.
pub(super) struct Situation<'a> {
    /// The reason that applies if no rule passes over the step.
    pub(super) reason: Reason,
    /// Whether the cap of its customer lets it be considered.
    pub(super) decision: CapDecision,
    /// State of the policy queries about it.
    pub(super) policy: Option<&'a PolicyState>,
}

impl Situation<'_> {
    /// Whether a step in this situation waits for `rule`, if the rule passes over it.
    fn is_due_to(&self, rule: Rule) -> bool {
        let is_queried = self.policy.is_some_and(|policy| !policy.queries.is_empty());
        match rule {
            Rule::QueryNotWorthwhile => {
                !is_queried && (self.reason == Reason::Tickets || self.lacks_capacity())
            }
            Rule::ExpectedRoom => !is_queried && self.lacks_capacity(),
            Rule::NoInstance | Rule::GangBudget => {
                let wants_query = [Reason::PolicyQuery, Reason::EligibleWorkers, Reason::Tickets];
                !is_queried && wants_query.contains(&self.reason)
            }
            // Reserved workers count as full for queries, so that tickets are not renewed either.
            Rule::Reservation => {
                let is_unqueried = self.reason == Reason::Tickets && !is_queried;
                is_unqueried || self.fits()
            }
            Rule::Locality | Rule::Isolation => self.fits(),
            Rule::CapNotWorthwhile | Rule::CapClaim | Rule::CapTurn => {
                self.reason == Reason::Cap
                    && matches!(self.decision, CapDecision::PassedOver { .. })
            }
        }
    }

    /// Whether enough tasks fit on workers that the step may use now.
    fn fits(&self) -> bool {
        matches!(self.reason, Reason::Rank | Reason::NextRound)
    }

    /// Whether too few tasks fit without preemption.
    fn lacks_capacity(&self) -> bool {
        matches!(
            self.reason,
            Reason::Activation
                | Reason::Capacity
                | Reason::LeavingWorkers
                | Reason::Share
                | Reason::UnavailableWorkers
                | Reason::Worthless
        )
    }
}

impl Machine {
    /// Rules that pass over a step, the one that has done so for longest first.
    pub(super) fn deferrals_of(&self, step: StepKey) -> Vec<Deferral> {
        let reported = self.deferrals_by_age(step).into_iter().map(|(rule, deferral)| Deferral {
            rule: rule.to_string(),
            since_ms: millis(deferral.lasted()),
            room: deferral.room,
            wanted: deferral.wanted,
            overdue: deferral.is_overdue(self.now),
        });
        reported.collect()
    }

    /// The name of the rule that has passed over a step for longest and is what it waits for, and a
    /// sentence about it that ends in `cause`.
    pub(super) fn rule_waited_for(
        &self,
        step: StepKey,
        situation: &Situation<'_>,
        cause: &str,
    ) -> Option<(String, String)> {
        let (rule, deferral) =
            self.deferrals_by_age(step).into_iter().find(|(rule, deferral)| {
                self.now.since(deferral.last) <= NOTE_INTERVAL && situation.is_due_to(*rule)
            })?;
        let room = deferral.room.map_or_else(|| "unknown".to_owned(), |room| format!("for {room}"));
        let sentence = format!(
            "{} ({rule} has passed over it for {} ms: room {room}, {} wanted); {cause}",
            rule_text(rule),
            millis(deferral.lasted()),
            deferral.wanted
        );
        Some((rule.to_string(), sentence))
    }

    fn deferrals_by_age(&self, step: StepKey) -> Vec<(Rule, &deferral::Deferral)> {
        let mut deferrals: Vec<_> = self.deferrals.of(step, self.now).collect();
        deferrals.sort_by_key(|(_, deferral)| Reverse(deferral.lasted()));
        deferrals
    }
}

const fn rule_text(rule: Rule) -> &'static str {
    match rule {
        Rule::QueryNotWorthwhile => {
            "its eligible workers have room for too few of its tasks to query the policy service \
             about them again"
        }
        Rule::ExpectedRoom => {
            "tasks on its eligible workers are expected to make room for it, so that the policy \
             service is not queried about others"
        }
        Rule::NoInstance => "no instance is left to send its query to the policy service",
        Rule::GangBudget => "other gangs use up the budget of queries about gangs",
        Rule::Reservation => "workers that could run it are reserved for gangs",
        Rule::Locality => "only workers away from its data, or in several racks, have room",
        Rule::Isolation => {
            "its tasks are suspected of crashing workers, and tasks of other jobs are starting on \
             all workers with room"
        }
        Rule::CapNotWorthwhile => {
            "the cap of its customer lets too few of its tasks start to query about them"
        }
        Rule::CapClaim => {
            "steps of its customer that rank before it claim what the customer's cap leaves"
        }
        Rule::CapTurn => "a gang has its turn at the cap of their customer",
    }
}
