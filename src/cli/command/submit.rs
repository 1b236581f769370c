//! `submit`.

use std::io::Read;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ::http::Method;
use monoio::time::Instant;

use super::{Context, job, read};
use crate::api::view::job::{Durability, State, Submission};
use crate::api::wire::check;
use crate::api::{Refusal, wire};
use crate::cli::entries::{Ask, Reach, Told};
use crate::cli::failure::{Code, Failure};
use crate::cli::flags::{JobKind, Submit};
use crate::cli::output::{self, Report};
use crate::cli::text::{Span, clean};
use crate::clock;
use crate::job::{Effect, Kind, Spec, Urgency};

/// Pause between two looks at a job that is waited for.
const LOOK: Duration = Duration::from_millis(200);
/// Largest file that describes a job, in bytes; larger ones are refused by the scheduler too.
const FILE_BYTES: u64 = 64 * 1024;

/// Submits a job and waits for it when asked to.
pub async fn submit(context: &Context, flags: Submit) -> Result<Report, Failure> {
    let wait = flags.wait;
    let reach = flags.domain.clone().map_or(Reach::Pinned, Reach::Domain);
    let key = flags.key.clone().unwrap_or_else(draw_key);
    check::key("--key", &key).map_err(|refusal| Failure::usage(refusal.message))?;
    let wire = spec(flags)?;
    let wrong = |refusal: Refusal| Failure::usage(refusal.message);
    let submission = Submission { key: key.clone(), spec: Spec::try_from(wire).map_err(wrong)? };
    output::note(&format!("key: {key}"));
    let accepted = send(context, submission, reach).await;
    let accepted = accepted.map_err(|failure| repeatable(failure, &key))?;
    match wait {
        None => Ok(report(&accepted)),
        Some(Span(span)) => wait_for(context, &accepted.body.job, span).await,
    }
}

async fn send(
    context: &Context,
    submission: Submission,
    reach: Reach,
) -> Result<Told<wire::job::Accepted>, Failure> {
    let body = wire::job::Spec::from(submission.spec);
    let ask = Ask::change(Method::POST, "/v1/jobs".to_owned(), &body);
    let ask = Ask { key: Some(submission.key), reach, ..ask };
    context.entries.ask(&ask).await
}

/// Tells how to repeat a submission of which it is not known whether it was accepted.
fn repeatable(failure: Failure, key: &str) -> Failure {
    if failure.code != Code::Unknown {
        return failure;
    }
    let domain = failure.domain.as_ref().map(|name| format!(" --domain {name}"));
    let domain = domain.unwrap_or_default();
    Failure {
        means: "the job may or may not have been accepted".to_owned(),
        next: format!(
            "run the same command again with --key {key}{domain}: it never runs twice that way"
        ),
        ..failure
    }
}

fn report(accepted: &Told<wire::job::Accepted>) -> Report {
    let wire::job::Accepted { job, durability, duplicate } = &accepted.body;
    let first = if *duplicate { "had been accepted before" } else { "accepted" };
    let kept = match durability {
        Durability::Log => "its record is in the log",
        Durability::Peers => {
            "the log is away: its record is held by instances of the domain until the log is back"
        }
    };
    let domain = clean(&accepted.domain);
    let text = format!("job {} {first} in {domain}; {kept}\n", clean(job));
    Report::done(&accepted.body, text)
}

/// Looks at the job until it has ended or `span` has passed.
async fn wait_for(context: &Context, id: &str, span: Duration) -> Result<Report, Failure> {
    let deadline = Instant::now() + span;
    loop {
        let job = job::fetch(context, id).await?;
        let state = job.body.summary.state;
        let code = match state {
            State::Succeeded => Some(Code::Done),
            State::Failed | State::Cancelled => Some(Code::JobFailed),
            _ if Instant::now() >= deadline => Some(Code::StillRunning),
            _ => None,
        };
        if let Some(code) = code {
            return Ok(Report { code, ..job::report(&job) });
        }
        monoio::time::sleep(LOOK).await;
    }
}

fn draw_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn spec(flags: Submit) -> Result<wire::job::Spec, Failure> {
    match &flags.file {
        Some(path) => {
            let text = load(path)?;
            wire::parse(text.as_bytes()).map_err(|refusal| {
                let field = refusal.field.unwrap_or_default();
                let what = format!("{}: {} (field: {field})", path.display(), refusal.message);
                Failure::usage(what)
            })
        }
        None => from_flags(flags),
    }
}

fn load(path: &Path) -> Result<String, Failure> {
    if path != Path::new("-") {
        return read(path);
    }
    let mut text = String::new();
    let read = std::io::stdin().lock().take(FILE_BYTES).read_to_string(&mut text);
    read.map_err(|cause| Failure::usage(format!("the standard input cannot be read: {cause}")))?;
    Ok(text)
}

fn from_flags(flags: Submit) -> Result<wire::job::Spec, Failure> {
    let demand = wire::Amount {
        cpu_millis: need(flags.cpu_millis, "--cpu-millis")?,
        memory_mib: need(flags.memory_mib, "--memory-mib")?,
        accelerators: flags.accelerators.unwrap_or_default(),
    };
    Ok(wire::job::Spec {
        name: need(flags.name, "--name")?,
        team: need(flags.team, "--team")?,
        kind: flags.kind.map_or(Kind::Batch, |JobKind(kind)| kind),
        tasks: flags.tasks.unwrap_or(1),
        demand,
        effect: if flags.at_most_once { Effect::AtMostOnce } else { Effect::Idempotent },
        urgency: if flags.urgent { Urgency::Urgent } else { Urgency::Normal },
        run_time_ms: flags.run_time.map(|Span(span)| clock::millis(span)),
        deadline_unix_ms: flags.deadline.map(|Span(span)| from_now(span)),
        payload: flags.payload.unwrap_or_default(),
    })
}

fn need<T>(value: Option<T>, flag: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::usage(format!("{flag} is missing; or describe the job by --file")))
}

fn from_now(span: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    clock::millis(now.saturating_add(span))
}
