//! Decisions on quick requests.

use std::net::SocketAddr;
use std::time::Duration;

use oriolefork::clock::Instant;
use oriolefork::domain;
use oriolefork::job::Effect as Rerun;
use oriolefork::membership::{Member, Role, State};
use oriolefork::runner::attempt::{Id, Outcome};
use oriolefork::runner::request::{Doubt, Refusal};
use oriolefork::runner::share::{Holder, Position, Terms};
use oriolefork::runner::{Effect, Name, Policy, Request, Router, Verdict, request};
use test_case::test_case;

const WHOLE: Outcome = Outcome::Whole { failed: false };
const SERVICE: &str = "portal";

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn runner(domain: &str, number: u16, slots: u32) -> Member {
    Member {
        name: format!("{domain}-runner-{number}"),
        role: Role::Runner { service: SERVICE.to_owned(), slots, connections: 64 },
        domain: domain::Name::from(domain),
        address: addr(1000 + number),
        state: State::Live,
    }
}

fn entry(domain: &str, number: u16) -> Member {
    let domain = domain::Name::from(domain);
    let name = format!("entry-{number}");
    Member { name, role: Role::Entry, domain, address: addr(2000 + number), state: State::Live }
}

/// A router with a clock that stands still until told.
struct Setup {
    router: Router,
    members: Vec<Member>,
    now: u64,
    requests: u64,
    effects: Vec<Effect>,
}

impl Setup {
    fn new(runners: u16, slots: u32) -> Self {
        Self::with(Policy::default(), (1..=runners).map(|n| runner("kurow", n, slots)).collect())
    }

    fn with(policy: Policy, members: Vec<Member>) -> Self {
        let terms = Terms::for_run_limit(policy.run_limit);
        let holder = Holder::new(Position::ALONE, 1, terms, Instant::default(), true);
        let router = Router::new(policy, domain::Name::from("kurow"), holder, 7);
        let mut setup = Self { router, members, now: 0, requests: 0, effects: Vec::new() };
        setup.list();
        setup
    }

    fn at(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn list(&mut self) {
        let now = self.at();
        self.effects.extend(self.router.set_members(&self.members, now));
    }

    fn submit(&mut self, effect: Rerun, within: u64) -> request::Id {
        self.submit_as(effect, within, false)
    }

    fn submit_as(&mut self, effect: Rerun, within: u64, forwarded: bool) -> request::Id {
        self.requests += 1;
        let id = request::Id::from_raw(self.requests);
        let deadline = Instant::from_millis(self.now + within);
        let request = Request { id, service: SERVICE.to_owned(), effect, deadline, forwarded };
        let now = self.at();
        self.effects.extend(self.router.submit(request, now));
        id
    }

    fn finish(&mut self, attempt: Id, outcome: Outcome) {
        let now = self.at();
        self.effects.extend(self.router.finish(attempt, outcome, now));
    }

    /// Lets time pass as the task does: never beyond a moment at which something is due.
    fn pass(&mut self, millis: u64) {
        let end = Instant::from_millis(self.now + millis);
        while self.router.next_tick() <= end {
            self.now = self.now.max(self.router.next_tick().as_millis());
            let now = self.at();
            self.effects.extend(self.router.tick(now));
        }
        self.now = end.as_millis();
    }

    /// Attempts sent since the last call, with their runner's port.
    fn sent(&mut self) -> Vec<(Id, u16)> {
        let sent = |effect: &Effect| match effect {
            Effect::Send { attempt, peer, .. } | Effect::Forward { attempt, peer, .. } => {
                Some((*attempt, peer.port()))
            }
            Effect::Answer { .. } => None,
        };
        let attempts = self.effects.iter().filter_map(sent).collect();
        self.effects.retain(|effect| matches!(effect, Effect::Answer { .. }));
        attempts
    }

    fn verdicts(&self, id: request::Id) -> Vec<Verdict> {
        let of = |effect: &Effect| match effect {
            Effect::Answer { request, verdict } if *request == id => Some(*verdict),
            _ => None,
        };
        self.effects.iter().filter_map(of).collect()
    }

    fn verdict(&self, id: request::Id) -> Option<Verdict> {
        let verdicts = self.verdicts(id);
        assert!(verdicts.len() <= 1, "two verdicts: {verdicts:?}");
        verdicts.first().copied()
    }

    /// Runs enough requests that latencies are known.
    fn warm(&mut self, latency: u64) {
        for _ in 0..64 {
            self.submit(Rerun::Idempotent, 1000);
            let sent = self.sent();
            self.now += latency;
            sent.iter().for_each(|(attempt, _)| self.finish(*attempt, WHOLE));
        }
        self.effects.clear();
    }

    fn in_use(&self, number: u16) -> u32 {
        self.router.shares().in_use(&Name::from(format!("kurow-runner-{number}")))
    }
}

// A caller's deadline passes while a runner still works. Its answer comes later, when another
// caller waits, and must not reach that one or free a verdict twice.
#[test]
fn finish_late_answer_reaches_no_one() {
    let mut setup = Setup::new(1, 8);
    let first = setup.submit(Rerun::AtMostOnce, 100);
    let late = setup.sent()[0].0;
    setup.pass(150);
    let second = setup.submit(Rerun::AtMostOnce, 1000);
    setup.finish(late, WHOLE);
    let told =
        matches!(setup.verdict(first), Some(Verdict::Unknown { doubt: Doubt::Deadline, .. }));
    assert!(told, "{:?}", setup.verdict(first));
    assert_eq!(setup.verdict(second), None);
}

// A renewal runs twice: the connection broke after the request had been sent, and the request was
// sent again although nobody knew whether the first one had run.
#[test]
fn finish_broken_at_most_once_is_unknown_at_once() {
    let mut setup = Setup::new(3, 8);
    let id = setup.submit(Rerun::AtMostOnce, 10_000);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, Outcome::Broken);
    let told = matches!(setup.verdict(id), Some(Verdict::Unknown { doubt: Doubt::Broken, .. }));
    assert!(told);
    setup.pass(20_000);
    assert!(setup.sent().is_empty());
}

