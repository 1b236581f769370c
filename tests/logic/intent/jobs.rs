//! Binding of a job to one failure domain.

use oriolefork::intent::{AdmissionDecision, AttemptId, Entry, Refusal, decode};

use super::simulation::{CallEnding, Simulation, refusal};
use super::{append, two_instances};

#[test]
fn place_job_two_domains() {
    // A client submits a job through one instance, times out and submits it through another with
    // the same key. Both submissions must be bound to one failure domain, or two owners run it.
    let mut simulation = two_instances();
    let first = simulation.submit(0, &simulation.job("backup", "kurow-hall"));
    let second = simulation.submit(1, &simulation.job("backup", "oamaru-hall"));
    simulation.run_until_idle();
    let domains: Vec<_> = [first, second].iter().map(|t| domain_of(&simulation, *t)).collect();
    assert_eq!(domains[0], domains[1]);
}

#[test]
fn place_job_late_write() {
    // The first submission's append is late, and the submission is answered with NotRun. The first
    // intent in the log determines the domain of all submissions. It is not withdrawn, since
    // another instance may already have submitted the job to that domain.
    let mut simulation = two_instances();
    let job = simulation.job("backup", "kurow-hall");
    let request_id = append(&mut simulation, 0, &job, CallEnding::Late);
    simulation.run_until_idle();
    assert_eq!(refusal(&simulation.decisions[&request_id]), Refusal::Unconfirmed);
    simulation.complete_late_append();
    let retry = simulation.submit(1, &simulation.job("backup", "oamaru-hall"));
    simulation.run_until_idle();
    assert_eq!(domain_of(&simulation, retry), "kurow-hall");
    let again = simulation.submit(0, &simulation.job("backup", "palmerston-hall"));
    simulation.run_until_idle();
    assert_eq!(domain_of(&simulation, again), "kurow-hall");
}

/// The domain to which the log binds the job of `request_id`.
fn domain_of(simulation: &Simulation, request_id: u64) -> String {
    match &simulation.decisions[&request_id] {
        AdmissionDecision::Granted(attempt) => intent_domain(simulation, *attempt),
        AdmissionDecision::Duplicate(state) => state.domain.as_ref().expect("a job").to_string(),
        AdmissionDecision::NotRun(refusal) => panic!("{refusal}"),
    }
}

fn intent_domain(simulation: &Simulation, attempt: AttemptId) -> String {
    let records = simulation.streams.iter().flat_map(|stream| &stream.records);
    let entries = records.flat_map(|record| decode(record).expect("a batch").entries);
    let mut domains = entries.filter_map(|entry| match entry {
        Entry::Intent(intent) if intent.attempt == attempt => intent.domain,
        _ => None,
    });
    domains.next().expect("the intent is in the log").to_string()
}
