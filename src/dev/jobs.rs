//! The sample jobs and what becomes of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Uri};
use bytes::Bytes;
use monoio::time::Instant;

use super::Error;
use super::report::{Kind, Outcome, Summary, thread_cpu};
use super::site::Site;
use super::upstreams::SERVICE;
use crate::api::view::job::State;
use crate::api::wire;
use crate::cli::entries::{Ask, Entries};
use crate::http;
use crate::job;
use crate::standin::worker::Snapshot;

const POLL: Duration = Duration::from_millis(200);
const CALL: Duration = Duration::from_secs(10);
/// Longest that the runners' slots may take to be granted.
const RUNNERS: Duration = Duration::from_secs(30);
/// Quick requests sent to each failure domain.
const REQUESTS: usize = 50;

/// A sample job.
struct Sample {
    kind: Kind,
    job: job::Kind,
    tasks: u32,
    cpu_millis: u64,
    memory_mib: u64,
    urgency: job::Urgency,
    payload: &'static str,
    copies: usize,
}

const SAMPLES: [Sample; 5] = [
    Sample {
        kind: Kind::LongRunning,
        job: job::Kind::LongRunning,
        tasks: 3,
        cpu_millis: 1_000,
        memory_mib: 1_024,
        urgency: job::Urgency::Normal,
        payload: r#"{"run_ms":0,"end":"never"}"#,
        copies: 1,
    },
    Sample {
        kind: Kind::Batch,
        job: job::Kind::Batch,
        tasks: 6,
        cpu_millis: 2_000,
        memory_mib: 2_048,
        urgency: job::Urgency::Normal,
        payload: r#"{"run_ms":800,"end":"succeeded"}"#,
        copies: 10,
    },
    Sample {
        kind: Kind::Gang,
        job: job::Kind::Gang,
        tasks: 8,
        cpu_millis: 2_000,
        memory_mib: 1_024,
        urgency: job::Urgency::Normal,
        payload: r#"{"run_ms":500,"end":"succeeded"}"#,
        copies: 2,
    },
    Sample {
        kind: Kind::Urgent,
        job: job::Kind::Batch,
        tasks: 1,
        cpu_millis: 500,
        memory_mib: 256,
        urgency: job::Urgency::Urgent,
        payload: r#"{"run_ms":100,"end":"succeeded"}"#,
        copies: 5,
    },
    Sample {
        kind: Kind::Failing,
        job: job::Kind::Batch,
        tasks: 1,
        cpu_millis: 500,
        memory_mib: 256,
        urgency: job::Urgency::Normal,
        payload: r#"{"run_ms":50,"end":"failed"}"#,
        copies: 1,
    },
];

/// A job that was accepted.
struct Accepted {
    domain: usize,
    id: String,
    kind: Kind,
}

/// Submits every sample in every failure domain and waits for the ends.
pub async fn run(site: &Site) -> Result<Summary, Error> {
    let (began, cpu) = (Instant::now(), thread_cpu());
    let mut accepted = Vec::new();
    for (domain, entries) in site.domains.iter().enumerate() {
        for sample in &SAMPLES {
            for copy in 0..sample.copies {
                let id = submit(entries, sample, domain, copy).await?;
                accepted.push(Accepted { domain, id, kind: sample.kind });
            }
        }
    }
    let packing = settle(site, &accepted).await?;
    let requests = send_requests(&site.callers).await;
    let starts = starts(site).await;
    let mut summary = Summary { requests, packing, ..Summary::default() };
    for job in &accepted {
        summary.add(&outcome(site, job, &starts).await?);
    }
    for entries in &site.domains {
        let alerts: wire::page::Page<wire::alert::Alert> = get(entries, "/v1/alerts").await?;
        summary.alerts.extend(alerts.items.into_iter().map(|alert| alert.message));
    }
    summary.span = began.elapsed();
    summary.control = thread_cpu().saturating_sub(cpu);
    Ok(summary)
}

async fn submit(
    entries: &Entries,
    sample: &Sample,
    domain: usize,
    copy: usize,
) -> Result<String, Error> {
    let spec = wire::job::Spec {
        name: format!("sample-{}", sample.kind),
        team: "dev".to_owned(),
        kind: sample.job,
        tasks: sample.tasks,
        demand: wire::amount::Amount {
            cpu_millis: sample.cpu_millis,
            memory_mib: sample.memory_mib,
            accelerators: 0,
        },
        effect: job::Effect::Idempotent,
        urgency: sample.urgency,
        run_time_ms: None,
        deadline_unix_ms: None,
        payload: sample.payload.to_owned(),
    };
    let ask = Ask::change(Method::POST, "/v1/jobs".to_owned(), &spec);
    let key = format!("{}-{domain}-{copy}", sample.kind);
    let told = entries.ask::<wire::job::Accepted>(&Ask { key: Some(key), ..ask }).await?;
    Ok(told.body.job)
}

