//! Calls a second over HTTP/1.1 and between peers; caller and server share one thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{Criterion, Throughput};
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::shutdown::Shutdown;
use oriolefork::{codec, http, peer};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Calls that are out at the same time.
const AT_ONCE: [usize; 2] = [1, 64];

/// Bytes of each body.
const BODY: usize = 200;

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

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(future)
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Time of `rounds` rounds of calls over HTTP.
async fn http_rounds(rounds: u64, at_once: usize) -> Duration {
    let server = http::Server::bind(any(), http::Limits::default()).unwrap();
    let addr = server.local_addr().unwrap();
    let stop = Shutdown::new();
    monoio::spawn(server.serve(Rc::new(Echo), stop.clone(), TIMEOUT));
    let client = http::Client::new(http::Limits::default());
    let body = Bytes::from(vec![7; BODY]);
    let call = || async {
        let mut request = http::Request::new(body.clone());
        *request.method_mut() = ::http::Method::POST;
        client.send(addr, request, TIMEOUT).await.unwrap()
    };
    let begin = Instant::now();
    for _ in 0..rounds {
        join_all((0..at_once).map(|_| call())).await;
    }
    let taken = begin.elapsed();
    stop.trigger();
    taken
}

/// Time of `rounds` rounds of calls to a peer.
async fn peer_rounds(rounds: u64, at_once: usize) -> Duration {
    let server = peer::Server::bind(any(), peer::Limits::default()).unwrap();
    let addr = server.local_addr().unwrap();
    let stop = Shutdown::new();
    monoio::spawn(server.serve(Rc::new(Echo), stop.clone(), TIMEOUT));
    let client = peer::Client::new(peer::Limits::default());
    let body = vec![7_u8; BODY];
    let begin = Instant::now();
    for _ in 0..rounds {
        let calls = (0..at_once).map(|_| client.call::<_, Vec<u8>>(addr, "echo", &body, TIMEOUT));
        for answer in join_all(calls).await {
            answer.unwrap();
        }
    }
    let taken = begin.elapsed();
    stop.trigger();
    taken
}

fn calls(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("transport");
    group.measurement_time(Duration::from_secs(4));
    for at_once in AT_ONCE {
        group.throughput(Throughput::Elements(at_once as u64));
        group.bench_function(format!("http/{at_once} at once"), |bencher| {
            bencher.iter_custom(|rounds| run(http_rounds(rounds, at_once)));
        });
        group.bench_function(format!("peer/{at_once} at once"), |bencher| {
            bencher.iter_custom(|rounds| run(peer_rounds(rounds, at_once)));
        });
    }
    group.finish();
}

fn encodings(criterion: &mut Criterion) {
    let message: Vec<(u64, String)> = (0..1000).map(|n| (n, format!("task-{n}"))).collect();
    let bytes = codec::encode(&message).unwrap();
    let mut group = criterion.benchmark_group("codec");
    group.throughput(Throughput::Bytes(bytes.len() as u64));
    group.bench_function("encode", |bencher| bencher.iter(|| codec::encode(&message).unwrap()));
    group.bench_function("decode", |bencher| {
        bencher.iter(|| codec::decode::<Vec<(u64, String)>>(&bytes).unwrap());
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    calls(&mut criterion);
    encodings(&mut criterion);
    criterion.final_summary();
}
