//! `quotas` and `quota`.

use ::http::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use super::Context;
use crate::api::wire::Amount;
use crate::api::wire::quota::{Change, Table as Quotas};
use crate::cli::entries::{Ask, Told};
use crate::cli::failure::{Code, Failure};
use crate::cli::flags::Quota;
use crate::cli::output::Report;
use crate::cli::text::Table;

const PATH: &str = "/v1/quotas";

/// Lists the teams' quotas.
pub async fn list(context: &Context) -> Result<Report, Failure> {
    Ok(report(&fetch(context).await?))
}

async fn fetch(context: &Context) -> Result<Quotas, Failure> {
    let told: Told<Quotas> = context.entries.ask(&Ask::get(PATH)).await?;
    Ok(told.body)
}

/// Sets or removes a team's quota.
pub async fn set(context: &Context, flags: Quota) -> Result<Report, Failure> {
    let limit = limit(&flags)?;
    let team = utf8_percent_encode(&flags.team, NON_ALPHANUMERIC);
    let change = Change { limit, based_on: flags.based_on, by: context.by()? };
    let ask = Ask::change(Method::PUT, format!("{PATH}/{team}"), &change);
    match context.entries.ask::<Quotas>(&ask).await {
        Ok(told) => Ok(report(&told.body)),
        Err(failure) if matches!(failure.code, Code::Stale | Code::Unknown) => {
            let quotas = own(context, &flags.team, &change).await.ok_or(failure)?;
            Ok(report(&quotas))
        }
        Err(failure) => Err(failure),
    }
}

/// The quotas, when the change is in force although its answer was lost.
async fn own(context: &Context, team: &str, change: &Change) -> Option<Quotas> {
    let quotas = fetch(context).await.ok()?;
    let present = quotas.teams.iter().find(|quota| quota.team == team).map(|quota| quota.limit);
    (present == change.limit && quotas.version == change.based_on + 1).then_some(quotas)
}

fn limit(flags: &Quota) -> Result<Option<Amount>, Failure> {
    let given = (flags.cpu_millis, flags.memory_mib);
    match (flags.remove, given) {
        (true, (None, None)) => Ok(None),
        (false, (Some(cpu_millis), Some(memory_mib))) => {
            let accelerators = flags.accelerators.unwrap_or_default();
            Ok(Some(Amount { cpu_millis, memory_mib, accelerators }))
        }
        _ => Err(Failure::usage("give --cpu-millis and --memory-mib, or --remove alone")),
    }
}

fn report(quotas: &Quotas) -> Report {
    let mut table = Table::new(&["TEAM", "CPU-MILLIS", "MEMORY-MIB", "ACCELERATORS"]);
    for quota in &quotas.teams {
        let Amount { cpu_millis, memory_mib, accelerators } = quota.limit;
        let [cpu, memory, accelerators] =
            [cpu_millis, memory_mib, accelerators].map(|n| n.to_string());
        table.row(&[&quota.team, &cpu, &memory, &accelerators]);
    }
    let listing =
        if table.is_empty() { "no team has a quota\n".to_owned() } else { table.render() };
    let text = format!("{listing}change one with: quota TEAM --based-on {}\n", quotas.version);
    Report::done(quotas, text)
}
