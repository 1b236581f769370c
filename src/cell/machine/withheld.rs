//! Room that is withheld from a step: reserved for gangs, or away from its data.

use super::Machine;
use super::deferral::Rule;
use super::pending::PendingStep;
use super::view::{WorkerViews, slots_within};

impl Machine {
    /// Notes which rules withhold room from a step of which nothing could be placed.
    pub(super) fn note_withheld_room(&mut self, step: &PendingStep, views: &WorkerViews) {
        let needed = if step.spec().gang { step.pending.len() as f64 } else { 1.0 };
        if let Some(room) = self.reserved_room(step, views, needed) {
            self.note_deferral(step, Rule::Reservation, Some(room), needed);
        }
        if let Some(room) = self.distant_room(step, views, needed) {
            self.note_deferral(step, Rule::Locality, Some(room), needed);
        }
    }

    /// Number of the step's tasks that would fit without the reservations of this round, if it needs
    /// no more than that to start.
    fn reserved_room(&self, step: &PendingStep, views: &WorkerViews, needed: f64) -> Option<f64> {
        if views.reserved().is_empty() {
            return None;
        }
        let mut room = 0.0;
        for &at in views.reserved() {
            room += self.unreserved_slots(step, at, views);
            if room >= needed {
                return Some(room);
            }
        }
        if !step.spec().gang || room == 0.0 {
            return None;
        }
        let others = self.eligible_workers(step, views);
        let others = others.into_iter().filter(|&at| !views.get(at).reserved);
        room += others.map(|at| self.unreserved_slots(step, at, views)).sum::<f64>();
        (room >= needed).then_some(room)
    }

    /// Number of the step's tasks that would fit on a worker if it were not reserved; zero if the
    /// policy service has refused it.
    fn unreserved_slots(&self, step: &PendingStep, at: usize, views: &WorkerViews) -> f64 {
        let view = views.get(at);
        let slots = slots_within(&view.free, step.spec());
        let fits = slots > 0.0
            && view.matches(&step.queue.service, step.spec())
            && view.is_compatible(step.spec());
        if fits && !self.is_refused(step, &view.id) { slots } else { 0.0 }
    }

    /// Number of the step's tasks that would fit on workers away from its data, or in several racks,
    /// if it needs no more than that to start.
    fn distant_room(&self, step: &PendingStep, views: &WorkerViews, needed: f64) -> Option<f64> {
        let spec = step.spec();
        let is_local = spec.data_rack.is_some() || spec.same_rack;
        if !is_local || !step.needs_locality() {
            return None;
        }
        let mut room = 0.0;
        for at in self.admitted_workers(step, views) {
            room += views.get(at).slots(step);
            if room >= needed {
                return Some(room);
            }
        }
        None
    }
}
