//! Servers that stop while someone keeps a connection busy.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use oriolefork::shutdown::Shutdown;
use oriolefork::{http, peer};

use crate::support::run;

const GRACE: Duration = Duration::from_millis(50);

/// Never answers.
struct Stuck {
    reached: Shutdown,
}

impl http::Handler for Stuck {
    fn handle(&self, _: SocketAddr, _: http::Request) -> LocalBoxFuture<'_, http::Response> {
        self.reached.trigger();
        std::future::pending().boxed_local()
    }
}

impl peer::Handler for Stuck {
    fn handle(
        &self,
        _: SocketAddr,
        _: &str,
        _: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, peer::Refusal>> {
        self.reached.trigger();
        std::future::pending().boxed_local()
    }
}

#[test]
fn serve_http_cut_after_grace() {
    // An operator stops an instance while a request hangs. The request does not end within the
    // grace; the server must cut it and return, so that the process ends. It used to panic there,
    // as the semaphore cannot drop a wait that was given some of its permits.
    run(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http::Server::bind(any, http::Limits::default()).unwrap();
        let address = server.local_addr().unwrap();
        let (stop, reached) = (Shutdown::new(), Shutdown::new());
        let handler = Rc::new(Stuck { reached: reached.clone() });
        let serving = monoio::spawn(server.serve(handler, stop.clone(), GRACE));
        let mut client = TcpStream::connect(address).unwrap();
        client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        reached.wait().await;
        stop.trigger();
        serving.await;
        assert_eq!(client.read(&mut [0; 16]).unwrap_or(0), 0);
    });
}

#[test]
fn serve_peer_cut_after_grace() {
    // The same with a peer's call that hangs.
    run(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = peer::Server::bind(any, peer::Limits::default()).unwrap();
        let address = server.local_addr().unwrap();
        let (stop, reached) = (Shutdown::new(), Shutdown::new());
        let handler = Rc::new(Stuck { reached: reached.clone() });
        let serving = monoio::spawn(server.serve(handler, stop.clone(), GRACE));
        let client = Rc::new(peer::Client::new(peer::Limits::default()));
        let call = monoio::spawn(async move {
            client.call::<_, u64>(address, "hang", &1_u64, Duration::from_secs(20)).await
        });
        reached.wait().await;
        stop.trigger();
        serving.await;
        assert!(call.await.is_err());
    });
}
