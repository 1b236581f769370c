//! The HTTP server over real sockets, with correct and malicious clients.

use std::io::{Read, Write};
use std::net::{Shutdown as Side, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use oriolefork::http::{Handler, Limits, Request, Response, Server};
use oriolefork::shutdown::Shutdown;
use test_case::test_case;

use crate::support::{GENEROUS, run};

/// Handler that echoes path and body. `/hold` waits for the stop, `/stop` triggers it, and `/freeze`
/// blocks the server's thread until `resume` receives a message and then triggers the stop. `/relieve`
/// triggers the signal that closes idle connections.
struct Echo {
    stop: Shutdown,
    close_idle: Shutdown,
    resume: mpsc::Receiver<()>,
}

impl Handler for Echo {
    fn handle(&self, _peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        async move {
            match request.uri().path() {
                "/stop" => self.stop.trigger(),
                "/relieve" => self.close_idle.trigger(),
                "/freeze" => {
                    self.resume.recv().unwrap();
                    self.stop.trigger();
                }
                "/hold" => self.stop.wait().await,
                _ => {}
            }
            let mut body = request.uri().path().as_bytes().to_vec();
            body.push(b' ');
            body.extend_from_slice(request.body());
            Response::new(Bytes::from(body))
        }
        .boxed_local()
    }

    fn close_idle_signal(&self) -> Option<Shutdown> {
        Some(self.close_idle.clone())
    }
}

struct TestServer {
    addr: SocketAddr,
    resume: mpsc::Sender<()>,
    thread: JoinHandle<()>,
}

fn serve(limits: Limits) -> TestServer {
    let (sender, receiver) = mpsc::channel();
    let (resume, resumed) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        run(async move {
            let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
            sender.send(server.local_addr().unwrap()).unwrap();
            let stop = Shutdown::new();
            let handler =
                Rc::new(Echo { stop: stop.clone(), close_idle: Shutdown::new(), resume: resumed });
            server.serve(handler, stop, GENEROUS).await;
        });
    });
    TestServer { addr: receiver.recv().unwrap(), resume, thread }
}

impl TestServer {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(GENEROUS)).unwrap();
        stream
    }

    /// Whether the server answers a request on a new connection within 0.2 s.
    fn answers_new_connection(&self) -> bool {
        let mut stream = self.connect();
        stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        stream.write_all(b"GET /probe HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        stream.read(&mut [0; 100]).is_ok()
    }

    /// Sends `bytes` on a new connection and reads until the server closes it.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        read_all(&mut stream)
    }

    fn stop(self) {
        self.exchange(STOP);
        self.thread.join().unwrap();
    }
}

/// Clients that send without a pause.
const FLOOD: usize = 2;

const STOP: &[u8] = b"GET /stop HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

/// Reads until `text` has arrived.
fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut answer = String::new();
    let mut part = [0; 4096];
    while !answer.contains(text) {
        let bytes = stream.read(&mut part).unwrap();
        assert!(bytes > 0, "closed after {answer:?}");
        answer.push_str(std::str::from_utf8(&part[..bytes]).unwrap());
    }
    answer
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8(answer).unwrap()
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
    b"POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400"; "chunked in 1.0"
)]
#[test_case(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab", "400"; "cut body")]
#[test_case(
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n", "413"; "huge length"
)]
fn serve_malformed(request: &[u8], status: &str) {
    let server = serve(Limits::default());
    let mut stream = server.connect();
    stream.write_all(request).unwrap();
    stream.shutdown(Side::Write).unwrap();
    let answer = read_all(&mut stream);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains("{\"ran\":\"not-run\",\"reason\":\""), "{answer}");
    server.stop();
}

fn small_limits() -> Limits {
    Limits { head_bytes: 4096, body_bytes: 10_000, ..Limits::default() }
}

