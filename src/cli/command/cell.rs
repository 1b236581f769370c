//! `explain`, `customers` and `workers` of a cell, asked at an instance's address for operators.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::cell::explain::{
    Attempt, Customer, CustomersReport, Deferral, JobReport, Office, RunningAttempt, Wait, Worker,
    WorkersReport,
};
use crate::cell::job::Id;
use crate::cli::failure::{Code, Failure};
use crate::cli::output::Report;
use crate::cli::text::{Table, clean, span};
use crate::http::{Client, Limits, Request};
use crate::resource::{Amount, Limit};

/// Longest answer that is read.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Where and how long to ask.
#[derive(Clone, Copy, Debug)]
pub struct Instance {
    /// Address at which the instance serves metrics.
    pub at: SocketAddr,
    /// Time that the command takes at most.
    pub timeout: Duration,
}

/// Body of a refusal.
#[derive(Deserialize)]
struct Refused {
    error: String,
}

/// Explains a job.
pub async fn explain(instance: Instance, id: Id) -> Result<Report, Failure> {
    let (json, report): (Value, JobReport) = instance.ask(&format!("/explain/{id}")).await?;
    Ok(Report::done(&json, job_text(&report)))
}

/// Lists the customers.
pub async fn customers(instance: Instance) -> Result<Report, Failure> {
    let (json, report): (Value, CustomersReport) = instance.ask("/customers").await?;
    Ok(Report::done(&json, customers_text(&report)))
}

/// Lists the workers.
pub async fn workers(instance: Instance) -> Result<Report, Failure> {
    let (json, report): (Value, WorkersReport) = instance.ask("/workers").await?;
    Ok(Report::done(&json, workers_text(&report)))
}

impl Instance {
    async fn ask<T: DeserializeOwned>(&self, path: &str) -> Result<(Value, T), Failure> {
        let limits =
            Limits { body_bytes: BODY_BYTES, read_timeout: self.timeout, ..Limits::default() };
        let mut request = Request::default();
        *request.method_mut() = Method::GET;
        *request.uri_mut() =
            path.parse().map_err(|_| Failure::usage(format!("no path: {path}")))?;
        let response = Client::new(limits).send(self.at, request, self.timeout).await;
        let response = response.map_err(|error| Failure {
            means: "nothing was read".to_owned(),
            next: "check --at: it is the address at which the instance serves metrics".to_owned(),
            ..Failure::unreachable(&[(self.at, format!("{}: {}", error.phase, error.cause))])
        })?;
        let body = response.body();
        if response.status().is_success() {
            let unreadable = |cause: serde_json::Error| self.unreadable(&cause.to_string());
            let value: Value = serde_json::from_slice(body).map_err(unreadable)?;
            let report = T::deserialize(&value).map_err(unreadable)?;
            return Ok((value, report));
        }
        let status = response.status();
        let refused: Refused = serde_json::from_slice(body)
            .map_err(|_| self.unreadable(&format!("status {}", status.as_u16())))?;
        Err(refusal(status, refused.error))
    }

    fn unreadable(&self, cause: &str) -> Failure {
        let next =
            format!("check that {} is the address at which the instance serves metrics", self.at);
        Failure { next, ..Failure::unreadable(self.at, cause) }
    }
}

fn refusal(status: StatusCode, what: String) -> Failure {
    let (code, means, next) = match status {
        StatusCode::NOT_FOUND => (
            Code::NotFound,
            "there is nothing to explain under this id",
            "check the id; a change of owner loses the calls that were refused before it",
        ),
        StatusCode::SERVICE_UNAVAILABLE => (
            Code::Unavailable,
            "the cell's owner gave no report; its jobs go on",
            "run the same command again in a second, or name another instance with --at",
        ),
        _ => (Code::Internal, "the instance did not understand the request", "report it"),
    };
    Failure { code, what, means: means.to_owned(), next: next.to_owned(), domain: None }
}

