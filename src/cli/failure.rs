//! Failures in words for a first-week operator, and the exit codes.

use std::net::SocketAddr;

use crate::api::{ExecutionStatus, Reason, Refusal};

/// Exit code of the command; `docs/operators/cli.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Done = 0,
    /// A fault of the command or an answer that cannot be read.
    Internal = 1,
    /// The arguments or a file named there are wrong.
    Usage = 2,
    /// Refused; nothing ran.
    Refused = 3,
    /// It may have been done.
    Unknown = 4,
    /// Nobody could do it now; nothing ran.
    Unavailable = 5,
    /// Nothing has this identity.
    NotFound = 6,
    /// Another operator's change came first; nothing changed.
    Stale = 7,
    /// The job that was waited for did not succeed.
    JobFailed = 8,
    /// The job that was waited for has not ended yet.
    StillRunning = 9,
}

/// Why the command did not do what it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// How the process exits.
    pub code: Code,
    /// What happened.
    pub what: String,
    /// What that means for the work.
    pub means: String,
    /// What to do next.
    pub next: String,
    /// Failure domain in which the call may have taken effect, when that is not known.
    pub domain: Option<String>,
}

impl Failure {
    /// Wrong arguments.
    pub fn usage(what: impl Into<String>) -> Self {
        Self {
            code: Code::Usage,
            what: what.into(),
            means: "the command was not understood; nothing was sent".to_owned(),
            next: "correct it; `oriolefork --help` lists all commands and flags".to_owned(),
            domain: None,
        }
    }

    /// No entry instance took the call.
    pub fn unreachable(causes: &[(SocketAddr, String)]) -> Self {
        let causes: Vec<String> =
            causes.iter().map(|(peer, cause)| format!("{peer}: {cause}")).collect();
        Self {
            code: Code::Unavailable,
            what: format!("no entry instance could be reached ({})", causes.join("; ")),
            means: "nothing was sent, so nothing changed".to_owned(),
            next: "check the addresses given with --entry or in ORIOLEFORK_ENTRY and that the \
                   instances run, or name others; then try again"
                .to_owned(),
            domain: None,
        }
    }

    /// The answer is lost, or says that the outcome is not known.
    pub fn unknown(what: impl Into<String>) -> Self {
        Self {
            code: Code::Unknown,
            what: what.into(),
            means: "the change may or may not have taken effect".to_owned(),
            next: "run the same command again: it is safe to repeat".to_owned(),
            domain: None,
        }
    }

    /// An answer that this command cannot read.
    pub fn unreadable(peer: SocketAddr, cause: &str) -> Self {
        Self {
            code: Code::Internal,
            what: format!("the answer of {peer} cannot be read: {cause}"),
            means: "either this is no entry instance, or its version differs from the command's"
                .to_owned(),
            next: format!("check that {peer} is the address for callers of an entry instance"),
            domain: None,
        }
    }

    /// The refusal of an entry instance.
    pub fn refused(refusal: &Refusal) -> Self {
        let what = match &refusal.field {
            Some(field) => format!("{} (field: {field})", refusal.message),
            None => refusal.message.clone(),
        };
        if refusal.ran == ExecutionStatus::Unknown {
            return Self::unknown(what);
        }
        let (code, next) = advice(refusal.reason);
        let next = match refusal.retry_after {
            Some(span) => format!("{next} (in {} s or later)", span.as_millis().div_ceil(1_000)),
            None => next.to_owned(),
        };
        let means = "nothing was done: refused as not run".to_owned();
        Self { code, what, means, next, domain: None }
    }
}

/// The exit code for a refusal, and what to do about it.
const fn advice(reason: Reason) -> (Code, &'static str) {
    match reason {
        Reason::Invalid | Reason::TooLarge => {
            (Code::Refused, "correct the field that is named and try again")
        }
        Reason::Unauthorized => {
            (Code::Refused, "give the operators' token with --token-file or ORIOLEFORK_TOKEN")
        }
        Reason::NotFound => (
            Code::NotFound,
            "check the id, and that --entry names an instance of the right failure domain",
        ),
        Reason::MethodNotAllowed => {
            (Code::Internal, "use the `oriolefork` command of the entry instance's version")
        }
        Reason::StaleVersion => (
            Code::Stale,
            "see what changed with `preset show` or `quotas`, then decide anew with the new \
             version",
        ),
        Reason::KeyReused => {
            (Code::Refused, "choose another --key, or look at the job that has this one")
        }
        Reason::KeyExpired => (
            Code::Refused,
            "look whether the job ran (`oriolefork jobs`) before you submit it under a new key",
        ),
        Reason::AlreadyEnded => (Code::Refused, "nothing: look at it with `oriolefork job`"),
        Reason::Impossible => (
            Code::Refused,
            "ask for less, or add a worker that is large enough; `oriolefork workers` lists sizes",
        ),
        Reason::Quota => {
            (Code::Refused, "ask for less, or have the team's quota raised (`oriolefork quota`)")
        }
        Reason::Overloaded => (Code::Unavailable, "wait and run the same command again"),
        Reason::Deadline => (
            Code::Unavailable,
            "run it again, with a longer --timeout or another --entry; `oriolefork status` shows \
             whether the failure domain has an owner",
        ),
        Reason::NoOwner => (
            Code::Unavailable,
            "an owner is chosen within seconds: run the same command again; if it persists, see \
             `oriolefork status`",
        ),
        Reason::LogUnavailable => (
            Code::Unavailable,
            "the platform's log is away: tell whoever runs it, and run the same command again \
             later",
        ),
        Reason::ShuttingDown => (Code::Unavailable, "name another instance with --entry"),
        Reason::NoRunner | Reason::AnswerLost => {
            (Code::Unavailable, "see with `oriolefork dump` which runners are live and in use")
        }
        Reason::Internal => (Code::Internal, "take a `dump` and report it to the developers"),
    }
}
