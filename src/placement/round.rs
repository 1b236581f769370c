//! One round of placement decisions: the order of jobs, and the attempts to place them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::health::WorkerHealth;
use super::queue::{ClassState, Head, PriorityBand, WaitingJob};
use super::search::{Denial, PlacementQuery};
use super::{Assignment, Decision, Engine, HealthEvent, Strategy, arithmetic};
use crate::clock::{Instant, Unix};
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;
use crate::task;

/// First retry delay of a class that was denied for another reason than missing capacity, is urgent
/// or has a reservation.
const MIN_RETRY: Duration = Duration::from_millis(250);
/// How long a class that waits for capacity stays parked while none is freed. After that its first
/// job may have aged or come near its deadline, which gives it access to headroom and a
/// reservation.
const MAX_PARKED: Duration = Duration::from_secs(15);
/// How often the retry delay doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Jobs of a class that are attempted when the first is denied for a reason of its own.
const MAX_JOBS_PER_CLASS: usize = 16;
/// Failed attempts in one round; the remaining jobs are attempted in the next.
const MAX_FAILED_ATTEMPTS: usize = 192;

/// Priority of a class, by its first job; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) above_quota: bool,
    urgency: Reverse<Urgency>,
    band: PriorityBand,
    share: u64,
    order: u64,
    job: job::Id,
}

impl Rank {
    /// Whether the job has reached the aging threshold or is expected to miss its deadline.
    pub(super) fn is_overdue(&self) -> bool {
        matches!(self.band, PriorityBand::Late | PriorityBand::Aged)
    }

    /// Whether the job is neither urgent nor aged nor near its deadline.
    pub(super) fn is_deferrable(&self) -> bool {
        self.urgency == Reverse(Urgency::Normal) && self.band == PriorityBand::FairShare
    }
}

/// State of one call of [`Engine::decide`].
#[derive(Debug)]
pub(super) struct Round {
    pub(super) now: Instant,
    unix: Unix,
    remaining_starts: usize,
    failed_attempts: usize,
    pub(super) decisions: Vec<Decision>,
    /// Demands of the jobs within quota that wait for capacity; computed at first use.
    starved_demands: Option<Vec<Amount>>,
}

/// Result of an attempt to place a job.
enum Attempt {
    /// At least one task was placed.
    Placed,
    /// No task was placed.
    Denied(Denial),
}

impl Engine {
    /// Decides which tasks start, and allocates their resources: at most `limit` tasks, more only
    /// to complete a gang.
    ///
    /// Preemptions do not count towards the limit. A start that is not carried out is undone by
    /// [`Self::release`] for each of its tasks.
    pub fn decide(&mut self, now: Instant, unix: Unix, limit: usize) -> Vec<Decision> {
        self.refresh_state(now);
        let mut round = Round::new(now, unix, limit.min(self.policy.max_starts));
        let classes: Vec<_> = self
            .queue
            .classes()
            .filter(|(_, class)| class.state == ClassState::Runnable)
            .map(|(index, _)| index)
            .collect();
        let ranked = classes
            .into_iter()
            .filter_map(|index| self.rank(index, &round).map(|rank| Reverse((rank, index))));
        let mut heap: BinaryHeap<_> = ranked.collect();
        while !round.is_over() {
            let Some(Reverse((rank, index))) = heap.pop() else { break };
            let Some(current) = self.rank(index, &round) else { continue };
            if current > rank {
                heap.push(Reverse((current, index)));
                continue;
            }
            if self.attempt_class(index, &current, &mut round) {
                heap.extend(self.rank(index, &round).map(|rank| Reverse((rank, index))));
            }
        }
        round.decisions
    }

    /// Updates all state that changes with time.
    fn refresh_state(&mut self, now: Instant) {
        self.end_quarantines(now);
        self.claims.expire(&mut self.pool, now);
        self.refresh_reservations(now);
        let grown = self.pool.take_grown();
        let free_amounts: Vec<_> = grown.iter().map(|&index| self.pool.get(index).free()).collect();
        let max_free =
            free_amounts.iter().fold(Amount::ZERO, |most, free| arithmetic::max_each(&most, free));
        self.queue.unpark(now, |demand| {
            !free_amounts.is_empty()
                && demand.fits(&max_free)
                && free_amounts.iter().any(|free| demand.fits(free))
        });
    }

    fn end_quarantines(&mut self, now: Instant) {
        let (ended, rest) = self.quarantined.iter().partition(|(until, _)| *until <= now);
        self.quarantined = rest;
        let ended: Vec<(Instant, usize)> = ended;
        for (until, index) in ended {
            if self.pool.get(index).health != WorkerHealth::Quarantined(until) {
                continue;
            }
            self.pool.update(index, |node| node.health = WorkerHealth::Probation(None));
            let worker = self.pool.get(index).name.clone();
            self.emit(HealthEvent::Probation { worker });
        }
    }

