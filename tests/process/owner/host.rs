//! What the daemon requires of its host.

use std::fs;

use oriolefork::api::view::job::State;

use super::site::{DOMAIN, api_addrs, await_owner};
use super::work::{Work, await_state, submit_until_accepted};
use crate::harness::Plan;

/// Fields of `/proc/PID/stat` after the process name, which may contain spaces.
fn stat(pid: u32) -> Vec<String> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let (_, fields) = text.rsplit_once(')').expect("a name in parentheses");
    fields.split_whitespace().map(str::to_owned).collect()
}

fn descriptors(pid: u32) -> Vec<String> {
    let entries = fs::read_dir(format!("/proc/{pid}/fd")).expect("a process");
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.map(|link| link.to_string_lossy().into_owned()).collect()
}

fn children(pid: u32) -> usize {
    let parent = pid.to_string();
    let pids = fs::read_dir("/proc")
        .expect("processes")
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok());
    let parent_of = |pid: u32| {
        let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        Some(text.rsplit_once(')')?.1.split_whitespace().nth(1)?.to_owned())
    };
    pids.filter(|pid| parent_of(*pid).as_ref() == Some(&parent)).count()
}

// Production hosts forbid io_uring and child processes. A daemon that uses either works on a
// developer's machine and fails at its first start in production. Checked after a job has run.
#[test]
fn daemon_without_io_uring_or_children() {
    let cluster = Plan { entries: 2, workers: 1, proxied: true, ..Plan::default() }.start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    await_owner(&cluster, DOMAIN, &[]);
    let key = "ordinary".to_owned();
    submit_until_accepted(&addrs, &key, &Work::batch(10));
    await_state(&addrs, [&key], State::Succeeded);
    for entry in &cluster.entries {
        let pid = entry.process.pid();
        let open = descriptors(pid);
        assert!(open.iter().any(|name| name.contains("eventpoll")), "{open:?}");
        assert!(!open.iter().any(|name| name.contains("io_uring")), "{open:?}");
        assert_eq!(children(pid), 0);
        // Page faults and CPU time of children that have ended: zero if there was none.
        let stat = stat(pid);
        let ended = [&stat[8], &stat[10], &stat[13], &stat[14]];
        assert_eq!(ended, ["0", "0", "0", "0"], "a child of {} has ended", entry.place.name);
    }
}
