//! Which instances are used when list, own connections and peers disagree.

use std::net::SocketAddr;
use std::time::Duration;

use oriolefork::clock::Instant;
use oriolefork::membership::view::{Availability, Key, PeerReport, View, ViewPolicy};
use oriolefork::membership::{Member, Role, State};
use test_case::test_case;

const START: Instant = Instant::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn worker(index: u16) -> Member {
    Member {
        name: format!("w{index}"),
        role: Role::Worker { rack: format!("r{}", index / 8) },
        domain: "kurow-hall".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        state: State::Live,
    }
}

fn workers(count: u16) -> Vec<Member> {
    (0..count).map(worker).collect()
}

fn view_of(members: &[Member]) -> View {
    let mut view = View::new(ViewPolicy::default());
    view.apply_list(START, members);
    view
}

fn availability(view: &View, now: Instant, index: u16) -> Option<Availability> {
    let name = format!("w{index}");
    let availabilities = view.availabilities(now);
    availabilities
        .into_iter()
        .find(|(member, _)| member.name == name)
        .map(|(_, availability)| availability)
}

fn usable(view: &View, now: Instant) -> usize {
    view.members(now).iter().filter(|member| member.state == State::Live).count()
}

/// Tries every doubtful instance; those in `alive` answer.
fn probe(view: &mut View, now: Instant, alive: impl Fn(&Key) -> bool) {
    for (key, _) in view.probes(now) {
        if alive(&key) {
            view.record_answer(now, &key);
        } else {
            view.record_failure(now, &key);
        }
    }
}

#[test]
fn list_leaving_takes_no_new_work() {
    let mut view = view_of(&workers(50));
    let mut members = workers(50);
    members[3].state = State::Leaving;
    view.apply_list(START.after(SECOND), &members);
    assert_eq!(availability(&view, START.after(SECOND), 3), Some(Availability::Leaving));
    assert_eq!(usable(&view, START.after(SECOND)), 49);
}

#[test]
fn list_few_vanished_are_believed() {
    let mut view = view_of(&workers(50));
    let now = START.after(SECOND);
    view.apply_list(now, &workers(47));
    assert_eq!(usable(&view, now), 47);
    view.tick(now.after(ViewPolicy::default().removal_grace));
    assert_eq!(availability(&view, now, 49), None);
}

#[test_case(0 ; "empty")]
#[test_case(25 ; "half")]
fn list_mass_vanished_stays_in_use(left: u16) {
    // Whatever feeds the list fails, and it shows half of the workers or none for ten minutes. All
    // of them run well and answer. Work must go on as if nothing had happened.
    let mut view = view_of(&workers(50));
    let mut now = START;
    for _ in 0..600 {
        now = now.after(SECOND);
        view.apply_list(now, &workers(left));
        probe(&mut view, now, |_| true);
        assert_eq!(usable(&view, now), 50);
        assert_eq!(view.suspects().values().sum::<usize>(), usize::from(50 - left));
    }
    view.apply_list(now, &workers(50));
    assert!(view.suspects().is_empty());
}

#[test]
fn list_mass_vanished_truly_dead() {
    // A switch takes 24 of 50 workers away. The list says so; own tries confirm it one by one, and
    // no new work goes there after a few seconds.
    let mut view = view_of(&workers(50));
    let mut now = START;
    for _ in 0..4 {
        now = now.after(SECOND);
        view.apply_list(now, &workers(26));
        probe(&mut view, now, |_| false);
    }
    assert_eq!(availability(&view, now, 30), Some(Availability::Down));
    assert_eq!(usable(&view, now), 26);
    assert!(view.suspects().is_empty());
}

