//! All instances are killed on a site whose store keeps its records for twenty seconds.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::site::{Plan, Site};

/// Time for which the store keeps records, in seconds.
const KEEP_S: u64 = 20;

/// Time from the first job to the kill.
const KILL_AFTER: Duration = Duration::from_secs(30);

/// Time after which the platform starts a process again that was killed.
const RESTART_AFTER: Duration = Duration::from_millis(700);

/// Time from the restart after which the site has to serve: `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time within which an accepted job has to be known after that: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// A service, which runs all the while.
const SERVICE: &str = "00000000000000f0";
const SERVICE_BODY: &str = r#"{"spec":"600000","steps":[{"count":1,"cpu":4000,"memMb":2048,"estimatedMs":600000,"longRunning":true}]}"#;

/// Short jobs, one a second.
const SHORT_BODY: &str =
    r#"{"spec":"500","steps":[{"count":1,"cpu":1000,"memMb":512,"estimatedMs":500}]}"#;

pub fn run(record: PathBuf, troubled: bool) -> i32 {
    let plan = Plan { instances: 3, runners: 8, attempts: 4, keep_s: KEEP_S };
    let mut site = Site::start(&plan, record);
    site.submit(SERVICE, SERVICE_BODY);
    let began = Instant::now();
    let mut short = 0;
    while began.elapsed() < KILL_AFTER {
        short += 1;
        site.submit(&format!("{short:016x}"), SHORT_BODY);
        std::thread::sleep(Duration::from_secs(1));
    }
    if troubled {
        (0..plan.instances).for_each(|number| site.kill_instance(number));
        std::thread::sleep(RESTART_AFTER);
        (0..plan.instances).for_each(|number| site.start_instance(number));
    }
    std::thread::sleep(RECOVERY);
    let (mut asked, mut known, mut accepted) = (0, 0, 0);
    let until = Instant::now() + FINISH;
    while Instant::now() < until {
        for instance in 0..plan.instances {
            let (status, state) = site.state(instance, SERVICE);
            site.note(&format!("GET {SERVICE} at instance {instance}: {status} {state}"));
            known += u32::from(status == 200);
            asked += 1;
        }
        short += 1;
        let (status, _) = site.request(asked % 3, "POST", &format!("{short:016x}"), SHORT_BODY);
        site.note(&format!("POST {short:016x} at instance {}: {status}", asked % 3));
        accepted += u32::from(status == 200);
        std::thread::sleep(Duration::from_secs(1));
    }
    let lost = known == 0;
    site.note(&format!(
        "{known} of {asked} GETs for the accepted service were answered with its state, and \
         {accepted} new jobs were accepted: {}",
        if lost { "LOST" } else { "kept" }
    ));
    site.end();
    i32::from(lost)
}
