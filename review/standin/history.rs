//! An owner that dies on a site whose store keeps its records for as long as the sheet says.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::site::{Plan, Site};

/// Time for which the store keeps records, in seconds.
const KEEP_S: u64 = 20;

/// Time from the first job to the kill of the owner.
const KILL_AFTER: Duration = Duration::from_secs(35);

/// Time within which the platform starts a process again that was killed.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// Time from the kill after which the site has to answer: `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which the jobs are asked for after that.
const ASKED: Duration = Duration::from_secs(14);

const FIRST: &str = "00000000000000f1";
const FIRST_BODY: &str = r#"{"spec":"600000","steps":[{"count":1,"cpu":4000,"memMb":2048,"estimatedMs":600000,"longRunning":true}]}"#;
const OTHER_BODY: &str =
    r#"{"spec":"500","steps":[{"count":1,"cpu":1000,"memMb":512,"estimatedMs":500}]}"#;

pub fn run(record: PathBuf, troubled: bool) -> i32 {
    let plan = Plan { instances: 3, runners: 8, attempts: 4, keep_s: KEEP_S };
    let mut site = Site::start(&plan, record);
    site.submit(FIRST, FIRST_BODY);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < KILL_AFTER {
        number += 1;
        site.submit(&format!("{number:016x}"), OTHER_BODY);
        std::thread::sleep(Duration::from_secs(1));
    }
    let owner = site.owner().unwrap_or(0);
    site.note(&format!("instance {owner} owns the cell"));
    if troubled {
        (0..plan.instances).for_each(|number| site.kill_instance(number));
        std::thread::sleep(RESTART_AFTER);
        (0..plan.instances).for_each(|number| site.start_instance(number));
    }
    std::thread::sleep(RECOVERY);
    let until = Instant::now() + ASKED;
    let (mut asked, mut known) = (0, 0);
    while Instant::now() < until {
        for instance in 0..3 {
            let (status, state) = site.state(instance, FIRST);
            site.note(&format!("GET {FIRST} at instance {instance}: {status} {state}"));
            asked += 1;
            known += u32::from(status == 200);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    site.note(&format!("{known} of {asked} GETs for the accepted job were answered with its state"));
    site.end();
    i32::from(known == 0)
}
