//! Tests of publishing: races, lost responses, outages.

use std::time::Duration;

use oriolefork::config::{Change, Preset, PublishOutcome, Version};
use oriolefork::store;

use super::cluster::Cluster;

const PEAK: Change = Change::Preset(Preset::Peak);
const MAINTENANCE: Change = Change::Preset(Preset::Maintenance);

#[test]
fn show_empty_log() {
    let mut cluster = Cluster::new(&["oamaru-hall"]);
    assert_eq!(cluster.version(0), None);
    cluster.read(0);
    assert_eq!(cluster.version(0), Some(0));
}

#[test]
fn publish_reads_back_before_it_answers() {
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    let id = cluster.publish(0, "ana", 0, PEAK);
    cluster.flush(0);
    assert_eq!(cluster.nodes[0].answers.get(&id), None);
    cluster.read_all();
    assert_eq!(cluster.nodes[0].answers[&id], PublishOutcome::Accepted(Version::from_raw(1)));
    let value = cluster.nodes[1].machine.value().unwrap();
    assert_eq!(value.preset, Preset::Peak);
    assert_eq!(value.preset_revision.as_ref().unwrap().by, "ana");
}

#[test]
fn publish_race_has_one_winner() {
    // Two operators set different presets on version 0 through different instances, and both
    // records reach the log. The second must not silently overwrite the first: its operator gets
    // the first one's revision, and the first preset is in force at every instance.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall", "palmerston-hall"]);
    cluster.read_all();
    let late = cluster.publish(0, "ana", 0, PEAK);
    let early = cluster.publish(1, "ben", 0, MAINTENANCE);
    cluster.flush(1);
    cluster.flush(0);
    cluster.read_all();
    assert_eq!(cluster.nodes[1].answers[&early], PublishOutcome::Accepted(Version::from_raw(1)));
    let PublishOutcome::Superseded { winner: Some(winner) } = &cluster.nodes[0].answers[&late]
    else {
        panic!("the later change was not superseded");
    };
    assert_eq!(winner.by, "ben");
    for node in &cluster.nodes {
        assert_eq!(node.machine.value().unwrap().preset, Preset::Maintenance);
    }
}

#[test]
fn publish_lost_answer_after_write() {
    // The log writes the change but its response is lost, so the publisher appends it again. The
    // operator gets one accepted change, and the copy has no effect.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    let id = cluster.publish(0, "ana", 0, PEAK);
    cluster.fail_appends(0, true, store::AppendOutcome::Unknown);
    cluster.advance(cluster.timing.append_retry);
    cluster.tick(0);
    cluster.flush(0);
    cluster.read_all();
    assert_eq!(cluster.log.records.len(), 2);
    assert_eq!(cluster.nodes[0].answers[&id], PublishOutcome::Accepted(Version::from_raw(1)));
    assert_eq!(cluster.version(1), Some(1));
}

#[test]
fn publish_lost_answer_is_unknown_until_read() {
    // The log writes the change, then stops answering. The operator gets "unknown" after the
    // publish timeout, and the real outcome by id from any instance once the log can be read again.
    let mut cluster = Cluster::new(&["oamaru-hall", "kurow-hall"]);
    cluster.read_all();
    let id = cluster.publish(0, "ana", 0, PEAK);
    cluster.fail_appends(0, true, store::AppendOutcome::Unknown);
    cluster.advance(cluster.timing.publish_timeout);
    cluster.tick(0);
    assert_eq!(cluster.nodes[0].answers[&id], PublishOutcome::Unknown(id));
    cluster.read_all();
    let accepted = Some(PublishOutcome::Accepted(Version::from_raw(1)));
    assert_eq!(cluster.nodes[0].machine.outcome(id), accepted);
    assert_eq!(cluster.nodes[1].machine.outcome(id), accepted);
}

#[test]
fn publish_outage_is_not_written() {
    // Every append fails before it is sent. The operator gets "not written".
    let mut cluster = Cluster::new(&["oamaru-hall"]);
    cluster.read_all();
    let id = cluster.publish(0, "ana", 0, PEAK);
    for _ in 0..20 {
        cluster.fail_appends(0, false, store::AppendOutcome::NotWritten);
        cluster.advance(Duration::from_millis(300));
        cluster.tick(0);
    }
    assert_eq!(cluster.nodes[0].answers[&id], PublishOutcome::NotWritten);
}

#[test]
fn publish_stale_base_sends_nothing() {
    let mut cluster = Cluster::new(&["oamaru-hall"]);
    cluster.read_all();
    cluster.publish(0, "ana", 0, PEAK);
    cluster.flush(0);
    cluster.read_all();
    let id = cluster.publish(0, "ben", 0, MAINTENANCE);
    assert!(matches!(cluster.nodes[0].answers[&id], PublishOutcome::Superseded { .. }));
    assert!(cluster.nodes[0].appends.is_empty());
}

#[test]
fn publish_before_settings_are_read() {
    let mut cluster = Cluster::new(&["oamaru-hall"]);
    let id = cluster.publish(0, "ana", 0, PEAK);
    assert_eq!(cluster.nodes[0].answers[&id], PublishOutcome::NotReady);
}

#[test]
fn tenures_name_who_set_which_preset() {
    let mut cluster = Cluster::new(&["oamaru-hall"]);
    cluster.read_all();
    for version in 0..20 {
        let preset = Preset::ALL[version % 3];
        cluster.publish(0, &format!("person-{version}"), version as u64, Change::Preset(preset));
        cluster.flush(0);
        cluster.read_all();
    }
    let value = cluster.nodes[0].machine.value().unwrap();
    let names: Vec<&str> =
        value.preset_history.iter().map(|activation| activation.revision.by.as_str()).collect();
    assert_eq!(names.len(), 16);
    assert_eq!((names[0], names[15]), ("person-4", "person-19"));
}
