//! One round of decisions: which job goes first, and whether it finds room.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::health::Standing;
use super::queue::{Band, Head, State, Waiting};
use super::search::{Ask, Denial};
use super::{Assignment, Decision, Engine, HealthEvent, Strategy, measure};
use crate::clock::{Instant, Unix};
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;
use crate::task;

/// How long a class that waits for more than room is first left alone.
const RETRY: Duration = Duration::from_millis(250);
/// How long a class that waits for room is left alone while none grows; by then its first job may
/// have come to press, which opens headroom and reservations to it.
const WATCH: Duration = Duration::from_secs(15);
/// How often the first span doubles.
const DOUBLINGS: u32 = 4;
/// Jobs of a class that are tried when the first is held up by something of its own.
const TRIED: usize = 16;
/// Jobs that may find no room in one round; the others come in the next.
const FRUITLESS: usize = 192;

/// Rank of a class; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) above_quota: bool,
    urgency: Reverse<Urgency>,
    band: Band,
    share: u64,
    order: u64,
    job: job::Id,
}

impl Rank {
    /// Whether the job has waited for long or is expected to miss its deadline.
    pub(super) fn is_overdue(&self) -> bool {
        matches!(self.band, Band::Late | Band::Aged)
    }

    /// Whether neither urgency nor long waiting nor a near deadline presses the job.
    pub(super) fn is_plain(&self) -> bool {
        self.urgency == Reverse(Urgency::Normal) && self.band == Band::Fair
    }
}

/// What one call of [`Engine::decide`] carries along.
#[derive(Debug)]
pub(super) struct Round {
    pub(super) now: Instant,
    unix: Unix,
    left: usize,
    fruitless: usize,
    pub(super) decisions: Vec<Decision>,
    /// Needs of the jobs within quota that wait for room; found when first asked for.
    starved: Option<Vec<Amount>>,
}

/// How a try went.
enum Outcome {
    /// Some or all tasks were placed.
    Placed,
    /// Nothing was placed.
    Denied(Denial),
}

