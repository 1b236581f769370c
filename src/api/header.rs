//! Headers of a request that the interface reads.

use std::time::Duration;

use ::http::HeaderMap;
use ::http::header::AUTHORIZATION;

use crate::api::refusal::Refusal;
use crate::api::wire::check;
use crate::clock;

/// Names a submission, so that a repeated one is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Milliseconds that the caller waits for the answer.
pub const TIMEOUT: &str = "request-timeout-ms";
/// Instance that answered.
pub const INSTANCE: &str = "oriolefork-instance";
/// Failure domain of the instance that answered.
pub const DOMAIN: &str = "oriolefork-domain";

/// Time a caller waits when it does not say.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time a caller can ask to wait.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(120);

const BEARER: &str = "bearer ";

/// The idempotency key, which has to be there once.
///
/// # Errors
///
/// Names the header when it is missing, repeated or malformed.
pub fn idempotency_key(headers: &HeaderMap) -> Result<String, Refusal> {
    let missing = || {
        let message = "the header is required: it lets a submission whose answer was lost be sent \
                       again without running twice";
        Refusal::invalid(IDEMPOTENCY_KEY, message)
    };
    let key = single(headers, IDEMPOTENCY_KEY)?.ok_or_else(missing)?;
    check::key(IDEMPOTENCY_KEY, key)?;
    Ok(key.to_owned())
}

/// The time that the caller waits.
///
/// # Errors
///
/// Names the header when it is repeated or malformed.
pub fn timeout(headers: &HeaderMap) -> Result<Duration, Refusal> {
    timeout_or(headers, DEFAULT_TIMEOUT)
}

/// The time that the caller waits, or `absent` when it names none.
///
/// # Errors
///
/// Names the header when it is repeated or malformed.
pub fn timeout_or(headers: &HeaderMap, absent: Duration) -> Result<Duration, Refusal> {
    let Some(text) = single(headers, TIMEOUT)? else { return Ok(absent) };
    let message = "must be a whole number of milliseconds";
    let millis = text.parse().map_err(|_| Refusal::invalid(TIMEOUT, message))?;
    check::in_range(TIMEOUT, millis, 1, clock::millis(MAX_TIMEOUT))?;
    Ok(Duration::from_millis(millis))
}

/// The token that the caller presents.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let scheme = text.get(..BEARER.len())?;
    scheme.eq_ignore_ascii_case(BEARER).then(|| &text[BEARER.len()..])
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Refusal::invalid(name, "the header is given more than once"));
    }
    let message = "the header must hold visible ASCII characters only";
    value.to_str().map(Some).map_err(|_| Refusal::invalid(name, message))
}