#[test]
fn finish_unsent_at_most_once_goes_elsewhere() {
    let mut setup = Setup::new(2, 8);
    let id = setup.submit(Rerun::AtMostOnce, 1000);
    let (attempt, first) = setup.sent()[0];
    setup.finish(attempt, Outcome::NotSent);
    let (attempt, second) = setup.sent()[0];
    assert_ne!(first, second);
    setup.finish(attempt, WHOLE);
    assert_eq!(setup.verdict(id), Some(Verdict::Whole(attempt)));
}

// A caller reads "not run" and sends its work again by another way, but the first try had reached
// a runner before every further one failed to connect.
#[test]
fn finish_broken_then_unsent_is_not_called_not_run() {
    let mut setup = Setup::new(3, 8);
    let id = setup.submit(Rerun::Idempotent, 1000);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, Outcome::Broken);
    while let Some((attempt, _)) = setup.sent().first().copied() {
        setup.finish(attempt, Outcome::NotSent);
    }
    assert!(matches!(setup.verdict(id), Some(Verdict::Unknown { .. })));
}

#[test]
fn finish_all_unsent_is_not_run() {
    let mut setup = Setup::new(3, 8);
    let id = setup.submit(Rerun::AtMostOnce, 1000);
    while let Some((attempt, _)) = setup.sent().first().copied() {
        setup.finish(attempt, Outcome::NotSent);
    }
    let refusal = Refusal::Unreachable;
    let told =
        matches!(setup.verdict(id), Some(Verdict::NotRun { refusal: r, .. }) if r == refusal);
    assert!(told);
}

// A runner with 8 slots works on 9 requests: a connection broke, the request went on running, and
// its slot was given to the next one.
#[test_case(Outcome::Broken, 1 ; "broken_keeps_slot")]
#[test_case(Outcome::Mismatched, 1 ; "mismatched_keeps_slot")]
#[test_case(Outcome::NotSent, 0 ; "unsent_frees_slot")]
#[test_case(WHOLE, 0 ; "whole_frees_slot")]
fn finish_slot(outcome: Outcome, held: u32) {
    let mut setup = Setup::new(1, 8);
    setup.submit(Rerun::AtMostOnce, 1000);
    setup.pass(50);
    // What was not sent is tried again, until the tries are used up.
    while let Some((attempt, _)) = setup.sent().first().copied() {
        assert_eq!(setup.in_use(1), 1);
        setup.finish(attempt, outcome);
    }
    assert_eq!(setup.in_use(1), held);
    setup.pass(Policy::default().run_limit.as_millis() as u64);
    assert_eq!(setup.in_use(1), 0);
}