#[test]
fn list_decays_slowly() {
    // The list loses two workers every 20 s, too few each time to be suspect, until it is empty.
    // All of them answer. Only the share that is believed may be lost.
    let mut view = view_of(&workers(50));
    let mut now = START;
    for lost in 0..=25 {
        for _ in 0..20 {
            now = now.after(SECOND);
            view.apply_list(now, &workers(50 - 2 * lost));
            probe(&mut view, now, |_| true);
        }
    }
    assert!(usable(&view, now) >= 36, "{} left", usable(&view, now));
}

#[test]
fn list_rolling_replacement_is_believed() {
    // Maintenance replaces every worker within four minutes. Each was shown as leaving before it
    // went, so that none of this is suspect.
    let mut view = view_of(&workers(50));
    let mut now = START;
    for index in 0..50_usize {
        let mut members = workers(100)[index..index + 51].to_vec();
        members[0].state = State::Leaving;
        for _ in 0..5 {
            now = now.after(SECOND);
            view.apply_list(now, &members);
        }
        assert!(view.suspects().is_empty());
        assert_eq!(usable(&view, now), 50);
    }
}

#[test]
fn suspect_without_any_answer_is_dropped() {
    // Many vanish, and nobody here can try them. They are kept for a minute, not for ever.
    let mut view = view_of(&workers(50));
    let now = START.after(SECOND);
    view.apply_list(now, &[]);
    view.tick(now.after(59 * SECOND));
    assert_eq!(usable(&view, now), 50);
    view.tick(now.after(60 * SECOND));
    assert!(view.members(now).is_empty());
}

#[test]
fn down_while_listed_returns_on_answer() {
    let mut view = view_of(&workers(3));
    let key = Key::from(&worker(1));
    for _ in 0..3 {
        view.record_failure(START, &key);
    }
    assert_eq!(availability(&view, START, 1), Some(Availability::Down));
    let later = START.after(SECOND);
    assert_eq!(view.probes(later).len(), 1);
    view.record_answer(later, &key);
    assert_eq!(availability(&view, later, 1), Some(Availability::Live));
}

#[test]
fn replaced_instance_starts_afresh() {
    // A worker died and comes back under its name at another address. The failures of the earlier
    // process say nothing of it.
    let mut view = view_of(&workers(3));
    for _ in 0..3 {
        view.record_failure(START, &Key::from(&worker(1)));
    }
    let mut members = workers(3);
    members[1].address.set_port(9_900);
    view.apply_list(START.after(SECOND), &members);
    assert_eq!(availability(&view, START.after(SECOND), 1), Some(Availability::Live));
}

#[test]
fn hear_leaving_before_list() {
    // A peer's list is fresher: it knows that a worker leaves. No new work goes there at once,
    // although the own list still shows it as live.
    let mut view = view_of(&workers(3));
    view.apply_peer_report(START, &Key::from(&worker(1)), PeerReport::Leaving);
    view.apply_list(START.after(SECOND), &workers(3));
    assert_eq!(availability(&view, START.after(SECOND), 1), Some(Availability::Leaving));
}

#[test]
fn hear_down_asks_for_own_try() {
    // A peer that is cut off from a worker says that it is down. This instance reaches it and goes
    // on using it.
    let mut view = view_of(&workers(50));
    let now = START.after(SECOND);
    view.apply_list(now, &[]);
    probe(&mut view, now, |_| true);
    assert!(view.probes(now).is_empty());
    view.apply_peer_report(now, &Key::from(&worker(1)), PeerReport::Down);
    assert_eq!(availability(&view, now, 1), Some(Availability::Suspected));
    assert_eq!(view.probes(now).len(), 1);
}

#[test]
fn hear_answered_does_not_undo_own_failures() {
    // A peer reaches a worker that this instance cannot reach. Here it stays down.
    let mut view = view_of(&workers(3));
    let key = Key::from(&worker(1));
    for _ in 0..3 {
        view.record_failure(START, &key);
    }
    view.apply_peer_report(START, &key, PeerReport::Answered(Duration::ZERO));
    assert_eq!(availability(&view, START, 1), Some(Availability::Down));
}
