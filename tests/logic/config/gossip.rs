//! Tests of settings that reach an instance through its peers.

use std::time::Duration;

use oriolefork::config::gossip::worst_by_domain;
use oriolefork::config::{Change, Message, Preset};

use super::cluster::Cluster;

const PEAK: Change = Change::Preset(Preset::Peak);
const ORDINARY: Change = Change::Preset(Preset::Ordinary);

/// Accepts a change through the first instance; only the instances in `readers` read the log.
fn accept(cluster: &mut Cluster, base: u64, change: Change, readers: &[usize]) {
    cluster.publish(0, "ana", base, change);
    cluster.flush(0);
    for reader in readers {
        cluster.read(*reader);
    }
}

/// Advances the time by `span` with gossip; the instances in `readers` read the log, the reads of
/// the others fail.
fn run_for(cluster: &mut Cluster, span: Duration, readers: &[usize]) {
    const STEP: Duration = Duration::from_millis(250);
    for _ in 0..(span.as_millis() / STEP.as_millis()) {
        cluster.advance(STEP);
        for index in 0..cluster.nodes.len() {
            if readers.contains(&index) {
                cluster.read(index);
            } else {
                cluster.deliver(index, Message::ReadFailed);
            }
            cluster.tick(index);
        }
        cluster.gossip(|_, _| true);
    }
}

#[test]
fn gossip_reaches_domain_without_log() {
    // kurow-hall loses the log but not its peers. An operator puts "peak" in force through
    // oamaru-hall; it must be in force in kurow-hall within 4 s, the limit for all domains.
    let mut cluster = Cluster::new(&["oamaru-hall", "palmerston-hall", "kurow-hall", "kurow-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, PEAK, &[0, 1]);
    run_for(&mut cluster, Duration::from_secs(4), &[0, 1]);
    assert_eq!(cluster.version(2), Some(1));
    assert_eq!(cluster.version(3), Some(1));
}

#[test]
fn gossip_stale_value_is_ignored() {
    // A peer's state from before the last preset change arrives late and twice. The instance must
    // not revert to it.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, PEAK, &[0, 1]);
    let stale = cluster.nodes[1].machine.state().unwrap().clone();
    accept(&mut cluster, 1, ORDINARY, &[0]);
    for _ in 0..2 {
        cluster.deliver(0, Message::StateReceived(stale.clone()));
        assert_eq!(cluster.version(0), Some(2));
    }
    cluster.read(1);
    assert_eq!(cluster.version(1), Some(2));
}

#[test]
fn gossip_longer_log_with_smaller_version_is_ignored() {
    // A peer's state covers a longer prefix but has a smaller version, which can happen if the log
    // lost records. The version in force must not decrease.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    let mut inconsistent = cluster.nodes[1].machine.state().unwrap().clone();
    inconsistent.next = 50;
    accept(&mut cluster, 0, PEAK, &[0]);
    cluster.deliver(0, Message::StateReceived(inconsistent));
    assert_eq!(cluster.version(0), Some(1));
}

#[test]
fn gossip_skips_record_of_waiting_publisher() {
    // The publishing instance appends a change but does not read it back. A peer's state already
    // contains the change, and the operator gets the outcome from that state.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    let id = cluster.publish(0, "ana", 0, PEAK);
    cluster.flush(0);
    cluster.read(1);
    let state = cluster.nodes[1].machine.state().unwrap().clone();
    cluster.deliver(0, Message::StateReceived(state));
    assert!(cluster.nodes[0].answers.contains_key(&id));
}

#[test]
fn gossip_leaves_value_to_working_log() {
    // While every instance reads the log in time, only digests are exchanged and no state.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall", "palmerston-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, PEAK, &[0]);
    cluster.gossip(|_, _| true);
    cluster.read_all();
    cluster.advance(Duration::from_secs(1));
    for index in 0..3 {
        cluster.tick(index);
        assert!(cluster.nodes[index].fetches.is_empty());
    }
}

#[test]
fn restart_old_prefix_is_not_in_force() {
    // An instance with version 2 in force is restarted. The new process reads the log page by page
    // and reaches version 1 first. Putting that in force would briefly revert the preset.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, PEAK, &[0, 1]);
    accept(&mut cluster, 1, ORDINARY, &[0, 1]);
    cluster.restart(1);
    let mut page = cluster.log.page(0);
    page.records.truncate(1);
    cluster.deliver(1, Message::Page(page));
    assert_eq!(cluster.version(1), None);
    cluster.read(1);
    assert_eq!(cluster.version(1), Some(2));
}

#[test]
fn restart_in_outage_hears_peers() {
    // An instance is restarted while the log is down. It takes the value from a peer.
    let mut cluster = Cluster::new(&["oamaru-hall", "oamaru-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, PEAK, &[0, 1]);
    cluster.restart(1);
    assert_eq!(cluster.version(1), None);
    run_for(&mut cluster, Duration::from_secs(3), &[]);
    assert_eq!(cluster.version(1), Some(1));
}

#[test]
fn restart_with_log_waits_for_log() {
    // A restarted instance receives the state of a peer that lags behind, while the log answers.
    // That state may be older than what this instance had in force, so it waits for the log.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    accept(&mut cluster, 0, PEAK, &[0, 1]);
    let lagging = cluster.nodes[1].machine.state().unwrap().clone();
    accept(&mut cluster, 1, ORDINARY, &[0]);
    cluster.restart(0);
    let mut page = cluster.log.page(0);
    page.records.clear();
    cluster.deliver(0, Message::Page(page));
    cluster.deliver(0, Message::StateReceived(lagging));
    assert_eq!(cluster.version(0), None);
    cluster.read(0);
    assert_eq!(cluster.version(0), Some(2));
}

#[test]
fn standings_show_age_of_cut_off_domain() {
    // A domain loses the log and its peers for 30 s. Other instances must report the age of its
    // last status, and its own status must report that its version was not confirmed since.
    let mut cluster = Cluster::new(&["oamaru-hall", "palmerston-hall", "kurow-hall"]);
    cluster.read_all();
    run_for(&mut cluster, Duration::from_secs(20), &[0, 1, 2]);
    for _ in 0..60 {
        cluster.advance(Duration::from_millis(500));
        for index in 0..3 {
            cluster.tick(index);
        }
        cluster.read(0);
        cluster.read(1);
        cluster.gossip(|from, to| from != 2 && to != 2);
    }
    let recent = Duration::from_secs(10);
    let connected = worst_by_domain(&cluster.nodes[0].machine.sync_statuses(cluster.now), recent);
    assert!(connected[&"kurow-hall".into()].heard >= Duration::from_secs(30));
    assert!(connected[&"palmerston-hall".into()].heard < recent);
    let isolated = worst_by_domain(&cluster.nodes[2].machine.sync_statuses(cluster.now), recent);
    assert!(isolated[&"kurow-hall".into()].confirmed.unwrap() >= Duration::from_secs(30));
}
