//! A blocking HTTP client, one connection a request.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::{HeaderMap, Method, Request};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The body read as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        let text = String::from_utf8_lossy(&self.body);
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {text}"))
    }
}

/// Sends one request; the error tells why there is no whole answer.
pub fn request(
    method: Method,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Reply, ureq::Error> {
    let config = Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(TIMEOUT));
    let mut request = Request::builder().method(method).uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let agent = config.build().new_agent();
    let mut response = agent.run(request.body(body).expect("a request"))?;
    let body = response.body_mut().read_to_vec()?;
    let (parts, _) = response.into_parts();
    Ok(Reply { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Gets `path`.
pub fn get(addr: SocketAddr, path: &str) -> Result<Reply, ureq::Error> {
    request(Method::GET, addr, path, &[], b"")
}

/// Gets `path` and reads the answer as JSON.
pub fn get_json<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let reply = get(addr, path).unwrap_or_else(|error| panic!("GET {addr}{path}: {error}"));
    assert_eq!(reply.status, 200, "GET {addr}{path}");
    reply.json()
}

/// Posts `body` to `path`.
pub fn post(addr: SocketAddr, path: &str, body: &[u8]) -> Result<Reply, ureq::Error> {
    request(Method::POST, addr, path, &[], body)
}

/// Posts `body` as JSON to `path` and expects success.
pub fn post_json<T: Serialize>(addr: SocketAddr, path: &str, body: &T) -> Reply {
    let body = serde_json::to_vec(body).expect("a body");
    let reply = post(addr, path, &body).unwrap_or_else(|error| panic!("{addr}{path}: {error}"));
    assert_eq!(reply.status, 200, "POST {addr}{path}: {}", String::from_utf8_lossy(&reply.body));
    reply
}