impl Engine {
    /// Decides starts of about `limit` tasks, more only to finish a gang, and reserves them.
    ///
    /// Preemptions come in addition. A decision that is not carried out is taken back by
    /// [`Self::release`] for each of its tasks.
    pub fn decide(&mut self, now: Instant, unix: Unix, limit: usize) -> Vec<Decision> {
        self.begin(now);
        let mut round = Round::new(now, unix, limit.min(self.policy.max_starts));
        let classes: Vec<_> = self
            .queue
            .classes()
            .filter(|(_, class)| class.state == State::Runnable)
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
            if self.try_class(index, &current, &mut round) {
                heap.extend(self.rank(index, &round).map(|rank| Reverse((rank, index))));
            }
        }
        round.decisions
    }

    /// Brings everything up to date that changes with time.
    fn begin(&mut self, now: Instant) {
        self.end_quarantines(now);
        self.pledges.expire(&mut self.pool, now);
        self.refresh_reservations(now);
        let grown = self.pool.take_grown();
        let rooms: Vec<_> = grown.iter().map(|&index| self.pool.get(index).room()).collect();
        let widest = rooms.iter().fold(Amount::ZERO, |most, room| measure::widest(&most, room));
        self.queue.wake(now, |demand| {
            !rooms.is_empty() && demand.fits(&widest) && rooms.iter().any(|room| demand.fits(room))
        });
    }

    fn end_quarantines(&mut self, now: Instant) {
        let (over, rest) = self.quarantined.iter().partition(|(until, _)| *until <= now);
        self.quarantined = rest;
        let over: Vec<(Instant, usize)> = over;
        for (until, index) in over {
            if self.pool.get(index).standing != Standing::Quarantined(until) {
                continue;
            }
            self.pool.update(index, |node| node.standing = Standing::Probation(None));
            let worker = self.pool.get(index).name.clone();
            self.note(HealthEvent::Probation { worker });
        }
    }

    fn refresh_reservations(&mut self, now: Instant) {
        for job in self.reservations.jobs() {
            if !self.waits_within_quota(job) {
                self.reservations.remove(job, &mut self.pool);
            }
        }
        let patience = self.policy.hard_reservation_after;
        self.reservations.refresh(&mut self.pool, &self.ledger, now, patience);
    }

    fn rank(&self, index: usize, round: &Round) -> Option<Rank> {
        let Head { band, order, job } =
            self.queue.head(index, round.now, round.unix, &self.policy)?;
        let urgency = Reverse(self.queue.class(index).alike.urgency);
        if self.policy.strategy != Strategy::FairShare {
            return Some(Rank { above_quota: false, urgency, band, share: 0, order, job });
        }
        let waiting = self.queue.get(job)?;
        let team = self.teams.get(waiting.team);
        let above_quota = team.exceeds(&waiting.step());
        let share = if band == Band::Fair { team.share(&self.pool.capacity) } else { 0 };
        Some(Rank { above_quota, urgency, band, share, order, job })
    }

    /// Tries the jobs of a class; returns whether it is worth another try in this round.
    fn try_class(&mut self, index: usize, rank: &Rank, round: &mut Round) -> bool {
        let mut jobs = vec![rank.job];
        let mut first = None;
        let mut next = 0;
        while let Some(&job) = jobs.get(next) {
            next += 1;
            let denial = match self.try_job(job, rank, round) {
                Outcome::Placed => return true,
                Outcome::Denied(denial) => denial,
            };
            if next == 1 && denial.is_of_one_job() {
                let others = self.queue.first(index, TRIED);
                jobs.extend(others.into_iter().filter(|&other| other != job));
            }
            first.get_or_insert(denial);
        }
        round.fruitless += next;
        self.park(index, first.unwrap_or(Denial::NoRoom), rank, round);
        false
    }

    fn park(&mut self, index: usize, denial: Denial, rank: &Rank, round: &mut Round) {
        let reserves = self.reservations.get(rank.job).is_some();
        let class = self.queue.class_mut(index);
        let urgent = class.alike.urgency == Urgency::Urgent;
        let until = match denial {
            Denial::NoRoom if !urgent && !reserves => round.now.after(WATCH),
            _ if urgent => round.now.after(RETRY),
            _ => round.now.after(RETRY * (1 << class.tries.min(DOUBLINGS))),
        };
        class.tries += 1;
        class.state = State::Parked(until);
        class.cause = Some(denial);
        if let Some(starved) = round.starved.as_mut().filter(|_| !rank.above_quota) {
            starved.push(class.alike.demand);
        }
    }

    fn try_job(&mut self, job: job::Id, rank: &Rank, round: &mut Round) -> Outcome {
        let Some(ask) = self.ask(job, rank, round) else {
            return Outcome::Denied(Denial::NoRoom);
        };
        if self.is_held_back(&ask) {
            return Outcome::Denied(Denial::Held);
        }
        let placed = match ask.kind {
            Kind::Gang => self.place_gang(&ask, round),
            Kind::Batch | Kind::LongRunning => self.place_each(&ask, round),
        };
        match placed {
            Ok(tasks) => {
                round.left = round.left.saturating_sub(tasks.len());
                self.queue.forget_tries(job);
                self.reservations.shrink(job, tasks.len(), &mut self.pool);
                self.queue.advance(job, tasks.len(), &self.policy);
                round.decisions.push(Decision::Start { job, tasks });
                Outcome::Placed
            }
            Err(denial) => Outcome::Denied(self.make_room(&ask, denial, round)),
        }
    }

    /// Whether the preset lets such work wait while much is in use.
    fn is_held_back(&self, ask: &Ask) -> bool {
        let Some(above) = self.policy.hold_batch_above_permille else { return false };
        let used = measure::share(&self.pool.used, &self.pool.capacity);
        ask.plain && used >= above * (measure::WHOLE / 1_000)
    }

    fn place_each(&mut self, ask: &Ask, round: &mut Round) -> Result<Vec<Assignment>, Denial> {
        let mut found = Some(self.find(ask, round)?);
        let Some(waiting) = self.queue.get(ask.job).cloned() else { return Ok(Vec::new()) };
        let mut placed = Vec::new();
        for &task in waiting.tasks.iter().take(round.left) {
            let Some(node) = found.take().or_else(|| self.find(ask, round).ok()) else { break };
            placed.push(self.assign(task, &waiting, node, ask, round.now));
            if self.teams.get(waiting.team).exceeds(&ask.demand) != ask.above_quota {
                break;
            }
        }
        Ok(placed)
    }

    fn place_gang(&mut self, ask: &Ask, round: &mut Round) -> Result<Vec<Assignment>, Denial> {
        let slots = self.find_all(ask, ask.tasks, round)?;
        let Some(waiting) = self.queue.get(ask.job).cloned() else { return Ok(Vec::new()) };
        let nodes = slots.iter().flat_map(|&(node, count)| std::iter::repeat_n(node, count));
        let pairs: Vec<(task::Id, usize)> = waiting.tasks.iter().copied().zip(nodes).collect();
        let assign = |(task, node)| self.assign(task, &waiting, node, ask, round.now);
        Ok(pairs.into_iter().map(assign).collect())
    }

    fn assign(
        &mut self,
        task: task::Id,
        waiting: &Waiting,
        node: usize,
        ask: &Ask,
        now: Instant,
    ) -> Assignment {
        self.start(task, waiting, node, now);
        self.reservations.charge(ask.job, node, &ask.demand, ask.ends);
        Assignment { task, worker: self.pool.get(node).name.clone() }
    }

    /// After a try found no room: preempts for urgent work, reserves for gangs and for work
    /// that is overdue.
    fn make_room(&mut self, ask: &Ask, denial: Denial, round: &mut Round) -> Denial {
        if ask.above_quota || self.policy.strategy != Strategy::FairShare {
            return denial;
        }
        if self.may_preempt(ask, round.now) {
            self.preempt(ask, round);
            if self.pledges.count(ask.job) > 0 {
                return Denial::Preempting;
            }
        }
        if (ask.kind == Kind::Gang || ask.overdue) && denial != Denial::Quota {
            self.reserve(ask, round.now);
        }
        denial
    }

    fn may_preempt(&self, ask: &Ask, now: Instant) -> bool {
        let kept = self.reservations.get(ask.job).filter(|_| ask.kind == Kind::Gang);
        let waited = kept.map(|kept| kept.age(now));
        let ripe = self.policy.gang_preemption_after.is_some_and(|bound| waited >= Some(bound));
        self.policy.preemption_enabled && (ask.urgency == Urgency::Urgent || ripe)
    }

    /// Keeps room for a job; one reservation is left to gangs.
    fn reserve(&mut self, ask: &Ask, now: Instant) {
        let most = match ask.kind {
            Kind::Gang => self.policy.max_reservations,
            Kind::Batch | Kind::LongRunning => self.policy.max_reservations.saturating_sub(1),
        };
        let known = self.reservations.get(ask.job).is_some();
        let impossible = self.pool.slots(&ask.demand) < ask.tasks && ask.kind == Kind::Gang;
        if known || impossible || self.reservations.len() >= most {
            return;
        }
        let tasks = if ask.kind == Kind::Gang { ask.tasks } else { 1 };
        self.reservations.add(ask.job, ask.demand, tasks, &self.pool, &self.ledger, now);
    }

    /// Needs of the jobs within quota that wait for room without a reservation.
    pub(super) fn starved<'a>(&self, round: &'a mut Round) -> &'a [Amount] {
        round.starved.get_or_insert_with(|| {
            let waits = self.queue.classes().filter(|(index, class)| {
                matches!(class.state, State::Parked(_))
                    && class.cause.is_some_and(Denial::is_for_room)
                    && self.starves(*index)
            });
            waits.map(|(_, class)| class.alike.demand).collect()
        })
    }

    fn starves(&self, index: usize) -> bool {
        let first = self.queue.first(index, 1);
        first.first().is_some_and(|&job| {
            self.reservations.get(job).is_none() && self.waits_within_quota(job)
        })
    }

    fn waits_within_quota(&self, job: job::Id) -> bool {
        let within = |waiting: &Waiting| !self.teams.get(waiting.team).exceeds(&waiting.step());
        self.queue.get(job).is_some_and(within)
    }
}

impl Round {
    fn new(now: Instant, unix: Unix, left: usize) -> Self {
        Self { now, unix, left, fruitless: 0, decisions: Vec::new(), starved: None }
    }

    fn is_over(&self) -> bool {
        self.left == 0 || self.fruitless >= FRUITLESS
    }
}
