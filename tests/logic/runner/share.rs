//! Shares of a runner's slots: together never more than the runner has.

use std::time::Duration;

use oriolefork::clock::Instant;
use oriolefork::domain::Epoch;
use oriolefork::runner::Name;
use oriolefork::runner::share::{
    CoordinatorId, Handle, LeaseDurations, Ledger, LocalSlots, Position, ShareRequest,
    ShareResponse,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

const LIMIT: u32 = 8;
const COUNT: usize = 3;
const RUN_MILLIS: u64 = 1000;
const CASES: u32 = 300;

fn runner() -> Name {
    Name::from("runner-1")
}

fn durations() -> LeaseDurations {
    LeaseDurations::for_run_limit(Duration::from_millis(RUN_MILLIS))
}

fn coordinator(term: u64) -> CoordinatorId {
    CoordinatorId { epoch: Epoch { term, sub: 0 }, run: term }
}

/// One process: a holder, perhaps a ledger, and a clock of its own.
struct Process {
    local_slots: LocalSlots,
    slots: Handle,
    ledger: Option<Ledger>,
    run: u64,
    offset: u64,
    rate: f64,
}

impl Process {
    fn new(index: usize, run: u64, now: u64, fresh: bool) -> Self {
        let offset = 1_000 * (run % 7);
        let rate = [1.0, 0.99, 1.01][(run % 3) as usize];
        let position = Position { index: index as u32, count: COUNT as u32 };
        let start = local(offset, rate, now);
        let usable_from = if fresh { start } else { start.after(durations().loan) };
        let mut local_slots = LocalSlots::new(position, run, durations(), usable_from);
        let slots = local_slots.add_runner(&runner(), LIMIT);
        Self { local_slots, slots, ledger: None, run, offset, rate }
    }

    fn now(&self, now: u64) -> Instant {
        local(self.offset, self.rate, now)
    }
}

fn local(offset: u64, rate: f64, now: u64) -> Instant {
    Instant::from_millis(offset + (now as f64 * rate) as u64)
}

#[derive(Clone, Debug)]
enum Message {
    ShareRequest { to: usize, from: usize, request: ShareRequest },
    ShareResponse { to: usize, run: u64, response: ShareResponse },
}

/// A request at the runner, whose process may be gone.
struct Running {
    process: usize,
    run: u64,
    ends: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Exchange { from: usize, demand: u32 },
    ShareRequest { from: usize, demand: u32 },
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Start { process: usize, millis: u64 },
    Fill(usize),
    Mute(Option<usize>),
    End(usize),
    Restart(usize),
    Claim(usize),
    Resign(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..COUNT;
    prop_oneof![
        10 => (1u64..400).prop_map(Step::Advance),
        1 => (400u64..4000).prop_map(Step::Advance),
        30 => (process.clone(), demand()).prop_map(|(from, demand)| Step::Exchange { from, demand }),
        4 => (process.clone(), demand()).prop_map(|(from, demand)| Step::ShareRequest { from, demand }),
        10 => (0usize..8).prop_map(Step::Deliver),
        1 => (0usize..8).prop_map(Step::Repeat),
        1 => (0usize..8).prop_map(Step::Lose),
        8 => (process.clone(), 1u64..RUN_MILLIS).prop_map(|(process, millis)| Step::Start { process, millis }),
        4 => process.clone().prop_map(Step::Fill),
        2 => prop::option::of(process.clone()).prop_map(Step::Mute),
        4 => (0usize..8).prop_map(Step::End),
        1 => process.clone().prop_map(Step::Restart),
        1 => process.clone().prop_map(Step::Claim),
        1 => process.prop_map(Step::Resign),
    ]
}

fn demand() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0u32), Just(LIMIT), 0u32..12]
}

struct World {
    now: u64,
    processes: Vec<Process>,
    messages: Vec<Message>,
    running: Vec<Running>,
    runs: u64,
    term: u64,
    /// Whom each process believes to be the keeper.
    believed: Vec<Option<(usize, CoordinatorId)>>,
    borrowed_once: bool,
    /// Who does not reach its keeper for a while.
    muted: Option<usize>,
}

