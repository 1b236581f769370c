//! Room that is withheld from a step: reserved for others, beside tasks that are starting, or away
//! from its data.

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
        if let Some(room) = self.room_beside_others(step, views) {
            self.note_deferral(step, Rule::Isolation, Some(room), needed);
        }
        if let Some(room) = self.distant_room(step, views, needed) {
            self.note_deferral(step, Rule::Locality, Some(room), needed);
        }
    }

    /// Reserves a worker for each step whose task could not start alone for as long as it may wait for
    /// that: what is starting there will soon have started, and nothing else starts until then.
    pub(super) fn reserve_for_suspects(&self, waiting: &[PendingStep], views: &mut WorkerViews) {
        for step in waiting.iter().filter(|step| step.overdue.contains(Rule::Isolation)) {
            let allowed = self.usable_workers(step, views).into_iter();
            let with_room = allowed.filter(|&at| views.get(at).slots(step) >= 1.0);
            let roomiest = with_room.max_by_key(|&at| views.get(at).free.cpu_millis);
            if let Some(at) = roomiest.filter(|&at| !views.get(at).reserved) {
                views.reserve(at);
            }
        }
    }

    /// Number of the step's tasks that fit on workers on which tasks of other jobs are starting, if
    /// all of its tasks are suspected of crashing their workers.
    fn room_beside_others(&self, step: &PendingStep, views: &WorkerViews) -> Option<f64> {
        if step.suspects.len() < step.pending.len() {
            return None;
        }
        let allowed = self.usable_workers(step, views).into_iter();
        let room: f64 = allowed.map(|at| views.get(at).slots(step)).sum();
        (room >= 1.0).then_some(room)
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