    fn refresh_reservations(&mut self, now: Instant) {
        for job in self.reservations.jobs() {
            if !self.waits_within_quota(job) {
                self.reservations.remove(job, &mut self.pool);
            }
        }
        let hard_after = self.policy.hard_reservation_after;
        self.reservations.refresh(&mut self.pool, &self.allocations, now, hard_after);
    }

    fn rank(&self, index: usize, round: &Round) -> Option<Rank> {
        let Head { band, order, job } =
            self.queue.head(index, round.now, round.unix, &self.policy)?;
        let urgency = Reverse(self.queue.class(index).key.urgency);
        if self.policy.strategy != Strategy::FairShare {
            return Some(Rank { above_quota: false, urgency, band, share: 0, order, job });
        }
        let waiting = self.queue.get(job)?;
        let team = self.teams.get(waiting.team);
        let above_quota = team.exceeds(&waiting.atomic_demand());
        let share = if band == PriorityBand::FairShare {
            team.dominant_share(&self.pool.capacity)
        } else {
            0
        };
        Some(Rank { above_quota, urgency, band, share, order, job })
    }

    /// Attempts to place jobs of a class; returns whether to attempt it again in this round.
    fn attempt_class(&mut self, index: usize, rank: &Rank, round: &mut Round) -> bool {
        let mut jobs = vec![rank.job];
        let mut first = None;
        let mut next = 0;
        while let Some(&job) = jobs.get(next) {
            next += 1;
            let denial = match self.attempt_job(job, rank, round) {
                Attempt::Placed => return true,
                Attempt::Denied(denial) => denial,
            };
            if next == 1 && denial.concerns_single_job() {
                let others = self.queue.first(index, MAX_JOBS_PER_CLASS);
                jobs.extend(others.into_iter().filter(|&other| other != job));
            }
            first.get_or_insert(denial);
        }
        round.failed_attempts += next;
        self.park(index, first.unwrap_or(Denial::NoFreeCapacity), rank, round);
        false
    }

    fn park(&mut self, index: usize, denial: Denial, rank: &Rank, round: &mut Round) {
        let has_reservation = self.reservations.get(rank.job).is_some();
        let class = self.queue.class_mut(index);
        let urgent = class.key.urgency == Urgency::Urgent;
        let until = match denial {
            Denial::NoFreeCapacity if !urgent && !has_reservation => round.now.after(MAX_PARKED),
            _ if urgent => round.now.after(MIN_RETRY),
            _ => round.now.after(MIN_RETRY * (1 << class.failed_attempts.min(MAX_DOUBLINGS))),
        };
        class.failed_attempts += 1;
        class.state = ClassState::Parked(until);
        class.last_denial = Some(denial);
        if let Some(starved_demands) = round.starved_demands.as_mut().filter(|_| !rank.above_quota)
        {
            starved_demands.push(class.key.demand);
        }
    }

    fn attempt_job(&mut self, job: job::Id, rank: &Rank, round: &mut Round) -> Attempt {
        let Some(query) = self.query(job, rank, round) else {
            return Attempt::Denied(Denial::NoFreeCapacity);
        };
        if self.is_held_back(&query) {
            return Attempt::Denied(Denial::HeldByPreset);
        }
        let placed = match query.kind {
            Kind::Gang => self.place_gang(&query, round),
            Kind::Batch | Kind::LongRunning => self.place_tasks(&query, round),
        };
        match placed {
            Ok(tasks) => {
                round.remaining_starts = round.remaining_starts.saturating_sub(tasks.len());
                self.queue.reset_attempts(job);
                self.reservations.shrink(job, tasks.len(), &mut self.pool);
                self.queue.remove_first_tasks(job, tasks.len(), &self.policy);
                round.decisions.push(Decision::Start { job, tasks });
                Attempt::Placed
            }
            Err(denial) => Attempt::Denied(self.preempt_or_reserve(&query, denial, round)),
        }
    }

    /// Whether the preset holds such a job back at the current utilization.
    fn is_held_back(&self, query: &PlacementQuery) -> bool {
        let Some(above) = self.policy.hold_batch_above_permille else { return false };
        let used = arithmetic::dominant_share(&self.pool.used, &self.pool.capacity);
        query.deferrable && used >= above * (arithmetic::ONE_MILLION / 1_000)
    }

    fn place_tasks(
        &mut self,
        query: &PlacementQuery,
        round: &mut Round,
    ) -> Result<Vec<Assignment>, Denial> {
        let mut found = Some(self.find_worker(query, round)?);
        let Some(waiting) = self.queue.get(query.job).cloned() else { return Ok(Vec::new()) };
        let mut placed = Vec::new();
        for &task in waiting.tasks.iter().take(round.remaining_starts) {
            let Some(node) = found.take().or_else(|| self.find_worker(query, round).ok()) else {
                break;
            };
            placed.push(self.assign(task, &waiting, node, query, round.now));
            if self.teams.get(waiting.team).exceeds(&query.demand) != query.above_quota {
                break;
            }
        }
        Ok(placed)
    }

