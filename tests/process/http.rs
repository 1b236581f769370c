//! The HTTP server and client over real sockets, against honest and hostile peers.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use ::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::http::{Client, Handler, Limits, Request, Response, Server, Step};
use oriolefork::shutdown::Shutdown;
use test_case::test_case;

/// Long enough for any step on a busy machine; reached only by a failing test.
const GENEROUS: Duration = Duration::from_secs(20);

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(future)
}

/// Echoes path and body; `/sleep` waits, `/stop` triggers the shutdown.
struct Echo {
    stop: Shutdown,
}

impl Handler for Echo {
    fn handle(&self, _peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        async move {
            match request.uri().path() {
                "/stop" => self.stop.trigger(),
                "/sleep" => monoio::time::sleep(Duration::from_millis(300)).await,
                _ => {}
            }
            let mut body = request.uri().path().as_bytes().to_vec();
            body.push(b' ');
            body.extend_from_slice(request.body());
            Response::new(Bytes::from(body))
        }
        .boxed_local()
    }
}

struct Running {
    addr: SocketAddr,
    thread: JoinHandle<()>,
}

fn serve(limits: Limits) -> Running {
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        run(async move {
            let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
            sender.send(server.local_addr().unwrap()).unwrap();
            let stop = Shutdown::new();
            let handler = Rc::new(Echo { stop: stop.clone() });
            server.serve(handler, stop, Duration::from_secs(5)).await;
        });
    });
    Running { addr: receiver.recv().unwrap(), thread }
}

impl Running {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(GENEROUS)).unwrap();
        stream
    }

    /// Sends `bytes` and reads until the server closes.
    fn converse(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        read_all(&mut stream)
    }

    fn stop(self) {
        self.converse(b"GET /stop HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        self.thread.join().unwrap();
    }
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8(answer).unwrap()
}

fn post(path: &str, body: &'static str) -> Request {
    ::http::Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(Bytes::from_static(body.as_bytes()))
        .unwrap()
}

#[test]
fn send_whole_answer() {
    let server = serve(Limits::default());
    run(async {
        let client = Client::new(Limits::default());
        for _ in 0..3 {
            let answer = client.send(server.addr, post("/a", "body"), GENEROUS).await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK);
            assert_eq!(answer.body(), "/a body");
        }
    });
    server.stop();
}

#[test_case(b"nonsense\r\n\r\n", "400"; "no request line")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n", "400"; "no host")]
#[test_case(b"GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n", "400"; "two hosts")]
#[test_case(
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", "400";
    "two lengths"
)]
#[test_case(
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"; "length and chunked"
)]
#[test_case(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n", "400"; "negative length")]
#[test_case(
    b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\n\r\n", "400"; "unknown encoding"
)]
#[test_case(
    b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400"; "bad chunk"
)]
#[test_case(
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n", "413"; "huge length"
)]
fn serve_malformed(request: &[u8], status: &str) {
    let server = serve(Limits::default());
    let answer = server.converse(request);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains("{\"error\":\""), "{answer}");
    server.stop();
}

#[test]
fn send_refused_connection() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error = run(async {
        Client::new(Limits::default()).send(unused, post("/", ""), GENEROUS).await.unwrap_err()
    });
    assert_eq!((error.step, error.sent), (Step::Connect, false));
}
