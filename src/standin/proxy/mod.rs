//! A TCP proxy that plays the network's faults on each of its routes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;

use ::http::{Method, StatusCode};
use derive_more::Display;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use serde::{Deserialize, Serialize};

use super::{Bound, reply};
use crate::http::{Handler, Request, Response};

mod fault;
mod route;

pub use fault::{Action, Direction, Mode};
use route::Route;
pub use route::Tally;

const CONTROL_CONNECTIONS: usize = 64;

/// A route to open; body of `POST /v1/routes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Path {
    /// Name by which the route is switched.
    pub name: String,
    /// Where clients connect; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The server behind it.
    pub target: SocketAddr,
}

/// A text that is no `name,listen address,server address`.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("`{text}` is not name,listen address,server address")]
pub struct PathError {
    /// The text.
    pub text: String,
}

impl FromStr for Path {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self, PathError> {
        let mut parts = text.splitn(3, ',');
        let mut next = || parts.next().ok_or(PathError { text: text.to_owned() });
        let (name, listen, target) = (next()?.to_owned(), next()?, next()?);
        let parse = |addr: &str| addr.parse().map_err(|_| PathError { text: text.to_owned() });
        Ok(Self { name, listen: parse(listen)?, target: parse(target)? })
    }
}

/// Body of `POST /control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Routes to switch, or none for every one.
    #[serde(default)]
    pub routes: Vec<String>,
    /// What it does from now on.
    pub mode: Mode,
}

/// One route in the answer to `GET /v1/state`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The server behind it.
    pub target: SocketAddr,
    /// What it does.
    pub mode: Mode,
    /// Connections accepted.
    pub connections: u64,
    /// Bytes sent on to the server.
    pub to_server: u64,
    /// Bytes sent on to the client.
    pub to_client: u64,
}

impl From<&Route> for Snapshot {
    fn from(route: &Route) -> Self {
        let Tally { connections, to_server, to_client } = route.tally();
        let (listen, target, mode) = (route.listen, route.target, route.mode());
        Self { listen, target, mode, connections, to_server, to_client }
    }
}

/// Takes an address for a proxy's control, and opens its first routes.
///
/// # Errors
///
/// Fails when an address cannot be taken.
pub fn bind(addr: SocketAddr, paths: &[Path]) -> io::Result<Bound> {
    let proxy = Proxy::default();
    for path in paths {
        proxy.open(path)?;
    }
    Bound::new(addr, CONTROL_CONNECTIONS, Rc::new(proxy))
}

#[derive(Default)]
struct Proxy {
    routes: RefCell<BTreeMap<String, Rc<Route>>>,
}

impl Proxy {
    fn open(&self, path: &Path) -> io::Result<Snapshot> {
        let route = Route::open(path.listen, path.target)?;
        let snapshot = Snapshot::from(&*route);
        if let Some(earlier) = self.routes.borrow_mut().insert(path.name.clone(), route) {
            earlier.close();
        }
        Ok(snapshot)
    }

    async fn answer(&self, request: Request) -> Response {
        let request = &request;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => self.control(request).await,
            (&Method::POST, "/v1/routes") => self.add(request),
            (&Method::GET, "/v1/state") => reply::json(&self.snapshots()),
            _ => reply::unknown(),
        }
    }

    async fn control(&self, request: &Request) -> Response {
        let control = match reply::parse::<Control>(request) {
            Ok(control) => control,
            Err(response) => return *response,
        };
        match self.chosen(&control.routes) {
            Ok(routes) => {
                join_all(routes.iter().map(|route| route.set_mode(control.mode))).await;
                reply::json(&control)
            }
            Err(name) => reply::text(StatusCode::NOT_FOUND, &format!("no route `{name}`")),
        }
    }

    /// Routes with those names, or all when there are none; the error is a name without a route.
    fn chosen<'a>(&self, names: &'a [String]) -> Result<Vec<Rc<Route>>, &'a str> {
        let routes = self.routes.borrow();
        if names.is_empty() {
            return Ok(routes.values().cloned().collect());
        }
        names.iter().map(|name| routes.get(name).cloned().ok_or(name.as_str())).collect()
    }

    fn add(&self, request: &Request) -> Response {
        let path = match reply::parse::<Path>(request) {
            Ok(path) => path,
            Err(response) => return *response,
        };
        match self.open(&path) {
            Ok(snapshot) => reply::json(&snapshot),
            Err(error) => reply::text(StatusCode::CONFLICT, &error.to_string()),
        }
    }

    fn snapshots(&self) -> BTreeMap<String, Snapshot> {
        let routes = self.routes.borrow();
        routes.iter().map(|(name, route)| (name.clone(), Snapshot::from(&**route))).collect()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.routes.borrow().values().for_each(|route| route.close());
    }
}

impl Handler for Proxy {
    fn handle(&self, _peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        self.answer(request).boxed_local()
    }
}
