//! What waits and what it waits for, told in the log once a second.

use std::cmp::Reverse;
use std::time::Duration;

use super::Machine;
use super::field::Fields;
use super::lack::{Lack, Readiness};
use super::rank::Hope;
use super::waiting::Waiting;
use crate::clock::Instant;

/// Rest between two lines.
const REST: Duration = Duration::from_secs(1);

/// Gangs that get a line of their own, the widest first: a wide one needs most at once.
const DETAILED: usize = 4;

/// What the next line needs beside the present state.
#[derive(Debug)]
pub(super) struct Backlog {
    next: Instant,
    /// Rounds of placement since the last line.
    rounds: u32,
}

impl Backlog {
    pub(super) const fn new(now: Instant) -> Self {
        Self { next: now, rounds: 0 }
    }
}

impl Machine {
    /// Tells the log how many steps wait, how many of them nobody has asked the policy service
    /// about, how many instances could ask and how much room is left: steps that wait beside free
    /// workers are told apart from those that find none.
    pub(super) fn tell_backlog(&mut self, waiting: &[Waiting], fields: &Fields, whole: bool) {
        self.backlog.rounds += 1;
        if !whole || self.now < self.backlog.next {
            return;
        }
        self.backlog.next = self.now.after(REST);
        let rounds = std::mem::take(&mut self.backlog.rounds);
        let hopes = [Hope::OnTime, Hope::Late, Hope::Worthless];
        let [on_time, late, worthless] =
            hopes.map(|hope| waiting.iter().filter(|step| step.rank.hope == hope).count());
        let gangs = waiting.iter().filter(|step| step.model().gang).count();
        let unasked = waiting.iter().filter(|step| self.needs_first_question(step)).count();
        let fresh = self.askers.values().filter(|asker| asker.is_fresh(self.now)).count();
        let idle = self.askers.values().filter(|asker| asker.is_idle(self.now)).count();
        let (free, cores) = (fields.free_cpu_millis() / 1_000, fields.cpu_millis() / 1_000);
        log::info!(
            "event=steps.waiting on_time={on_time} late={late} worthless={worthless} gangs={gangs} \
             unasked={unasked} askers={fresh} idle_askers={idle} free_cores={free} cores={cores} \
             workers={} rounds={rounds}",
            fields.count()
        );
        self.tell_gangs(waiting, fields, Hope::OnTime);
        self.tell_gangs(waiting, fields, Hope::Late);
    }

    /// Tells what the gangs of that hope lack and how wide they are, and of the widest how far each
    /// is: one that waits for room is told apart from one whose tickets expired beside it.
    fn tell_gangs(&self, waiting: &[Waiting], fields: &Fields, hope: Hope) {
        let gangs = waiting.iter().filter(|step| step.model().gang && step.rank.hope == hope);
        let mut gangs: Vec<(&Waiting, Readiness)> =
            gangs.map(|step| (step, self.readiness(step, fields))).collect();
        if gangs.is_empty() {
            return;
        }
        let lacks = [Lack::Answer, Lack::Workers, Lack::Room, Lack::Tickets, Lack::Nothing];
        let counts = lacks.map(|lack| {
            let tasks = gangs.iter().filter(|(_, gang)| gang.lacks == lack);
            let tasks: Vec<usize> = tasks.map(|(_, gang)| gang.tasks).collect();
            let mean = tasks.iter().sum::<usize>() / tasks.len().max(1);
            format!("lacks_{lack}={} tasks_{lack}={mean}", tasks.len())
        });
        log::info!("event=gangs.waiting hope={hope:?} gangs={} {}", gangs.len(), counts.join(" "));
        gangs.sort_by_key(|(_, gang)| Reverse(gang.tasks));
        for (step, gang) in gangs.iter().take(DETAILED) {
            log::info!(
                "event=gang.waiting step={} hope={hope:?} tasks={} eligible={} fits={} \
                 fits_ticketed={} lacks={}",
                step.key,
                gang.tasks,
                gang.eligible,
                gang.fits,
                gang.ticketed,
                gang.lacks
            );
        }
    }

    /// Whether the step needs the policy service's word and nobody has asked for it.
    pub(super) fn needs_first_question(&self, step: &Waiting) -> bool {
        let tickets = self.tickets.get(&step.key);
        step.queue.policy.is_some()
            && tickets
                .is_none_or(|tickets| tickets.counts().0 == 0 && !tickets.has_pending_question())
    }
}
