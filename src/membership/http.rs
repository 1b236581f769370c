//! The list of instances over HTTP/1.1 and JSON.
//!
//! The list is asked for every second and seldom changes, so the request names the version that is
//! known already, and a server that keeps versions answers without a body.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::header::{ETAG, IF_NONE_MATCH};
use ::http::{HeaderValue, StatusCode};
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
    cached: RefCell<Option<CachedList>>,
}

/// The last list with its version.
struct CachedList {
    version: HeaderValue,
    members: Vec<Member>,
}

impl Client {
    /// Reaches the list at `peer`, giving each call `timeout`.
    pub fn new(peer: SocketAddr, http: Rc<http::Client>, timeout: Duration) -> Self {
        Self { peer, http, timeout, cached: RefCell::default() }
    }

    async fn list(&self) -> Result<Vec<Member>, Error> {
        let fail = |cause| Error { peer: self.peer, cause };
        let mut request = ::http::Request::builder().uri("/v1/instances");
        if let Some(cached) = &*self.cached.borrow() {
            request = request.header(IF_NONE_MATCH, &cached.version);
        }
        let request = request.body(Bytes::new()).map_err(|error| fail(error.to_string()))?;
        let sent = self.http.send(self.peer, request, self.timeout).await;
        let response = sent.map_err(|error| fail(error.to_string()))?;
        match (response.status(), &*self.cached.borrow()) {
            (StatusCode::OK, _) => {}
            (StatusCode::NOT_MODIFIED, Some(cached)) => return Ok(cached.members.clone()),
            (status, _) => return Err(fail(status.to_string())),
        }
        let members: Vec<wire::Member> =
            serde_json::from_slice(response.body()).map_err(|error| fail(error.to_string()))?;
        let members = members.into_iter().map(Member::try_from).collect::<Result<Vec<_>, _>>();
        let members = members.map_err(|error| fail(error.to_string()))?;
        let version = response.headers().get(ETAG).cloned();
        *self.cached.borrow_mut() =
            version.map(|version| CachedList { version, members: members.clone() });
        Ok(members)
    }
}

impl Source for Client {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, Error>> {
        self.list().boxed_local()
    }
}
