//! HTTP headers of the interface and their parsing.

use std::time::Duration;

use ::http::HeaderMap;
use ::http::header::AUTHORIZATION;

use crate::api::refusal::Refusal;
use crate::api::wire::check;
use crate::clock;

/// Request header that identifies a submission, so that a retry is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request header with the milliseconds that the caller waits for the response.
pub const TIMEOUT: &str = "request-timeout-ms";
/// Response header with the name of the responding instance.
pub const INSTANCE: &str = "oriolefork-instance";
/// Response header with the failure domain of the responding instance.
pub const DOMAIN: &str = "oriolefork-domain";

/// Time limit of a request without the [`TIMEOUT`] header.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest time limit that a request may set.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(120);

const BEARER: &str = "bearer ";

/// Returns the idempotency key, which is required.
///
/// # Errors
///
/// Refuses a missing, repeated or malformed header.
pub fn idempotency_key(headers: &HeaderMap) -> Result<String, Refusal> {
    let missing = || {
        let message = "the header is required: it allows a retry after a lost response without \
                       running the work twice";
        Refusal::invalid(IDEMPOTENCY_KEY, message)
    };
    let key = single(headers, IDEMPOTENCY_KEY)?.ok_or_else(missing)?;
    check::key(IDEMPOTENCY_KEY, key)?;
    Ok(key.to_owned())
}

/// Returns the request's time limit, [`DEFAULT_TIMEOUT`] if it sets none.
///
/// # Errors
///
/// Refuses a repeated or malformed header.
pub fn timeout(headers: &HeaderMap) -> Result<Duration, Refusal> {
    timeout_or(headers, DEFAULT_TIMEOUT)
}

/// Returns the request's time limit, or `default_timeout` if it sets none.
///
/// # Errors
///
/// Refuses a repeated or malformed header.
pub fn timeout_or(headers: &HeaderMap, default_timeout: Duration) -> Result<Duration, Refusal> {
    let Some(text) = single(headers, TIMEOUT)? else { return Ok(default_timeout) };
    let message = "must be a whole number of milliseconds";
    let millis = text.parse().map_err(|_| Refusal::invalid(TIMEOUT, message))?;
    check::in_range(TIMEOUT, millis, 1, clock::millis(MAX_TIMEOUT))?;
    Ok(Duration::from_millis(millis))
}

/// Returns the bearer token of the `authorization` header.
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