    fn place_gang(
        &mut self,
        query: &PlacementQuery,
        round: &mut Round,
    ) -> Result<Vec<Assignment>, Denial> {
        let slots = self.find_gang_workers(query, query.tasks, round)?;
        let Some(waiting) = self.queue.get(query.job).cloned() else { return Ok(Vec::new()) };
        let nodes = slots.iter().flat_map(|&(node, count)| std::iter::repeat_n(node, count));
        let pairs: Vec<(task::Id, usize)> = waiting.tasks.iter().copied().zip(nodes).collect();
        let assign = |(task, node)| self.assign(task, &waiting, node, query, round.now);
        Ok(pairs.into_iter().map(assign).collect())
    }

    fn assign(
        &mut self,
        task: task::Id,
        waiting: &WaitingJob,
        node: usize,
        query: &PlacementQuery,
        now: Instant,
    ) -> Assignment {
        self.start(task, waiting, node, now);
        self.reservations.charge(query.job, node, &query.demand, query.expected_end);
        Assignment { task, worker: self.pool.get(node).name.clone() }
    }

    /// After a denial: preempts for urgent jobs and gangs that waited for long, or reserves
    /// capacity for gangs and overdue jobs.
    fn preempt_or_reserve(
        &mut self,
        query: &PlacementQuery,
        denial: Denial,
        round: &mut Round,
    ) -> Denial {
        if query.above_quota || self.policy.strategy != Strategy::FairShare {
            return denial;
        }
        if self.may_preempt(query, round.now) {
            self.preempt(query, round);
            if self.claims.count(query.job) > 0 {
                return Denial::Preempting;
            }
        }
        if (query.kind == Kind::Gang || query.overdue) && denial != Denial::Quota {
            self.reserve(query, round.now);
        }
        denial
    }

    fn may_preempt(&self, query: &PlacementQuery, now: Instant) -> bool {
        let reservation = self.reservations.get(query.job).filter(|_| query.kind == Kind::Gang);
        let waited = reservation.map(|reservation| reservation.age(now));
        let gang_waited_enough =
            self.policy.gang_preemption_after.is_some_and(|bound| waited >= Some(bound));
        self.policy.preemption_enabled && (query.urgency == Urgency::Urgent || gang_waited_enough)
    }

    /// Reserves capacity for a job; one reservation is only for gangs.
    fn reserve(&mut self, query: &PlacementQuery, now: Instant) {
        let most = match query.kind {
            Kind::Gang => self.policy.max_reservations,
            Kind::Batch | Kind::LongRunning => self.policy.max_reservations.saturating_sub(1),
        };
        let reserved = self.reservations.get(query.job).is_some();
        let infeasible = self.pool.slots(&query.demand) < query.tasks && query.kind == Kind::Gang;
        if reserved || infeasible || self.reservations.len() >= most {
            return;
        }
        let tasks = if query.kind == Kind::Gang { query.tasks } else { 1 };
        self.reservations.add(query.job, query.demand, tasks, &self.pool, &self.allocations, now);
    }

    /// Demands of the jobs within quota that wait for capacity without a reservation.
    pub(super) fn starved_demands<'a>(&self, round: &'a mut Round) -> &'a [Amount] {
        round.starved_demands.get_or_insert_with(|| {
            let waits = self.queue.classes().filter(|(index, class)| {
                matches!(class.state, ClassState::Parked(_))
                    && class.last_denial.is_some_and(Denial::waits_for_capacity)
                    && self.is_starved(*index)
            });
            waits.map(|(_, class)| class.key.demand).collect()
        })
    }

    fn is_starved(&self, index: usize) -> bool {
        let first = self.queue.first(index, 1);
        first.first().is_some_and(|&job| {
            self.reservations.get(job).is_none() && self.waits_within_quota(job)
        })
    }

    fn waits_within_quota(&self, job: job::Id) -> bool {
        let within =
            |waiting: &WaitingJob| !self.teams.get(waiting.team).exceeds(&waiting.atomic_demand());
        self.queue.get(job).is_some_and(within)
    }
}

impl Round {
    fn new(now: Instant, unix: Unix, remaining_starts: usize) -> Self {
        Self {
            now,
            unix,
            remaining_starts,
            failed_attempts: 0,
            decisions: Vec::new(),
            starved_demands: None,
        }
    }

    fn is_over(&self) -> bool {
        self.remaining_starts == 0 || self.failed_attempts >= MAX_FAILED_ATTEMPTS
    }
}
