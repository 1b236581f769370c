//! Tests of settings whose records were dropped by the log's retention.

use std::time::Duration;

use oriolefork::config::{Change, Message, Preset};
use oriolefork::resource::Amount;

use super::cluster::Cluster;

fn quota(team: &str) -> Change {
    let limit = Amount { cpu_millis: 1_000, memory_mib: 64, accelerators: 0 };
    Change::Quota { team: team.to_owned(), limit: Some(limit) }
}

fn accept(cluster: &mut Cluster, base: u64, change: Change) {
    cluster.publish(0, "ana", base, change);
    cluster.flush(0);
    cluster.read_all();
}

/// Advances the time by the snapshot interval and lets the first instance write the snapshot.
fn write_snapshot(cluster: &mut Cluster) {
    cluster.advance(cluster.timing.snapshot_interval);
    cluster.tick(0);
    cluster.advance(cluster.timing.snapshot_jitter);
    cluster.tick(0);
    assert_eq!(cluster.nodes[0].snapshots.len(), 1);
    cluster.flush(0);
}

/// Two instances, the second of which appended a snapshot of version 1 after the change that
/// creates version 2.
fn outdated_snapshot() -> Cluster {
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, Change::Preset(Preset::Peak));
    cluster.advance(cluster.timing.snapshot_interval);
    cluster.tick(1);
    cluster.advance(cluster.timing.snapshot_jitter);
    cluster.tick(1);
    accept(&mut cluster, 1, quota("shop"));
    cluster.flush(1);
    cluster
}

#[test]
fn snapshot_survives_retention_cut() {
    // The log drops the change that set the preset. An instance that starts afterwards must still
    // have the preset and version in force, and accept the same later changes as the others.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, Change::Preset(Preset::Peak));
    write_snapshot(&mut cluster);
    cluster.read_all();
    cluster.log.oldest = 1;
    cluster.restart(1);
    cluster.read(1);
    assert_eq!(cluster.version(1), Some(1));
    accept(&mut cluster, 1, quota("shop"));
    assert_eq!(cluster.nodes[0].machine.state(), cluster.nodes[1].machine.state());
}

#[test]
fn snapshot_behind_racing_change() {
    // A snapshot of version 1 follows the change to version 2 in the stream, and retention drops
    // all records before that change. A starting instance must apply the change to the snapshot:
    // with the snapshot alone it would have version 1 and reject changes that all others accept.
    let mut cluster = outdated_snapshot();
    cluster.read_all();
    cluster.log.oldest = 1;
    cluster.restart(1);
    cluster.read(1);
    assert_eq!(cluster.version(1), Some(2));
    accept(&mut cluster, 2, quota("mail"));
    assert_eq!(cluster.nodes[0].machine.state(), cluster.nodes[1].machine.state());
}

#[test]
fn snapshot_that_misses_dropped_change_is_not_used() {
    // The snapshot covers version 1 only, and the change to version 2 was dropped as well. A
    // starting instance cannot rebuild version 2 from the log, so it has nothing in force until an
    // instance that has version 2 writes a snapshot.
    let mut cluster = outdated_snapshot();
    cluster.log.oldest = 2;
    cluster.restart(1);
    cluster.read_all();
    assert_eq!(cluster.version(1), None);
    cluster.tick(0);
    cluster.advance(cluster.timing.snapshot_jitter);
    cluster.tick(0);
    cluster.flush(0);
    cluster.read_all();
    assert_eq!(cluster.version(1), Some(2));
}

#[test]
fn snapshot_written_once_when_all_are_due() {
    // A snapshot is due at every instance. The first writes it; the others read it before their
    // random delay ends and write none.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall", "palmerston-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, Change::Preset(Preset::Peak));
    cluster.advance(cluster.timing.snapshot_interval);
    for _ in 0..300 {
        cluster.advance(Duration::from_millis(10));
        for index in 0..3 {
            cluster.tick(index);
            cluster.flush(index);
        }
        cluster.read_all();
    }
    assert_eq!(cluster.log.records.len(), 2);
}

#[test]
fn gap_in_running_instance_keeps_value() {
    // An instance is paused until retention drops records that it has not read. It keeps its value
    // in force, reads the records after the gap, and continues from a peer's state that covers the
    // gap.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, Change::Preset(Preset::Peak));
    for base in 1..6 {
        cluster.publish(0, "ana", base, quota(&format!("team-{base}")));
        cluster.flush(0);
        cluster.read(0);
    }
    cluster.log.oldest = 4;
    cluster.read(1);
    assert_eq!(cluster.version(1), Some(1));
    let state = cluster.nodes[0].machine.state().unwrap().clone();
    cluster.deliver(1, Message::StateReceived(state));
    assert_eq!(cluster.version(1), Some(6));
    accept(&mut cluster, 6, quota("late"));
    assert_eq!(cluster.nodes[0].machine.state(), cluster.nodes[1].machine.state());
}

#[test]
fn garbage_records_are_passed_over() {
    // Records that are not settings changes are in the stream. Every instance skips them.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.log.records.push("not json".into());
    cluster.log.records.push("{\"change\":{}}".into());
    cluster.read_all();
    accept(&mut cluster, 0, Change::Preset(Preset::Peak));
    assert_eq!(cluster.version(0), Some(1));
    assert_eq!(cluster.version(1), Some(1));
}
