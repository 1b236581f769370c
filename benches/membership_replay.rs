//! Replays one hour of a simulated domain under three policies for which workers get work.
//!
//! Run with `cargo bench --bench membership_replay`. The replay uses simulated time, so its
//! results are deterministic.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use oriolefork::clock::Instant;
use oriolefork::membership::view::{Key, View, ViewPolicy};
use oriolefork::membership::{Member, Role, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HOUR: u64 = 3_600;
const WORKERS: u16 = 50;
/// Seconds until the list contains a change.
const LIST_LAG: usize = 5;
/// Seconds between a worker's announcement that it leaves and its end.
const LEAVE_DELAY: u64 = 30;
/// Fraction of calls that fail although the worker runs.
const FALSE_FAILURE_RATE: f64 = 0.01;
const MAX_FAILURES: u32 = 3;

/// A policy that decides from the list and from calls which workers get work.
trait LivenessPolicy {
    fn name(&self) -> &'static str;
    fn apply_list(&mut self, now: Instant, members: &[Member]);
    fn record_call(&mut self, now: Instant, member: &Member, succeeded: bool);
    fn takes_work(&self, now: Instant, member: &Member) -> bool;
    /// Whether the worker is called or probed in this second.
    fn is_called(&self, now: Instant, member: &Member) -> bool;
}

/// Follows the list alone.
#[derive(Default)]
struct ListPolicy(Vec<Member>);

impl LivenessPolicy for ListPolicy {
    fn name(&self) -> &'static str {
        "trust the list"
    }

    fn apply_list(&mut self, _: Instant, members: &[Member]) {
        self.0 = members.to_vec();
    }

    fn record_call(&mut self, _: Instant, _: &Member, _: bool) {}

    fn takes_work(&self, _: Instant, member: &Member) -> bool {
        self.0.iter().any(|known| known.name == member.name && known.state == State::Live)
    }

    fn is_called(&self, now: Instant, member: &Member) -> bool {
        self.takes_work(now, member)
    }
}

/// Takes new workers from the list; after that, only calls count.
#[derive(Default)]
struct CallPolicy(BTreeMap<String, u32>);

impl LivenessPolicy for CallPolicy {
    fn name(&self) -> &'static str {
        "ignore the list"
    }

    fn apply_list(&mut self, _: Instant, members: &[Member]) {
        for member in members {
            self.0.entry(member.name.clone()).or_default();
        }
    }

    fn record_call(&mut self, _: Instant, member: &Member, succeeded: bool) {
        if let Some(failures) = self.0.get_mut(&member.name) {
            *failures = if succeeded { 0 } else { *failures + 1 };
        }
    }

    fn takes_work(&self, _: Instant, member: &Member) -> bool {
        self.0.get(&member.name).is_some_and(|failures| *failures < MAX_FAILURES)
    }

    fn is_called(&self, _: Instant, member: &Member) -> bool {
        self.0.contains_key(&member.name)
    }
}

/// Uses the membership view of this crate.
struct ViewBasedPolicy(View);

impl LivenessPolicy for ViewBasedPolicy {
    fn name(&self) -> &'static str {
        "guarded"
    }

    fn apply_list(&mut self, now: Instant, members: &[Member]) {
        self.0.apply_list(now, members);
    }

    fn record_call(&mut self, now: Instant, member: &Member, succeeded: bool) {
        let key = Key::from(member);
        if succeeded {
            self.0.record_answer(now, &key);
        } else {
            self.0.record_failure(now, &key);
        }
    }

    fn takes_work(&self, now: Instant, member: &Member) -> bool {
        let members = self.0.members(now);
        members.iter().any(|known| known.name == member.name && known.state == State::Live)
    }

    fn is_called(&self, now: Instant, member: &Member) -> bool {
        let probed = self.0.probes(now).into_iter().any(|(key, _)| key == Key::from(member));
        probed || self.takes_work(now, member)
    }
}

/// Actual state of a worker; times in seconds.
#[derive(Clone, Copy)]
struct WorkerState {
    started: u64,
    leaves: Option<u64>,
    dies: Option<u64>,
    /// Whether the policy has stopped giving it work after it left or died.
    dropped: bool,
}

impl WorkerState {
    fn started(second: u64) -> Self {
        Self { started: second, leaves: None, dies: None, dropped: false }
    }

    fn is_dead(&self, second: u64) -> bool {
        self.dies.is_some_and(|dies| dies <= second)
    }

    fn is_leaving(&self, second: u64) -> bool {
        self.leaves.is_some_and(|leaves| leaves <= second)
    }
}

/// Durations in seconds.
#[derive(Default)]
struct Durations(Vec<u64>);

impl Durations {
    fn text(&self) -> String {
        let (sum, max) = (self.0.iter().sum::<u64>(), self.0.iter().max().copied().unwrap_or(0));
        let mean = sum as f64 / self.0.len().max(1) as f64;
        format!("{:>3} {mean:>6.1} {max:>5}", self.0.len())
    }
}

/// Cost of a policy's wrong and late decisions.
#[derive(Default)]
struct Cost {
    wrong_seconds: usize,
    max_wrong: usize,
    dead: Durations,
    leaving: Durations,
}

