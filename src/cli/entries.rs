//! Calls to entry instances, one after another, repeated only where that does no harm.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ::http::header::AUTHORIZATION;
use ::http::{HeaderName, HeaderValue, Method, StatusCode};
use monoio::time::Instant;
use serde::de::DeserializeOwned;

use crate::api::{ExecutionStatus, Reason, Refusal, header, wire};
use crate::cli::failure::Failure;
use crate::clock;
use crate::http::{Client, Limits, Request, Response};

/// Pause before all instances are asked again.
const PAUSE: Duration = Duration::from_millis(300);
/// Times that all instances are asked while none can be reached.
const UNREACHED_ROUNDS: u32 = 3;
/// Longest answer that is read.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// One call.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its method.
    pub method: Method,
    /// Its path with the query.
    pub path: String,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// Which instances may see it.
    pub reach: Reach,
}

/// Which instances may see a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reach {
    /// All.
    Any,
    /// Those of one failure domain, once the outcome there is not known.
    ///
    /// The key of a submission is known in its own failure domain only. After a lost answer, the
    /// same key in another domain would be a second job.
    Pinned,
    /// Those of this failure domain.
    Domain(String),
}

impl Ask {
    /// A call that reads.
    pub fn get(path: impl Into<String>) -> Self {
        let path = path.into();
        Self { method: Method::GET, path, key: None, body: Vec::new(), reach: Reach::Any }
    }

    /// A call that changes something and may be repeated.
    pub fn change(method: Method, path: String, body: &impl serde::Serialize) -> Self {
        // The wire types have text keys only, so that they always become JSON.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self { method, path, key: None, body, reach: Reach::Any }
    }

    fn is_change(&self) -> bool {
        self.method != Method::GET
    }
}

/// A whole answer that is a success.
#[derive(Clone, Debug)]
pub struct Told<T> {
    /// Its body.
    pub body: T,
    /// Failure domain of the instance that gave it.
    pub domain: String,
}

/// Why one instance did not do what it was asked.
enum Miss {
    /// Nothing was sent.
    Unsent(String),
    /// The call was sent and no whole answer came.
    Lost(String),
    /// The instance refused.
    Refused(Refusal),
    /// The answer is none of an entry instance.
    Unreadable(String),
}

impl Miss {
    /// Whether the call may have taken effect.
    fn is_doubtful(&self) -> bool {
        match self {
            Self::Unsent(_) => false,
            Self::Lost(_) | Self::Unreadable(_) => true,
            Self::Refused(refusal) => refusal.ran == ExecutionStatus::Unknown,
        }
    }

    /// Whether another instance, or the same one later, could do it.
    fn is_passing(&self) -> bool {
        let Self::Refused(refusal) = self else { return true };
        matches!(
            refusal.reason,
            Reason::NoOwner
                | Reason::LogUnavailable
                | Reason::ShuttingDown
                | Reason::Overloaded
                | Reason::Deadline
                | Reason::NotFound
        )
    }

    fn is_not_found(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.reason == Reason::NotFound)
    }

    fn cause(&self) -> String {
        match self {
            Self::Unsent(cause) | Self::Lost(cause) | Self::Unreadable(cause) => cause.clone(),
            Self::Refused(refusal) => refusal.message.clone(),
        }
    }

    fn pause(&self) -> Duration {
        let Self::Refused(refusal) = self else { return PAUSE };
        refusal.retry_after.unwrap_or(PAUSE)
    }
}

/// The entry instances that the command may ask.
pub struct Entries {
    client: Client,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
    token: Option<String>,
}

/// What has become of a call so far.
#[derive(Default)]
struct Walk {
    misses: Vec<(SocketAddr, Miss)>,
    doubt: Option<String>,
    /// Failure domains of the instances, as far as known.
    domains: HashMap<SocketAddr, String>,
    /// Failure domain to which the call is bound.
    home: Option<String>,
}

