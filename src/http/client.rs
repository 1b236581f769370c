//! Client with pooled connections, whose errors state whether the request may have been sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header::HOST;
use http::{HeaderValue, Version};
use monoio::time::Instant;

use super::attempt::Attempt;
use super::pool_map::PoolMap;
use super::quota::Quotas;
use super::{Error, Limits, Request, Response};
use crate::descriptors::{Budget, Class};

/// Sends requests to peers named by address.
///
/// Each request uses a connection exclusively until its whole response is read. A connection is
/// closed after a timeout, an error, a truncated response or unexpected data, or if the caller
/// drops the request, so that a late response cannot reach another caller.
///
/// Requests are not retried, with one exception: if a pooled connection fails without any byte of
/// the request being sent, a new connection replaces it.
///
/// Connections are reused within half of the idle timeout, and closed within the whole of it even
/// if no further requests are sent. A process that no longer calls a peer therefore does not use up
/// the peer's limit of connections.
pub struct Client {
    pub(super) limits: Limits,
    pub(super) pools: Rc<PoolMap>,
    pub(super) budget: Rc<Budget>,
    pub(super) class: Class,
    quotas: Option<Rc<Quotas>>,
}

impl Client {
    /// Builds a client without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: Rc::new(PoolMap::new(limits.connections, 0, limits.idle_timeout / 2)),
            budget: Rc::new(Budget::unlimited()),
            class: Class::Control,
            quotas: None,
        }
    }

    /// Counts the connections in `budget` as ones of `class`. A request that needs a new connection
    /// when no descriptor is left fails at once with [`CallPhase::Descriptor`](super::CallPhase::Descriptor), surely not sent.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use oriolefork::descriptors::{Budget, Class, Shares};
    /// use oriolefork::http::{Client, Limits};
    /// let budget = Rc::new(Budget::new(100, Shares::default()));
    /// let client = Client::new(Limits::default()).with_budget(budget, Class::Poll);
    /// ```
    #[must_use]
    pub fn with_budget(self, budget: Rc<Budget>, class: Class) -> Self {
        Self { budget, class, ..self }
    }

    /// Keeps at most `kept` connections open while they are not needed, and only as many as
    /// `quotas` allows, which counts them together with those of other clients. Others carry calls
    /// that wait, one after the other, and are closed once none waits. Connections opened before are
    /// closed.
    ///
    /// Commands to a peer that has refused a connection lately are sent one at a time.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use oriolefork::http::{Client, Limits, Quotas};
    /// let quotas = Rc::new(Quotas::new(8));
    /// let polls = Client::new(Limits::default()).with_quotas(quotas.clone(), 1);
    /// let commands = Client::new(Limits::default()).with_quotas(quotas, 2);
    /// ```
    #[must_use]
    pub fn with_quotas(self, quotas: Rc<Quotas>, kept: usize) -> Self {
        quotas.add_client(kept);
        let extra = self.limits.connections.saturating_sub(kept);
        let pools = Rc::new(PoolMap::new(kept, extra, self.limits.idle_timeout / 2));
        Self { pools, quotas: Some(quotas), ..self }
    }

    /// Sends `request` to `peer` and reads the whole response, both within `timeout`.
    ///
    /// The request's path and query are used, its authority is not; `host` is added if it is
    /// missing. Dropping the future abandons the request and closes its connection.
    ///
    /// # Errors
    /// Fails if no complete response was read. [`Error::sent`] states whether the peer may have
    /// acted on the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.send_inner(peer, None, request, timeout).await
    }

    /// Sends `request` like [`Client::send`], on a connection whose peer has passed `check`.
    ///
    /// # Errors
    /// Fails like [`Client::send`], and with [`CallPhase::IdentityCheck`](super::CallPhase::IdentityCheck) if the check failed.
    pub async fn send_verified(
        &self,
        peer: SocketAddr,
        check: IdentityCheck<'_>,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.send_inner(peer, Some(check), request, timeout).await
    }

    async fn send_inner(
        &self,
        peer: SocketAddr,
        check: Option<IdentityCheck<'_>>,
        mut request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        set_version_and_host(&mut request, peer);
        let pool = self.pools.of(peer);
        let quota = self.quotas.as_ref().map(|quotas| quotas.of(peer));
        let deadline = Instant::now() + timeout;
        Attempt { client: self, pool, quota, peer, deadline }.run(request, check).await
    }
}

/// Request that verifies the identity of the peer on each new connection.
///
/// Prevents a request from reaching the successor of the intended process at the same address. A
/// connection leads to the same process for its lifetime, so that one check per connection
/// suffices.
pub struct IdentityCheck<'a> {
    /// Identity of the intended peer. Only pooled connections verified for it are reused.
    pub expected: &'a str,
    /// Request whose response identifies the peer.
    pub request: Request,
    /// Checks the response; returns an error with the cause if it comes from another peer.
    pub verify: &'a dyn Fn(&Response) -> Result<(), String>,
    /// Whether the response to the check also answers the actual request, which is then not sent on
    /// a new connection.
    pub answers_request: bool,
}

pub(super) fn set_version_and_host(request: &mut Request, peer: SocketAddr) {
    *request.version_mut() = Version::HTTP_11;
    if let Ok(host) = HeaderValue::try_from(peer.to_string()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
}