fn job_text(report: &JobReport) -> String {
    let mut text = format!("job {} is {}", clean(&report.job), clean(&report.state));
    let named = [("queue", &report.queue), ("customer", &report.customer)];
    for (what, name) in named {
        text += &name.as_ref().map_or_else(String::new, |name| format!(", {what} {}", clean(name)));
    }
    text += &report.age_ms.map_or_else(String::new, |age| format!(", age {}", span(age)));
    text += &report.objective_ms.map_or_else(String::new, |ms| format!(", objective {}", span(ms)));
    text += &format!("\nwhy:  {}\n", clean(&report.summary));
    report.waits.iter().for_each(|wait| text += &wait_text(wait));
    if report.more_waits > 0 {
        text += &format!("and {} more steps wait\n", report.more_waits);
    }
    if let Some(refusal) = &report.refusal {
        text += &format!(
            "refused {} times, last {} ago: {}\n",
            refusal.count,
            span(refusal.age_ms),
            clean(&refusal.cause)
        );
        let retry = refusal.retry_after_ms;
        text +=
            &retry.map_or_else(String::new, |ms| format!("told to return after {}\n", span(ms)));
    }
    text += &running_text(&report.running, report.running_count);
    text += &attempts_text(&report.attempts);
    if !report.attempt_counts.is_empty() {
        let counts = report.attempt_counts.iter();
        let counts: Vec<String> =
            counts.map(|(outcome, count)| format!("{count} {}", clean(outcome))).collect();
        text += &format!("ended attempts: {}; {} preempted", counts.join(", "), report.preemptions);
        text += "\n";
    }
    text + &office_text(&report.office)
}

fn wait_text(wait: &Wait) -> String {
    let mut text = format!(
        "step {}: {} tasks wait for {}",
        clean(&wait.step),
        wait.tasks,
        clean(&wait.reason)
    );
    if let Some(order) = wait.order {
        let at_least = if order.partial { "at least " } else { "" };
        text += &format!(", place {at_least}{} of {}", order.place, order.steps);
    }
    let class = wait.class.as_deref();
    text += &class.map_or_else(String::new, |class| format!(", {}", clean(class)));
    text += &wait.slack_ms.map_or_else(String::new, |slack| format!(", slack {slack}ms"));
    let start = wait.earliest_start_ms;
    text += &start.map_or_else(
        || ", earliest start unknown".to_owned(),
        |ms| format!(", earliest start in {}", span(ms)),
    );
    if let Some(capacity) = wait.capacity {
        text += &format!(
            "\n  workers: {} match, {} open, {} leaving, {} unavailable, {} not polled; {} of {} \
             needed tasks fit; listed {} ago",
            capacity.matching,
            capacity.open,
            capacity.leaving,
            capacity.unavailable,
            capacity.inactive,
            capacity.fits,
            capacity.needed,
            span(capacity.list_age_ms)
        );
    }
    wait.passed_over.iter().for_each(|deferral| text += &deferral_text(deferral));
    if let Some(cap) = wait.cap {
        text += &format!("\n  cap: {} of {}", cap.used, cap_text(&cap.cap));
    }
    if let Some(policy) = &wait.policy {
        text += &format!(
            "\n  policy service: {} workers answered, {} eligible, {} tickets, {} queries in flight",
            policy.answered,
            policy.eligible,
            policy.tickets,
            policy.queries.len()
        );
    }
    text + "\n"
}

fn deferral_text(deferral: &Deferral) -> String {
    let room = deferral.room.map_or_else(|| "unknown".to_owned(), |room| format!("for {room}"));
    format!(
        "\n  passed over by {} for {}: room {room}, {} wanted{}",
        clean(&deferral.rule),
        span(deferral.since_ms),
        deferral.wanted,
        if deferral.overdue { "; its limit is reached" } else { "" }
    )
}

fn running_text(running: &[RunningAttempt], count: usize) -> String {
    if running.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["RUNNING", "WORKER", "STAGE", "SINCE", "DONE", "WORKER IS"]);
    for run in running {
        let percent = format!("{} %", run.percent);
        let since = span(run.age_ms);
        table.row(&[&run.run, &run.worker, &run.stage, &since, &percent, &run.condition]);
    }
    let more = count.saturating_sub(running.len());
    let rest = if more > 0 { format!("and {more} more\n") } else { String::new() };
    table.render() + &rest
}