// A runner is about to be replaced. Requests that still went to it would be cut.
#[test_case(true ; "leaving")]
#[test_case(false ; "gone")]
fn set_members_leaving_gets_no_new_work(listed: bool) {
    let mut setup = Setup::new(2, 8);
    let mut running = Vec::new();
    for _ in 0..8 {
        setup.submit(Rerun::AtMostOnce, 1000);
        running.extend(setup.sent());
    }
    if listed {
        setup.members[0].state = State::Leaving;
    } else {
        setup.members.remove(0);
    }
    setup.list();
    for _ in 0..6 {
        setup.submit(Rerun::AtMostOnce, 1000);
    }
    let ports: Vec<u16> = setup.sent().iter().map(|(_, port)| *port).collect();
    assert!(!ports.is_empty() && ports.iter().all(|port| *port == 1002), "{ports:?}");
    let (cut, _) = running.into_iter().find(|(_, port)| *port == 1001).expect("both were used");
    setup.finish(cut, WHOLE);
    let whole = |effect: &Effect| matches!(effect, Effect::Answer { verdict: Verdict::Whole(id), .. } if *id == cut);
    assert!(setup.effects.iter().any(whole));
}

// One runner mixes up its callers. Every answer of it that were believed would show a firm's data
// to another firm.
#[test]
fn finish_mismatched_ejects_at_once() {
    let mut setup = Setup::new(4, 8);
    let id = setup.submit(Rerun::Idempotent, 1000);
    let (attempt, liar) = setup.sent()[0];
    setup.finish(attempt, Outcome::Mismatched);
    let (retry, honest) = setup.sent()[0];
    assert_ne!(honest, liar);
    setup.finish(retry, WHOLE);
    assert_eq!(setup.verdict(id), Some(Verdict::Whole(retry)));
    for _ in 0..20 {
        setup.submit(Rerun::Idempotent, 1000);
    }
    assert!(setup.sent().iter().all(|(_, port)| *port != liar));
}

// Every runner of the domain is down. Work that could run in the next domain is refused.
#[test]
fn submit_without_own_runner_goes_to_another_domain() {
    let members = vec![runner("oamaru", 9, 8), entry("oamaru", 1), entry("kurow", 2)];
    let mut setup = Setup::with(Policy::default(), members);
    let id = setup.submit(Rerun::AtMostOnce, 1000);
    let (attempt, port) = setup.sent()[0];
    assert_eq!(port, 2001);
    setup.finish(attempt, WHOLE);
    assert_eq!(setup.verdict(id), Some(Verdict::Whole(attempt)));
}

#[test]
fn submit_forwarded_is_not_passed_on_again() {
    let members = vec![runner("oamaru", 9, 8), entry("oamaru", 1)];
    let mut setup = Setup::with(Policy::default(), members);
    let id = setup.submit_as(Rerun::Idempotent, 1000, true);
    assert!(setup.sent().is_empty());
    let refusal = Refusal::NoRunner;
    assert!(matches!(setup.verdict(id), Some(Verdict::NotRun { refusal: r, .. }) if r == refusal));
}

// An instance is replaced for maintenance. What it took before must be answered, what comes after
// must be told to go elsewhere at once.
#[test]
fn drain_finishes_what_was_taken() {
    let mut setup = Setup::new(1, 1);
    let running = setup.submit(Rerun::AtMostOnce, 1000);
    let (attempt, _) = setup.sent()[0];
    let queued = setup.submit(Rerun::AtMostOnce, 1000);
    setup.router.drain();
    let refused = setup.submit(Rerun::AtMostOnce, 1000);
    let refusal = Refusal::ShuttingDown;
    assert!(
        matches!(setup.verdict(refused), Some(Verdict::NotRun { refusal: r, .. }) if r == refusal)
    );
    setup.finish(attempt, WHOLE);
    assert_eq!(setup.verdict(running), Some(Verdict::Whole(attempt)));
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, WHOLE);
    assert_eq!(setup.verdict(queued), Some(Verdict::Whole(attempt)));
    assert_eq!(setup.router.open_requests(), 0);
}