/// Sends quick requests and counts those that were answered whole.
async fn send_requests(callers: &[SocketAddr]) -> usize {
    let client = http::Client::new(http::Limits::default());
    let mut whole = 0;
    for caller in callers {
        // A new instance uses the runners' slots only after grants of an earlier one have expired.
        let began = Instant::now();
        while !send_request(&client, *caller, "first").await && began.elapsed() < RUNNERS {
            monoio::time::sleep(POLL).await;
        }
        for index in 0..REQUESTS {
            let body = format!("request {index}");
            whole += usize::from(send_request(&client, *caller, &body).await);
        }
    }
    whole
}

/// Whether the runner's whole answer, an echo, came back.
async fn send_request(client: &http::Client, caller: SocketAddr, body: &str) -> bool {
    let mut request = http::Request::new(Bytes::from(body.to_owned()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() =
        Uri::try_from(format!("/v1/services/{SERVICE}/requests")).unwrap_or_default();
    let answer = client.send(caller, request, CALL).await;
    answer.is_ok_and(|answer| answer.status().is_success() && answer.body() == body.as_bytes())
}

/// Waits until all but the long-running jobs have ended; returns the mean share of the workers'
/// processors that was reserved while tasks waited.
async fn settle(site: &Site, accepted: &[Accepted]) -> Result<f64, Error> {
    let mut shares = Vec::new();
    loop {
        let mut open = false;
        for (index, entries) in site.domains.iter().enumerate() {
            let status: wire::status::Status = get(entries, "/v1/status").await?;
            let waiting = status.domains.iter().any(|domain| domain.load.pending_tasks > 0);
            if waiting {
                shares.push(reserved(entries).await?);
            }
            let jobs = accepted.iter().filter(|job| job.domain == index);
            for job in jobs.filter(|job| job.kind != Kind::LongRunning) {
                open |= !is_over(fetch(entries, &job.id).await?.summary.state);
            }
        }
        if !open {
            let count = u32::try_from(shares.len().max(1)).unwrap_or(u32::MAX);
            return Ok(shares.iter().sum::<f64>() / f64::from(count));
        }
        monoio::time::sleep(POLL).await;
    }
}

async fn reserved(entries: &Entries) -> Result<f64, Error> {
    let list: wire::worker::List = get(entries, "/v1/workers").await?;
    let sum = |amount: fn(&wire::worker::Worker) -> u64| -> f64 {
        let total: u64 = list.workers.iter().map(amount).sum();
        f64::from(u32::try_from(total).unwrap_or(u32::MAX))
    };
    let capacity = sum(|worker| worker.capacity.cpu_millis).max(1.0);
    Ok(sum(|worker| worker.reserved.cpu_millis) / capacity)
}

fn is_over(state: State) -> bool {
    matches!(state, State::Succeeded | State::Failed | State::Cancelled)
}

/// When each task first started, by the identity of its job and its index.
type Starts = BTreeMap<(String, u32), u64>;

async fn starts(site: &Site) -> Starts {
    let client = http::Client::new(http::Limits { body_bytes: 8 << 20, ..http::Limits::default() });
    let mut starts = Starts::new();
    for worker in &site.workers {
        let mut request = http::Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static("/v1/state");
        let Ok(answer) = client.send(*worker, request, CALL).await else { continue };
        let Ok(snapshot) = serde_json::from_slice::<Snapshot>(answer.body()) else { continue };
        for run in snapshot.runs {
            let Ok(task) = crate::task::Id::try_from(run.task) else { continue };
            let at = starts.entry((task.job.to_string(), task.index)).or_insert(u64::MAX);
            *at = (*at).min(run.started.as_millis());
        }
    }
    starts
}

async fn outcome(site: &Site, job: &Accepted, starts: &Starts) -> Result<Outcome, Error> {
    let shown = fetch(&site.domains[job.domain], &job.id).await?;
    let waits = (0..shown.summary.tasks)
        .filter_map(|index| starts.get(&(job.id.clone(), index)))
        .map(|at| Duration::from_millis(at.saturating_sub(shown.summary.submitted_unix_ms)))
        .collect();
    Ok(Outcome { kind: job.kind, state: shown.summary.state, waits })
}

async fn fetch(entries: &Entries, id: &str) -> Result<wire::job::Job, Error> {
    get(entries, &format!("/v1/jobs/{id}")).await
}

async fn get<T: serde::de::DeserializeOwned>(entries: &Entries, path: &str) -> Result<T, Error> {
    Ok(entries.ask::<T>(&Ask::get(path)).await?.body)
}
