//! Measures what one failure domain's entry instances use, over growing sizes.
//!
//! Run with `cargo bench --bench capacity`, or with `-- --only starts --json FILE`. Entry instances
//! are real processes; the platform and the workers are stand-ins in threads of this program, behind
//! a proxy that counts bytes. Processor time comes from the kernel and does not grow with the load
//! of the machine as spans of time do.

#[path = "../../tests/process/harness/address.rs"]
mod address;
mod fit;
mod gauge;
mod platform;
mod report;
mod site;
#[allow(dead_code, reason = "shared with the tests of processes")]
#[path = "../../tests/process/harness/web.rs"]
mod web;

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gauge::Reading;
use platform::Log;
use report::{Report, Row};
use site::{Plan, Site, eventually, job, submit, wait_started};

const TASKS: usize = 2_700;
const TASKS_PER_JOB: usize = 30;
const SETTLE: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(12);
const SHORT: &str = r#"{"run_ms":500,"end":"succeeded"}"#;
const SHORT_TASKS: usize = 10;
const CALLERS: usize = 12;
const URGENT_EVERY: Duration = Duration::from_millis(500);

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures what one failure domain's entry instances use, over growing sizes.
        cmd capacity {
            /// Given by cargo.
            optional --bench
            /// Runs one section: workers, tasks, instances, list, wait, starts, takeover or outage.
            optional --only section: String
            /// Writes the figures to a file too.
            optional --json path: PathBuf
        }
    }
}

/// Counts of everything at one time.
struct Sample {
    at: Instant,
    readings: Vec<Reading>,
    log: Log,
    bytes: BTreeMap<String, u64>,
}

impl Sample {
    fn of(site: &Site) -> Self {
        let readings = site.entries.iter().map(site::Entry::reading).collect();
        Self { at: Instant::now(), readings, log: Log::of(site.log), bytes: site.proxy.bytes() }
    }

    /// What was used each second since `before`.
    fn since(&self, before: &Self, owner: usize, follower: usize) -> BTreeMap<&'static str, f64> {
        let seconds = (self.at - before.at).as_secs_f64();
        let cpu = |index: usize| {
            let spent = self.readings[index].cpu - before.readings[index].cpu;
            spent.as_secs_f64() / seconds * 1e3
        };
        let bytes = |kind: &str| {
            let count = |sample: &Self| sample.bytes.get(kind).copied().unwrap_or(0);
            gauge::kib(count(self) - count(before)) / seconds
        };
        let rate = |now: u64, then: u64| (now - then) as f64 / seconds;
        BTreeMap::from([
            ("owner_cpu_ms_s", cpu(owner)),
            ("follower_cpu_ms_s", cpu(follower)),
            ("owner_rss_kib", self.readings[owner].resident_kib as f64),
            ("follower_rss_kib", self.readings[follower].resident_kib as f64),
            ("appends_s", rate(self.log.appends, before.log.appends)),
            ("append_kib_s", rate(self.log.bytes, before.log.bytes) / 1_024.0),
            ("log_reads_s", rate(self.log.reads, before.log.reads)),
            ("all_log_kib_s", bytes("log")),
            ("all_list_kib_s", bytes("list")),
            ("all_peer_kib_s", bytes("peer")),
            ("owner_worker_kib_s", bytes("worker")),
        ])
    }
}

/// What a quiet failure domain uses.
fn idle(site: &Site) -> BTreeMap<&'static str, f64> {
    thread::sleep(SETTLE);
    let owner = site.owner().expect("an owner");
    let before = Sample::of(site);
    thread::sleep(WINDOW);
    Sample::of(site).since(&before, owner, site.follower(owner))
}

fn idle_row(section: &'static str, size: usize, plan: Plan, tasks: usize) -> Row {
    let site = Site::start(plan);
    site.fill(tasks, TASKS_PER_JOB);
    Row { section, size: size as f64, load: gauge::load(), figures: idle(&site) }
}

