//! What the stories see of a cluster besides its workers' records.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriolefork::api::wire::status::Status;
use oriolefork::task::{self, End, Phase};
use serde_json::{Value, json};

use super::work::id;
use crate::harness::{Cluster, Plan, eventually, get};

/// The failure domain of stories that need only one.
pub const HALL: &str = "oamaru-hall";

/// One failure domain behind the proxy whose leases lapse soon, for stories that wait for that.
pub fn short_lease(entries: usize, workers: usize) -> Plan {
    Plan { entries, workers, proxied: true, settings: short_lease_settings(), ..Plan::default() }
}

fn short_lease_settings() -> Value {
    json!({
        "log": { "timeout_ms": 800 },
        "owner": {
            "lease_ms": 4_000,
            "lease_margin_ms": 1_000,
            "exchange_wait_ms": 1_000,
            "exchange_timeout_ms": 700,
            "heartbeat_ms": 300,
            "claim_timeout_ms": 1_200,
        },
    })
}

/// Where callers reach the entry instances of a failure domain, but for `without`.
pub fn callers(cluster: &Cluster, domain: &str, without: &[usize]) -> Vec<SocketAddr> {
    let entries = cluster.entries.iter().enumerate();
    entries
        .filter(|(index, entry)| entry.place.domain == domain && !without.contains(index))
        .map(|(_, entry)| entry.place.api)
        .collect()
}

fn status(addr: SocketAddr) -> Option<Status> {
    let reply = get(addr, "/v1/status").ok().filter(|reply| reply.status == 200)?;
    Some(reply.json())
}

/// Waits until one instance of the domain owns it with all its workers, and returns its position
/// and epoch. The instances in `without` are neither asked nor taken for the owner.
pub fn owner(cluster: &Cluster, domain: &str, without: &[usize]) -> (usize, String) {
    let workers = cluster.workers.iter().filter(|worker| worker.member.domain == domain.into());
    let workers = u32::try_from(workers.count()).expect("few workers");
    eventually("an owner with all workers", || {
        let entries = cluster.entries.iter().enumerate();
        let asked = entries.filter(|(index, _)| !without.contains(index));
        asked.filter(|(_, entry)| entry.place.domain == domain).find_map(|(index, entry)| {
            let status = status(entry.place.api)?;
            let seen = status.domains.first()?;
            let owns = seen.owner.as_deref() == Some(entry.place.name.as_str());
            (owns && seen.workers.live == workers).then(|| (index, seen.epoch.clone()))
        })
    })
}

/// How each task of each job ran, in order of the starts.
pub struct Runs(BTreeMap<(String, u32), Vec<Phase>>);

impl Runs {
    /// Reads every worker's record, after the checks of [`Cluster::runs`].
    pub fn of(cluster: &Cluster) -> Self {
        let mut runs: BTreeMap<_, Vec<Phase>> = BTreeMap::new();
        for (task, view) in cluster.runs() {
            let task::Id { job, index, .. } = task;
            runs.entry((job.to_string(), index)).or_default().push(view.phase.into());
        }
        Self(runs)
    }

    /// Phases of the runs of one task of the job that `key` stands for.
    pub fn phases(&self, key: &str, index: u32) -> &[Phase] {
        self.0.get(&(id(key).to_string(), index)).map_or(&[], Vec::as_slice)
    }

    /// Checks that every task of the job succeeded in exactly one run.
    pub fn assert_done_once(&self, key: &str, tasks: u32) {
        for index in 0..tasks {
            let phases = self.phases(key, index);
            let done = phases.iter().filter(|phase| **phase == Phase::Ended(End::Succeeded));
            assert_eq!(done.count(), 1, "task {index} of {key}: {phases:?}");
        }
    }

    /// Checks that the job's only task was started once and succeeded.
    pub fn assert_started_once(&self, key: &str) {
        let done = [Phase::Ended(End::Succeeded)];
        assert_eq!(self.phases(key, 0), done, "{key}");
    }

    /// Checks that no task of the job was ever started.
    pub fn assert_never_started(&self, key: &str) {
        assert_eq!(self.phases(key, 0), [], "{key}");
    }
}

/// Waits until a task of the job has been started on some worker, and returns the worker's
/// position.
pub fn started_on(cluster: &Cluster, key: &str) -> usize {
    let job = id(key).to_string();
    eventually("a task is started", || {
        cluster.worker_states().iter().position(|state| {
            let named = |run: &oriolefork::standin::worker::TaskView| {
                let task = task::Id::try_from(run.task.clone()).expect("a task");
                task.job.to_string() == job
            };
            state.runs.iter().any(named)
        })
    })
}
