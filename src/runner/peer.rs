//! The border to other entry instances: shares within a failure domain, requests passed on
//! between failure domains.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::link::{Answer, Call, Fault};
use super::proxy::{Passed, Proxy};
use super::{share, wire};
use crate::codec;
use crate::job::Effect;
use crate::peer;

/// Method of a call to the keeper of shares.
pub const ASK: &str = "runner.ask";
/// Method of a request passed on.
pub const RUN: &str = "runner.run";

/// How a request that was passed on ended there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a runner's whole answer.
    Whole(Answer),
    /// Before anything reached a runner.
    NotRun {
        /// When to ask again.
        retry_after: Duration,
    },
    /// A runner may have worked on it.
    Unknown,
}

/// Way to reach other entry instances.
pub trait Peers {
    /// Asks the keeper at `peer` for shares; `None` when the call or its answer was lost or void.
    fn ask<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a share::Ask,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Option<share::Grant>>;

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
    ) -> LocalBoxFuture<'a, Result<Ended, Fault>>;
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

    async fn ask(
        &self,
        peer: SocketAddr,
        ask: &share::Ask,
        timeout: Duration,
    ) -> Option<share::Grant> {
        let ask = wire::Ask::from(ask);
        let answer: Result<Option<wire::Grant>, _> =
            self.peers.call(peer, ASK, &ask, timeout).await;
        match answer {
            Ok(grant) => share::Grant::try_from(grant?).ok(),
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
    ) -> Result<Ended, Fault> {
        let run = wire::Run::new(call, effect);
        let answer: Result<wire::Ran, _> = self.peers.call(peer, RUN, &run, timeout).await;
        match answer {
            Ok(ran) => Ok(ran.into()),
            Err(error) if error.sent => Err(Fault::Broken(error.to_string())),
            Err(error) => Err(Fault::NotSent(error.to_string())),
        }
    }
}

impl Peers for Client {
    fn ask<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a share::Ask,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Option<share::Grant>> {
        self.ask(peer, ask, timeout).boxed_local()
    }

    fn run<'a>(
        &'a self,
        peer: SocketAddr,
        call: &'a Call,
        effect: Effect,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Ended, Fault>> {
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
    /// Refuses methods other than [`ASK`] and [`RUN`], and bodies that are not theirs.
    pub async fn answer(&self, method: &str, body: &[u8]) -> Result<Bytes, peer::Refusal> {
        match method {
            ASK => self.grant(body).await,
            RUN => self.run(body).await,
            _ => Err(peer::Refusal::new(peer::Code::UnknownMethod, method)),
        }
    }

    async fn grant(&self, body: &[u8]) -> Result<Bytes, peer::Refusal> {
        let ask: wire::Ask = peer::decode(body)?;
        let ask = share::Ask::try_from(ask)
            .map_err(|error| peer::Refusal::new(peer::Code::Malformed, error))?;
        let grant = self.proxy.keep(ask).await;
        encode(&grant.as_ref().map(wire::Grant::from))
    }

    async fn run(&self, body: &[u8]) -> Result<Bytes, peer::Refusal> {
        let run: wire::Run = peer::decode(body)?;
        let passed = Passed {
            service: run.service,
            effect: run.effect,
            content_type: run.content_type,
            body: run.body.into(),
            budget: Duration::from_millis(run.budget_ms),
        };
        encode(&wire::Ran::from(self.proxy.run_passed(passed).await))
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
