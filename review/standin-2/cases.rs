//! The scripts. Each returns 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::site::Site;

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn id(series: u64, number: u64) -> String {
    // Spread over the whole range, as random IDs are.
    let mixed = (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) & 0x00ff_ffff_ffff_ffff;
    format!("{series:02x}{mixed:014x}")
}

fn plain_job(tasks: u64, cpu: u64, mem_mb: u64, work_ms: u64) -> String {
    format!(
        "{{\"spec\":\"ms={work_ms}\",\"steps\":[{{\"count\":{tasks},\"cpu\":{cpu},\
         \"memMb\":{mem_mb},\"estimatedMs\":{work_ms}}}]}}"
    )
}

/// A job that is due tomorrow and each day from then on, with a text of 4,000 bytes.
fn nightly_job(number: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let mut spec = format!("nightly backup {number} ");
    while spec.len() < 4_000 {
        spec.push(char::from(b'a' + (spec.len() as u64 * 7 + number) as u8 % 26));
    }
    format!(
        "{{\"spec\":\"{spec}\",\"repeatCount\":365,\"firstRunMs\":{},\"intervalMs\":86400000,\
         \"steps\":[{{\"count\":4,\"cpu\":1000,\"memMb\":512,\"estimatedMs\":2000}}]}}",
        now + 86_400_000
    )
}

/// Submits a job until it is accepted; `false` if it is not within four tries.
fn submit(site: &Site, at: usize, job: &str, body: &str) -> bool {
    (0..4).any(|attempt| {
        if attempt > 0 {
            sleep_ms(300);
        }
        site.submit((at + attempt) % site.instances.len(), job, body) == 200
    })
}

/// One job with a step of 12,500 small tasks among small jobs.
pub fn wide_step(record: Arc<Record>, trouble: bool) -> i32 {
    let mut site = Site::start(record.clone(), 3, 4, (64_000, 131_072), 20);
    sleep_ms(2_000);
    let mut accepted = Vec::new();
    let small = plain_job(2, 1_000, 512, 500);
    for number in 0..5 {
        let job = id(0xa0, number);
        if submit(&site, number as usize, &job, &small) {
            accepted.push(job);
        }
        sleep_ms(300);
    }
    sleep_ms(1_500);
    // Jobs of two steps, whose first step takes a second.
    let chain = "{\"spec\":\"ms=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,\
                 \"estimatedMs\":1000},{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimatedMs\":1000,\
                 \"dependsOn\":[0]}]}";
    for number in 0..5 {
        let job = id(0xa8, number);
        if submit(&site, number as usize, &job, chain) {
            accepted.push(job);
        }
    }
    let wide = id(0xb0, 0);
    let mut wide_accepted = false;
    if trouble {
        wide_accepted = submit(&site, 0, &wide, &plain_job(12_500, 4, 8, 500));
        record.note(&format!("the job with 12,500 tasks is {wide}, accepted {wide_accepted}"));
    }
    for number in 0..16 {
        let job = id(0xc0, number);
        if submit(&site, number as usize, &job, &small) {
            accepted.push(job);
        }
        sleep_ms(500);
    }
    // The job of 12,500 tasks needs a quarter of the workers for half a second.
    sleep_ms(14_000 + 30_000);
    if wide_accepted {
        accepted.push(wide);
    }
    let code = judge_ended(&site, &record, &accepted);
    if wide_accepted {
        for attempt in 0..5 {
            let (status, _) = site.call(attempt % 3, "DELETE", &id(0xb0, 0), "");
            record.note(&format!("DELETE of the large job: {status}"));
            sleep_ms(500);
        }
    }
    site.note_logs(&["owner.begin", "owner.end", "journal.append_failed", "panic"]);
    site.stop();
    if accepted.is_empty() { 2 } else { code }
}

