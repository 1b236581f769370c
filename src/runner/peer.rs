//! The border to other entry instances: shares within a failure domain, requests passed on
//! between failure domains.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::proxy::{ForwardedRequest, Proxy};
use super::transport::{Answer, Call, Fault};
use super::{share, wire};
use crate::codec;
use crate::job::Effect;
use crate::peer;

/// Method of a call to the keeper of shares.
pub const REQUEST_SHARES: &str = "runner.ask";
/// Method of a request passed on.
pub const RUN_FORWARDED: &str = "runner.run";

/// How a request that was passed on ended there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// With a runner's whole answer.
    Complete(Answer),
    /// Before anything reached a runner.
    NotRun {
        /// When to ask again.
        retry_after: Duration,
    },
    /// A runner may have worked on it.
    Unknown,
}

/// Way to reach other entry instances.
pub trait PeerTransport {
    /// Asks the keeper at `peer` for shares; `None` when the call or its answer was lost or void.
    fn request_shares<'a>(
        &'a self,
        peer: SocketAddr,
        request: &'a share::ShareRequest,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Option<share::ShareResponse>>;

    /// Passes a request on to the instance at `peer`.
    ///
    /// # Errors
    ///
    /// Returns the [`Fault`] that says whether the instance may have received it.
    fn run<'a>(
        &'a self,
        peer: SocketAddr,
        call: &'a Call,
        effect: Effect,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<ForwardOutcome, Fault>>;
}

/// Reaches other entry instances by the peer protocol.
pub struct Client {
    peers: Rc<peer::Client>,
}

impl Client {
    /// Reaches instances by `peers`.
    pub fn new(peers: Rc<peer::Client>) -> Self {
        Self { peers }
    }

    async fn request_shares(
        &self,
        peer: SocketAddr,
        request: &share::ShareRequest,
        timeout: Duration,
    ) -> Option<share::ShareResponse> {
        let request = wire::ShareRequest::from(request);
        let answer: Result<Option<wire::ShareResponse>, _> =
            self.peers.call(peer, REQUEST_SHARES, &request, timeout).await;
        match answer {
            Ok(response) => share::ShareResponse::try_from(response?).ok(),
            Err(error) => {
                log::debug!("event=runner.shares_unanswered peer={peer} cause=\"{error}\"");
                None
            }
        }
    }

    async fn run(
        &self,
        peer: SocketAddr,
        call: &Call,
        effect: Effect,
        timeout: Duration,
    ) -> Result<ForwardOutcome, Fault> {
        let run = wire::RunRequest::new(call, effect);
        let answer: Result<wire::RunResponse, _> =
            self.peers.call(peer, RUN_FORWARDED, &run, timeout).await;
        match answer {
            Ok(ran) => Ok(ran.into()),
            Err(error) if error.sent => Err(Fault::Broken(error.to_string())),
            Err(error) => Err(Fault::NotSent(error.to_string())),
        }
    }
}

impl PeerTransport for Client {
    fn request_shares<'a>(
        &'a self,
        peer: SocketAddr,
        request: &'a share::ShareRequest,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Option<share::ShareResponse>> {
        self.request_shares(peer, request, timeout).boxed_local()
    }

    fn run<'a>(
        &'a self,
        peer: SocketAddr,
        call: &'a Call,
        effect: Effect,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<ForwardOutcome, Fault>> {
        self.run(peer, call, effect, timeout).boxed_local()
    }
}

/// Answers the calls of other entry instances about runners.
pub struct Handler {
    proxy: Proxy,
}

impl Handler {
    /// Answers by `proxy`.
    pub fn new(proxy: Proxy) -> Self {
        Self { proxy }
    }

    /// Answers one call.
    ///
    /// # Errors
    ///
    /// Refuses methods other than [`REQUEST_SHARES`] and [`RUN_FORWARDED`], and bodies that are not theirs.
    pub async fn answer(&self, method: &str, body: &[u8]) -> Result<Bytes, peer::Refusal> {
        match method {
            REQUEST_SHARES => self.grant_shares(body).await,
            RUN_FORWARDED => self.run(body).await,
            _ => Err(peer::Refusal::new(peer::Code::UnknownMethod, method)),
        }
    }

    async fn grant_shares(&self, body: &[u8]) -> Result<Bytes, peer::Refusal> {
        let request: wire::ShareRequest = peer::decode(body)?;
        let request = share::ShareRequest::try_from(request)
            .map_err(|error| peer::Refusal::new(peer::Code::Malformed, error))?;
        let response = self.proxy.grant_shares(request).await;
        encode(&response.as_ref().map(wire::ShareResponse::from))
    }

    async fn run(&self, body: &[u8]) -> Result<Bytes, peer::Refusal> {
        let run: wire::RunRequest = peer::decode(body)?;
        let forwarded = ForwardedRequest {
            service: run.service,
            effect: run.effect,
            content_type: run.content_type,
            body: run.body.into(),
            budget: Duration::from_millis(run.budget_ms),
        };
        encode(&wire::RunResponse::from(self.proxy.run_forwarded(forwarded).await))
    }
}

impl peer::Handler for Handler {
    fn handle(
        &self,
        _peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, peer::Refusal>> {
        let method = method.to_owned();
        async move { self.answer(&method, &body).await }.boxed_local()
    }
}

fn encode<T: serde::Serialize>(answer: &T) -> Result<Bytes, peer::Refusal> {
    codec::encode(answer).map_err(|error| peer::Refusal::new(peer::Code::Conflict, error))
}
