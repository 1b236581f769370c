//! Queries of a cluster that the scenarios share.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriolefork::api::wire::status::Status;
use oriolefork::task::{self, End, Phase};
use serde_json::{Value, json};

use super::work::job_id;
use crate::harness::{Cluster, Plan, eventually, get};

/// The failure domain of scenarios that need only one.
pub const DOMAIN: &str = "oamaru-hall";

/// One failure domain behind the proxy with short leases, for scenarios that wait until they lapse.
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

/// API addresses of the entry instances of a failure domain, except those in `without`.
pub fn api_addrs(cluster: &Cluster, domain: &str, without: &[usize]) -> Vec<SocketAddr> {
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

/// Waits until an instance reports that it owns the domain and that all workers are live, and
/// returns its index and epoch. The instances in `without` are skipped.
pub fn await_owner(cluster: &Cluster, domain: &str, without: &[usize]) -> (usize, String) {
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

/// Phases of the runs of each task, in the order in which the runs started.
pub struct Runs(BTreeMap<(String, u32), Vec<Phase>>);

impl Runs {
    /// Reads the records of all workers with [`Cluster::runs`], which also checks them.
    pub fn of(cluster: &Cluster) -> Self {
        let mut runs: BTreeMap<_, Vec<Phase>> = BTreeMap::new();
        for (task, view) in cluster.runs() {
            let task::Id { job, index, .. } = task;
            runs.entry((job.to_string(), index)).or_default().push(view.phase.into());
        }
        Self(runs)
    }

    /// Phases of the runs of one task of the job submitted under `key`.
    pub fn phases(&self, key: &str, index: u32) -> &[Phase] {
        self.0.get(&(job_id(key).to_string(), index)).map_or(&[], Vec::as_slice)
    }

    /// Checks that every task of the job succeeded in exactly one run.
    pub fn assert_done_once(&self, key: &str, tasks: u32) {
        for index in 0..tasks {
            let phases = self.phases(key, index);
            let done = phases.iter().filter(|phase| **phase == Phase::Ended(End::Succeeded));
            assert_eq!(done.count(), 1, "task {index} of {key}: {phases:?}");
        }
    }

    /// Checks that the first task of the job was started once and succeeded.
    pub fn assert_started_once(&self, key: &str) {
        let done = [Phase::Ended(End::Succeeded)];
        assert_eq!(self.phases(key, 0), done, "{key}");
    }

    /// Checks that the first task of the job was never started.
    pub fn assert_never_started(&self, key: &str) {
        assert_eq!(self.phases(key, 0), [], "{key}");
    }
}

/// Waits until a task of the job has started, and returns the index of its worker.
pub fn await_start(cluster: &Cluster, key: &str) -> usize {
    let job = job_id(key).to_string();
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
