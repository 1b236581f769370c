//! `workers`, `drain`, `undrain` and `worker lost`.

use ::http::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use super::Context;
use crate::api::view::worker::Action;
use crate::api::wire::Amount;
use crate::api::wire::alert::OperatorName;
use crate::api::wire::worker::{List, Worker};
use crate::cli::entries::{Ask, Told};
use crate::cli::failure::Failure;
use crate::cli::flags::Lost;
use crate::cli::output::Report;
use crate::cli::text::{Table, clean};

/// Lists the workers of the failure domain of the first instance that answers.
pub async fn list(context: &Context) -> Result<Report, Failure> {
    let told: Told<List> = context.entries.ask(&Ask::get("/v1/workers")).await?;
    let heading = format!("workers in {}:\n", clean(&told.domain));
    Ok(Report::done(&told.body, heading + &listing(&told.body.workers)))
}

fn listing(workers: &[Worker]) -> String {
    let heading =
        ["WORKER", "RACK", "STATE", "TASKS", "CPU RESERVED", "MEMORY RESERVED", "ACCELERATORS"];
    let mut table = Table::new(&heading);
    for worker in workers {
        let Worker { name, rack, state, capacity, reserved, tasks } = worker;
        let share = |part: fn(&Amount) -> u64| format!("{}/{}", part(reserved), part(capacity));
        let cpu = format!("{} m", share(|amount| amount.cpu_millis));
        let memory = format!("{} MiB", share(|amount| amount.memory_mib));
        let accelerators = share(|amount| amount.accelerators);
        let (state, tasks) = (state.to_string(), tasks.to_string());
        table.row(&[name, rack, &state, &tasks, &cpu, &memory, &accelerators]);
    }
    table.render()
}

/// Gives a worker no new work.
pub async fn drain(context: &Context, name: &str) -> Result<Report, Failure> {
    order(context, name, Action::Drain).await
}

/// Gives a drained worker work again.
pub async fn undrain(context: &Context, name: &str) -> Result<Report, Failure> {
    order(context, name, Action::Undrain).await
}

/// Gives a worker up for good.
pub async fn lost(context: &Context, flags: &Lost) -> Result<Report, Failure> {
    if !flags.i_made_sure_it_is_off {
        let what = "the tasks of a lost worker are started elsewhere: while it still runs, they \
                    would run twice";
        let next = "make sure that the machine is off, then add --i-made-sure-it-is-off";
        return Err(Failure { next: next.to_owned(), ..Failure::usage(what) });
    }
    order(context, &flags.worker, Action::Lost).await
}

async fn order(context: &Context, name: &str, order: Action) -> Result<Report, Failure> {
    let operator = OperatorName { by: context.by()? };
    let name = utf8_percent_encode(name, NON_ALPHANUMERIC);
    let ask = Ask::change(Method::POST, format!("/v1/workers/{name}/{order}"), &operator);
    let told: Told<Worker> = context.entries.ask(&ask).await?;
    let text = listing(std::slice::from_ref(&told.body));
    Ok(Report::done(&told.body, text))
}
