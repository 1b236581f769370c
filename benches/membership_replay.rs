//! Replays one hour of a domain's life under three ways to judge the list of instances.
//!
//! Run with `cargo bench --bench membership_replay`. The replay is deterministic: time is counted,
//! not measured.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use oriolefork::clock::Instant;
use oriolefork::membership::view::{Key, View, ViewPolicy};
use oriolefork::membership::{Member, Role, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HOUR: u64 = 3_600;
const WORKERS: u16 = 50;
/// Seconds until the list shows a change.
const LAG: usize = 5;
/// Seconds that a leaving worker stays.
const NOTICE: u64 = 30;
/// Share of own calls that fail although the worker lives.
const NOISE: f64 = 0.01;
const FAILURES: u32 = 3;

/// A way to judge.
trait Judge {
    fn name(&self) -> &'static str;
    fn list(&mut self, now: Instant, members: &[Member]);
    fn called(&mut self, now: Instant, member: &Member, answered: bool);
    fn takes_work(&self, now: Instant, member: &Member) -> bool;
    /// Whether the worker is called or tried at all this second.
    fn calls(&self, now: Instant, member: &Member) -> bool;
}

/// Uses what the list shows.
#[derive(Default)]
struct Trusting(Vec<Member>);

impl Judge for Trusting {
    fn name(&self) -> &'static str {
        "trust the list"
    }

    fn list(&mut self, _: Instant, members: &[Member]) {
        self.0 = members.to_vec();
    }

    fn called(&mut self, _: Instant, _: &Member, _: bool) {}

    fn takes_work(&self, _: Instant, member: &Member) -> bool {
        self.0.iter().any(|known| known.name == member.name && known.state == State::Live)
    }

    fn calls(&self, now: Instant, member: &Member) -> bool {
        self.takes_work(now, member)
    }
}

/// Learns of workers from the list, then goes by own calls alone.
#[derive(Default)]
struct Ignoring(BTreeMap<String, u32>);

impl Judge for Ignoring {
    fn name(&self) -> &'static str {
        "ignore the list"
    }

    fn list(&mut self, _: Instant, members: &[Member]) {
        for member in members {
            self.0.entry(member.name.clone()).or_default();
        }
    }

    fn called(&mut self, _: Instant, member: &Member, answered: bool) {
        if let Some(failures) = self.0.get_mut(&member.name) {
            *failures = if answered { 0 } else { *failures + 1 };
        }
    }

    fn takes_work(&self, _: Instant, member: &Member) -> bool {
        self.0.get(&member.name).is_some_and(|failures| *failures < FAILURES)
    }

    fn calls(&self, _: Instant, member: &Member) -> bool {
        self.0.contains_key(&member.name)
    }
}

/// The view of this crate.
struct Guarded(View);

impl Judge for Guarded {
    fn name(&self) -> &'static str {
        "guarded"
    }

    fn list(&mut self, now: Instant, members: &[Member]) {
        self.0.apply_list(now, members);
    }

    fn called(&mut self, now: Instant, member: &Member, answered: bool) {
        let key = Key::from(member);
        if answered {
            self.0.record_answer(now, &key);
        } else {
            self.0.record_failure(now, &key);
        }
    }

    fn takes_work(&self, now: Instant, member: &Member) -> bool {
        let members = self.0.members(now);
        members.iter().any(|known| known.name == member.name && known.state == State::Live)
    }

    fn calls(&self, now: Instant, member: &Member) -> bool {
        let probed = self.0.probes(now).into_iter().any(|(key, _)| key == Key::from(member));
        probed || self.takes_work(now, member)
    }
}

/// What is true of one worker.
#[derive(Clone, Copy)]
struct Truth {
    born: u64,
    leaves: Option<u64>,
    dies: Option<u64>,
    /// Whether the judge has stopped to give it work after it left or died.
    settled: bool,
}

impl Truth {
    fn born(second: u64) -> Self {
        Self { born: second, leaves: None, dies: None, settled: false }
    }

    fn is_dead(&self, second: u64) -> bool {
        self.dies.is_some_and(|dies| dies <= second)
    }

    fn is_leaving(&self, second: u64) -> bool {
        self.leaves.is_some_and(|leaves| leaves <= second)
    }
}

/// Spans in seconds.
#[derive(Default)]
struct Spans(Vec<u64>);

impl Spans {
    fn text(&self) -> String {
        let (sum, max) = (self.0.iter().sum::<u64>(), self.0.iter().max().copied().unwrap_or(0));
        let mean = sum as f64 / self.0.len().max(1) as f64;
        format!("{:>3} {mean:>6.1} {max:>5}", self.0.len())
    }
}