/// LOST: an accepted job gets no answer, is not known, or has not run although all is free.
fn judge_ended(site: &Site, record: &Record, accepted: &[String]) -> i32 {
    let mut broken = 0;
    for job in accepted {
        let (status, state) = site.state(job, 8);
        let starts = record.runs_of(job).len();
        if status != 200 || state != "completed" {
            broken += 1;
            record.note_kind("BROKEN LOST", &format!("{job}: {status} {state:?}, {starts} starts"));
        }
    }
    record.note(&format!("{} accepted jobs, {broken} broken", accepted.len()));
    i32::from(broken > 0)
}

/// More accepted jobs than fit into a snapshot of 16 MiB, and then one process is killed.
pub fn many_jobs(record: Arc<Record>, trouble: bool) -> i32 {
    const JOBS: u64 = 4_500;
    const PER_SECOND: u64 = 70;
    const THREADS: u64 = 8;
    let mut site = Site::start(record.clone(), 3, 4, (64_000, 131_072), 20);
    sleep_ms(1_000);
    let accepted = Mutex::new(Vec::new());
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (site, accepted) = (&site, &accepted);
            scope.spawn(move || {
                for number in (thread..JOBS).step_by(THREADS as usize) {
                    let due = Duration::from_millis(number * 1_000 / PER_SECOND);
                    std::thread::sleep(due.saturating_sub(begun.elapsed()));
                    let job = id(0xd0, number);
                    if submit(site, number as usize % 3, &job, &nightly_job(number)) {
                        accepted.lock().unwrap().push(job);
                    }
                }
            });
        }
    });
    let accepted = accepted.into_inner().unwrap();
    record.note(&format!("{} of {JOBS} jobs accepted", accepted.len()));
    // Longer than the store keeps records.
    sleep_ms(24_000);
    if trouble {
        for instance in 0..3 {
            site.signal(instance, "KILL");
        }
        sleep_ms(1_000);
        for instance in 0..3 {
            site.launch(instance);
        }
    }
    // In touch again: `contactMs` after the disturbance.
    sleep_ms(6_000);
    let (unknown, unanswered) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for part in accepted.chunks(accepted.len().div_ceil(THREADS as usize).max(1)) {
            let (site, record, unknown, unanswered) = (&site, &record, &unknown, &unanswered);
            scope.spawn(move || {
                for job in part {
                    let (status, state) = site.state(job, 6);
                    if status == 410 {
                        unknown.fetch_add(1, Ordering::Relaxed);
                        record.note_kind("BROKEN LOST", &format!("{job}: 410"));
                    } else if status != 200 || !["pending", "running"].contains(&state.as_str()) {
                        unanswered.fetch_add(1, Ordering::Relaxed);
                        record.note_kind("BROKEN LOST", &format!("{job}: {status} {state}"));
                    }
                }
            });
        }
    });
    let (unknown, others) = (unknown.into_inner(), unanswered.into_inner());
    record.note(&format!("accepted {}, unknown {unknown}, other {others}", accepted.len()));
    site.note_logs(&["owner.begin", "owner.end", "journal.", "panic"]);
    if accepted.len() as u64 != JOBS && unknown + others == 0 {
        return finish(site, 2);
    }
    finish(site, i32::from(unknown + others > 0))
}

fn finish(mut site: Site, code: i32) -> i32 {
    site.stop();
    code
}

