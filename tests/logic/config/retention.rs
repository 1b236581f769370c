//! Settings that outlive the records that made them.

use std::time::Duration;

use oriolefork::config::{Change, Message, Preset};
use oriolefork::resource::Amount;

use super::fleet::Fleet;

fn quota(team: &str) -> Change {
    let limit = Amount { cpu_millis: 1_000, memory_mib: 64, accelerators: 0 };
    Change::Quota { team: team.to_owned(), limit: Some(limit) }
}

fn accept(fleet: &mut Fleet, base: u64, change: Change) {
    fleet.publish(0, "ana", base, change);
    fleet.flush(0);
    fleet.read_all();
}

/// Lets an hour pass, after which a snapshot is due, and lets the first instance write it.
fn write_snapshot(fleet: &mut Fleet) {
    fleet.advance(fleet.timing.snapshot_interval);
    fleet.tick(0);
    fleet.advance(fleet.timing.snapshot_jitter);
    fleet.tick(0);
    assert_eq!(fleet.nodes[0].snapshots.len(), 1);
    fleet.flush(0);
}

/// Two instances, of which the second wrote its snapshot of version 1 behind the change to version 2.
fn late_snapshot() -> Fleet {
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, Change::Preset(Preset::Peak));
    fleet.advance(fleet.timing.snapshot_interval);
    fleet.tick(1);
    fleet.advance(fleet.timing.snapshot_jitter);
    fleet.tick(1);
    accept(&mut fleet, 1, quota("shop"));
    fleet.flush(1);
    fleet
}

#[test]
fn snapshot_survives_retention_cut() {
    // The log drops the change that set the preset. An instance that starts afterwards must still
    // show it, with the same version, and judge later changes as the others do.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, Change::Preset(Preset::Peak));
    write_snapshot(&mut fleet);
    fleet.read_all();
    fleet.log.oldest = 1;
    fleet.restart(1);
    fleet.read(1);
    assert_eq!(fleet.version(1), Some(1));
    accept(&mut fleet, 1, quota("shop"));
    assert_eq!(fleet.nodes[0].machine.state(), fleet.nodes[1].machine.state());
}

#[test]
fn snapshot_behind_racing_change() {
    // A snapshot of version 1 lands behind the change to version 2, and retention drops everything
    // before that change. A starting instance must replay the change on the snapshot: with the
    // snapshot alone it would show version 1 and reject what everyone else accepts.
    let mut fleet = late_snapshot();
    fleet.read_all();
    fleet.log.oldest = 1;
    fleet.restart(1);
    fleet.read(1);
    assert_eq!(fleet.version(1), Some(2));
    accept(&mut fleet, 2, quota("mail"));
    assert_eq!(fleet.nodes[0].machine.state(), fleet.nodes[1].machine.state());
}

#[test]
fn snapshot_that_misses_dropped_change_is_not_used() {
    // The snapshot covers version 1 only, and the change to version 2 behind it was dropped as
    // well. A starting instance cannot know version 2 from the log, so it shows nothing until an
    // instance that remembers writes a snapshot.
    let mut fleet = late_snapshot();
    fleet.log.oldest = 2;
    fleet.restart(1);
    fleet.read_all();
    assert_eq!(fleet.version(1), None);
    fleet.tick(0);
    fleet.advance(fleet.timing.snapshot_jitter);
    fleet.tick(0);
    fleet.flush(0);
    fleet.read_all();
    assert_eq!(fleet.version(1), Some(2));
}

#[test]
fn snapshot_written_once_when_all_are_due() {
    // Every instance sees that a snapshot is due. The first writes it; the others read it in time.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall", "palmerston-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, Change::Preset(Preset::Peak));
    fleet.advance(fleet.timing.snapshot_interval);
    for _ in 0..300 {
        fleet.advance(Duration::from_millis(10));
        for index in 0..3 {
            fleet.tick(index);
            fleet.flush(index);
        }
        fleet.read_all();
    }
    assert_eq!(fleet.log.records.len(), 2);
}

#[test]
fn gap_in_running_instance_keeps_value() {
    // An instance is paused so long that retention passes its place in the log. It keeps showing
    // its value, reads behind the gap, and goes on from a peer's state that covers it.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, Change::Preset(Preset::Peak));
    for base in 1..6 {
        fleet.publish(0, "ana", base, quota(&format!("team-{base}")));
        fleet.flush(0);
        fleet.read(0);
    }
    fleet.log.oldest = 4;
    fleet.read(1);
    assert_eq!(fleet.version(1), Some(1));
    let state = fleet.nodes[0].machine.state().unwrap().clone();
    fleet.tell(1, Message::StateReceived(state));
    assert_eq!(fleet.version(1), Some(6));
    accept(&mut fleet, 6, quota("late"));
    assert_eq!(fleet.nodes[0].machine.state(), fleet.nodes[1].machine.state());
}

#[test]
fn garbage_records_are_passed_over() {
    // Something else wrote to the stream. Every instance passes over it alike.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.log.records.push("not json".into());
    fleet.log.records.push("{\"change\":{}}".into());
    fleet.read_all();
    accept(&mut fleet, 0, Change::Preset(Preset::Peak));
    assert_eq!(fleet.version(0), Some(1));
    assert_eq!(fleet.version(1), Some(1));
}