fn workers(report: &mut Report) {
    for workers in [10, 30, 60, 91] {
        let plan = Plan { workers, ..Plan::default() };
        report.push(idle_row("workers", workers, plan, 0));
    }
}

fn tasks(report: &mut Report) {
    for tasks in [0, 900, 1_800, TASKS] {
        report.push(idle_row("tasks", tasks, Plan::default(), tasks));
    }
}

fn instances(report: &mut Report) {
    for instances in [1, 3, 9] {
        let plan = Plan { instances, ..Plan::default() };
        report.push(idle_row("instances", instances, plan, TASKS));
    }
}

fn list(report: &mut Report) {
    for foreign in [0, 300, 1_000] {
        let plan = Plan { foreign, ..Plan::default() };
        report.push(idle_row("list", foreign, plan, 0));
    }
}

fn wait(report: &mut Report) {
    for wait_ms in [3_000, 6_000, 9_000] {
        let plan = Plan { wait_ms, ..Plan::default() };
        let size = usize::try_from(wait_ms).expect("a size");
        report.push(idle_row("wait", size, plan, 0));
    }
}

/// Jobs of short tasks at several rates, through a follower, with an urgent job now and then.
fn starts(report: &mut Report) {
    for rate in [35, 100, 200, 380] {
        let site = Site::start(Plan::default());
        site.fill(TASKS, TASKS_PER_JOB);
        thread::sleep(SETTLE);
        let owner = site.owner().expect("an owner");
        let follower = site.follower(owner);
        let api = site.entries[follower].api;
        let (started, before) = (site.starts(), Sample::of(&site));
        let begun = Instant::now();
        let next = AtomicUsize::new(0);
        let mut urgent = thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| call(api, rate, begun, &next));
            }
            urgent_waits(api, begun)
        });
        let after = Sample::of(&site);
        let mut figures = after.since(&before, owner, follower);
        let seconds = (after.at - before.at).as_secs_f64();
        figures.insert("starts_s", (site.starts() - started) as f64 / seconds);
        urgent.sort_by(f64::total_cmp);
        figures.insert("urgent_p50_ms", urgent[urgent.len() / 2]);
        figures.insert("urgent_max_ms", urgent[urgent.len() - 1]);
        report.push(Row { section: "starts", size: rate as f64, load: gauge::load(), figures });
    }
}

/// Submits each job at its own time, whether or not the others were answered.
fn call(api: std::net::SocketAddr, rate: usize, begun: Instant, next: &AtomicUsize) {
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let due = Duration::from_secs_f64((number * SHORT_TASKS) as f64 / rate as f64);
        if due >= WINDOW {
            return;
        }
        thread::sleep((begun + due).saturating_duration_since(Instant::now()));
        submit(api, &format!("short-{number}"), &job("batch", SHORT_TASKS, SHORT));
    }
}

/// Milliseconds from each urgent job's submission until it is seen to run.
fn urgent_waits(api: std::net::SocketAddr, begun: Instant) -> Vec<f64> {
    let mut spec = job("batch", 1, SHORT);
    spec["urgency"] = "urgent".into();
    let mut waits = Vec::new();
    while begun.elapsed() < WINDOW {
        let start = Instant::now();
        let id = submit(api, &format!("urgent-{}", waits.len()), &spec);
        wait_started(api, &id);
        waits.push(start.elapsed().as_secs_f64() * 1e3);
        thread::sleep(URGENT_EVERY.saturating_sub(start.elapsed()));
    }
    waits
}