#[test]
fn serve_pipelined() {
    let server = serve(Limits::default());
    let answer = server.exchange(
        b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi\
          GET /b HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    let (first, second) = (answer.find("/a hi").unwrap(), answer.find("/b ").unwrap());
    assert!(first < second, "{answer}");
    server.stop();
}

#[test]
fn serve_chunked() {
    let server = serve(Limits::default());
    let answer = server.exchange(
        b"POST /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
          3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
    );
    assert!(answer.ends_with("/a abcdefg"), "{answer}");
    server.stop();
}

#[test]
fn serve_expect_continue() {
    let server = serve(Limits::default());
    let mut stream = server.connect();
    let head = b"POST /a HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    stream.write_all(head).unwrap();
    read_until(&mut stream, "100 Continue\r\n\r\n");
    stream.write_all(b"hi").unwrap();
    read_until(&mut stream, "/a hi");
    server.stop();
}

#[test]
fn serve_oversize_head() {
    let server = serve(small_limits());
    let mut request = b"GET / HTTP/1.1\r\nhost: x\r\nlong: ".to_vec();
    request.resize(20_000, b'a');
    assert!(server.exchange(&request).starts_with("HTTP/1.1 431 "));
    server.stop();
}

#[test]
fn serve_oversize_chunks() {
    let server = serve(small_limits());
    let mut request = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..11 {
        request.extend_from_slice(b"3E8\r\n");
        request.resize(request.len() + 1000, b'a');
        request.extend_from_slice(b"\r\n");
    }
    assert!(server.exchange(&request).starts_with("HTTP/1.1 413 "));
    server.stop();
}

// A client declares a chunk far beyond the size limit and keeps sending. The server must refuse it
// before it has buffered the chunk.
#[test]
fn serve_endless_chunk() {
    let server = serve(small_limits());
    let mut request = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    request.extend_from_slice(b"FFFFFFFF\r\n");
    request.resize(request.len() + 150_000, b'a');
    assert!(server.exchange(&request).starts_with("HTTP/1.1 413 "));
    server.stop();
}

// A client sends its head one byte at a time and never ends it. The read timeout must apply to the whole
// message, not to each read, or the client could hold the connection for as long as it likes.
#[test]
fn serve_slow_head() {
    let limits = Limits { read_timeout: Duration::from_millis(200), ..Limits::default() };
    let server = serve(limits);
    let mut stream = server.connect();
    let mut reader = stream.try_clone().unwrap();
    let begin = Instant::now();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: ").unwrap();
    let writer = std::thread::spawn(move || {
        while begin.elapsed() < GENEROUS && stream.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let answer = read_until(&mut reader, "}");
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    writer.join().unwrap();
    assert!(begin.elapsed() < GENEROUS);
    server.stop();
}

#[test_case(b""; "before the first request")]
#[test_case(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"; "after a request")]
fn serve_idle(request: &[u8]) {
    let short = Duration::from_millis(100);
    let server = serve(Limits { read_timeout: short, idle_timeout: short, ..Limits::default() });
    let answer = server.exchange(request);
    assert_eq!(answer.contains("200 OK"), !request.is_empty());
    server.stop();
}

#[test]
fn serve_too_many_connections() {
    let server = serve(Limits { connections: 1, ..Limits::default() });
    let mut first = server.connect();
    first.write_all(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    read_until(&mut first, "/a ");
    let refused = server.exchange(b"GET /b HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after: 1\r\n"), "{refused}");
    drop(first);
    let begin = Instant::now();
    while !server.exchange(STOP).contains("/stop ") {
        assert!(begin.elapsed() < GENEROUS);
    }
    server.thread.join().unwrap();
}

// A client that sends requests without a pause must not keep the server from its time limits.
#[test]
fn serve_flood_leaves_time_limits() {
    let server = serve(Limits { read_timeout: Duration::from_millis(200), ..Limits::default() });
    let mut silent = server.connect();
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..FLOOD).map(|_| flood(server.connect(), ended.clone())).collect();
    assert_eq!(read_all(&mut silent), "");
    ended.store(true, Ordering::Relaxed);
    clients.into_iter().flatten().for_each(|client| client.join().unwrap());
    server.stop();
}

/// Sends requests without a pause, and reads the responses, until `ended`.
fn flood(mut reader: TcpStream, ended: Arc<AtomicBool>) -> [JoinHandle<()>; 2] {
    let requests = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n".repeat(1_000);
    let mut writer = reader.try_clone().unwrap();
    let write = std::thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) && writer.write_all(&requests).is_ok() {}
        let _ = writer.shutdown(Side::Both);
    });
    let read = std::thread::spawn(move || {
        let mut responses = vec![0; 64 * 1024];
        while matches!(reader.read(&mut responses), Ok(bytes) if bytes > 0) {}
    });
    [write, read]
}

// The server is stopped while one request is being handled, one has just arrived on an idle connection,
// and one waits on a connection that is not accepted yet. All three get complete responses, an idle
// connection closes, and new connections are refused.
#[test]
fn serve_graceful_stop() {
    let server = serve(Limits::default());
    let mut idle = server.connect();
    let mut reused = server.connect();
    for stream in [&mut idle, &mut reused] {
        stream.write_all(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        read_until(stream, "/a ");
    }
    let mut in_flight = server.connect();
    in_flight.write_all(b"GET /hold HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut blocking = server.connect();
    blocking.write_all(b"GET /freeze HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    while server.answers_new_connection() {}
    reused.write_all(b"GET /late HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut waiting = server.connect();
    waiting.write_all(b"GET /new HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    server.resume.send(()).unwrap();
    for (stream, body) in
        [(&mut in_flight, "/hold "), (&mut reused, "/late "), (&mut waiting, "/new ")]
    {
        let answer = read_all(stream);
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(answer.ends_with(body), "{answer}");
    }
    assert_eq!(read_all(&mut idle), "");
    server.thread.join().unwrap();
    // A child process that another test has just started may briefly keep the listener open.
    let begin = Instant::now();
    while TcpStream::connect(server.addr).is_ok() {
        assert!(begin.elapsed() < GENEROUS);
    }
}

/// Instances of a partitioned failure domain refuse each call, but callers that reuse their connections
/// would call the same instance again. Idle connections are therefore closed.
#[test]
fn serve_close_idle_signal_closes_idle_connections() {
    let server = serve(Limits::default());
    let mut idle = server.connect();
    idle.write_all(b"GET /first HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    read_until(&mut idle, "/first ");
    server.exchange(b"GET /relieve HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    assert_eq!(idle.read(&mut [0; 100]).unwrap(), 0, "the server closes the idle connection");
    assert!(server.answers_new_connection(), "the server still accepts new connections");
    server.stop();
}

// Two daemons are configured with the same address. Binding must fail for the second one, or it would
// receive half of the first one's connections.
#[test]
fn bind_taken_address() {
    let server = serve(Limits::default());
    let second = run(async { Server::bind(server.addr, Limits::default()).map(|_| ()) });
    assert_eq!(second.unwrap_err().kind(), std::io::ErrorKind::AddrInUse);
    server.stop();
}
