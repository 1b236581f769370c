//! `cancel`, `job`, `jobs` and `explain`.

use ::http::Method;
use form_urlencoded::Serializer;

use super::Context;
use crate::api::wire;
use crate::cli::entries::{Ask, Told};
use crate::cli::failure::Failure;
use crate::cli::flags::{JobId, Jobs};
use crate::cli::output::Report;
use crate::cli::text::{Table, clean, span, time};

/// Jobs listed when no limit is given.
const LIMIT: usize = 100;
/// Tasks shown of one job; the rest is counted.
const TASKS: usize = 50;

/// Stops a job.
pub async fn cancel(context: &Context, JobId(id): JobId) -> Result<Report, Failure> {
    let body = serde_json::Map::new();
    let ask = Ask::change(Method::POST, format!("/v1/jobs/{id}/cancel"), &body);
    let told: Told<wire::job::Job> = context.entries.ask(&ask).await?;
    Ok(report(&told))
}

/// Shows a job.
pub async fn show(context: &Context, JobId(id): JobId) -> Result<Report, Failure> {
    Ok(report(&fetch(context, &id.to_string()).await?))
}

/// Fetches a job from the first failure domain that knows it.
pub async fn fetch(context: &Context, id: &str) -> Result<Told<wire::job::Job>, Failure> {
    context.entries.ask(&Ask::get(format!("/v1/jobs/{id}"))).await
}

/// Lists jobs of the failure domain of the first instance that answers.
pub async fn list(context: &Context, flags: &Jobs) -> Result<Report, Failure> {
    let limit = flags.limit.unwrap_or(LIMIT).to_string();
    let mut query = Serializer::new(String::new());
    query.append_pair("limit", &limit);
    for (name, value) in [
        ("team", &flags.team),
        ("name", &flags.name),
        ("state", &flags.state),
        ("after", &flags.after),
    ] {
        if let Some(value) = value {
            query.append_pair(name, value);
        }
    }
    let ask = Ask::get(format!("/v1/jobs?{}", query.finish()));
    let told: Told<wire::Page<wire::job::Summary>> = context.entries.ask(&ask).await?;
    Ok(Report::done(&told.body, listing(&told)))
}

fn listing(told: &Told<wire::Page<wire::job::Summary>>) -> String {
    let mut table = Table::new(&["ID", "TEAM", "NAME", "KIND", "STATE", "TASKS", "SUBMITTED"]);
    for job in &told.body.items {
        let kind = job.kind.to_string();
        let state = job.state.to_string();
        let tasks = job.tasks.to_string();
        let submitted = time(job.submitted_unix_ms);
        table.row(&[&job.id, &job.team, &job.name, &kind, &state, &tasks, &submitted]);
    }
    let domain = clean(&told.domain);
    if table.is_empty() {
        return format!("no such jobs in {domain}\n");
    }
    let more =
        if told.body.next.is_some() { "there are more: narrow by --team or --state\n" } else { "" };
    format!("jobs in {domain}:\n{}{more}", table.render())
}

/// Says why a job waits.
pub async fn explain(context: &Context, JobId(id): JobId) -> Result<Report, Failure> {
    let ask = Ask::get(format!("/v1/jobs/{id}/explanation"));
    let told: Told<wire::job::Explanation> = context.entries.ask(&ask).await?;
    let wire::job::Explanation { job, state, reason, advice, waited_ms } = &told.body;
    let next = advice.as_deref().unwrap_or("nothing to do");
    let text = format!(
        "job {} is {state}, waited {}\nwhy:  {}\nnext: {}\n",
        clean(job),
        span(*waited_ms),
        clean(reason),
        clean(next)
    );
    Ok(Report::done(&told.body, text))
}

/// A job with its tasks, for people.
pub fn report(told: &Told<wire::job::Job>) -> Report {
    let job = &told.body;
    let summary = &job.summary;
    let deadline = summary.deadline_unix_ms.map_or_else(|| "none".to_owned(), time);
    let heading = format!(
        "job {} {}/{} in {}: {}\n{}, {}, {}, submitted {}, deadline {deadline}, record in {}\n",
        clean(&summary.id),
        clean(&summary.team),
        clean(&summary.name),
        clean(&told.domain),
        summary.state,
        summary.kind,
        summary.urgency,
        job.effect,
        time(summary.submitted_unix_ms),
        job.durability,
    );
    Report::done(job, heading + &tasks(&job.task_list))
}

fn tasks(tasks: &[wire::job::Task]) -> String {
    let mut table = Table::new(&["TASK", "TRY", "STATE", "WORKER", "STARTED", "ENDED", "REASON"]);
    for task in tasks.iter().take(TASKS) {
        let index = task.index.to_string();
        let attempt = (task.attempt + 1).to_string();
        let state = task.state.to_string();
        let worker = task.worker.as_deref().unwrap_or("-");
        let started = task.started_unix_ms.map_or_else(|| "-".to_owned(), time);
        let ended = task.ended_unix_ms.map_or_else(|| "-".to_owned(), time);
        let reason = task.reason.as_deref().unwrap_or("-");
        table.row(&[&index, &attempt, &state, worker, &started, &ended, reason]);
    }
    let more = tasks.len().saturating_sub(TASKS);
    let rest =
        if more > 0 { format!("and {more} more; --json prints all\n") } else { String::new() };
    table.render() + &rest
}