fn attempts_text(attempts: &[Attempt]) -> String {
    if attempts.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["ENDED", "WORKER", "OUTCOME", "TOOK", "AGO", "STOPPED FOR"]);
    for attempt in attempts {
        let (took, ago) = (span(attempt.took_ms), span(attempt.ended_ago_ms));
        let preempted_for = attempt.preempted_for.as_deref().unwrap_or("-");
        table.row(&[&attempt.run, &attempt.worker, &attempt.outcome, &took, &ago, preempted_for]);
    }
    table.render()
}

fn customers_text(report: &CustomersReport) -> String {
    if !report.configured {
        return format!("the site has no customers\n{}", office_text(&report.office));
    }
    let heading = [
        "CUSTOMER", "CPU", "CAP USED", "SHARE", "WAITING", "OPEN", "EXCESS", "CAPPED", "OLDEST",
        "REFUSED", "ON TIME", "LATE",
    ];
    let mut table = Table::new(&heading);
    let mut row = |customer: &Customer, name: &str| {
        let ratio = |ratio: Option<f64>| {
            ratio.map_or_else(|| "-".to_owned(), |ratio| format!("{:.0} %", ratio * 100.0))
        };
        let cells = [
            name.to_owned(),
            format!("{:.1}", customer.used.cpu_millis as f64 / 1e3),
            ratio(customer.cap_used),
            ratio(customer.share.map(|share| share.used)),
            customer.waiting_jobs.to_string(),
            customer.open_jobs.to_string(),
            customer.excess_jobs.to_string(),
            customer.capped_steps.to_string(),
            span(customer.oldest_wait_ms),
            customer.refused.to_string(),
            customer.on_time.to_string(),
            customer.late.to_string(),
        ];
        table.row(&cells.each_ref().map(String::as_str));
    };
    report.customers.iter().for_each(|customer| row(customer, &customer.name));
    row(&report.rest, &format!("{} others", report.others));
    table.render() + &office_text(&report.office)
}

fn workers_text(report: &WorkersReport) -> String {
    let counts: Vec<String> = report
        .conditions
        .iter()
        .chain(&report.speeds)
        .map(|(name, count)| format!("{count} {}", clean(name)))
        .collect();
    let mut text = format!(
        "{} workers polled, {} not; {} of {} cores allocated; {}\n",
        report.active,
        report.inactive,
        cores(&report.allocated),
        cores(&report.capacity),
        counts.join(", ")
    );
    let heading = [
        "WORKER",
        "RACK",
        "CONDITION",
        "SPEED",
        "TASKS",
        "CORES",
        "FAILURES",
        "SILENT",
        "LEAVES IN",
        "LISTED",
    ];
    let mut table = Table::new(&heading);
    for worker in &report.workers {
        let cells = worker_cells(worker);
        table.row(&cells.each_ref().map(String::as_str));
    }
    text += &table.render();
    if report.others > 0 {
        text += &format!("and {} more without a condition or later in this order\n", report.others);
    }
    text + &office_text(&report.office)
}

fn worker_cells(worker: &Worker) -> [String; 10] {
    let time = |ms: Option<u64>| ms.map_or_else(|| "-".to_owned(), span);
    let conditions = worker.conditions.join(",");
    [
        worker.name.clone(),
        worker.rack.clone().unwrap_or_else(|| "-".to_owned()),
        if conditions.is_empty() { "ok".to_owned() } else { conditions },
        worker.speed.map_or_else(|| "-".to_owned(), |speed| format!("{speed:.2}")),
        worker.tasks.to_string(),
        format!("{}/{}", cores(&worker.allocated), cores(&worker.capacity)),
        worker.failures.to_string(),
        time(worker.silent_ms),
        time(worker.remaining_ms),
        format!("{} ago", span(worker.list_age_ms)),
    ]
}

fn office_text(office: &Office) -> String {
    format!(
        "owner: epoch {}, for {}; attempts and refusals before that are not known to it\n",
        office.epoch,
        span(office.age_ms)
    )
}

fn cores(amount: &Amount) -> String {
    format!("{:.1}", amount.cpu_millis as f64 / 1e3)
}

fn cap_text(cap: &Limit) -> String {
    let text =
        |limit: Option<u64>| limit.map_or_else(|| "any".to_owned(), |limit| limit.to_string());
    format!(
        "{}m cpu, {} MiB, {} accelerators",
        text(cap.cpu_millis),
        text(cap.memory_mib),
        text(cap.accelerators)
    )
}
