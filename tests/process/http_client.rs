//! The HTTP client over real sockets, with servers whose responses are truncated, late, repeated or
//! missing.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use ::http::{Method, StatusCode};
use bytes::Bytes;
use oriolefork::http::{CallPhase, Client, Error, Limits, Request};
use test_case::test_case;

use crate::support::{GENEROUS, UNUSED, run};

const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Runs `script` with a new listener in a separate thread.
fn serve<T: Send + 'static>(
    script: impl FnOnce(TcpListener) -> T + Send + 'static,
) -> (SocketAddr, JoinHandle<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (addr, std::thread::spawn(move || script(listener)))
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(GENEROUS)).unwrap();
    stream
}

/// Reads one request without a body; returns `false` if the client has closed the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut part = [0; 4096];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut part).unwrap() {
            0 => return false,
            bytes => request.extend_from_slice(&part[..bytes]),
        }
    }
    true
}

/// Accepts one connection, reads one request, writes `answer` and closes.
fn answer_once(answer: &'static [u8]) -> (SocketAddr, JoinHandle<()>) {
    serve(move |listener| {
        let mut stream = accept(&listener);
        read_request(&mut stream);
        stream.write_all(answer).unwrap();
    })
}

fn get(path: &str) -> Request {
    ::http::Request::builder().method(Method::GET).uri(path).body(Bytes::new()).unwrap()
}

async fn send(client: &Client, addr: SocketAddr) -> Result<Bytes, Error> {
    client.send(addr, get("/"), GENEROUS).await.map(::http::Response::into_body)
}

/// Concurrent calls of a burst, each on a separate connection.
const BURST_CALLS: usize = 8;

/// Accepts the connections of a burst and reads one request from each, answering none.
fn accept_burst(listener: &TcpListener) -> Vec<TcpStream> {
    let mut streams: Vec<TcpStream> = (0..BURST_CALLS).map(|_| accept(listener)).collect();
    for stream in &mut streams {
        assert!(read_request(stream));
    }
    streams
}

/// Sends a burst with a client that reuses connections for 0.2 s.
async fn send_burst(addr: SocketAddr) -> Client {
    let idle_timeout = Duration::from_millis(400);
    let client = Client::new(Limits { idle_timeout, ..Limits::default() });
    let calls = (0..BURST_CALLS).map(|_| send(&client, addr));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer.unwrap(), "ok");
    }
    client
}

#[test]
fn send_keeps_connection() {
    let (addr, server) = serve(|listener| {
        let mut stream = accept(&listener);
        for _ in 0..3 {
            assert!(read_request(&mut stream));
            stream.write_all(COMPLETE).unwrap();
        }
    });
    run(async {
        let client = Client::new(Limits::default());
        for _ in 0..3 {
            assert_eq!(send(&client, addr).await.unwrap(), "ok");
        }
    });
    server.join().unwrap();
}

#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok", CallPhase::Receive; "cut body")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-le", CallPhase::Receive; "cut head")]
#[test_case(b"", CallPhase::Receive; "no answer")]
#[test_case(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", CallPhase::Receive;
    "cut after a chunk"
)]
#[test_case(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok", CallPhase::Receive; "cut chunk"
)]
#[test_case(b"HTTP/1.1 200 OK\r\n\r\nok", CallPhase::Decode; "no length")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nok", CallPhase::Decode; "two lengths")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n", CallPhase::Decode; "huge length")]
#[test_case(b"SMTP ready\r\n\r\n", CallPhase::Decode; "another protocol")]
#[test_case(
    b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n\
      HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n", CallPhase::Decode; "interim only"
)]
fn send_bad_answer(answer: &'static [u8], phase: CallPhase) {
    let (addr, server) = answer_once(answer);
    let error = run(async { send(&Client::new(Limits::default()), addr).await.unwrap_err() });
    assert_eq!((error.phase, error.sent), (phase, true), "{error}");
    server.join().unwrap();
}

#[test_case(b"HTTP/1.1 204 No Content\r\n\r\n", ""; "no content")]
#[test_case(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "ok"; "interim")]
#[test_case(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"; "chunked"
)]
fn send_good_answer(answer: &'static [u8], body: &str) {
    let (addr, server) = answer_once(answer);
    let answer = run(async { send(&Client::new(Limits::default()), addr).await.unwrap() });
    assert_eq!(answer, body);
    server.join().unwrap();
}

#[test]
fn send_refused_connection() {
    let unused = UNUSED.parse().unwrap();
    let error = run(async { send(&Client::new(Limits::default()), unused).await.unwrap_err() });
    assert_eq!((error.phase, error.sent), (CallPhase::Connect, false));
}

// A server answers a request after its call has timed out, while a second call is in flight. The second
// call must get the response to its own request.
#[test]
fn send_late_answer() {
    let (addr, server) = serve(|listener| {
        let mut late = accept(&listener);
        assert!(read_request(&mut late));
        let mut own = accept(&listener);
        let _ = late.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
        assert!(read_request(&mut own));
        own.write_all(COMPLETE).unwrap();
    });
    run(async {
        let client = Client::new(Limits::default());
        let short = Duration::from_millis(250);
        let error = client.send(addr, get("/"), short).await.unwrap_err();
        assert_eq!((error.phase, error.sent), (CallPhase::Timeout, true));
        assert_eq!(send(&client, addr).await.unwrap(), "ok");
    });
    server.join().unwrap();
}

