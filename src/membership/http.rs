//! The list of instances over HTTP/1.1 and JSON.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{Error, Member, Source, wire};
use crate::http;

/// Reaches the list at one address.
pub struct Client {
    peer: SocketAddr,
    http: Rc<http::Client>,
    timeout: Duration,
}

impl Client {
    /// Reaches the list at `peer`, giving each call `timeout`.
    pub fn new(peer: SocketAddr, http: Rc<http::Client>, timeout: Duration) -> Self {
        Self { peer, http, timeout }
    }

    async fn list(&self) -> Result<Vec<Member>, Error> {
        let fail = |cause| Error { peer: self.peer, cause };
        let request = ::http::Request::builder()
            .uri("/v1/instances")
            .body(Bytes::new())
            .map_err(|error| fail(error.to_string()))?;
        let sent = self.http.send(self.peer, request, self.timeout).await;
        let response = sent.map_err(|error| fail(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(fail(response.status().to_string()));
        }
        let members: Vec<wire::Member> =
            serde_json::from_slice(response.body()).map_err(|error| fail(error.to_string()))?;
        let members = members.into_iter().map(Member::try_from).collect::<Result<_, _>>();
        members.map_err(|error| fail(error.to_string()))
    }
}

impl Source for Client {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, Error>> {
        self.list().boxed_local()
    }
}
