//! A short job whose runners are cut off from the instances and crash behind the cut.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::site::{Plan, Site};

/// Failed attempts of a task that the queue allows.
const ATTEMPTS: u32 = 4;

/// The job: one task that works for a second.
const JOB: &str = "00000000000000ce";
const BODY: &str =
    r#"{"spec":"1000","steps":[{"count":1,"cpu":4000,"memMb":2048,"estimatedMs":1000}]}"#;

/// Cuts, each of one of the sixteen runners: the one on which the job's task has begun.
const CUTS: usize = 2;

/// Time from the start of the task to the cut.
const CUT_AFTER: Duration = Duration::from_millis(300);

/// Length of a cut, and time from its begin to the crash of the runner behind it.
const CUT_LENGTH: Duration = Duration::from_millis(5_000);
const CRASH_AFTER: Duration = Duration::from_millis(2_000);

/// Time from the crash to the next life of the runner, with a new ID, at the same address.
const AWAY: Duration = Duration::from_millis(2_500);

/// Time for which the job is watched, and for how long beyond its first showing as failed.
const WATCHED: Duration = Duration::from_secs(40);
const WATCHED_FAILED: Duration = Duration::from_secs(5);

/// Interval between two GETs for the state of the job.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

pub fn run(record: PathBuf, troubled: bool) -> i32 {
    let plan = Plan { instances: 3, runners: 16, attempts: ATTEMPTS, keep_s: 300 };
    let mut site = Site::start(&plan, record);
    site.submit(JOB, BODY);
    let mut until = Instant::now() + WATCHED;
    let (mut cuts, mut asked) = (0, 0);
    let mut next_ask = Instant::now();
    let mut shown = String::new();
    while Instant::now() < until && shown != "200 completed" {
        std::thread::sleep(Duration::from_millis(10));
        let starts = starts(&site);
        if troubled && cuts < CUTS && starts.len() > cuts {
            let runner = starts.last().and_then(|id| site.place_of(id));
            let Some(runner) = runner else { continue };
            cut_off(&mut site, runner);
            cuts += 1;
        }
        if Instant::now() >= next_ask {
            next_ask = Instant::now() + ASK_INTERVAL;
            asked += 1;
            let (status, state) = site.state(asked % plan.instances, JOB);
            let answer = format!("{status} {state}");
            if answer != shown {
                site.note(&format!("GET {JOB} at instance {}: {answer}", asked % plan.instances));
                if answer == "200 failed" {
                    until = until.min(Instant::now() + WATCHED_FAILED);
                }
                shown = answer;
            }
        }
    }
    let ends = ends(&site);
    let failed = ends.iter().filter(|how| *how == "failed").count();
    let lost = shown == "200 failed" && failed < ATTEMPTS as usize;
    site.note(&format!(
        "{} starts, ends on the runners: {ends:?}; {failed} of {ATTEMPTS} attempts ended `failed`; \
         shown last: {shown}: {}",
        starts(&site).len(),
        if lost { "LOST" } else { "kept" }
    ));
    site.end();
    i32::from(lost)
}

/// Cuts a runner off; it works on, crashes behind the cut and starts again.
fn cut_off(site: &mut Site, runner: usize) {
    std::thread::sleep(CUT_AFTER);
    site.cut(runner, true);
    std::thread::sleep(CRASH_AFTER);
    site.crash_runner(runner);
    std::thread::sleep(AWAY);
    site.start_runner(runner);
    std::thread::sleep(CUT_LENGTH - CRASH_AFTER - AWAY);
    site.cut(runner, false);
}

/// IDs of the runners that have started the job's task, in order.
fn starts(site: &Site) -> Vec<String> {
    let start = format!(" start {JOB}.");
    let lines = site.record_lines().into_iter().filter(|line| line.contains(&start));
    lines.filter_map(|line| line.split(' ').nth(2).map(str::to_owned)).collect()
}

/// How the runs of the job's task have ended on their runners.
fn ends(site: &Site) -> Vec<String> {
    let is_end = |line: &String| line.contains(" end N=") && line.contains(JOB);
    let lines = site.record_lines().into_iter().filter(is_end);
    lines.filter_map(|line| line.split(' ').next_back().map(str::to_owned)).collect()
}
