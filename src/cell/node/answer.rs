//! Answers to other instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;

use super::Node;
use crate::cell::activity::OwnerActivity;
use crate::cell::dependencies::Eligibility;
use crate::cell::machine::{Machine, Message};
use crate::cell::peer::{
    ANNOUNCE, Announcement, CALL, ForwardedCall, HandoverOffer, POLICY, PolicyRequest, Reply,
    TABLE, WATCH, WatchRequest, WatchResponse,
};
use crate::cell::timings::WATCH_HOLD;
use crate::codec;
use crate::peer::{Code, Handler, Refusal, decode};

/// Time for which a call waits at an instance that is about to own its cell.
const CALL_HOLD: Duration = Duration::from_millis(600);

impl Node {
    async fn answer(&self, method: &str, body: &[u8]) -> Result<Bytes, Refusal> {
        match method {
            CALL => encode(&self.answer_call(decode(body)?).await),
            WATCH => encode(&self.watched(&decode(body)?).await),
            POLICY => encode(&self.advise(decode(body)?).await),
            TABLE => {
                self.apply_config(decode(body)?);
                encode(&())
            }
            ANNOUNCE => {
                self.apply_announcement(decode(body)?);
                encode(&())
            }
            other => Err(Refusal::new(Code::UnknownMethod, format!("no method {other}"))),
        }
    }

    /// Follows an owner that makes itself known, unless a later one is known already.
    fn apply_announcement(&self, announcement: Announcement) {
        let Announcement { cell, epoch, owner } = announcement;
        let known = self.epoch(cell);
        if epoch <= known || self.owner_handle(cell).is_some() {
            return;
        }
        self.note_epoch(cell, epoch);
        self.set_owner(cell, Some(owner));
    }

    async fn answer_call(&self, envelope: ForwardedCall) -> Reply {
        self.wait_for_takeover(envelope.cell, CALL_HOLD).await;
        let Some(owning) = self.owner_handle(envelope.cell) else {
            return Reply::NotOwner(self.owner(envelope.cell));
        };
        owning.call(envelope.call).await.map_or(Reply::Interrupted, Reply::Answer)
    }

    async fn advise(&self, ask: PolicyRequest) -> Result<Eligibility, String> {
        let timeout = Duration::from_millis(ask.timeout_ms);
        self.deps.policy_service.eligible_workers(&ask.step, &ask.workers, timeout).await
    }

    /// Answers a follower after a while, so that its next word is due again soon and neither side
    /// takes the other's silence for long.
    async fn watched(&self, watch: &WatchRequest) -> WatchResponse {
        if let Some(owning) = self.owner_handle(watch.cell) {
            let (peer, strength, domain) = (watch.follower, watch.cpu_millis, watch.domain.clone());
            owning.send(Message::Present { peer, strength, domain });
            if watch.long_poll {
                let _ =
                    monoio::time::timeout(WATCH_HOLD, self.until_handover_due(watch.cell)).await;
            }
        } else if watch.long_poll {
            self.wait_for_takeover(watch.cell, WATCH_HOLD).await;
        }
        let table = self.config();
        let newer = (table.version > watch.config_version).then(|| (*table).clone());
        let strength = self.cpu_millis;
        let look = move |machine: &Machine, now| {
            let succession = machine.succession();
            let (order, digest) = (succession.order.clone(), succession.digest);
            (machine.offer(strength, now), order, digest, machine.journal_end())
        };
        let seen = match self.owner_handle(watch.cell) {
            Some(owning) => owning.inspect(look).await,
            None => None,
        };
        let owns = seen.is_some();
        let (offer, order, succession, end) = seen.unwrap_or_default();
        let is_told = succession != 0 && succession == watch.succession_digest;
        let present = (!is_told).then(|| order.to_vec());
        let offer = if self.stop.is_triggered() { HandoverOffer::Anyone } else { offer };
        let owner = self.owner(watch.cell);
        WatchResponse {
            is_owner: owns,
            owner,
            cpu_millis: strength,
            journal_end: end,
            offer,
            succession_order: present,
            succession_digest: succession,
            config: newer,
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
        let duty = if method == CALL { OwnerActivity::Call } else { OwnerActivity::Watch };
        let answer = async move { self.answer(&method, &body).await }.boxed_local();
        self.deps.profiler.measure(duty, answer).boxed_local()
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, Refusal> {
    codec::encode(value).map_err(|error| Refusal::new(Code::Busy, error))
}
