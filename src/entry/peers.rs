//! Handler of calls from other instances.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;

use crate::codec;
use crate::domain::{Epoch, Instance};
use crate::entry::backend::Entry;
use crate::entry::backend::status::STATUS;
use crate::entry::controller::{HANDOVER, HEARTBEAT, STORE_BATCH};
use crate::entry::forward::{self, ForwardedCall};
use crate::owner::machine::{Machine, Message};
use crate::owner::{BatchCopy, Heartbeat};
use crate::peer::{Code, Handler, Refusal, decode};
use crate::runner::{self, Proxy};

/// Response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct HeartbeatResponse {
    /// The instance that answers.
    pub from: Instance,
    /// Latest epoch it has recorded, including that of the heartbeat.
    pub epoch: Epoch,
}

/// Response to a request to store a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct StoreBatchResponse {
    /// The instance that answers.
    pub from: Instance,
    /// Whether it stores the batch.
    pub kept: bool,
}

/// Handles calls from other instances.
pub struct PeerHandler {
    entry: Rc<Entry>,
    requests: runner::peer::Handler,
}

impl PeerHandler {
    /// Creates a handler that serves calls from `entry`, and calls about runners from `requests`.
    pub fn new(entry: Rc<Entry>, requests: Proxy) -> Self {
        Self { entry, requests: runner::peer::Handler::new(requests) }
    }

    async fn answer(&self, method: &str, body: &[u8]) -> Result<Bytes, Refusal> {
        match method {
            HEARTBEAT => encode(&self.receive_heartbeat(decode(body)?).await?),
            STORE_BATCH => encode(&self.store_batch(decode(body)?).await?),
            HANDOVER => {
                self.entry.handle.send(Message::Handover(decode(body)?));
                encode(&())
            }
            STATUS => encode(&self.entry.domain_status(decode(body)?).await),
            forward::CALL => encode(&self.entry.route(decode::<ForwardedCall>(body)?).await),
            runner::peer::REQUEST_SHARES | runner::peer::RUN_FORWARDED => {
                self.requests.answer(method, body).await
            }
            other => self.answer_settings(other, body).await,
        }
    }

    /// Responds only after the machine has handled the batch, because the sender then lets the
    /// batch take effect.
    async fn store_batch(&self, copy: BatchCopy) -> Result<StoreBatchResponse, Refusal> {
        let (epoch, sequence) = (copy.epoch, copy.sequence);
        self.entry.handle.send(Message::StoreBatch(copy));
        let is_stored = move |machine: &Machine, _, _| machine.copies.contains(epoch, sequence);
        let kept = self.entry.handle.inspect(is_stored).await;
        let kept = kept.ok_or_else(|| Refusal::new(Code::Busy, "stopping"))?;
        Ok(StoreBatchResponse { from: self.entry.me.clone(), kept })
    }

    async fn answer_settings(&self, method: &str, body: &[u8]) -> Result<Bytes, Refusal> {
        let unknown = || Refusal::new(Code::UnknownMethod, format!("no method {method}"));
        self.entry.config.handle(method, body).await.unwrap_or_else(|| Err(unknown()))
    }

    /// Responds only after the machine has processed the heartbeat, because the sender concludes
    /// from the response that this instance no longer acts as the owner of an earlier epoch.
    async fn receive_heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatResponse, Refusal> {
        if heartbeat.domain != self.entry.domain {
            return Err(Refusal::new(
                Code::Conflict,
                "the heartbeat is for another failure domain",
            ));
        }
        self.entry.handle.send(Message::Heartbeat(heartbeat));
        let epoch = self.entry.handle.inspect(|machine, _, _| machine.known_epoch()).await;
        let epoch = epoch.ok_or_else(|| Refusal::new(Code::Busy, "stopping"))?;
        Ok(HeartbeatResponse { from: self.entry.me.clone(), epoch })
    }
}

impl Handler for PeerHandler {
    fn handle(
        &self,
        _peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>> {
        let method = method.to_owned();
        async move { self.answer(&method, &body).await }.boxed_local()
    }
}

fn encode<T: Serialize>(answer: &T) -> Result<Bytes, Refusal> {
    codec::encode(answer).map_err(|error| Refusal::new(Code::Malformed, error))
}