/// The store turns the owner away three times; then the owner is killed in the middle of a snapshot.
pub fn snapshot_keys(record: Arc<Record>, trouble: bool) -> i32 {
    let mut site = Site::start(record.clone(), 2, 4, (64_000, 131_072), 20);
    let Some(first) = site.wait_owner(|_| true, 10) else { return 2 };
    let second = 1 - first;
    record.note(&format!("instance {first} owns the cell"));
    // Instances that have written the head of a snapshot, in order.
    let heads: Arc<Mutex<Vec<usize>>> = Arc::default();
    let armed = Arc::new(AtomicBool::new(false));
    let struck = Arc::new(AtomicBool::new(false));
    {
        let (heads, armed, struck) = (heads.clone(), armed.clone(), struck.clone());
        let record = record.clone();
        site.store.observe(move |append| {
            if append.topic != "keyed.cell" {
                return;
            }
            let keys: Vec<String> = append.records.iter().map(|record| key_of(record)).collect();
            let line = format!(
                "instance {} writes {keys:?}, epoch {}, sequence {}: {}",
                append.instance, append.epoch, append.sequence, append.status
            );
            record.note_kind("snapshot", &line);
            if append.status != 200 {
                return;
            }
            if keys.iter().any(|key| key == "head") {
                heads.lock().unwrap().push(append.instance);
            } else if append.instance == second && armed.load(Ordering::SeqCst) {
                struck.store(true, Ordering::SeqCst);
            }
        });
    }
    let wait_heads = |count: usize, seconds: u64| {
        let until = Instant::now() + Duration::from_secs(seconds);
        while heads.lock().unwrap().len() < count && Instant::now() < until {
            sleep_ms(5);
        }
        heads.lock().unwrap().clone()
    };
    let mut accepted = Vec::new();
    let mut add = |from: u64, to: u64| {
        for number in from..to {
            let job = id(0xe0, number);
            if submit(&site, number as usize % 2, &job, &nightly_job(number)) {
                accepted.push(job);
            }
        }
    };
    let turn_away = |instance: usize| {
        record.note(&format!("the store turns instance {instance} away for 2 s"));
        site.store.turn_away(instance, Duration::from_secs(2));
        let other = 1 - instance;
        if site.wait_owner(|owner| owner == other, 3).is_none() {
            record.note(&format!("instance {other} didn't take over"));
            return false;
        }
        true
    };
    add(0, 450);
    if wait_heads(1, 12).len() != 1 {
        record.note("no first snapshot");
        return finish_shared(site, 2);
    }
    if trouble {
        if !turn_away(first) || wait_heads(2, 6) != [first, second] {
            record.note("no snapshot of the second owner");
            return finish_shared(site, 2);
        }
        add(450, 490);
        // The first is served again since a second, and follows.
        sleep_ms(1_500);
        if !turn_away(second) {
            return finish_shared(site, 2);
        }
        sleep_ms(300);
        if heads.lock().unwrap().len() != 2 {
            record.note("the first owner has saved a snapshot again");
            return finish_shared(site, 2);
        }
        armed.store(true, Ordering::SeqCst);
        if !turn_away(first) {
            return finish_shared(site, 2);
        }
        let until = Instant::now() + Duration::from_secs(10);
        while !struck.load(Ordering::SeqCst) && Instant::now() < until {
            std::thread::sleep(Duration::from_micros(500));
        }
        if !struck.load(Ordering::SeqCst) {
            record.note("no snapshot of several appends came");
            return finish_shared(site, 2);
        }
        site.signal(second, "KILL");
        sleep_ms(1_000);
        site.launch(second);
    }
    // All is well again for longer than `recoveryS` and `finish_s` together.
    sleep_ms(12_000 + 14_000);
    let mut broken = 0;
    for job in accepted.iter().step_by(10) {
        let (status, state) = site.state(job, 3);
        if status != 200 {
            broken += 1;
            record.note_kind("BROKEN LOST", &format!("{job}: {status} {state}"));
        }
        if broken >= 5 {
            break;
        }
    }
    record.note(&format!(
        "{} accepted jobs, {broken} of those asked for without an answer",
        accepted.len()
    ));
    site.note_logs(&["owner.claim ", "journal.saved", "journal.unread"]);
    finish_shared(site, i32::from(broken > 0))
}

fn key_of(record: &[u8]) -> String {
    let length = usize::from(record[0]);
    String::from_utf8_lossy(&record[1..1 + length]).into_owned()
}

fn finish_shared(site: Site, code: i32) -> i32 {
    site.note_logs(&["owner.begin", "owner.end", "journal.unreadable", "panic"]);
    finish(site, code)
}

