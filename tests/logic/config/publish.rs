//! Publishing: races, lost answers, outages.

use std::time::Duration;

use oriolefork::config::{Change, Preset, PublishOutcome, Version};
use oriolefork::store;

use super::fleet::Fleet;

const PEAK: Change = Change::Preset(Preset::Peak);
const MAINTENANCE: Change = Change::Preset(Preset::Maintenance);

#[test]
fn show_empty_log() {
    let mut fleet = Fleet::new(&["oamaru-hall"]);
    assert_eq!(fleet.version(0), None);
    fleet.read(0);
    assert_eq!(fleet.version(0), Some(0));
}

#[test]
fn publish_reads_back_before_it_answers() {
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    let id = fleet.publish(0, "ana", 0, PEAK);
    fleet.flush(0);
    assert_eq!(fleet.nodes[0].answers.get(&id), None);
    fleet.read_all();
    assert_eq!(fleet.nodes[0].answers[&id], PublishOutcome::Accepted(Version::from_raw(1)));
    let value = fleet.nodes[1].machine.value().unwrap();
    assert_eq!(value.preset, Preset::Peak);
    assert_eq!(value.preset_revision.as_ref().unwrap().by, "ana");
}

#[test]
fn publish_race_has_one_winner() {
    // Two operators see version 0 and set different presets through different instances. Both
    // records reach the log; the second must not silently undo the first. Its operator is told who
    // came first, and every instance shows the first one's preset.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall", "palmerston-hall"]);
    fleet.read_all();
    let late = fleet.publish(0, "ana", 0, PEAK);
    let early = fleet.publish(1, "ben", 0, MAINTENANCE);
    fleet.flush(1);
    fleet.flush(0);
    fleet.read_all();
    assert_eq!(fleet.nodes[1].answers[&early], PublishOutcome::Accepted(Version::from_raw(1)));
    let PublishOutcome::Superseded { winner: Some(winner) } = &fleet.nodes[0].answers[&late] else {
        panic!("the later change was not superseded");
    };
    assert_eq!(winner.by, "ben");
    for node in &fleet.nodes {
        assert_eq!(node.machine.value().unwrap().preset, Preset::Maintenance);
    }
}

#[test]
fn publish_lost_answer_after_write() {
    // The log writes the change but its answer is lost. The publisher appends again, because it
    // cannot know. The operator sees one accepted change; the copy changes nothing.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    let id = fleet.publish(0, "ana", 0, PEAK);
    fleet.fail(0, true, store::Outcome::Unknown);
    fleet.advance(fleet.timing.append_retry);
    fleet.tick(0);
    fleet.flush(0);
    fleet.read_all();
    assert_eq!(fleet.log.records.len(), 2);
    assert_eq!(fleet.nodes[0].answers[&id], PublishOutcome::Accepted(Version::from_raw(1)));
    assert_eq!(fleet.version(1), Some(1));
}

#[test]
fn publish_lost_answer_is_unknown_until_read() {
    // The log takes the change, then goes silent. The operator gets an honest "unknown" after a
    // bounded wait, and the truth by id once the log can be read again, through any instance.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    let id = fleet.publish(0, "ana", 0, PEAK);
    fleet.fail(0, true, store::Outcome::Unknown);
    fleet.advance(fleet.timing.publish_timeout);
    fleet.tick(0);
    assert_eq!(fleet.nodes[0].answers[&id], PublishOutcome::Unknown(id));
    fleet.read_all();
    let accepted = Some(PublishOutcome::Accepted(Version::from_raw(1)));
    assert_eq!(fleet.nodes[0].machine.outcome(id), accepted);
    assert_eq!(fleet.nodes[1].machine.outcome(id), accepted);
}

#[test]
fn publish_outage_is_not_written() {
    // Every append is refused before it is sent. The operator is told that nothing changed.
    let mut fleet = Fleet::new(&["oamaru-hall"]);
    fleet.read_all();
    let id = fleet.publish(0, "ana", 0, PEAK);
    for _ in 0..20 {
        fleet.fail(0, false, store::Outcome::NotWritten);
        fleet.advance(Duration::from_millis(300));
        fleet.tick(0);
    }
    assert_eq!(fleet.nodes[0].answers[&id], PublishOutcome::NotWritten);
}

#[test]
fn publish_stale_base_sends_nothing() {
    let mut fleet = Fleet::new(&["oamaru-hall"]);
    fleet.read_all();
    fleet.publish(0, "ana", 0, PEAK);
    fleet.flush(0);
    fleet.read_all();
    let id = fleet.publish(0, "ben", 0, MAINTENANCE);
    assert!(matches!(fleet.nodes[0].answers[&id], PublishOutcome::Superseded { .. }));
    assert!(fleet.nodes[0].appends.is_empty());
}

#[test]
fn publish_before_settings_are_read() {
    let mut fleet = Fleet::new(&["oamaru-hall"]);
    let id = fleet.publish(0, "ana", 0, PEAK);
    assert_eq!(fleet.nodes[0].answers[&id], PublishOutcome::NotReady);
}

#[test]
fn tenures_name_who_set_which_preset() {
    let mut fleet = Fleet::new(&["oamaru-hall"]);
    fleet.read_all();
    for version in 0..20 {
        let preset = Preset::ALL[version % 3];
        fleet.publish(0, &format!("person-{version}"), version as u64, Change::Preset(preset));
        fleet.flush(0);
        fleet.read_all();
    }
    let value = fleet.nodes[0].machine.value().unwrap();
    let names: Vec<&str> =
        value.preset_history.iter().map(|activation| activation.revision.by.as_str()).collect();
    assert_eq!(names.len(), 16);
    assert_eq!((names[0], names[15]), ("person-4", "person-19"));
}