impl World {
    fn new() -> Self {
        let processes = (0..COUNT).map(|index| Process::new(index, index as u64, 0, true));
        Self {
            now: 0,
            processes: processes.collect(),
            messages: Vec::new(),
            running: Vec::new(),
            runs: COUNT as u64,
            term: 0,
            believed: vec![None; COUNT],
            borrowed_once: false,
            muted: None,
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(millis) => self.advance(millis),
            Step::ShareRequest { from, demand } => self.send_request(from, demand),
            Step::Exchange { from, demand } => self.exchange(from, demand),
            Step::Deliver(index) => self.deliver(index, true),
            Step::Repeat(index) => self.deliver(index, false),
            Step::Lose(index) => drop(self.take(index)),
            Step::Start { process, millis } => self.start(process, millis),
            Step::Fill(process) => (0..LIMIT).for_each(|_| self.start(process, RUN_MILLIS)),
            Step::Mute(process) => self.muted = process,
            Step::End(index) => self.end(index),
            Step::Restart(index) => self.restart(index),
            Step::Claim(index) => self.claim(index),
            Step::Resign(index) => self.processes[index].ledger = None,
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
        let now = self.now;
        let (over, running) =
            std::mem::take(&mut self.running).into_iter().partition(|running| running.ends <= now);
        self.running = running;
        over.iter().for_each(|running| self.release(running));
    }

    fn release(&mut self, running: &Running) {
        let process = &mut self.processes[running.process];
        if process.run == running.run {
            process.local_slots.release(process.slots);
        }
    }

    fn send_request(&mut self, from: usize, demand: u32) {
        let Some((to, coordinator)) = self.believed[from] else { return };
        let process = &mut self.processes[from];
        let now = process.now(self.now);
        let request = process.local_slots.build_request(coordinator, now, |_| demand);
        self.messages.push(Message::ShareRequest { to, from, request });
    }

    /// A call and its answer, both in time.
    fn exchange(&mut self, from: usize, demand: u32) {
        let waiting = self.messages.len();
        if self.muted != Some(from) {
            self.send_request(from, demand);
        }
        self.deliver(waiting, true);
        self.deliver(waiting, true);
    }

    fn take(&mut self, index: usize) -> Option<Message> {
        (index < self.messages.len()).then(|| self.messages.remove(index))
    }

    fn deliver(&mut self, index: usize, once: bool) {
        let Some(message) = self.messages.get(index).cloned() else { return };
        if once {
            self.messages.remove(index);
        }
        match message {
            Message::ShareRequest { to, from, request } => {
                let run = request.participant.run;
                let process = &mut self.processes[to];
                let now = process.now(self.now);
                let response =
                    process.ledger.as_mut().and_then(|ledger| ledger.handle(&request, now));
                let reply =
                    response.map(|response| Message::ShareResponse { to: from, run, response });
                self.messages.extend(reply);
            }
            Message::ShareResponse { to, run, response } => {
                let process = &mut self.processes[to];
                if process.run == run {
                    let now = process.now(self.now);
                    let applied = process.local_slots.apply_response(&response, now);
                    self.borrowed_once |=
                        applied && response.runners.iter().any(|l| l.borrowed > 0);
                }
            }
        }
    }

    fn start(&mut self, index: usize, millis: u64) {
        let process = &mut self.processes[index];
        let now = process.now(self.now);
        if process.local_slots.acquire(process.slots, now) {
            let ends = self.now + millis;
            self.running.push(Running { process: index, run: process.run, ends });
        }
    }

    fn end(&mut self, index: usize) {
        if index < self.running.len() {
            let running = self.running.remove(index);
            self.release(&running);
        }
    }

    fn restart(&mut self, index: usize) {
        self.runs += 1;
        self.processes[index] = Process::new(index, self.runs, self.now, false);
    }

    /// Others may go on believing in an earlier keeper, or none may hear of this one.
    fn claim(&mut self, index: usize) {
        self.term += 1;
        let coordinator = coordinator(self.term);
        self.processes[index].ledger = Some(Ledger::new(coordinator, durations()));
        for believer in 0..COUNT {
            if !(self.term as usize + believer).is_multiple_of(3) || believer == index {
                self.believed[believer] = Some((index, coordinator));
            }
        }
    }

    /// Slots in use at the runner plus those on which a request could start this moment.
    fn claimed(&self) -> u32 {
        let may_use = self.processes.iter().map(|process| {
            let allowed = process.local_slots.allowance(process.slots, process.now(self.now));
            allowed.max(process.local_slots.in_use(process.slots))
        });
        let is_orphan = |running: &&Running| self.processes[running.process].run != running.run;
        let orphans = self.running.iter().filter(is_orphan).count() as u32;
        may_use.sum::<u32>() + orphans
    }
}

// An operator sees a runner with 8 slots work on 9 requests. Exchanges were lost, late, repeated
// or answered by an instance that no longer is the keeper, processes restarted while requests
// ran, and one slot ended up in the hands of two instances.
#[test]
fn shares_never_exceed_limit() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut tests = TestRunner::new_with_rng(config, rng);
    let mut borrowed = 0;
    let steps = prop::collection::vec(step(), 40..240);
    for _ in 0..CASES {
        let mut tree = steps.new_tree(&mut tests).expect("strategy yields a history");
        let run = play(&tree.current());
        borrowed += u32::from(run.borrowed_once);
        if run.claimed() > LIMIT {
            shrink(&mut tree);
            panic!("more than {LIMIT} slots claimed after {:?}", tree.current());
        }
    }
    assert!(borrowed > CASES / 3, "only {borrowed} of {CASES} histories borrowed anything");
}

