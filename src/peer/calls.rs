//! Runs the calls that arrive at a server.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use http::StatusCode;
use monoio::time::Instant;
use monoio_http::h2::server::SendResponse;
use monoio_http::h2::{Reason, RecvStream};

use super::body::{self, BodyError};
use super::presence::{OpenCall, Presence};
use super::stream::REASON_BYTES;
use super::{Code, Handler, Limits, Refusal};
use crate::memory::{Budget, Cause};
use crate::permit::{Semaphore, SemaphorePermit};
use crate::shutdown::Shutdown;
use crate::waiting::Registry;

/// A call whose head has arrived.
pub(super) type Call = (http::Request<RecvStream>, SendResponse<Bytes>);

/// Calls of all connections of a server.
pub(super) struct Calls {
    pub(super) handler: Rc<dyn Handler>,
    pub(super) limits: Limits,
    pub(super) permits: Semaphore,
    /// Memory of the calls' bodies.
    pub(super) memory: Rc<Budget>,
    /// Connections that wait for their peer, which may be closed for others.
    pub(super) waiting: Rc<Registry>,
    pub(super) abort: Shutdown,
}

impl Calls {
    /// Runs one call in a task of its own.
    ///
    /// A peer may reset streams and open new ones while the handlers of the former still run.
    /// HTTP/2 limits only the open streams; the permits limit the running handlers.
    pub(super) fn start(
        self: &Rc<Self>,
        (request, mut respond): Call,
        peer: SocketAddr,
        presence: &Rc<Presence>,
    ) {
        let Some(permit) = self.permits.try_acquire() else {
            self.memory.note_evicted(Cause::Connections);
            self.waiting.evict_longest();
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        };
        let calls = self.clone();
        let call = presence.begin();
        monoio::spawn(async move {
            let mut running = Box::pin(calls.run(request, respond, peer, &call, permit).fuse());
            let mut aborted = Box::pin(calls.abort.wait().fuse());
            futures_util::select_biased! {
                () = running => {}
                () = aborted => {}
            }
        });
    }

    async fn run(
        &self,
        request: http::Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        peer: SocketAddr,
        call: &OpenCall,
        _permit: SemaphorePermit,
    ) {
        let (head, mut stream) = request.into_parts();
        let evicted = Shutdown::new();
        let mut reservation = self.memory.reservation(evicted.clone());
        let read = body::read(&mut stream, self.limits.body_bytes, Some(&mut reservation));
        let read = with_deadline(self.deadline(), read);
        let read = {
            let mut read = pin!(read.fuse());
            let mut evicted = pin!(evicted.wait().fuse());
            futures_util::select_biased! {
                read = read => Some(read),
                () = evicted => None,
            }
        };
        let result = match read {
            Some(Ok(body)) => {
                reservation.complete();
                let _handled = call.handle();
                let method = head.uri.path_and_query().map_or("", |path| path.as_str());
                self.handler.handle(peer, method.trim_start_matches('/'), body).await
            }
            None | Some(Err(BodyError::Exhausted(_))) => {
                return respond.send_reset(Reason::REFUSED_STREAM);
            }
            Some(Err(BodyError::TooLarge { limit })) => {
                Err(malformed(format!("body larger than {limit} bytes")))
            }
            Some(Err(error)) => {
                log::debug!("event=peer.call_cut peer={peer} cause={:?}", error.to_string());
                return respond.send_reset(Reason::CANCEL);
            }
        };
        if let Err(error) =
            with_deadline(self.deadline(), send_response(&mut respond, result)).await
        {
            log::debug!("event=peer.answer_lost peer={peer} cause={:?}", error.to_string());
            return respond.send_reset(Reason::CANCEL);
        }
        // Dropping a body that is still arriving resets the stream, and the reset could overtake
        // the response that explains the refusal.
        let _ = with_deadline(self.deadline(), body::discard(&mut stream)).await;
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.limits.read_timeout
    }
}

fn malformed(reason: String) -> Refusal {
    Refusal { code: Code::Malformed, reason }
}

async fn send_response(
    respond: &mut SendResponse<Bytes>,
    result: Result<Bytes, Refusal>,
) -> Result<(), BodyError> {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(refusal) => (refusal.code.status(), reason_body(refusal.reason)),
    };
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    let mut stream = respond.send_response(head, body.is_empty())?;
    body::write(&mut stream, body).await
}

fn reason_body(mut reason: String) -> Bytes {
    reason.truncate(reason.floor_char_boundary(REASON_BYTES));
    Bytes::from(reason)
}

async fn with_deadline<T>(
    deadline: Instant,
    future: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, BodyError> {
    monoio::time::timeout_at(deadline, future).await.unwrap_or(Err(BodyError::TimedOut))
}
