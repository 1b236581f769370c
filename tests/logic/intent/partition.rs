//! State of a partition after pages are applied.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oriolefork::clock::Unix;
use oriolefork::intent::{
    AttemptId, Batch, Entry, ExecutionOutcome, Intent, IntentStatus, Key, Kind, Partition, Policy,
    encode,
};
use oriolefork::store::{Offset, Page, Record};
use test_case::test_case;

const NOW: Unix = Unix::from_millis(1_800_000_000_000);
const HOUR: Duration = Duration::from_secs(3600);

fn ago(hours: u64) -> Unix {
    Unix::from_millis(NOW.as_millis() - hours * 3_600_000)
}

fn intent(serial: u64, name: &str, created: Unix) -> Entry {
    Entry::Intent(Intent {
        attempt: AttemptId { run: 1, serial },
        key: Key::new(Kind::Request, "portal", name).expect("valid"),
        created,
        fingerprint: 0,
        domain: None,
    })
}

fn batch(serial: u64, read_until: Offset, latest_created: Unix, entries: Vec<Entry>) -> Bytes {
    let id = AttemptId { run: 9, serial };
    encode(&Batch {
        partition: 0,
        writer: "erie-1".to_owned(),
        id,
        read_until,
        latest_created,
        entries,
    })
}

fn page(oldest: Offset, first: Offset, payloads: Vec<Bytes>) -> Page {
    let records: Vec<_> =
        (first..).zip(payloads).map(|(offset, payload)| Record { offset, payload }).collect();
    let end = first + records.len() as Offset;
    Page { records, oldest, end }
}

fn partition(retention: Duration) -> Partition {
    Partition::new(0, Rc::new(Policy { retention, ..Policy::default() }))
}

#[test_case(10, Some(ago(3)) ; "who_had_read_all_dropped")]
#[test_case(9, None ; "who_had_missed_one")]
fn apply_witness(seen: Offset, expected: Option<Unix>) {
    // Ten records were dropped. A later batch bounds their creation times only if its writer had
    // read all ten.
    let mut partition = partition(Duration::ZERO);
    let kept = vec![batch(1, seen, ago(3), vec![])];
    partition.apply(&page(10, 10, kept), NOW).expect("a page");
    assert_eq!(partition.incomplete_until(), expected.unwrap_or(NOW.after(Duration::from_secs(2))));
}

#[test]
fn apply_earliest_witness() {
    // Two batches bound the dropped records' creation times. The lower bound is used, since it
    // refuses fewer keys.
    let mut partition = partition(Duration::ZERO);
    let kept = vec![batch(1, 10, ago(5), vec![]), batch(2, 11, ago(1), vec![])];
    partition.apply(&page(10, 10, kept), NOW).expect("a page");
    assert_eq!(partition.incomplete_until(), ago(5));
}

#[test]
fn apply_skipped() {
    // The log's retention does not bound the age of records that the instance itself skipped, since
    // the log still has them.
    let mut partition = partition(24 * HOUR);
    partition.skip_to(10);
    partition.apply(&page(0, 10, vec![batch(1, 3, ago(3), vec![])]), NOW).expect("a page");
    assert!(partition.incomplete_until() > NOW);
}

#[test]
fn apply_dropped_within_retention() {
    let mut partition = partition(24 * HOUR);
    partition.apply(&page(10, 10, vec![]), NOW).expect("a page");
    assert!(partition.admits(ago(23)));
    assert!(!partition.admits(ago(24)));
}

#[test]
fn horizon_covers_floor() {
    // The bound that a writer puts into its batches includes the records that it missed itself.
    let mut partition = partition(Duration::ZERO);
    partition.apply(&page(10, 10, vec![batch(1, 10, ago(3), vec![])]), NOW).expect("a page");
    assert_eq!(partition.latest_created(), ago(3));
}

#[test]
fn apply_misplaced() {
    // A page that does not start at the requested offset hides records, so it is refused.
    let mut partition = partition(Duration::ZERO);
    let payloads = vec![batch(1, 0, ago(1), vec![intent(1, "renew-7", ago(1))])];
    assert!(partition.apply(&page(0, 1, payloads.clone()), NOW).is_err());
    assert_eq!(partition.next_offset(), 0);
    let applied = partition.apply(&page(0, 0, payloads), NOW).expect("a page");
    assert_eq!(applied.intents[0].status, IntentStatus::Won);
}

#[test]
fn apply_withdrawal_of_other() {
    // The withdrawal of an attempt that lost does not release the winner's key.
    let mut partition = partition(Duration::ZERO);
    let first = intent(1, "renew-7", ago(1));
    let second = intent(2, "renew-7", ago(1));
    let withdrawal = Entry::Withdrawal { attempt: second.attempt(), key: second.key().clone() };
    let entries = vec![first.clone(), second, withdrawal, intent(3, "renew-7", ago(1))];
    let applied =
        partition.apply(&page(0, 0, vec![batch(1, 0, ago(1), entries)]), NOW).expect("a page");
    let statuses: Vec<_> = applied.intents.iter().map(|intent| intent.status).collect();
    assert_eq!(statuses, [IntentStatus::Won, IntentStatus::Lost, IntentStatus::Lost]);
    assert_eq!(partition.state(first.key()).map(|state| state.attempt), Some(first.attempt()));
}

#[test]
fn apply_withdrawal_after_outcome() {
    // A withdrawal after the outcome does not release the key: its work has run.
    let mut partition = partition(Duration::ZERO);
    let first = intent(1, "renew-7", ago(1));
    let (attempt, key) = (first.attempt(), first.key().clone());
    let outcome = Entry::Outcome {
        attempt,
        key: key.clone(),
        created: ago(1),
        outcome: ExecutionOutcome::ResponseLost,
    };
    let withdrawal = Entry::Withdrawal { attempt, key };
    let entries = vec![first, outcome, withdrawal, intent(2, "renew-7", ago(1))];
    let applied =
        partition.apply(&page(0, 0, vec![batch(1, 0, ago(1), entries)]), NOW).expect("a page");
    assert_eq!(applied.intents[1].status, IntentStatus::Lost);
}