impl Entries {
    /// Builds calls to `addresses` that take at most `timeout` in all.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration, token: Option<String>) -> Self {
        let limits = Limits { body_bytes: BODY_BYTES, read_timeout: timeout, ..Limits::default() };
        Self { client: Client::new(limits), addresses, timeout, token }
    }

    /// Asks one instance after another until one has an answer, and reads it.
    ///
    /// # Errors
    ///
    /// The failure tells whether the call may have taken effect.
    pub async fn ask<T: DeserializeOwned>(&self, ask: &Ask) -> Result<Told<T>, Failure> {
        let deadline = Instant::now() + self.timeout;
        let mut walk = Walk::new(&ask.reach);
        let mut round = 0;
        loop {
            round += 1;
            walk.misses.clear();
            if let Some(told) = self.round(ask, deadline, &mut walk).await? {
                return Ok(told);
            }
            let pause = walk.misses.iter().map(|(_, miss)| miss.pause()).min().unwrap_or(PAUSE);
            if walk.is_settled(round) || Instant::now() + pause >= deadline {
                return Err(walk.failure(ask));
            }
            monoio::time::sleep(pause).await;
        }
    }

    /// Asks each instance once.
    async fn round<T: DeserializeOwned>(
        &self,
        ask: &Ask,
        deadline: Instant,
        walk: &mut Walk,
    ) -> Result<Option<Told<T>>, Failure> {
        for &address in &self.addresses {
            if ask.reach != Reach::Any && !self.may_ask(address, deadline, walk).await {
                continue;
            }
            match self.once(address, ask, self.slice(deadline)).await {
                Ok(told) => return Ok(Some(told)),
                Err(miss) => walk.note(ask, address, miss)?,
            }
        }
        Ok(None)
    }

    /// Whether a pinned call may go to `address`, whose failure domain is asked for first.
    async fn may_ask(&self, address: SocketAddr, deadline: Instant, walk: &mut Walk) -> bool {
        let domain = match walk.domains.get(&address) {
            Some(domain) => domain.clone(),
            None => match self.domain_of(address, deadline).await {
                Ok(domain) => domain,
                Err(miss) => {
                    walk.misses.push((address, miss));
                    return false;
                }
            },
        };
        let may = walk.home.as_ref().is_none_or(|home| *home == domain);
        walk.domains.insert(address, domain);
        may
    }

    /// The failure domain of an instance; whatever fails here, the call itself was not sent.
    async fn domain_of(&self, address: SocketAddr, deadline: Instant) -> Result<String, Miss> {
        let ask = Ask::get("/healthz");
        let told = self.once::<wire::status::Identity>(address, &ask, self.slice(deadline)).await;
        told.map(|told| told.body.domain).map_err(|miss| Miss::Unsent(miss.cause()))
    }

    /// Time for one call: half of what is left while others could be asked, so that one instance
    /// that hangs leaves time for the next.
    fn slice(&self, deadline: Instant) -> Duration {
        let left = deadline.saturating_duration_since(Instant::now());
        if self.addresses.len() > 1 { left / 2 } else { left }
    }

    async fn once<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        ask: &Ask,
        within: Duration,
    ) -> Result<Told<T>, Miss> {
        let request = self.request(ask, within).map_err(Miss::Unsent)?;
        let response = self.client.send(address, request, within).await.map_err(|error| {
            let cause = format!("{}: {}", error.phase, error.cause);
            if error.sent { Miss::Lost(cause) } else { Miss::Unsent(cause) }
        })?;
        read(&response)
    }

    fn request(&self, ask: &Ask, within: Duration) -> Result<Request, String> {
        // The instance gives up a little earlier, so that its typed answer still arrives.
        let server = clock::millis(within.mul_f64(0.9).min(header::MAX_TIMEOUT)).max(1);
        let mut builder = ::http::Request::builder()
            .method(ask.method.clone())
            .uri(&ask.path)
            .header(HeaderName::from_static(header::TIMEOUT), server);
        if let Some(key) = &ask.key {
            builder = builder.header(HeaderName::from_static(header::IDEMPOTENCY_KEY), key);
        }
        if let Some(token) = &self.token {
            let value = HeaderValue::try_from(format!("Bearer {token}"));
            let mut value = value.map_err(|_| "the token has characters no header can hold")?;
            value.set_sensitive(true);
            builder = builder.header(AUTHORIZATION, value);
        }
        builder.body(ask.body.clone().into()).map_err(|cause| cause.to_string())
    }
}