// A server sends two responses to one request, together or one after the other. The next call must not
// get the second one, so that the client must not reuse the connection.
#[test_case(false; "at once")]
#[test_case(true; "a moment later")]
fn send_extra_answer(later: bool) {
    let extra = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
    let (send_extra, may_send_extra) = mpsc::channel::<()>();
    let (answered, was_answered) = mpsc::channel();
    let (addr, server) = serve(move |listener| {
        let mut first = accept(&listener);
        assert!(read_request(&mut first));
        if later {
            first.write_all(COMPLETE).unwrap();
            may_send_extra.recv().unwrap();
            first.write_all(extra).unwrap();
        } else {
            first.write_all(&[COMPLETE, extra].concat()).unwrap();
        }
        answered.send(()).unwrap();
        let mut second = accept(&listener);
        assert!(read_request(&mut second));
        second.write_all(COMPLETE).unwrap();
    });
    run(async {
        let client = Client::new(Limits::default());
        assert_eq!(send(&client, addr).await.unwrap(), "ok");
        send_extra.send(()).unwrap();
        was_answered.recv().unwrap();
        // Lets the runtime process the data that the system has already received.
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(send(&client, addr).await.unwrap(), "ok");
    });
    server.join().unwrap();
}

// A server closes an idle connection. The client must detect that before it sends the next request, and
// send it on a new connection without an error.
#[test]
fn send_closed_while_idle() {
    let (answered, was_answered) = mpsc::channel();
    let (addr, server) = serve(move |listener| {
        for _ in 0..2 {
            let mut stream = accept(&listener);
            assert!(read_request(&mut stream));
            stream.write_all(COMPLETE).unwrap();
            drop(stream);
            answered.send(()).unwrap();
        }
    });
    run(async {
        let client = Client::new(Limits::default());
        for _ in 0..2 {
            assert_eq!(send(&client, addr).await.unwrap(), "ok");
            was_answered.recv().unwrap();
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    server.join().unwrap();
}

/// When idle connections were closed only during calls, an instance that had sent many commands to a
/// worker at once and then lost its cell kept its 32 connections to that worker open. The worker accepts
/// 64 in total and reset the commands of the second owner after it.
#[test]
fn send_idle_connections_closed_without_further_calls() {
    let (addr, server) = serve(|listener| {
        let mut streams = accept_burst(&listener);
        for stream in &mut streams {
            stream.write_all(COMPLETE).unwrap();
        }
        streams.iter_mut().all(|stream| !read_request(stream))
    });
    run(async {
        let _client = send_burst(addr).await;
        while !server.is_finished() {
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert!(server.join().unwrap(), "the client closes each connection");
}

/// An owner always has a long poll in flight at each worker. When pools in use were skipped by the sweep,
/// the connections that a burst of commands had opened were never closed.
#[test]
fn send_idle_connections_closed_during_a_long_call() {
    let (addr, server) = serve(|listener| {
        let mut streams = accept_burst(&listener);
        let (long, others) = streams.split_first_mut().unwrap();
        for stream in others.iter_mut() {
            stream.write_all(COMPLETE).unwrap();
        }
        let closed = others.iter_mut().all(|stream| !read_request(stream));
        long.write_all(COMPLETE).unwrap();
        closed
    });
    run(async {
        send_burst(addr).await;
    });
    assert!(server.join().unwrap(), "the client closes each idle connection");
}

// A server reads a request on a reused connection and closes it without a response. It may have acted
// on the request: the error must report it as sent, and the client must not send it again.
#[test]
fn send_closed_without_answer() {
    let (addr, server) = serve(|listener| {
        let mut stream = accept(&listener);
        assert!(read_request(&mut stream));
        stream.write_all(COMPLETE).unwrap();
        assert!(read_request(&mut stream));
        drop(stream);
        listener.set_nonblocking(true).unwrap();
        listener
    });
    run(async {
        let client = Client::new(Limits::default());
        assert_eq!(send(&client, addr).await.unwrap(), "ok");
        let error = send(&client, addr).await.unwrap_err();
        assert_eq!((error.phase, error.sent), (CallPhase::Receive, true), "{error}");
    });
    let listener = server.join().unwrap();
    assert!(listener.accept().is_err(), "the request was sent again");
}

// A call is dropped while it waits for its response. Its connection must be closed, not reused.
#[test]
fn send_abandoned() {
    let (received, was_received) = mpsc::channel();
    let (addr, server) = serve(move |listener| {
        let mut stream = accept(&listener);
        assert!(read_request(&mut stream));
        received.send(()).unwrap();
        read_request(&mut stream)
    });
    run(async {
        let client = Client::new(Limits::default());
        let call = client.send(addr, get("/"), GENEROUS);
        let abandoned = monoio::time::timeout(Duration::from_millis(250), call).await;
        assert!(abandoned.is_err());
        was_received.recv().unwrap();
    });
    assert!(!server.join().unwrap(), "another request was sent on the connection");
}

#[test]
fn send_all_connections_taken() {
    let (addr, server) = serve(|listener| {
        let mut stream = accept(&listener);
        assert!(read_request(&mut stream));
        read_request(&mut stream)
    });
    run(async {
        let client = Client::new(Limits { connections: 1, ..Limits::default() });
        let short = Duration::from_millis(250);
        let (held, waiting) = futures_util::join!(
            client.send(addr, get("/"), short * 2),
            client.send(addr, get("/"), short),
        );
        assert!(held.unwrap_err().sent);
        let error = waiting.unwrap_err();
        assert_eq!((error.phase, error.sent), (CallPhase::Timeout, false));
    });
    assert!(!server.join().unwrap());
}

#[test]
fn send_status_passed_on() {
    let (addr, server) = answer_once(
        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n",
    );
    let client = Client::new(Limits::default());
    let answer = run(async { client.send(addr, get("/"), GENEROUS).await.unwrap() });
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()["retry-after"], "1");
    server.join().unwrap();
}
