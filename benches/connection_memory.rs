//! Resident memory of connections at rest, both ends in one process: prints a table of
//! HTTP connections, or of those between peers with the argument `peer`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::shutdown::Shutdown;
use oriolefork::{http, peer};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Numbers of connections at which memory is read.
const SIZES: [usize; 4] = [0, 500, 1000, 2000];

struct Echo;

impl http::Handler for Echo {
    fn handle(&self, _: SocketAddr, request: http::Request) -> LocalBoxFuture<'_, http::Response> {
        async { http::Response::new(request.into_body()) }.boxed_local()
    }
}

impl peer::Handler for Echo {
    fn handle(
        &self,
        _: SocketAddr,
        _: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, peer::Refusal>> {
        async { Ok(body) }.boxed_local()
    }
}

fn main() {
    // One kind in a process: memory that one kind has given back would hide what the other takes.
    let peers = std::env::args().any(|argument| argument == "peer");
    let taken = if peers { run(peer_memory()) } else { run(http_memory()) };
    println!("| {} connections | KiB |", if peers { "peer" } else { "HTTP" });
    println!("|---|---|");
    for (size, taken) in SIZES.iter().zip(taken) {
        println!("| {size} | {taken} |");
    }
}

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(future)
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Memory above the start with each number of HTTP connections at rest.
async fn http_memory() -> Vec<u64> {
    let limits = http::Limits { connections: 4096, ..http::Limits::default() };
    let server = http::Server::bind(any(), limits).unwrap();
    let addr = server.local_addr().unwrap();
    monoio::spawn(server.serve(Rc::new(Echo), Shutdown::new(), TIMEOUT));
    let client = http::Client::new(limits);
    let start = resident_kib();
    let mut taken = Vec::new();
    for size in SIZES {
        let calls = (0..size).map(|_| client.send(addr, http::Request::default(), TIMEOUT));
        for answer in join_all(calls).await {
            answer.unwrap();
        }
        taken.push(resident_kib().saturating_sub(start));
    }
    taken
}

/// Memory above the start with each number of peer connections at rest.
async fn peer_memory() -> Vec<u64> {
    let limits = peer::Limits { connections: 4096, ..peer::Limits::default() };
    let server = peer::Server::bind(any(), limits).unwrap();
    let addr = server.local_addr().unwrap();
    monoio::spawn(server.serve(Rc::new(Echo), Shutdown::new(), TIMEOUT));
    let start = resident_kib();
    let mut clients = Vec::new();
    let mut taken = Vec::new();
    for size in SIZES {
        while clients.len() < size {
            let client = peer::Client::new(limits);
            client.call::<_, u8>(addr, "echo", &1_u8, TIMEOUT).await.unwrap();
            clients.push(client);
        }
        taken.push(resident_kib().saturating_sub(start));
    }
    taken
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
