//! What one process has used, as the kernel counts it.

use std::fs;
use std::time::Duration;

const KIB: u64 = 1_024;

/// Counts of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Processor time of all its threads, user and system.
    pub cpu: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

impl Reading {
    /// Reads the counts of a running process.
    pub fn of(pid: u32) -> Self {
        Self { cpu: cpu(pid), resident_kib: resident_kib(pid) }
    }
}

/// Processor time in nanoseconds of each thread; `stat` counts in steps of 10 ms, too coarse here.
fn cpu(pid: u32) -> Duration {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).expect("a running process");
    let paths = threads.filter_map(|thread| Some(thread.ok()?.path().join("schedstat")));
    let ran = |text: String| text.split_whitespace().next()?.parse::<u64>().ok();
    let nanos = paths.filter_map(|path| ran(fs::read_to_string(path).ok()?));
    Duration::from_nanos(nanos.sum::<u64>())
}

fn resident_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a running process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    kib.expect("resident memory")
}

/// Load of the machine over the last minute.
pub fn load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").expect("the load");
    text.split_whitespace().next().and_then(|first| first.parse().ok()).expect("a number")
}

/// Bytes as KiB.
pub fn kib(bytes: u64) -> f64 {
    bytes as f64 / KIB as f64
}
