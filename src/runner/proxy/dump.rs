//! The state of the routing task, for people.

use serde::Serialize;

use crate::clock::Instant;
use crate::runner::Router;
use crate::runner::health::HealthState;
use crate::runner::service::Service;
use crate::runner::share::LocalSlots;
use crate::runner::upstream::Upstream;

/// State of request routing at one instance.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Dump {
    /// Requests without an answer.
    pub open_requests: usize,
    /// Milliseconds until the instance may use the slots it owns; zero once it may.
    pub warming_ms: u64,
    /// Its services.
    pub services: Vec<ServiceDump>,
}

/// State of one service.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceDump {
    /// Its name.
    pub name: String,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Smoothed latency of its answers in milliseconds.
    pub latency_ms: f64,
    /// Age of the oldest attempt without an answer, in milliseconds.
    pub oldest_attempt_ms: u64,
    /// Its runners in the own failure domain.
    pub runners: Vec<RunnerDump>,
    /// Other failure domains that can answer its requests.
    pub fallbacks: Vec<String>,
}

/// State of one runner.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunnerDump {
    /// Its name.
    pub name: String,
    /// What the list says of it; `gone` when it is off the list.
    pub state: String,
    /// What its answers say of it: `good`, `probation` or `ejected`.
    pub standing: String,
    /// Slots that this instance may use.
    pub allowance: u32,
    /// Slots in use, those in doubt included.
    pub in_use: u32,
    /// Smoothed latency of its answers in milliseconds.
    pub latency_ms: f64,
}

impl Dump {
    /// The state of `router` at `now`.
    pub(super) fn of(router: &Router, now: Instant) -> Self {
        let shares = router.shares();
        let service = |(name, service): (&String, &Service)| ServiceDump {
            name: name.clone(),
            queued: service.queue.len(),
            latency_ms: service.latency.mean(),
            oldest_attempt_ms: service.oldest_attempt(now),
            runners: service.runners.iter().map(|runner| dump(runner, shares, now)).collect(),
            fallbacks: service.remotes.iter().map(|remote| remote.domain.to_string()).collect(),
        };
        Self {
            open_requests: router.open_requests(),
            warming_ms: crate::clock::millis(shares.usable_from().since(now)),
            services: router.services().iter().map(service).collect(),
        }
    }
}

fn dump(runner: &Upstream, shares: &LocalSlots, now: Instant) -> RunnerDump {
    let standing = match runner.health.state(now) {
        HealthState::Healthy => "good",
        HealthState::Probation => "probation",
        HealthState::Ejected(_) => "ejected",
    };
    RunnerDump {
        name: runner.name.to_string(),
        state: runner.state.map_or_else(|| "gone".to_owned(), |state| state.to_string()),
        standing: standing.to_owned(),
        allowance: shares.allowance(runner.slots, now),
        in_use: shares.in_use(runner.slots),
        latency_ms: runner.health.latency(),
    }
}
