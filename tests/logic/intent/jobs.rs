//! The failure domain of a job is fixed once.

use oriolefork::intent::{AdmissionDecision, AttemptId, Entry, Refusal, decode};

use super::world::{End, World, refusal};
use super::{append, pair};

#[test]
fn place_job_two_domains() {
    // A client submits a backup through one hall, times out and submits it through another with
    // the same key. Both submissions must name one failure domain, or two owners run it.
    let mut world = pair();
    let first = world.submit(0, &world.job("backup", "kurow-hall"));
    let second = world.submit(1, &world.job("backup", "oamaru-hall"));
    world.calm();
    let domains: Vec<_> = [first, second].iter().map(|t| domain_of(&world, *t)).collect();
    assert_eq!(domains[0], domains[1]);
}

#[test]
fn place_job_late_write() {
    // The first submission's write is late and it is told "not run". Whichever intent is first in
    // the log fixes the domain for all later ones; a job's intent is never withdrawn, since another
    // hall may already have handed the job over by it.
    let mut world = pair();
    let job = world.job("backup", "kurow-hall");
    let request_id = append(&mut world, 0, &job, End::Late);
    world.calm();
    assert_eq!(refusal(&world.decisions[&request_id]), Refusal::Unconfirmed);
    world.land();
    let retry = world.submit(1, &world.job("backup", "oamaru-hall"));
    world.calm();
    assert_eq!(domain_of(&world, retry), "kurow-hall");
    let again = world.submit(0, &world.job("backup", "palmerston-hall"));
    world.calm();
    assert_eq!(domain_of(&world, again), "kurow-hall");
}

/// The domain that the log fixes for the job of `request_id`.
fn domain_of(world: &World, request_id: u64) -> String {
    match &world.decisions[&request_id] {
        AdmissionDecision::Granted(attempt) => intent_domain(world, *attempt),
        AdmissionDecision::Duplicate(state) => state.domain.as_ref().expect("a job").to_string(),
        AdmissionDecision::NotRun(refusal) => panic!("{refusal}"),
    }
}

fn intent_domain(world: &World, attempt: AttemptId) -> String {
    let records = world.streams.iter().flat_map(|stream| &stream.records);
    let entries = records.flat_map(|record| decode(record).expect("a batch").entries);
    let mut domains = entries.filter_map(|entry| match entry {
        Entry::Intent(intent) if intent.attempt == attempt => intent.domain,
        _ => None,
    });
    domains.next().expect("the intent is in the log").to_string()
}
