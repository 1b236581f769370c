//! Turns of gangs at the caps of their customers.
//!
//! A gang starts with all of its tasks or not at all. At its customer's cap, each end of a task
//! frees room for a narrower step of the same customer, but never for the gang. So after a while
//! the oldest such gang gets a turn: no other step of its customer may start in the room that the
//! gang needs, whatever its rank. It can start as soon as enough of the attempts that run by then
//! have ended.
//!
//! Bound: a gang gets its turn [`TURN_AFTER`] after its job was accepted, or after the turns of the
//! older gangs of its customer. One whose job has no value left waits for [`WORTHLESS_INTERVAL`]
//! since its customer's last turn of that kind, so that such gangs don't hold up those with a value.

use std::collections::HashMap;
use std::time::Duration;

use super::Machine;
use super::deferral::Rule;
use super::pending::PendingStep;
use super::rank::Timeliness;
use crate::cell::customer::Name;
use crate::cell::job::StepKey;
use crate::clock::Instant;
use crate::resource::Amount;

/// Age of a gang's job from which it gets a turn.
pub const TURN_AFTER: Duration = Duration::from_secs(5);

/// Interval between two turns of a customer's gangs whose jobs have no value left.
pub const WORTHLESS_INTERVAL: Duration = Duration::from_secs(30);

/// Time for which a turn lasts once the cap has room for the gang. A policy query takes 0.8 s; a
/// gang that has no workers after several must not keep its customer's other steps from running.
const ROOM_HELD: Duration = Duration::from_secs(4);

/// Pause between the end of such a turn and the next one of the customer.
const PAUSE: Duration = Duration::from_secs(4);

/// The turns of one customer.
#[derive(Debug, Default)]
pub(super) struct CapTurns {
    current: Option<Turn>,
    next: Option<Instant>,
    next_worthless: Option<Instant>,
}

#[derive(Debug)]
struct Turn {
    step: StepKey,
    claim: Amount,
    /// Since when the cap has had room for the gang.
    room_since: Option<Instant>,
}

impl Machine {
    /// Room under the cap of a step's customer that is meant for another step.
    pub(super) fn claimed_by_turn(&self, step: &PendingStep) -> Amount {
        if step.overdue.contains(Rule::CapTurn) {
            return Amount::ZERO;
        }
        let turns = step.job.customer.as_ref().and_then(|name| self.cap_turns.get(name));
        let turn = turns.and_then(|turns| turns.current.as_ref());
        turn.filter(|turn| turn.step != step.key).map_or(Amount::ZERO, |turn| turn.claim)
    }

    /// Ends the turns that are over and gives new ones, in the order of `waiting`.
    pub(super) fn update_cap_turns(&mut self, waiting: &[PendingStep]) {
        if !self.timings.features.fair_shares {
            return;
        }
        let mut all = std::mem::take(&mut self.cap_turns);
        let now = self.now;
        for turns in all.values_mut() {
            let Some(turn) = &mut turns.current else { continue };
            if !self.is_waiting_gang(&turn.step) {
                turns.current = None;
                continue;
            }
            let step = waiting.iter().find(|step| step.key == turn.step);
            if step.is_some_and(|step| !self.will_fit_into_cap(step)) {
                turns.current = None;
                turns.next = Some(now.after(PAUSE));
                continue;
            }
            if step.is_some_and(|step| self.startable(step) > 0) {
                let since = *turn.room_since.get_or_insert(now);
                if now.since(since) > ROOM_HELD {
                    turns.current = None;
                    turns.next = Some(now.after(PAUSE));
                }
            }
        }
        for (name, step) in self.gangs_due(waiting, &all) {
            let claim = step.spec().demand.checked_mul(step.pending.len() as u64);
            let Some(claim) = claim else { continue };
            let turns = all.entry(name).or_default();
            if step.rank.timeliness == Timeliness::Worthless {
                turns.next_worthless = Some(now.after(WORTHLESS_INTERVAL));
            }
            log::info!("event=gang.cap_turn step={} tasks={}", step.key, step.pending.len());
            turns.current = Some(Turn { step: step.key, claim, room_since: None });
        }
        all.retain(|_, turns| {
            let ahead = |at: Option<Instant>| at.is_some_and(|at| at > now);
            turns.current.is_some() || ahead(turns.next) || ahead(turns.next_worthless)
        });
        self.cap_turns = all;
    }

    /// The oldest gang of each customer that waits for its cap and may get a turn.
    fn gangs_due<'a>(
        &self,
        waiting: &'a [PendingStep],
        turns: &HashMap<Name, CapTurns>,
    ) -> HashMap<Name, &'a PendingStep> {
        let mut due: HashMap<Name, &PendingStep> = HashMap::new();
        let accepted = |step: &PendingStep| {
            self.state.jobs.get(&step.key.job).map_or(self.unix, |entry| entry.accepted)
        };
        for step in waiting.iter().filter(|step| step.spec().gang) {
            let Some(name) = &step.job.customer else { continue };
            if self.unix.since(accepted(step)) < TURN_AFTER {
                continue;
            }
            let is_open = turns.get(name).is_none_or(|turns| {
                let passed = |at: Option<Instant>| at.is_none_or(|at| self.now >= at);
                let is_worthless = step.rank.timeliness == Timeliness::Worthless;
                turns.current.is_none()
                    && passed(turns.next)
                    && (!is_worthless || passed(turns.next_worthless))
            });
            let older = due.get(name).is_none_or(|other| accepted(step) < accepted(other));
            if is_open && older && self.waits_for_cap(step) {
                due.insert(name.clone(), step);
            }
        }
        due
    }

    /// Whether a step is a gang none of whose attempts is left and which has not succeeded.
    fn is_waiting_gang(&self, key: &StepKey) -> bool {
        self.state.open.contains(&key.job)
            && self.state.step(key).is_some_and(|step| !step.is_live() && !step.is_done())
    }
}
