//! Limits on the values in requests, and checks of them.

use std::time::Duration;

use crate::api::refusal::Refusal;
use crate::clock::Unix;

/// Maximum length of the name of a job, team, worker or operator, in characters.
pub const MAX_NAME_LENGTH: usize = 64;
/// Maximum length of an idempotency key, in characters.
pub const MAX_KEY_LENGTH: usize = 128;
/// Maximum number of tasks of one job.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum CPU demand of a task, in thousandths of a core.
pub const MAX_CPU_MILLIS: u64 = 10_000_000;
/// Maximum memory demand of a task, in MiB.
pub const MAX_MEMORY_MIB: u64 = 64 * 1024 * 1024;
/// Maximum number of accelerators of a task.
pub const MAX_ACCELERATORS: u64 = 1_024;
/// Maximum expected run time of a task.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(366 * 24 * 60 * 60);
/// Maximum time from now to a deadline.
pub const MAX_DEADLINE: Duration = Duration::from_secs(366 * 24 * 60 * 60);
/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;
/// Maximum number of items on one page of a list.
pub const MAX_PAGE_SIZE: usize = 500;

/// Checks a name: letters, digits, `.`, `_` and `-`, beginning with a letter or digit.
///
/// Names appear in logs, terminals and paths, so they must not contain characters with a special
/// meaning there.
///
/// ```
/// use oriolefork::api::wire::check;
/// assert!(check::name("team", "shop-1").is_ok());
/// assert!(check::name("team", "a\nb").is_err());
/// ```
///
/// # Errors
///
/// Returns a refusal that names `field` and the violated rule.
pub fn name(field: &str, text: &str) -> Result<(), Refusal> {
    let length = text.chars().count();
    if length == 0 || length > MAX_NAME_LENGTH {
        return Err(Refusal::invalid(
            field,
            format!("{field} has {length} characters; it must have 1 to {MAX_NAME_LENGTH}"),
        ));
    }
    let begins = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if !begins || !text.chars().all(allowed) {
        return Err(Refusal::invalid(
            field,
            format!(
                "{field} may contain only ASCII letters, digits, '.', '_' and '-' and must begin \
                 with a letter or digit"
            ),
        ));
    }
    Ok(())
}

/// Checks an idempotency key: visible ASCII characters, no spaces.
///
/// # Errors
///
/// Returns a refusal that names `field` and the violated rule.
pub fn key(field: &str, text: &str) -> Result<(), Refusal> {
    let visible = text.chars().all(|c| c.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_LENGTH || !visible {
        return Err(Refusal::invalid(
            field,
            format!("{field} must have 1 to {MAX_KEY_LENGTH} visible ASCII characters, no spaces"),
        ));
    }
    Ok(())
}

/// Checks that a number lies in `low..=high`.
///
/// # Errors
///
/// Returns a refusal that names `field`, the number and the range.
pub fn in_range(field: &str, value: u64, low: u64, high: u64) -> Result<(), Refusal> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Refusal::invalid(field, format!("{field} is {value}; it must be {low} to {high}")))
}

/// Checks that a text has at most `limit` bytes.
///
/// # Errors
///
/// Returns a refusal that names `field`, the length and the limit.
pub fn max_length(field: &str, text: &str, limit: usize) -> Result<(), Refusal> {
    if text.len() <= limit {
        return Ok(());
    }
    let length = text.len();
    Err(Refusal::invalid(field, format!("{field} has {length} bytes; the maximum is {limit}")))
}

/// Checks that a deadline is after `now`, by at most [`MAX_DEADLINE`].
///
/// # Errors
///
/// Returns a refusal that names `field` and the violated limit.
pub fn deadline(field: &str, deadline: Unix, now: Unix) -> Result<(), Refusal> {
    if deadline <= now {
        let late = now.since(deadline).as_secs();
        return Err(Refusal::invalid(field, format!("{field} is {late} s in the past")));
    }
    if deadline.since(now) > MAX_DEADLINE {
        let days = MAX_DEADLINE.as_secs() / (24 * 60 * 60);
        return Err(Refusal::invalid(
            field,
            format!("{field} is more than {days} days in the future"),
        ));
    }
    Ok(())
}
