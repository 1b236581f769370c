//! A batch job and a service whose runners crash, one runner at a time.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::site::{Plan, Site};

/// Failed attempts of a task that the queue allows.
const ATTEMPTS: u32 = 4;

/// Time from a crash to the next life of the runner, with a new ID, at the same address.
const AWAY: Duration = Duration::from_millis(3_000);

/// Interval between two GETs for the state of a job.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// A job, and the crashes that it meets.
struct Job {
    id: &'static str,
    body: &'static str,
    crashes: usize,
    /// Time from the start of its task to the crash of the runner there.
    crash_after: Duration,
    /// Time for which the job is watched.
    watched: Duration,
}

/// A batch job of one task that works for six seconds.
const BATCH: Job = Job {
    id: "00000000000000ba",
    body: r#"{"spec":"6000","steps":[{"count":1,"cpu":4000,"memMb":2048,"estimatedMs":6000}]}"#,
    crashes: 4,
    crash_after: Duration::from_millis(2_000),
    watched: Duration::from_secs(45),
};

/// A service of one task, which runs until it is cancelled.
const SERVICE: Job = Job {
    id: "00000000000000f0",
    body: r#"{"spec":"600000","steps":[{"count":1,"cpu":4000,"memMb":2048,"estimatedMs":600000,"longRunning":true}]}"#,
    crashes: 2,
    crash_after: Duration::from_millis(300),
    watched: Duration::from_secs(25),
};

pub fn run(record: PathBuf, troubled: bool) -> i32 {
    let plan = Plan { instances: 3, runners: 16, attempts: ATTEMPTS, keep_s: 300 };
    let mut site = Site::start(&plan, record);
    let lost = [BATCH, SERVICE].iter().filter(|job| is_lost(&mut site, job, troubled)).count();
    site.end();
    i32::from(lost > 0)
}

/// Plays one job; whether it was lost: shown as `failed` without failed attempts, or given up.
fn is_lost(site: &mut Site, job: &Job, troubled: bool) -> bool {
    site.submit(job.id, job.body);
    let until = Instant::now() + job.watched;
    let (mut crashes, mut seen_starts) = (0, 0);
    let mut away: Option<(usize, Instant)> = None;
    let mut next_ask = Instant::now();
    let mut shown = String::new();
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
        if let Some((runner, at)) = away.filter(|(_, at)| Instant::now() >= *at) {
            site.start_runner(runner);
            away = None;
            let _ = at;
        }
        let starts = starts(site, job);
        if troubled && crashes < job.crashes && starts.len() > seen_starts && away.is_none() {
            seen_starts = starts.len();
            std::thread::sleep(job.crash_after);
            let runner = starts.last().and_then(|id| site.place_of(id));
            if let Some(runner) = runner {
                site.crash_runner(runner);
                crashes += 1;
                away = Some((runner, Instant::now() + AWAY));
            }
        }
        if Instant::now() >= next_ask {
            next_ask = Instant::now() + ASK_INTERVAL;
            let (status, state) = site.state(crashes % 3, job.id);
            let answer = format!("{status} {state}");
            if answer != shown {
                site.note(&format!("GET {} at instance {}: {answer}", job.id, crashes % 3));
                shown = answer;
            }
            if shown == "200 completed" {
                break;
            }
        }
    }
    if let Some((runner, _)) = away {
        site.start_runner(runner);
    }
    let failed_ends = failed_ends(site, job);
    let lost = shown == "200 failed" && failed_ends < ATTEMPTS as usize;
    site.note(&format!(
        "job {}: {} starts, {crashes} crashes, {failed_ends} of {ATTEMPTS} attempts ended `failed`, \
         shown last: {shown}: {}",
        job.id,
        starts(site, job).len(),
        if lost { "LOST" } else { "kept" }
    ));
    lost
}

/// IDs of the runners that have started the job's task, in order.
fn starts(site: &Site, job: &Job) -> Vec<String> {
    let start = format!(" start {}.", job.id);
    let lines = site.record_lines().into_iter().filter(|line| line.contains(&start));
    lines.filter_map(|line| line.split(' ').nth(2).map(str::to_owned)).collect()
}

/// Number of ends `failed` that runners have listed for the job's task.
fn failed_ends(site: &Site, job: &Job) -> usize {
    let is_end = |line: &&String| {
        line.contains(" end N=") && line.contains(job.id) && line.ends_with(" failed")
    };
    site.record_lines().iter().filter(is_end).count()
}
