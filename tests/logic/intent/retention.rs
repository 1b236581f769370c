//! Keys whose records the log has dropped or an instance has evicted from memory.

use std::time::Duration;

use oriolefork::clock::Unix;
use oriolefork::intent::{Policy, Refusal, Request};
use test_case::test_case;

use super::simulation::{CallEnding, Simulation, is_done, is_won, refusal};
use super::{append, two_instances};

#[test]
fn submit_dropped_record() {
    // A request ran long ago and the log has dropped its record. A retry with the old key reaches
    // an instance that has restarted since. It must not run again, while a key created after the
    // dropped records still runs.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.begin_execution(0);
    simulation.finish_execution(0);
    simulation.run_until_idle();
    for other in 0..20 {
        simulation.advance(60_000);
        let later = simulation.request(&format!("later-{other}"));
        simulation.submit_and_wait(1, &later);
    }
    simulation.drop_old_records(1);
    simulation.restart(0);
    assert_eq!(refusal(&simulation.submit_and_wait(0, &request)), Refusal::Expired);
    assert!(is_done(&simulation.submit_and_wait(1, &request)));
    simulation.advance(5000);
    let fresh = simulation.request("fresh");
    assert!(is_won(&simulation.submit_and_wait(0, &fresh)));
}

#[test]
fn submit_dropped_meanwhile() {
    // An instance reads the log and then stalls. Meanwhile the request runs elsewhere and the log
    // drops its record. The stalled instance appends an intent for the same key and reads it back
    // after a gap. The key may have run in the gap, so it must not run.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(1, &request);
    simulation.begin_execution(1);
    let request_id = append(&mut simulation, 0, &request, CallEnding::Success);
    simulation.drop_old_records(1);
    simulation.run_until_idle();
    assert_eq!(refusal(&simulation.decisions[&request_id]), Refusal::Expired);
}

#[test]
fn submit_log_restored() {
    // The log loses records, as after a restore from an old backup. An instance that had read
    // beyond the log's new end detects it and refuses the keys whose records it may have missed.
    let mut simulation = two_instances();
    for number in 0..40 {
        let other = simulation.request(&format!("other-{number}"));
        simulation.submit_and_wait(1, &other);
    }
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.begin_execution(0);
    for stream in &mut simulation.streams {
        stream.records.clear();
    }
    assert_eq!(refusal(&simulation.submit_and_wait(1, &request)), Refusal::Expired);
    simulation.advance(5000);
    let fresh = same_partition_request(&simulation, &request);
    assert!(is_won(&simulation.submit_and_wait(1, &fresh)));
}

/// A request whose key is in the same partition as that of `other`.
fn same_partition_request(simulation: &Simulation, other: &Request) -> Request {
    let mut requests = (0..).map(|number| simulation.request(&format!("fresh-{number}")));
    let partition = other.key.partition();
    requests.find(|request| request.key.partition() == partition).expect("endless")
}

#[test]
fn submit_all_dropped() {
    // After a week without requests, the log has dropped all records, and no batch bounds their
    // creation times. Unless the policy gives the log's retention, only keys created after the
    // first read are admitted.
    for (retention, safe) in [(Duration::ZERO, false), (Duration::from_secs(3600), true)] {
        let mut simulation = Simulation::new(1, Policy { retention, ..Policy::default() });
        let request = simulation.request("renew-7");
        simulation.submit_and_wait(0, &request);
        simulation.advance(7 * 24 * 3_600_000);
        simulation.drop_old_records(0);
        simulation.restart(0);
        let waiting = simulation.request("renew-8");
        // The keys fall into both partitions, so several are tried.
        let requests: Vec<_> = (0..16).map(|n| simulation.request(&format!("n-{n}"))).collect();
        let won = requests
            .iter()
            .filter(|request| is_won(&simulation.submit_and_wait(0, request)))
            .count();
        assert_eq!(won == requests.len(), safe);
        simulation.advance(5000);
        let fresh = Request { created: simulation.unix(), ..waiting };
        assert!(is_won(&simulation.submit_and_wait(0, &fresh)));
        let old = simulation.submit_and_wait(0, &request);
        assert_eq!(refusal(&old), Refusal::Expired);
    }
}

#[test_case(-25 * 3600, Refusal::Expired ; "older_than_window")]
#[test_case(60, Refusal::CreatedInFuture ; "from_the_future")]
fn submit_creation_time(seconds: i64, expected: Refusal) {
    let mut simulation = two_instances();
    let created = simulation.unix().as_millis().saturating_add_signed(seconds * 1000);
    let request = Request { created: Unix::from_millis(created), ..simulation.request("renew-7") };
    assert_eq!(refusal(&simulation.submit_and_wait(0, &request)), expected);
}

#[test]
fn submit_unreadable_record() {
    // The stream contains a truncated record. It may be any key's intent, so keys created before
    // it was read are refused, and none of them runs twice. Later keys run.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.begin_execution(0);
    let stream = &mut simulation.streams[usize::from(request.key.partition())];
    let last = stream.records.pop().expect("the intent");
    stream.records.push(last.slice(..last.len() / 2));
    simulation.restart(1);
    assert_eq!(refusal(&simulation.submit_and_wait(1, &request)), Refusal::Expired);
    simulation.advance(5000);
    let fresh = Request { created: simulation.unix(), ..simulation.request("renew-8") };
    assert!(is_won(&simulation.submit_and_wait(1, &fresh)));
}

#[test]
fn submit_memory_short() {
    // There are more keys than fit into memory. The oldest are evicted, and a retry of such a key
    // is refused instead of run again.
    let policy = Policy { max_partition_bytes: 4000, ..Policy::default() };
    let mut simulation = Simulation::new(1, policy);
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.begin_execution(0);
    for other in 0..100 {
        simulation.advance(1000);
        let later = simulation.request(&format!("later-{other}"));
        simulation.submit_and_wait(0, &later);
    }
    assert!(simulation.machine(0).partitions().all(|partition| partition.bytes() <= 4000));
    assert_eq!(refusal(&simulation.submit_and_wait(0, &request)), Refusal::Expired);
}
