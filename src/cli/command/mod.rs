//! One module for each group of subcommands.

mod alert;
mod cell;
mod dev;
mod job;
mod preset;
mod quota;
mod settings;
mod status;
mod submit;
mod worker;

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::api::wire::check;
use crate::cli::entries::Entries;
use crate::cli::failure::{Code, Failure};
use crate::cli::flags::{
    AlertsCmd, Explain, JobId, Oriolefork, OrioleforkCmd as Command, PresetCmd, WorkerCmd, Workers,
};
use crate::cli::output::Report;
use crate::cli::text::Span;

/// Variable with the entry instances to ask, separated by commas.
const ENTRY_VARIABLE: &str = "ORIOLEFORK_ENTRY";
/// Variable with the operators' token.
const TOKEN_VARIABLE: &str = "ORIOLEFORK_TOKEN";
/// Time that a command takes at most when no other is asked for.
const TIMEOUT: Duration = Duration::from_secs(15);

/// What every command needs.
struct Context {
    entries: Entries,
    by: Option<String>,
}

impl Context {
    fn new(flags: &Oriolefork) -> Result<Self, Failure> {
        let timeout = flags.timeout.map_or(TIMEOUT, |Span(span)| span);
        let entries = Entries::new(addresses(flags)?, timeout, token(flags)?);
        Ok(Self { entries, by: flags.by.clone() })
    }

    /// Name of the person who gives an order.
    fn by(&self) -> Result<String, Failure> {
        let user = || env::var("USER").ok();
        let missing = || Failure::usage("your name is missing: give it with --by");
        let name = self.by.clone().or_else(user).ok_or_else(missing)?;
        check::name("--by", &name).map_err(|refusal| Failure::usage(refusal.message))?;
        Ok(name)
    }
}

/// Runs the command that the flags name.
///
/// # Errors
///
/// The failure says what happened, what it means and what to do next.
pub async fn run(flags: Oriolefork) -> Result<Report, Failure> {
    if let Command::CheckSettings(flags) = &flags.subcommand {
        return Ok(settings::check(&flags.path));
    }
    if let Command::Dev(_) = &flags.subcommand {
        return dev::run().await;
    }
    let timeout = flags.timeout.map_or(TIMEOUT, |Span(span)| span);
    let instance = |at| cell::Instance { at, timeout };
    match &flags.subcommand {
        Command::Explain(Explain { id, at: Some(at) }) => {
            return cell::explain(instance(*at), id.of_cell).await;
        }
        Command::Workers(Workers { at: Some(at) }) => return cell::workers(instance(*at)).await,
        Command::Customers(flags) => return cell::customers(instance(flags.at)).await,
        _ => {}
    }
    let context = Context::new(&flags)?;
    match flags.subcommand {
        Command::Submit(flags) => submit::submit(&context, flags).await,
        Command::Cancel(flags) => job::cancel(&context, flags.id).await,
        Command::Job(flags) => job::show(&context, flags.id).await,
        Command::Jobs(flags) => job::list(&context, &flags).await,
        Command::Explain(flags) => job::explain(&context, JobId(flags.id.job)).await,
        Command::Status(_) => status::show(&context).await,
        Command::Preset(flags) => match flags.subcommand {
            PresetCmd::Show(_) => preset::show(&context).await,
            PresetCmd::Set(flags) => preset::set(&context, flags).await,
            PresetCmd::Diff(flags) => preset::diff(&context, &flags).await,
            PresetCmd::History(_) => preset::history(&context).await,
        },
        Command::Alerts(flags) => match flags.subcommand {
            AlertsCmd::List(flags) => alert::list(&context, flags.all).await,
            AlertsCmd::Ack(flags) => alert::acknowledge(&context, &flags.id).await,
        },
        Command::Customers(flags) => cell::customers(instance(flags.at)).await,
        Command::Workers(_) => worker::list(&context).await,
        Command::Drain(flags) => worker::drain(&context, &flags.worker).await,
        Command::Undrain(flags) => worker::undrain(&context, &flags.worker).await,
        Command::Worker(flags) => match flags.subcommand {
            WorkerCmd::Lost(flags) => worker::lost(&context, &flags).await,
        },
        Command::Quotas(_) => quota::list(&context).await,
        Command::Quota(flags) => quota::set(&context, flags).await,
        Command::CheckSettings(flags) => Ok(settings::check(&flags.path)),
        Command::Dev(_) => dev::run().await,
        Command::Dump(_) => status::dump(&context).await,
        Command::LogLevel(flags) => status::log_level(&context, flags.level).await,
    }
}

fn addresses(flags: &Oriolefork) -> Result<Vec<SocketAddr>, Failure> {
    if !flags.entry.is_empty() {
        return Ok(flags.entry.clone());
    }
    let missing = || {
        let what = format!(
            "no entry instance is named: give --entry IP:PORT or set {ENTRY_VARIABLE} to a list \
             such as 10.0.0.1:7400,10.0.0.2:7400"
        );
        Failure::usage(what)
    };
    let list = env::var(ENTRY_VARIABLE).map_err(|_| missing())?;
    let parse = |text: &str| {
        let what = || format!("{ENTRY_VARIABLE} holds {text:?}, which is no IP:PORT");
        text.trim().parse().map_err(|_| Failure::usage(what()))
    };
    list.split(',').map(parse).collect()
}

fn token(flags: &Oriolefork) -> Result<Option<String>, Failure> {
    match &flags.token_file {
        Some(path) => read(path).map(|text| Some(text.trim().to_owned())),
        None => Ok(env::var(TOKEN_VARIABLE).ok()),
    }
}

fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|cause| Failure {
        code: Code::Usage,
        what: format!("{} cannot be read: {cause}", path.display()),
        means: "nothing was sent".to_owned(),
        next: "check the path and that you may read the file".to_owned(),
        domain: None,
    })
}