/// The owner is killed; a follower takes over.
fn takeover(report: &mut Report) {
    for tasks in [0, 900, 1_800, TASKS] {
        let mut site = Site::start(Plan::default());
        site.fill(tasks, TASKS_PER_JOB);
        thread::sleep(SETTLE);
        let owner = site.owner().expect("an owner");
        let survivor = site.follower(owner);
        let api = site.entries[survivor].api;
        let (log, bytes) = (Log::of(site.log), site.proxy.bytes());
        let readings: Vec<_> = site.entries.iter().map(site::Entry::reading).collect();
        site.entries[owner].kill();
        let start = Instant::now();
        let job = submit(api, "after", &job("batch", 1, SHORT));
        let accepted = start.elapsed().as_secs_f64() * 1e3;
        wait_started(api, &job);
        let placed = start.elapsed().as_secs_f64() * 1e3;
        site.wait_for_workers();
        let reached = start.elapsed().as_secs_f64() * 1e3;
        let heir = site.owner().expect("an owner");
        let (after, sent) = (Log::of(site.log), site.proxy.bytes());
        let spent = site.entries[heir].reading().cpu - readings[heir].cpu;
        let figures = BTreeMap::from([
            ("accepted_ms", accepted),
            ("first_start_ms", placed),
            ("all_workers_ms", reached),
            ("heir_cpu_ms", spent.as_secs_f64() * 1e3),
            ("heir_rss_kib", site.entries[heir].reading().resident_kib as f64),
            ("appends", (after.appends - log.appends) as f64),
            ("append_kib", gauge::kib(after.bytes - log.bytes)),
            ("log_reads", (after.reads - log.reads) as f64),
            ("worker_kib", gauge::kib(sent["worker"] - bytes["worker"])),
            ("tasks_lost", tasks.saturating_sub(site.running()) as f64),
        ]);
        report.push(Row { section: "takeover", size: tasks as f64, load: gauge::load(), figures });
    }
}

/// All entry instances are killed and start at once, with all tasks running.
fn outage(report: &mut Report) {
    for instances in [3, 6, 9] {
        let mut site = Site::start(Plan { instances, ..Plan::default() });
        site.fill(TASKS, TASKS_PER_JOB);
        thread::sleep(SETTLE);
        site.entries.iter_mut().for_each(site::Entry::kill);
        let (log, bytes) = (Log::of(site.log), site.proxy.bytes());
        let start = Instant::now();
        site.entries.iter_mut().for_each(site::Entry::start);
        let all_ready = || site.entries.iter().all(site::Entry::is_ready).then_some(());
        eventually("all instances are ready", all_ready);
        let ready = start.elapsed().as_secs_f64() * 1e3;
        site.wait_for_workers();
        let reached = start.elapsed().as_secs_f64() * 1e3;
        let (after, sent) = (Log::of(site.log), site.proxy.bytes());
        let spent = site.entries.iter().map(|entry| entry.reading().cpu.as_secs_f64() * 1e3);
        let figures = BTreeMap::from([
            ("all_ready_ms", ready),
            ("all_workers_ms", reached),
            ("most_cpu_ms", spent.fold(0.0, f64::max)),
            ("appends", (after.appends - log.appends) as f64),
            ("append_kib", gauge::kib(after.bytes - log.bytes)),
            ("log_reads", (after.reads - log.reads) as f64),
            ("log_kib", gauge::kib(sent["log"] - bytes["log"])),
            ("tasks_lost", TASKS.saturating_sub(site.running()) as f64),
        ]);
        let size = instances as f64;
        report.push(Row { section: "outage", size, load: gauge::load(), figures });
    }
}

type Section = (&'static str, fn(&mut Report));

const SECTIONS: [Section; 8] = [
    ("workers", workers),
    ("tasks", tasks),
    ("instances", instances),
    ("list", list),
    ("wait", wait),
    ("starts", starts),
    ("takeover", takeover),
    ("outage", outage),
];

fn main() -> Result<(), Box<dyn Error>> {
    let flags = flags::Capacity::from_env_or_exit();
    let mut report = Report::default();
    for (name, measure) in SECTIONS {
        if flags.only.as_deref().is_none_or(|only| only == name) {
            measure(&mut report);
            report.fit(name);
        }
    }
    if let Some(path) = flags.json {
        report.write(&path)?;
    }
    Ok(())
}
