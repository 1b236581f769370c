//! What a job's size does to its chance, on a whole site.

use test_case::test_case;

use super::mix::{SITES, Scenario};
use super::replay::Replay;

/// Kind of the jobs that are gangs, among those of a site.
const GANGS: usize = 1;

/// Label of the site whose gangs are wide: 20 tasks on average, of 18 cores each, up to 120.
const WIDE: &str = "waitaki grown 350";

/// Callers see that of the largest backups less than half as many are served as of all. For some
/// seconds more jobs come than the site has room for; narrow gangs find their place, wide ones wait,
/// come too late and are then passed over, while a third of the room stands empty. A wide gang was asked
/// about a hundred workers at a time, and its first tickets expired before the last answer came; asked
/// about all it needs at once, it is served in the bursts and the loss below, as narrow ones are.
#[test_case(Scenario::Burst, 2; "in_a_burst")]
#[test_case(Scenario::Flood, 1; "in_a_flood")]
#[test_case(Scenario::Flood, 4; "in_another_flood")]
#[test_case(Scenario::Burst, 11; "in_another_burst")]
#[test_case(Scenario::Burst, 18; "in_a_third_burst")]
#[test_case(Scenario::Loss, 8; "while_workers_are_lost")]
fn largest_gangs_served(scenario: Scenario, seed: u64) {
    let site = SITES.iter().find(|site| site.label == WIDE).expect("a site");
    let share = Replay::new(site, scenario, seed).run().shares[GANGS];
    assert!(share.largest >= share.all / 2.0, "{share:?}");
}