impl Walk {
    fn new(reach: &Reach) -> Self {
        let home = if let Reach::Domain(domain) = reach { Some(domain.clone()) } else { None };
        Self { home, ..Self::default() }
    }

    /// Takes down why an instance did not do it; fails when no other can do better.
    fn note(&mut self, ask: &Ask, address: SocketAddr, miss: Miss) -> Result<(), Failure> {
        if ask.is_change() && miss.is_doubtful() {
            self.home = self.domains.get(&address).cloned().or(self.home.take());
            self.doubt.get_or_insert_with(|| format!("{address} left it open: {}", miss.cause()));
        }
        let passing = miss.is_passing();
        self.misses.push((address, miss));
        if passing { Ok(()) } else { Err(self.failure(ask)) }
    }

    /// Whether asking all instances once more cannot help.
    fn is_settled(&self, round: u32) -> bool {
        let misses = || self.misses.iter().map(|(_, miss)| miss);
        let unanswered = |miss| matches!(miss, &Miss::Unsent(_) | &Miss::Unreadable(_));
        let is_unknown = misses().all(Miss::is_not_found);
        let is_tried = misses().all(|miss| miss.is_not_found() || unanswered(miss));
        is_unknown || (is_tried && round >= UNREACHED_ROUNDS)
    }

    /// The failure that says most of what has become of the call.
    fn failure(&self, ask: &Ask) -> Failure {
        if let Some(doubt) = &self.doubt {
            return Failure { domain: self.home.clone(), ..Failure::unknown(doubt.clone()) };
        }
        if let (Some(domain), true) = (&self.home, self.misses.is_empty()) {
            let what = format!("no entry instance that is named stands in failure domain {domain}");
            return Failure::usage(what);
        }
        let refusals = self.misses.iter().rev().filter_map(|(_, miss)| match miss {
            Miss::Refused(refusal) => Some(refusal),
            _ => None,
        });
        // That one domain does not know a thing says little while another could not be asked.
        let telling = refusals.min_by_key(|refusal| refusal.reason == Reason::NotFound);
        if let Some(refusal) = telling {
            return Failure::refused(refusal);
        }
        let unreadable = self.misses.iter().find_map(|(address, miss)| match miss {
            Miss::Unreadable(cause) => Some((*address, cause)),
            _ => None,
        });
        if let Some((address, cause)) = unreadable {
            return Failure::unreadable(address, cause);
        }
        let cause = |(address, miss): &(SocketAddr, Miss)| (*address, miss.cause());
        let causes: Vec<(SocketAddr, String)> = self.misses.iter().map(cause).collect();
        if ask.is_change() || self.misses.iter().all(|(_, miss)| matches!(miss, Miss::Unsent(_))) {
            return Failure::unreachable(&causes);
        }
        Failure { means: "nothing was read".to_owned(), ..Failure::unreachable(&causes) }
    }
}

fn read<T: DeserializeOwned>(response: &Response) -> Result<Told<T>, Miss> {
    if response.status().is_success() {
        let body = serde_json::from_slice(response.body());
        let body = body.map_err(|cause| Miss::Unreadable(cause.to_string()))?;
        let domain = response.headers().get(header::DOMAIN);
        let domain = domain.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        return Ok(Told { body, domain });
    }
    let refusal: Result<wire::Refusal, _> = serde_json::from_slice(response.body());
    let status: StatusCode = response.status();
    let refusal = refusal.map_err(|_| Miss::Unreadable(format!("status {status}")))?;
    Err(Miss::Refused(refusal.into()))
}