#[test_case(Rerun::Idempotent, 2 ; "idempotent_is_hedged")]
#[test_case(Rerun::AtMostOnce, 1 ; "at_most_once_is_not")]
fn tick_slow_answer(effect: Rerun, attempts: usize) {
    let mut setup = Setup::new(4, 8);
    setup.warm(10);
    let id = setup.submit(effect, 1000);
    let first = setup.sent();
    setup.pass(100);
    let hedges = setup.sent();
    assert_eq!(first.len() + hedges.len(), attempts);
    if let Some((hedge, port)) = hedges.first().copied() {
        assert_ne!(port, first[0].1);
        setup.finish(hedge, WHOLE);
        setup.finish(first[0].0, WHOLE);
        assert_eq!(setup.verdict(id), Some(Verdict::Whole(hedge)));
    }
}

// A burst fills the queue. A caller whose deadline cannot be met waits for nothing, and only then
// learns that it has to come back.
#[test]
fn submit_hopeless_is_refused_at_once() {
    let mut setup = Setup::new(1, 1);
    setup.warm(50);
    setup.submit(Rerun::AtMostOnce, 10_000);
    let queued = setup.submit(Rerun::AtMostOnce, 10_000);
    let hopeless = setup.submit(Rerun::AtMostOnce, 60);
    let refused = match setup.verdict(hopeless) {
        Some(Verdict::NotRun { refusal: Refusal::Deadline, retry_after }) => retry_after,
        other => panic!("{other:?}"),
    };
    assert!(refused > Duration::ZERO);
    assert_eq!(setup.verdict(queued), None);
}

#[test]
fn submit_overload_is_bounded() {
    let mut setup = Setup::new(1, 2);
    setup.warm(50);
    let ids: Vec<_> = (0..1000).map(|_| setup.submit(Rerun::AtMostOnce, 60_000)).collect();
    let refused = ids.iter().filter(|id| setup.verdict(**id).is_some()).count();
    // A quarter of a second of waiting at 2 slots of 50 ms each, and two that run.
    assert!((980..=992).contains(&refused), "{refused}");
}

#[test]
fn dispatch_earliest_deadline_first() {
    let mut setup = Setup::new(1, 1);
    setup.submit(Rerun::AtMostOnce, 1000);
    let (running, _) = setup.sent()[0];
    let late = setup.submit(Rerun::AtMostOnce, 900);
    let soon = setup.submit(Rerun::AtMostOnce, 500);
    setup.finish(running, WHOLE);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, WHOLE);
    assert_eq!(setup.verdict(soon), Some(Verdict::Whole(attempt)));
    assert_eq!(setup.verdict(late), None);
}

// Every runner answers with a fault. Retries that multiplied the load would keep them down.
#[test]
fn finish_retries_stay_in_budget() {
    let mut setup = Setup::new(4, 64);
    let mut attempts = 0;
    for _ in 0..1000 {
        setup.submit(Rerun::Idempotent, 1000);
        loop {
            let sent = setup.sent();
            if sent.is_empty() {
                break;
            }
            attempts += sent.len();
            sent.iter().for_each(|(id, _)| setup.finish(*id, Outcome::Whole { failed: true }));
        }
        setup.pass(10);
    }
    let Policy { retry_ratio, burst, .. } = Policy::default();
    let allowed = 1000.0 * (1.0 + retry_ratio) + burst;
    assert!((1000..=allowed as usize).contains(&attempts), "{attempts}");
}

#[test]
fn set_members_few_connections_limit_slots() {
    let mut member = runner("kurow", 1, 8);
    member.role = Role::Runner { service: SERVICE.to_owned(), slots: 8, connections: 3 };
    let mut setup = Setup::with(Policy::default(), vec![member]);
    for _ in 0..8 {
        setup.submit(Rerun::AtMostOnce, 1000);
    }
    assert_eq!(setup.sent().len(), 3);
}