/// What a way cost.
#[derive(Default)]
struct Cost {
    wrong_seconds: usize,
    worst_wrong: usize,
    dead: Spans,
    leaving: Spans,
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

/// The domain as it is, and as the list shows it.
struct World {
    workers: Vec<Truth>,
    shown: VecDeque<Vec<Member>>,
}

impl World {
    fn new() -> Self {
        Self { workers: vec![Truth::born(0); usize::from(WORKERS)], shown: VecDeque::new() }
    }

    /// What happens at a second: a worker dies every six minutes, another leaves in good order, a
    /// rack and half of the domain die once each. All are replaced at once.
    fn happen(&mut self, second: u64) {
        if second % 360 == 200 {
            self.hit(1, second, |worker| {
                worker.leaves = Some(second);
                worker.dies = Some(second + NOTICE);
            });
        }
        let deaths = match second {
            1_500 => 8,
            2_700 => 24,
            _ => usize::from(second % 360 == 60),
        };
        self.hit(deaths, second, |worker| worker.dies = Some(second));
    }

    fn hit(&mut self, count: usize, second: u64, blow: impl Fn(&mut Truth)) {
        let live = self.workers.iter_mut().filter(|worker| worker.dies.is_none());
        live.take(count).for_each(blow);
        self.workers.extend(vec![Truth::born(second); count]);
    }

    /// The list as it is shown: late, and at times broken.
    fn list(&mut self, second: u64) -> Vec<Member> {
        let present = (0..).zip(&self.workers).filter(|(_, worker)| !worker.is_dead(second));
        let list = present.map(|(index, worker)| {
            let state = if worker.is_leaving(second) { State::Leaving } else { State::Live };
            Member { state, ..member(index) }
        });
        self.shown.push_back(list.collect());
        if self.shown.len() > LAG + 1 {
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

fn replay(judge: &mut dyn Judge) -> Cost {
    let mut random = SmallRng::seed_from_u64(1);
    let mut world = World::new();
    let mut cost = Cost::default();
    for second in 0..HOUR {
        let now = Instant::from_millis(second * 1_000);
        world.happen(second);
        let list = world.list(second);
        judge.list(now, &list);
        let mut wrong = 0;
        for (index, worker) in (0..).zip(&mut world.workers) {
            let member = member(index);
            let answers = !worker.is_dead(second) && random.random::<f64>() >= NOISE;
            if judge.calls(now, &member) {
                judge.called(now, &member, answers);
            }
            let takes = judge.takes_work(now, &member);
            wrong += usize::from(!takes && is_wrongly_dropped(worker, second));
            settle(worker, second, takes, &mut cost);
        }
        cost.wrong_seconds += wrong;
        cost.worst_wrong = cost.worst_wrong.max(wrong);
    }
    cost
}

/// Whether a worker without work should have some. One that the list cannot have shown yet, or
/// that was born while the list was broken, is no loss of the judge.
fn is_wrongly_dropped(worker: &Truth, second: u64) -> bool {
    let broken = (600..900).contains(&worker.born) || (2_000..2_300).contains(&worker.born);
    let known = second > worker.born + LAG as u64 && (!broken || second > worker.born + 300);
    known && !worker.is_dead(second) && !worker.is_leaving(second)
}

/// Notes when a worker that left or died stops to get work.
fn settle(worker: &mut Truth, second: u64, takes: bool, cost: &mut Cost) {
    if worker.settled || takes {
        return;
    }
    if worker.is_leaving(second) {
        cost.leaving.0.push(second - worker.leaves.unwrap_or(second));
        worker.settled = true;
    } else if worker.is_dead(second) {
        cost.dead.0.push(second - worker.dies.unwrap_or(second));
        worker.settled = true;
    }
}

fn main() {
    println!("one hour, {WORKERS} workers, list {LAG} s late and broken twice for 300 s");
    println!("wrong: seconds of workers that wrongly got no work, and most at once");
    println!("dead, leaving: number, mean and longest seconds until no new work");
    println!("{:<16} {:>8} {:>7}  {:<16}  {:<16}", "", "wrong", "at once", "dead", "leaving");
    let judges: [Box<dyn Judge>; 3] = [
        Box::new(Trusting::default()),
        Box::new(Ignoring::default()),
        Box::new(Guarded(View::new(ViewPolicy::default()))),
    ];
    for mut judge in judges {
        let cost = replay(&mut *judge);
        let (dead, leaving) = (cost.dead.text(), cost.leaving.text());
        let (name, wrong, worst) = (judge.name(), cost.wrong_seconds, cost.worst_wrong);
        println!("{name:<16} {wrong:>8} {worst:>7}  {dead:<16}  {leaving:<16}");
    }
}