fn member(index: u16) -> Member {
    Member {
        name: format!("w{index}"),
        role: Role::Worker { rack: format!("r{}", index % 50 / 8) },
        domain: "kurow-hall".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        state: State::Live,
    }
}

/// Actual state of the domain, and the list that lags behind it.
struct Simulation {
    workers: Vec<WorkerState>,
    shown: VecDeque<Vec<Member>>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            workers: vec![WorkerState::started(0); usize::from(WORKERS)],
            shown: VecDeque::new(),
        }
    }

    /// Applies the events of a second: every six minutes, one worker dies and one leaves gracefully;
    /// a rack and half of the domain die once each. All are replaced immediately.
    fn apply_events(&mut self, second: u64) {
        if second % 360 == 200 {
            self.affect(1, second, |worker| {
                worker.leaves = Some(second);
                worker.dies = Some(second + LEAVE_DELAY);
            });
        }
        let deaths = match second {
            1_500 => 8,
            2_700 => 24,
            _ => usize::from(second % 360 == 60),
        };
        self.affect(deaths, second, |worker| worker.dies = Some(second));
    }

    fn affect(&mut self, count: usize, second: u64, change: impl Fn(&mut WorkerState)) {
        let live = self.workers.iter_mut().filter(|worker| worker.dies.is_none());
        live.take(count).for_each(change);
        self.workers.extend(vec![WorkerState::started(second); count]);
    }

    /// Returns the list that a client sees: it lags, is empty from 600 s to 900 s, and lacks half of
    /// the workers from 2,000 s to 2,300 s.
    fn list(&mut self, second: u64) -> Vec<Member> {
        let present = (0..).zip(&self.workers).filter(|(_, worker)| !worker.is_dead(second));
        let list = present.map(|(index, worker)| {
            let state = if worker.is_leaving(second) { State::Leaving } else { State::Live };
            Member { state, ..member(index) }
        });
        self.shown.push_back(list.collect());
        if self.shown.len() > LIST_LAG + 1 {
            self.shown.pop_front();
        }
        let shown = &self.shown[0];
        match second {
            600..900 => Vec::new(),
            2_000..2_300 => shown.iter().skip(shown.len() / 2).cloned().collect(),
            _ => shown.clone(),
        }
    }
}

fn replay(policy: &mut dyn LivenessPolicy) -> Cost {
    let mut random = SmallRng::seed_from_u64(1);
    let mut simulation = Simulation::new();
    let mut cost = Cost::default();
    for second in 0..HOUR {
        let now = Instant::from_millis(second * 1_000);
        simulation.apply_events(second);
        let list = simulation.list(second);
        policy.apply_list(now, &list);
        let mut wrong = 0;
        for (index, worker) in (0..).zip(&mut simulation.workers) {
            let member = member(index);
            let answers = !worker.is_dead(second) && random.random::<f64>() >= FALSE_FAILURE_RATE;
            if policy.is_called(now, &member) {
                policy.record_call(now, &member, answers);
            }
            let takes = policy.takes_work(now, &member);
            wrong += usize::from(!takes && is_wrongly_dropped(worker, second));
            record_drop(worker, second, takes, &mut cost);
        }
        cost.wrong_seconds += wrong;
        cost.max_wrong = cost.max_wrong.max(wrong);
    }
    cost
}

/// Whether a worker that gets no work should get some. A worker that the list cannot contain yet, or
/// that started while the list was wrong, does not count against the policy.
fn is_wrongly_dropped(worker: &WorkerState, second: u64) -> bool {
    let list_broken =
        (600..900).contains(&worker.started) || (2_000..2_300).contains(&worker.started);
    let listed = second > worker.started + LIST_LAG as u64
        && (!list_broken || second > worker.started + 300);
    listed && !worker.is_dead(second) && !worker.is_leaving(second)
}

/// Records when a worker that left or died stops getting work.
fn record_drop(worker: &mut WorkerState, second: u64, takes: bool, cost: &mut Cost) {
    if worker.dropped || takes {
        return;
    }
    if worker.is_leaving(second) {
        cost.leaving.0.push(second - worker.leaves.unwrap_or(second));
        worker.dropped = true;
    } else if worker.is_dead(second) {
        cost.dead.0.push(second - worker.dies.unwrap_or(second));
        worker.dropped = true;
    }
}

fn main() {
    println!("one hour, {WORKERS} workers, list {LIST_LAG} s late and broken twice for 300 s");
    println!("wrong: seconds of workers that wrongly got no work, and most at once");
    println!("dead, leaving: number, mean and longest seconds until no new work");
    println!("{:<16} {:>8} {:>7}  {:<16}  {:<16}", "", "wrong", "at once", "dead", "leaving");
    let policies: [Box<dyn LivenessPolicy>; 3] = [
        Box::new(ListPolicy::default()),
        Box::new(CallPolicy::default()),
        Box::new(ViewBasedPolicy(View::new(ViewPolicy::default()))),
    ];
    for mut policy in policies {
        let cost = replay(&mut *policy);
        let (dead, leaving) = (cost.dead.text(), cost.leaving.text());
        let (name, wrong, worst) = (policy.name(), cost.wrong_seconds, cost.max_wrong);
        println!("{name:<16} {wrong:>8} {worst:>7}  {dead:<16}  {leaving:<16}");
    }
}
