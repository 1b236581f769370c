//! `status`, `dump` and `log-level`.

use ::http::Method;

use super::{Context, preset};
use crate::api::wire::status::{Domain, LogLevel, Status};
use crate::cli::entries::{Ask, Told};
use crate::cli::failure::Failure;
use crate::cli::output::Report;
use crate::cli::text::{Table, clean, span};

/// Shows what the scheduler is doing.
pub async fn show(context: &Context) -> Result<Report, Failure> {
    let told: Told<Status> = context.entries.ask(&Ask::get("/v1/status")).await?;
    let status = &told.body;
    let mut text = preset::line(&status.preset);
    text += &format!("asked {} in {}\n\n", clean(&status.instance.instance), clean(&told.domain));
    text += &domains(&status.domains).render();
    Ok(Report::done(status, text + &hints(&status.domains)))
}

fn domains(domains: &[Domain]) -> Table {
    let heading = [
        "DOMAIN",
        "OWNER",
        "EPOCH",
        "PRESET",
        "HEARD",
        "LOG",
        "WORKERS",
        "WAITING",
        "RUNNING",
        "UNCERTAIN",
        "ALERTS",
    ];
    let mut table = Table::new(&heading);
    for domain in domains {
        let owner = domain.owner.as_deref().unwrap_or("none");
        let preset = format!("{} v{}", domain.preset.preset, domain.preset.version);
        let heard = format!("{} ago", span(domain.heard_ms));
        let log = domain.log.to_string();
        let workers = workers(domain);
        let [waiting, running, uncertain, alerts] = [
            domain.load.pending_tasks,
            domain.load.running_tasks,
            domain.load.uncertain_tasks,
            domain.open_alerts,
        ]
        .map(|count| count.to_string());
        table.row(&[
            &domain.name,
            owner,
            &domain.epoch,
            &preset,
            &heard,
            &log,
            &workers,
            &waiting,
            &running,
            &uncertain,
            &alerts,
        ]);
    }
    table
}

/// How many workers take work, and how many do not for which reason.
fn workers(domain: &Domain) -> String {
    let count = &domain.workers;
    let others = [
        (count.draining, "draining"),
        (count.unfenced, "unfenced"),
        (count.unreachable, "unreachable"),
    ];
    let others = others.iter().filter(|(count, _)| *count > 0);
    let others = others.map(|(count, name)| format!(", {count} {name}"));
    format!("{} live{}", count.live, others.collect::<String>())
}

/// What a newcomer should look at next.
fn hints(domains: &[Domain]) -> String {
    let mut hints = String::new();
    for domain in domains {
        let name = clean(&domain.name);
        if domain.owner.is_none() {
            hints += &format!("{name} has no owner: nothing new starts there\n");
        }
        if domain.load.uncertain_tasks > 0 {
            hints += &format!("{name} has uncertain tasks: see `alerts list` there\n");
        }
        if domain.open_alerts > 0 {
            hints += &format!("{name} has alerts that nobody has seen: see `alerts list` there\n");
        }
    }
    if hints.is_empty() { hints } else { format!("\n{hints}") }
}

/// Prints the whole state of a process.
pub async fn dump(context: &Context) -> Result<Report, Failure> {
    let told: Told<serde_json::Value> = context.entries.ask(&Ask::get("/dump")).await?;
    let text = crate::cli::text::clean_json(&format!("{:#}\n", told.body));
    Ok(Report::done(&told.body, text))
}

/// Sets the log level of a process.
pub async fn log_level(context: &Context, level: String) -> Result<Report, Failure> {
    let ask = Ask::change(Method::PUT, "/v1/log-level".to_owned(), &LogLevel { level });
    let told: Told<LogLevel> = context.entries.ask(&ask).await?;
    let text = format!("the log level is {} now\n", clean(&told.body.level));
    Ok(Report::done(&told.body, text))
}
