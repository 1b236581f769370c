//! Alerts stay open until an operator acknowledges them.

use oriolefork::alert::{
    Board, BoardSnapshot, Id, Key, Kind, MAX_OPEN_PER_KIND, Record, Subject, wire,
};
use oriolefork::clock::Unix;
use oriolefork::{codec, job};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const NOW: Unix = Unix::from_millis(1_800_000_000_000);

fn late(job: u64) -> Key {
    Key { kind: Kind::Late, subject: Subject::Job(job::Id::from_raw(job)) }
}

/// Encodes and decodes the record, as the next owner reads it from the stream.
fn round_trip(record: &Record) -> Record {
    let bytes = codec::encode(&wire::Record::from(record)).unwrap();
    codec::decode::<wire::Record>(&bytes).unwrap().try_into().unwrap()
}

fn replay(records: &[Record]) -> Board {
    let mut board = Board::new();
    for record in records {
        board.apply(&round_trip(record));
    }
    board
}

#[test]
fn raise_twice_is_one_alert() {
    let mut board = Board::new();
    assert!(board.raise(NOW, late(1), "missed 06:00").is_some());
    assert!(board.raise(NOW, late(1), "missed 06:00").is_none());
    assert_eq!(board.open_count(), 1);
}

#[test]
fn board_is_rebuilt_from_stream() {
    // The owner raises two alerts, an operator acknowledges one of them, and the owner crashes. The
    // next owner rebuilds the board from the stream: it must show the open alert and must not
    // reopen the acknowledged one.
    let mut board = Board::new();
    let records = [
        board.raise(NOW, late(1), "missed 06:00").unwrap(),
        board.raise(NOW, late(2), "missed 06:00").unwrap(),
    ];
    let seen = board.open()[0].id;
    let acknowledged = board.acknowledge(NOW, seen, "ana").unwrap().unwrap();
    drop(board);

    let mut next = replay(&[records[0].clone(), records[1].clone(), acknowledged]);
    assert_eq!(next.open().iter().map(|alert| &alert.key).collect::<Vec<_>>(), [&late(2)]);
    assert_eq!(next.get(seen).unwrap().acknowledged.as_ref().unwrap().by, "ana");
    assert!(next.raise(NOW, late(1), "missed 06:00").is_none());
}

#[test]
fn raise_again_after_cause_had_gone() {
    // The log fails, an operator acknowledges the alert, the log recovers and fails again. The
    // second outage must raise a new alert; another call during it must not.
    let key = Key { kind: Kind::LogOutage, subject: Subject::Domain };
    let mut board = Board::new();
    board.raise(NOW, key.clone(), "no answer");
    let first = board.open()[0].id;
    board.acknowledge(NOW, first, "ana").unwrap();
    assert!(board.raise(NOW, key.clone(), "no answer").is_none());
    assert!(board.end(NOW, &key).is_some());
    assert!(board.raise(NOW, key.clone(), "no answer").is_some());
    assert!(board.raise(NOW, key, "no answer").is_none());
    assert!(board.open()[0].id > first);
}

#[test]
fn end_leaves_alert_open() {
    let mut board = Board::new();
    board.raise(NOW, late(1), "missed 06:00");
    assert!(board.end(NOW, &late(1)).is_some());
    assert!(board.end(NOW, &late(1)).is_none());
    assert_eq!(board.open()[0].ended, Some(NOW));
}

#[test]
fn raise_again_before_acknowledgement() {
    // The log fails, recovers and fails again before an operator acknowledges the alert. The alert
    // must not show its cause as gone during the second outage.
    let key = Key { kind: Kind::LogOutage, subject: Subject::Domain };
    let mut board = Board::new();
    let later = Unix::from_millis(NOW.as_millis() + 1);
    let records = [
        board.raise(NOW, key.clone(), "no answer").unwrap(),
        board.end(NOW, &key).unwrap(),
        board.raise(later, key, "no answer").unwrap(),
    ];
    assert_eq!(board.open()[0].ended, None);
    assert_eq!(replay(&records).open()[0].ended, None);
}

#[test]
fn acknowledge_keeps_first_person() {
    let mut board = Board::new();
    board.raise(NOW, late(1), "missed 06:00");
    let id = board.open()[0].id;
    assert!(board.acknowledge(NOW, id, "ana").unwrap().is_some());
    assert_eq!(board.acknowledge(NOW, id, "ben"), Ok(None));
    assert_eq!(board.get(id).unwrap().acknowledged.as_ref().unwrap().by, "ana");
    assert!(board.acknowledge(NOW, Id::from_raw(7), "ben").is_err());
}