/// Plays a history up to its first excess.
fn play(steps: &[Step]) -> World {
    let mut world = world_with_coordinator();
    for step in steps {
        world.apply(step);
        if world.claimed() > LIMIT {
            break;
        }
    }
    world
}

fn shrink(tree: &mut impl ValueTree<Value = Vec<Step>>) {
    let mut more = tree.simplify();
    while more {
        let fails = play(&tree.current()).claimed() > LIMIT;
        more = if fails { tree.simplify() } else { tree.complicate() };
    }
}

#[test_case(8, 3 ; "eight_among_three")]
#[test_case(1, 3 ; "one_among_three")]
#[test_case(7, 2 ; "seven_among_two")]
fn entitlement_adds_up(limit: u32, count: u32) {
    for number in 0..20 {
        let runner = Name::from(format!("runner-{number}"));
        let parts = (0..count).map(|index| Position { index, count }.entitlement(&runner, limit));
        assert_eq!(parts.sum::<u32>(), limit);
    }
}

fn exchange(world: &mut World, demands: [u32; COUNT]) {
    for (process, demand) in demands.into_iter().enumerate() {
        world.apply(&Step::Exchange { from: process, demand });
    }
    world.apply(&Step::Advance(100));
}

fn allowances(world: &World) -> Vec<u32> {
    let allowance =
        |process: &Process| process.local_slots.allowance(process.slots, process.now(world.now));
    world.processes.iter().map(allowance).collect()
}

fn world_with_coordinator() -> World {
    let mut world = World::new();
    world.apply(&Step::Claim(0));
    world.believed = vec![world.believed[0]; COUNT];
    world
}

#[test]
fn ask_idle_slots_move_to_the_busy() {
    let mut world = world_with_coordinator();
    for _ in 0..4 {
        exchange(&mut world, [0, 0, 9]);
    }
    assert_eq!(allowances(&world)[2], LIMIT);
    assert_eq!(allowances(&world).iter().sum::<u32>(), LIMIT);
}

#[test]
fn ask_slots_return_to_their_owner() {
    let mut world = world_with_coordinator();
    for _ in 0..4 {
        exchange(&mut world, [0, 0, 9]);
    }
    for _ in 0..4 {
        exchange(&mut world, [9, 9, 9]);
    }
    let owned = |index| Position { index, count: 3 }.entitlement(&runner(), LIMIT);
    assert_eq!(allowances(&world), (0..3).map(owned).collect::<Vec<_>>());
}

// The keeper dies while an instance uses slots that another one lent. Without the keeper nothing
// may stay lost: the lender has its own slots back once the loan is over.
#[test]
fn ask_lost_coordinator_returns_all() {
    let mut world = world_with_coordinator();
    for _ in 0..4 {
        exchange(&mut world, [0, 0, 9]);
    }
    world.apply(&Step::Resign(0));
    let span = durations().loan.as_millis() as u64 + 200;
    world.apply(&Step::Advance(span));
    let owned = |index| Position { index, count: 3 }.entitlement(&runner(), LIMIT);
    assert_eq!(allowances(&world), (0..3).map(owned).collect::<Vec<_>>());
}

// A runner with 8 slots works on 9 requests: a lender's call arrived, the answer to it was lost,
// and the lender took its slots back although another instance had borrowed them meanwhile.
#[test]
fn ask_lost_answer_keeps_loan() {
    let mut world = world_with_coordinator();
    exchange(&mut world, [9, 0, 9]);
    exchange(&mut world, [9, 0, 9]);
    let owned = allowances(&world)[1];
    world.apply(&Step::ShareRequest { from: 1, demand: 0 });
    world.apply(&Step::Deliver(0));
    world.apply(&Step::Lose(0));
    world.apply(&Step::Advance(durations().lease.as_millis() as u64 + 100));
    world.apply(&Step::Exchange { from: 2, demand: 9 });
    assert!(owned > 0);
    assert_eq!(allowances(&world)[1], 0);
    assert!(world.claimed() <= LIMIT);
}
