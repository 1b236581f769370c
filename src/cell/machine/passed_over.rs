//! Reports how many steps each rule passes over and for how long, and logs it once a second.

use std::cmp::Reverse;
use std::time::Duration;

use super::Machine;
use super::deferral::{Deferral, Rule};
use super::pending::PendingStep;
use crate::cell::job::StepKey;
use crate::clock::millis;

/// Number of steps with a log line of their own, those passed over for longest.
const MAX_DETAILED_STEPS: usize = 8;

/// Steps that a rule passes over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PassedOver {
    pub(super) steps: usize,
    /// Longest time for which it has passed over one of them.
    pub(super) longest: Duration,
}

impl Machine {
    /// Returns the steps that are passed over, by rule.
    pub(super) fn passed_over_by_rule(&self) -> [(Rule, PassedOver); Rule::ALL.len()] {
        let mut by_rule = Rule::ALL.map(|rule| (rule, PassedOver::default()));
        for (_, rule, deferral) in self.open_deferrals() {
            let (_, total) = &mut by_rule[rule as usize];
            total.steps += 1;
            total.longest = total.longest.max(deferral.lasted());
        }
        by_rule
    }

    /// Logs [`Machine::passed_over_lines`] once a second.
    pub(super) fn log_passed_over(&mut self) {
        if self.deferrals.is_empty() || !self.backlog.take_passed_over_turn(self.now) {
            return;
        }
        for line in self.passed_over_lines() {
            log::info!("{line}");
        }
    }

    /// Returns log lines about the steps that are passed over: one with their number by rule, and
    /// one about each of those passed over for longest; none if there are no such steps. They show
    /// by which rule a step has nothing running beside free workers, and how much room the rule saw.
    pub fn passed_over_lines(&self) -> Vec<String> {
        let oldest = self.longest_passed_over();
        let Some((_, _, first)) = oldest.first() else { return Vec::new() };
        let counts = self.passed_over_by_rule();
        let counts = counts.map(|(rule, total)| format!("{rule}={}", total.steps));
        let summary = format!(
            "event=steps.passed_over steps={} longest_ms={} {}",
            oldest.len(),
            millis(first.lasted()),
            counts.join(" ")
        );
        let detailed = oldest.iter().take(MAX_DETAILED_STEPS);
        let details = detailed.filter_map(|(step, rule, deferral)| {
            let step = self.pending_step(*step)?;
            Some(self.passed_over_line(&step, *rule, deferral))
        });
        [summary].into_iter().chain(details).collect()
    }

    fn passed_over_line(&self, step: &PendingStep, rule: Rule, deferral: &Deferral) -> String {
        let tickets = self.tickets.get(&step.key);
        let room = deferral.room.map_or_else(|| "unknown".to_owned(), |room| room.to_string());
        format!(
            "event=step.passed_over step={} rule={rule} waited_ms={} room={room} wanted={} \
             eligible={} tickets={} tasks={} class={}",
            step.key,
            millis(deferral.lasted()),
            deferral.wanted,
            tickets.map_or(0, |tickets| tickets.counts().1),
            tickets.map_or(0, |tickets| tickets.with_valid_ticket(self.now).count()),
            step.pending.len(),
            step.rank.timeliness.name()
        )
    }

    /// Returns each step that is passed over with the rule that has done so for longest, the
    /// longest time first.
    fn longest_passed_over(&self) -> Vec<(StepKey, Rule, &Deferral)> {
        let mut steps: Vec<(StepKey, Rule, &Deferral)> = self.open_deferrals().collect();
        steps.sort_by_key(|(step, _, deferral)| (*step, Reverse(deferral.lasted())));
        steps.dedup_by_key(|(step, ..)| *step);
        steps.sort_by_key(|(_, _, deferral)| Reverse(deferral.lasted()));
        steps
    }

    /// Deferrals of the steps of open jobs. Those of a job that has ended are kept for a while.
    fn open_deferrals(&self) -> impl Iterator<Item = (StepKey, Rule, &Deferral)> {
        let current = self.deferrals.iter(self.now);
        current.filter(|(step, ..)| self.state.open.contains(&step.job))
    }

    fn pending_step(&self, key: StepKey) -> Option<PendingStep> {
        let mut steps = Vec::new();
        self.add_pending_steps(key.job, &mut steps);
        steps.into_iter().find(|step| step.key == key)
    }
}