#[test]
fn excess_alerts_are_counted_in_summary() {
    // A rack fails and 5,000 jobs become late within a second. The list of open alerts must stay
    // bounded, with a summary alert that counts the rest. Each job has its own record in the
    // stream, so that the next owner arrives at the same count.
    const JOBS: u64 = 5_000;
    let mut board = Board::new();
    let records: Vec<Record> =
        (0..JOBS).filter_map(|job| board.raise(NOW, late(job), "missed 06:00")).collect();
    assert_eq!(records.len() as u64, JOBS);
    for job in 0..JOBS {
        assert!(board.raise(NOW, late(job), "missed 06:00").is_none());
    }
    let many = |board: &Board| {
        let found = board.open().into_iter().find(|alert| alert.key.subject == Subject::Many);
        found.cloned().unwrap()
    };
    assert_eq!(board.open_count(), MAX_OPEN_PER_KIND + 1);
    assert_eq!(many(&board).count + MAX_OPEN_PER_KIND as u64, JOBS);
    assert_eq!(many(&replay(&records)), many(&board));

    board.acknowledge(NOW, many(&board).id, "ana").unwrap();
    assert_eq!(board.open_count(), MAX_OPEN_PER_KIND);
}

#[test]
fn raise_with_earlier_clock() {
    // The clock of the next owner is an hour behind. Its alerts must still get new identities;
    // otherwise acknowledging one alert would close another.
    let mut board = Board::new();
    board.raise(NOW, late(1), "missed 06:00");
    let earlier = Unix::from_millis(NOW.as_millis() - 3_600_000);
    board.raise(earlier, late(2), "missed 06:00");
    let ids: Vec<Id> = board.open().iter().map(|alert| alert.id).collect();
    assert!(ids[0] < ids[1]);
}

#[test_case(&"é".repeat(600) ; "two_byte_letters")]
#[test_case(&"x".repeat(5_000) ; "long")]
fn raise_clips_message(message: &str) {
    let mut board = Board::new();
    board.raise(NOW, late(1), message);
    let kept = &board.open()[0].message;
    assert!(kept.len() <= 512 && message.starts_with(kept.as_str()));
}

#[derive(Clone, Debug)]
enum Step {
    Raise(u64),
    End(u64),
    Acknowledge(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..700_u64).prop_map(Step::Raise),
        1 => (0..700_u64).prop_map(Step::End),
        1 => (0..8_usize).prop_map(Step::Acknowledge),
    ]
}

/// Executes a step and returns the record to append to the stream.
fn run_step(board: &mut Board, step: &Step) -> Option<Record> {
    match step {
        Step::Raise(job) => board.raise(NOW, late(*job), "missed"),
        Step::End(job) => board.end(NOW, &late(*job)),
        Step::Acknowledge(index) => {
            let id = board.open().get(*index)?.id;
            board.acknowledge(NOW, id, "ana").unwrap()
        }
    }
}

/// Snapshot of the state that must be equal on every instance that applied the same records.
/// `last_raised` is masked: raising an open alert again updates it without a record.
fn comparable_snapshot(board: &Board) -> BoardSnapshot {
    let mut snapshot = board.snapshot();
    for alert in &mut snapshot.alerts {
        alert.last_raised = NOW;
    }
    snapshot
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn records_rebuild_board(steps in prop::collection::vec(step(), 0..1_500), cut in 0..1_500_usize) {
        // One instance reads all records, another starts from a snapshot, a third reads every
        // record twice: each must arrive at the owner's board.
        let mut board = Board::new();
        let mut records = Vec::new();
        let mut snapshot = (0, BoardSnapshot::default());
        for (index, step) in steps.iter().enumerate() {
            if index == cut {
                snapshot = (records.len(), board.snapshot());
            }
            records.extend(run_step(&mut board, step));
        }
        prop_assert_eq!(comparable_snapshot(&replay(&records)), comparable_snapshot(&board));

        let doubled: Vec<Record> =
            records.iter().flat_map(|record| [record.clone(), record.clone()]).collect();
        prop_assert_eq!(comparable_snapshot(&replay(&doubled)), comparable_snapshot(&board));

        let (from, snapshot) = snapshot;
        let bytes = codec::encode(&wire::BoardSnapshot::from(&snapshot)).unwrap();
        let read: wire::BoardSnapshot = codec::decode(&bytes).unwrap();
        let mut later = Board::restore(read.try_into().unwrap());
        records[from..].iter().for_each(|record| later.apply(record));
        prop_assert_eq!(comparable_snapshot(&later), comparable_snapshot(&board));
    }
}
