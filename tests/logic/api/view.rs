//! Views of the settings in force and of the board of alerts.

use oriolefork::alert::{Board, Key, Kind, Subject};
use oriolefork::api::configuration::settle;
use oriolefork::api::view::{Cut, alert, preset, quota};
use oriolefork::api::{Ran, Reason};
use oriolefork::clock::Unix;
use oriolefork::config::publish::Id;
use oriolefork::config::{Preset, PublishOutcome, Value, Version};
use oriolefork::job;
use oriolefork::placement::Objective;
use test_case::test_case;

#[test_case(&PublishOutcome::Superseded { winner: None }, Reason::StaleVersion, Ran::NotRun ; "superseded")]
#[test_case(&PublishOutcome::BaseMismatch { current: Version::ZERO }, Reason::StaleVersion, Ran::NotRun ; "base")]
#[test_case(&PublishOutcome::NotWritten, Reason::LogUnavailable, Ran::NotRun ; "not_written")]
#[test_case(&PublishOutcome::NotReady, Reason::LogUnavailable, Ran::NotRun ; "not_ready")]
#[test_case(&PublishOutcome::Busy, Reason::Overloaded, Ran::NotRun ; "busy")]
#[test_case(&PublishOutcome::Unknown(Id::from_raw(1)), Reason::LogUnavailable, Ran::Unknown ; "unknown")]
fn settle_refused(outcome: &PublishOutcome, reason: Reason, ran: Ran) {
    let refusal = settle(outcome).unwrap_err();
    assert_eq!((refusal.reason, refusal.ran), (reason, ran));
}

#[test]
fn presets_differ() {
    let choice = preset::Choice::of(&Value::default(), Objective::Packing);
    assert_eq!(choice.presets.len(), Preset::ALL.len());
    assert_eq!(choice.current.preset, "ordinary");
    for (index, one) in choice.presets.iter().enumerate() {
        let mut others = choice.presets.iter().skip(index + 1);
        assert!(others.all(|other| other.fields != one.fields), "{one:?}");
    }
}

#[test]
fn preset_unknown() {
    let change = preset::Change { preset: "Peak".to_owned(), based_on: 1 };
    let refusal = oriolefork::config::Change::try_from(&change).unwrap_err();
    assert_eq!(refusal.field.as_deref(), Some("preset"));
}

#[test]
fn quotas_shown() {
    let mut value = Value { version: Version::from_raw(3), ..Value::default() };
    value.quotas.insert("shop".to_owned(), oriolefork::resource::Amount::ZERO);
    let table = quota::Table::from(&value);
    assert_eq!((table.version, table.teams[0].team.as_str()), (3, "shop"));
}

fn raise(board: &mut Board, kind: Kind, number: u64) {
    let key = Key { kind, subject: Subject::Job(job::Id::from_raw(number)) };
    board.raise(Unix::from_millis(number), key, "why").unwrap();
}

fn cut(after: Option<String>) -> Cut<String> {
    Cut { after, limit: 2 }
}

// A person pages through alerts while a colleague acknowledges the one at the cut. No alert may
// be skipped or shown twice because of that.
#[test]
fn alerts_page_acknowledged_between() {
    let mut board = Board::new();
    for number in 1..=3 {
        raise(&mut board, Kind::Late, number);
    }
    raise(&mut board, Kind::Lost, 4);
    let domain = "kurow-hall".into();
    let first = alert::page(&domain, &board, false, &cut(None)).unwrap();
    let kinds: Vec<String> = first.items.iter().map(|alert| alert.kind.to_string()).collect();
    assert_eq!(kinds, ["lost", "late"]);
    let last = oriolefork::alert::Id::parse(&first.items[1].id).unwrap();
    board.acknowledge(Unix::from_millis(9), last, "ana").unwrap();
    let second = alert::page(&domain, &board, false, &cut(first.next)).unwrap();
    assert_eq!((second.items.len(), second.next), (2, None));
    assert!(second.items.iter().all(|alert| alert.id != last.to_string()));
}

#[test]
fn alerts_page_all() {
    let mut board = Board::new();
    raise(&mut board, Kind::Late, 1);
    raise(&mut board, Kind::Late, 2);
    let id = board.open()[0].id;
    board.acknowledge(Unix::from_millis(9), id, "ana").unwrap();
    let domain = "kurow-hall".into();
    let page = alert::page(&domain, &board, true, &cut(None)).unwrap();
    let seen: Vec<bool> = page.items.iter().map(|alert| alert.acknowledged.is_some()).collect();
    assert_eq!(seen, [false, true]);
}

#[test_case("" ; "empty")]
#[test_case("open" ; "short")]
#[test_case("open.lost.zz" ; "bad_id")]
#[test_case("shut.lost.1" ; "bad_list")]
fn alerts_page_bad_cursor(after: &str) {
    let board = Board::new();
    let page = alert::page(&"d".into(), &board, false, &cut(Some(after.to_owned())));
    assert_eq!(page.unwrap_err().field.as_deref(), Some("after"));
}
