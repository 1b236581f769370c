//! Tests of the settings' wire types in the log and between peers.

use std::time::Duration;

use oriolefork::codec;
use oriolefork::config::gossip::{Digest, MAX_ROWS, SyncStatus};
use oriolefork::config::publish::Id;
use oriolefork::config::reader::Record;
use oriolefork::config::{Change, DrainTarget, Preset, Publication, State, Version, wire};
use oriolefork::resource::Amount;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

use oriolefork::clock::Unix;

fn publication(base: u64, change: Change) -> Publication {
    let at = Unix::from_millis(1_800_000_000_000);
    let id = Id::from_raw(u128::from(base) + 1);
    Publication { id, base: Version::from_raw(base), by: "ana \"x\"\n".to_owned(), at, change }
}

fn changes() -> Vec<Change> {
    let limit = Amount { cpu_millis: 1, memory_mib: 2, accelerators: 3 };
    let worker = DrainTarget::Worker { domain: "kurow-hall".into(), worker: "w1".into() };
    let rack = DrainTarget::Rack { domain: "kurow-hall".into(), rack: "r1".to_owned() };
    vec![
        Change::Preset(Preset::Peak),
        Change::Quota { team: "shop".to_owned(), limit: Some(limit) },
        Change::Quota { team: "mail".to_owned(), limit: None },
        Change::Drain(worker.clone()),
        Change::Drain(rack),
        Change::Undrain(worker),
        Change::LogLevel(Some(log::LevelFilter::Debug)),
        Change::LogLevel(None),
    ]
}

fn state() -> State {
    let mut state = State::default();
    for (base, change) in (0..).zip(changes()) {
        state.apply(&publication(base, change));
    }
    state
}

#[test]
fn change_survives_log() {
    for change in changes() {
        let record = Record::Change(publication(7, change));
        assert_eq!(wire::decode(&wire::encode(&record)), Ok(record));
    }
}

#[test]
fn state_survives_log_and_peers() {
    let state = state();
    let record = Record::Snapshot { state: state.clone(), at: Unix::from_millis(5) };
    assert_eq!(wire::decode(&wire::encode(&record)), Ok(record));
    let bytes = codec::encode(&wire::State::from(&state)).unwrap();
    let read: wire::State = codec::decode(&bytes).unwrap();
    assert_eq!(State::try_from(read), Ok(state));
}

#[test]
fn state_at_its_bounds_fits_record() {
    // The largest settings within the bounds must fit in one record. Otherwise no snapshot of them
    // could be read back, and they would be lost once retention drops their records.
    let name = |prefix: &str, index: usize| format!("{prefix}{index:0>60}");
    let mut state = State::default();
    let mut base = 0;
    let mut publish = |change| {
        state.apply(&publication(base, change));
        base += 1;
    };
    let limit = Amount { cpu_millis: u64::MAX, memory_mib: u64::MAX, accelerators: u64::MAX };
    for index in 0..600 {
        publish(Change::Quota { team: name("q", index), limit: Some(limit) });
    }
    for index in 0..1_200 {
        let (domain, rack) = (name("d", index).as_str().into(), name("r", index));
        publish(Change::Drain(DrainTarget::Rack { domain, rack }));
    }
    assert!(state.value.quotas.len() < 600 && state.value.drained.len() < 1_200);
    let record = Record::Snapshot { state, at: Unix::from_millis(5) };
    let bytes = wire::encode(&record);
    assert!(bytes.len() <= wire::MAX_RECORD_BYTES, "{} bytes", bytes.len());
    assert_eq!(wire::decode(&bytes), Ok(record));
}

#[test_case("" ; "empty")]
#[test_case("{}" ; "no_record")]
#[test_case("{\"reset\":{}}" ; "unknown_record")]
#[test_case("{\"change\":{\"id\":\"1\",\"base\":0,\"by\":\"a\",\"at\":0,\"set\":{\"preset\":\"peak\"}}}" ; "short_id")]
#[test_case("{\"change\":{\"id\":\"00000000000000000000000000000001\",\"base\":-1,\"by\":\"a\",\"at\":0,\"set\":{\"preset\":\"peak\"}}}" ; "negative_base")]
#[test_case("{\"change\":{\"id\":\"00000000000000000000000000000001\",\"base\":0,\"by\":\"a\",\"at\":0,\"set\":{\"preset\":\"rush\"}}}" ; "unknown_preset")]
fn decode_refuses(text: &str) {
    assert!(wire::decode(text.as_bytes()).is_err());
}

fn status(instance: &str) -> SyncStatus {
    SyncStatus {
        instance: instance.to_owned(),
        domain: "kurow-hall".into(),
        version: Version::from_raw(3),
        next: 9,
        in_force: true,
        confirmed: Some(Duration::from_millis(5)),
        heard: Duration::ZERO,
    }
}

#[test_case("entry-1", MAX_ROWS, true ; "most_rows")]
#[test_case("entry-1", MAX_ROWS + 1, false ; "too_many_rows")]
#[test_case("", 0, false ; "no_name")]
fn digest_bounds(instance: &str, rows: usize, accepted: bool) {
    let digest = Digest { from: status(instance), rows: vec![status("entry-2"); rows] };
    let bytes = codec::encode(&wire::Digest::from(&digest)).unwrap();
    let read: wire::Digest = codec::decode(&bytes).unwrap();
    assert_eq!(Digest::try_from(read).ok(), accepted.then_some(digest));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn decode_survives_damage(position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let record = Record::Snapshot { state: state(), at: Unix::from_millis(5) };
        let mut bytes = wire::encode(&record).to_vec();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        // A damaged record neither causes a panic nor yields a state beyond the bounds.
        if let Ok(Record::Snapshot { state, .. }) = wire::decode(&bytes) {
            prop_assert!(state.history.len() <= 32);
        }
        prop_assert!(wire::decode(&bytes[..position]).is_err());
    }
}
