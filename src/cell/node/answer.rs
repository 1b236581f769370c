//! Responses to other instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;

use super::Node;
use crate::cell::activity::OwnerActivity;
use crate::cell::caller::Caller;
use crate::cell::config_message::{ConfigMessage, RouteTable};
use crate::cell::dependencies::Eligibility;
use crate::cell::machine::{Machine, Message};
use crate::cell::peer::{
    ANNOUNCE, Announcement, CALL, CONFIG, CONFIGURE, EXPLAIN, FRESH_CONFIG, ForwardedCall,
    HandoverOffer, NO_TABLE, POLICY, PolicyRequest, Reply, TABLE, WATCH, WatchRequest,
    WatchResponse,
};
use crate::cell::timings::WATCH_HOLD;
use crate::cell::watch::Hold;
use crate::codec;
use crate::peer::{Code, Handler, Refusal, decode};

/// Time for which a call waits at an instance that prepares to own its cell.
const CALL_HOLD: Duration = Duration::from_millis(600);

impl Node {
    async fn answer(&self, method: &str, body: &[u8]) -> Result<Bytes, Refusal> {
        let (name, query) = method.split_once('?').unwrap_or((method, ""));
        match name {
            CALL => {
                let caller = Caller::from_query(query)
                    .map_err(|invalid| Refusal::new(Code::Malformed, invalid))?;
                encode(&self.answer_call(decode(body)?, caller).await)
            }
            WATCH => encode(&self.watched(&decode(body)?, Hold::from_query(query)).await),
            EXPLAIN => encode(&self.answer_explain(decode(body)?).await),
            POLICY => encode(&self.query_policy(decode(body)?).await),
            _ if method == FRESH_CONFIG && !self.refresh_config().await => {
                Err(Refusal::new(Code::Busy, "the store does not answer"))
            }
            CONFIG => encode(&ConfigMessage::from(&*self.config())),
            CONFIGURE => {
                self.apply_message(decode(body)?);
                encode(&())
            }
            TABLE => {
                // It knows no customers. This instance reads the configuration from the store.
                let table: RouteTable = decode(body)?;
                log::info!("event=config.table_ignored version={}", table.version);
                encode(&())
            }
            ANNOUNCE => {
                self.apply_announcement(decode(body)?);
                encode(&())
            }
            other => Err(Refusal::new(Code::UnknownMethod, format!("no method {other}"))),
        }
    }

    /// Follows an owner that announces itself, unless a later one is known.
    fn apply_announcement(&self, announcement: Announcement) {
        let Announcement { cell, epoch, owner } = announcement;
        let known = self.epoch(cell);
        if epoch <= known || self.owner_handle(cell).is_some() {
            return;
        }
        self.note_epoch(cell, epoch);
        self.set_owner(cell, Some(owner));
    }

    async fn answer_call(&self, envelope: ForwardedCall, caller: Caller) -> Reply {
        self.wait_for_takeover(envelope.cell, CALL_HOLD).await;
        let Some(handle) = self.owner_handle(envelope.cell) else {
            return Reply::NotOwner(self.owner(envelope.cell));
        };
        handle.call(envelope.call, caller).await.map_or(Reply::Interrupted, Reply::Answer)
    }

    async fn query_policy(&self, request: PolicyRequest) -> Result<Eligibility, String> {
        let timeout = Duration::from_millis(request.timeout_ms);
        self.deps.policy_service.eligible_workers(&request.step, &request.workers, timeout).await
    }

    /// Answers a follower. The response may be delayed, so that the follower's next request comes
    /// soon after it, and neither side has to wait long to notice that the other is gone.
    async fn watched(&self, request: &WatchRequest, hold: Hold) -> WatchResponse {
        if let Some(handle) = self.owner_handle(request.cell) {
            let (peer, cpu_millis, domain) =
                (request.follower, request.cpu_millis, request.domain.clone());
            handle.send(Message::InstanceSeen { peer, cpu_millis, domain });
            if request.long_poll {
                let handover_due = self.until_handover_due(request.cell);
                let _ = monoio::time::timeout(hold.duration(), handover_due).await;
            }
        } else if request.long_poll {
            self.wait_for_takeover(request.cell, WATCH_HOLD).await;
        }
        let config = self.config();
        let newer_config = match request.config_version {
            NO_TABLE => Some(RouteTable::notice(config.version)),
            known => (config.version > known).then(|| RouteTable::from(&*config)),
        };
        let cpu_millis = self.cpu_millis;
        let (follower, known) = (request.follower, request.succession_digest);
        let read = move |machine: &Machine, now| {
            let succession = machine.succession();
            let is_wanted = succession.is_wanted_by(&follower, known, now);
            let order = is_wanted.then(|| succession.order.clone());
            (machine.offer(cpu_millis, now), order, succession.digest, machine.journal_end())
        };
        let snapshot = match self.owner_handle(request.cell) {
            Some(handle) => handle.inspect(read).await,
            None => None,
        };
        let is_owner = snapshot.is_some();
        let (offer, order, succession_digest, journal_end) = snapshot.unwrap_or_default();
        let succession_order = order.map(|order| order.to_vec());
        let offer = if self.stop.is_triggered() { HandoverOffer::Anyone } else { offer };
        let owner = self.owner(request.cell);
        WatchResponse {
            is_owner,
            owner,
            cpu_millis,
            journal_end,
            offer,
            succession_order,
            succession_digest,
            config: newer_config,
        }
    }
}

impl Handler for Node {
    fn handle(
        &self,
        _peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>> {
        let method = method.to_owned();
        let name = method.split('?').next();
        let activity = if name == Some(CALL) { OwnerActivity::Call } else { OwnerActivity::Watch };
        let answer = async move { self.answer(&method, &body).await }.boxed_local();
        self.deps.profiler.measure(activity, answer).boxed_local()
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, Refusal> {
    codec::encode(value).map_err(|error| Refusal::new(Code::Busy, error))
}
