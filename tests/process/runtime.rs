//! What the runtime asks of the system.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use oriolefork::shutdown::Shutdown;
use oriolefork::{http, peer};
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::raise;

use crate::support::{GENEROUS, run};

struct Empty;

impl http::Handler for Empty {
    fn handle(&self, _: SocketAddr, _: http::Request) -> LocalBoxFuture<'_, http::Response> {
        async { http::Response::default() }.boxed_local()
    }
}

impl peer::Handler for Empty {
    fn handle(
        &self,
        _: SocketAddr,
        _: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, peer::Refusal>> {
        async { Ok(body) }.boxed_local()
    }
}

fn descriptors() -> Vec<String> {
    let entries = std::fs::read_dir("/proc/self/fd").unwrap();
    let links = entries.filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok());
    links.map(|link| link.to_string_lossy().into_owned()).collect()
}

// The systems that processes run on forbid io_uring. A dependency turns the runtime's io_uring
// driver on at build time; a process that used it would fail there at its start.
#[test]
fn run_without_io_uring() {
    run(async {
        let any = "127.0.0.1:0".parse().unwrap();
        let stop = Shutdown::new();
        let web = http::Server::bind(any, http::Limits::default()).unwrap();
        let web_addr = web.local_addr().unwrap();
        monoio::spawn(web.serve(Rc::new(Empty), stop.clone(), GENEROUS));
        let peers = peer::Server::bind(any, peer::Limits::default()).unwrap();
        let peer_addr = peers.local_addr().unwrap();
        monoio::spawn(peers.serve(Rc::new(Empty), stop.clone(), GENEROUS));
        let client = http::Client::new(http::Limits::default());
        client.send(web_addr, http::Request::default(), GENEROUS).await.unwrap();
        let callers = peer::Client::new(peer::Limits::default());
        callers.call::<_, u8>(peer_addr, "any", &1_u8, GENEROUS).await.unwrap();
        let open = descriptors();
        assert!(open.iter().any(|name| name.contains("eventpoll")), "{open:?}");
        assert!(!open.iter().any(|name| name.contains("io_uring")), "{open:?}");
    });
}

#[test]
fn trigger_on_signals_terminate() {
    run(async {
        let stop = Shutdown::new();
        stop.trigger_on_signals().unwrap();
        assert!(!stop.is_triggered());
        raise(SIGTERM).unwrap();
        monoio::time::timeout(GENEROUS, stop.wait()).await.unwrap();
    });
}

#[test]
fn wait_many() {
    run(async {
        let stop = Shutdown::new();
        let waiters: Vec<_> = (0..100)
            .map(|_| {
                let stop = stop.clone();
                monoio::spawn(async move { stop.wait().await })
            })
            .collect();
        let abandoned = monoio::time::timeout(Duration::from_millis(1), stop.wait()).await;
        assert!(abandoned.is_err());
        stop.trigger();
        stop.trigger();
        for waiter in waiters {
            waiter.await;
        }
    });
}