/// The worker of a lasting task is lost for good, and soon after it the owner's process is killed.
pub fn lost_worker(record: Arc<Record>, trouble: bool) -> i32 {
    /// The rule's 6 s after the last run, and its 3 s.
    const MOST: f64 = 9.0;
    // Either disruption alone, for the report.
    let only = std::env::var("ONLY").unwrap_or_default();
    let mut site = Site::start(record.clone(), 3, 7, (64_000, 131_072), 20);
    sleep_ms(2_000);
    let job = id(0xf8, 0);
    let lasting = "{\"spec\":\"ms=3600000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":1024,\
                   \"longRunning\":true}]}";
    if !submit(&site, 0, &job, lasting) {
        return 2;
    }
    sleep_ms(3_000);
    let runs = record.runs_of(&job);
    let worker = runs.first().and_then(|run| site.workers.iter().find(|there| there.id() == run.1));
    let (Some(worker), Some(owner)) = (worker, site.owner()) else { return 2 };
    let lost_at = record.seconds();
    if trouble && only != "kill" {
        worker.vanish(&site.store);
    }
    if trouble && only != "crash" {
        sleep_ms(300);
        site.signal(owner, "KILL");
        sleep_ms(1_000);
        site.launch(owner);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while trouble && record.runs_of(&job).len() < 2 && Instant::now() < until {
        sleep_ms(10);
    }
    let is_lost = trouble && only != "kill";
    let waited = if is_lost { record.seconds() - lost_at } else { 0.0 };
    let (status, state) = site.state(&job, 6);
    record.note(&format!("{job}: {status} {state}, nothing at work for {waited:.1} s"));
    let broken = waited > MOST;
    if broken {
        record.note("BROKEN LOST: later than 6 s after its last run, for over 3 s, all calm, 6 workers free");
    }
    site.note_logs(&["owner.begin", "owner.end", "worker.", "task.", "panic"]);
    finish(site, i32::from(broken))
}

/// A small job behind lasting ones that fit nowhere, on workers that are nearly free.
pub fn behind_others(record: Arc<Record>, trouble: bool) -> i32 {
    /// `finish_s`, and the rule's 3 s.
    const MOST: f64 = 17.0;
    const QUEUE: &str = "/backups/";
    let site = Site::start(record.clone(), 3, 48, (16_000, 65_536), 20);
    sleep_ms(2_000);
    let lasting = |count: u64, cpu: u64, more: &str| {
        format!(
            "{{\"spec\":\"ms=3600000\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"memMb\":512,\
             \"longRunning\":true{more}}}]}}"
        )
    };
    if !submit(&site, 0, &id(0x10, 0), &lasting(48, 2_000, ",\"antiAffinity\":1")) {
        return 2;
    }
    sleep_ms(2_000);
    let mut accepted = 0;
    if trouble {
        let begun = Instant::now();
        for number in 0..860_u64 {
            let gang = if number < 60 { ",\"gang\":true" } else { "" };
            let body = lasting(if number < 60 { 2 } else { 1 }, 16_000, gang);
            let at = number as usize % 3;
            let (status, _) = site.call_queue(QUEUE, at, "POST", &id(0x11, number), &body);
            accepted += u64::from(status == 200);
            std::thread::sleep(
                Duration::from_millis(number * 1_000 / 39).saturating_sub(begun.elapsed()),
            );
        }
        record.note(&format!("{accepted} lasting jobs that need a whole worker are accepted"));
        sleep_ms(3_000);
    }
    let job = id(0x12, 0);
    let body = "{\"spec\":\"ms=500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,\
                \"estimatedMs\":500}]}";
    let (status, _) = site.call_queue(QUEUE, 0, "POST", &job, body);
    record.note(&format!("the small job {job}: {status}"));
    if status != 200 {
        return 2;
    }
    let begun = Instant::now();
    while record.runs_of(&job).is_empty() && begun.elapsed() < Duration::from_secs(40) {
        sleep_ms(10);
    }
    let waited = begun.elapsed().as_secs_f64();
    record.note(&format!("the small job has nothing running for {waited:.1} s"));
    let broken = waited > MOST;
    if broken {
        record.note("BROKEN LOST: nothing running for over finish_s and 3 s, 14 of 16 cores free on all workers");
    }
    site.note_logs(&["owner.begin", "owner.end", "panic"]);
    finish(site, i32::from(broken))
}
