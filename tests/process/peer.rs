//! Calls between instances over real sockets, with correct, slow, frozen and malicious peers.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use oriolefork::codec;
use oriolefork::peer::{CallPhase, Client, Code, Handler, Limits, Refusal, Server};
use oriolefork::shutdown::Shutdown;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::{GENEROUS, UNUSED, run};

/// Handler whose method `double` doubles a number, `echo` returns the body, and `hold` returns it once
/// `gate` is triggered.
#[derive(Default)]
struct Service {
    gate: Shutdown,
    waiting_calls: Cell<usize>,
    methods: RefCell<Vec<String>>,
}

impl Handler for Service {
    fn handle(
        &self,
        _peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>> {
        let method = method.to_owned();
        async move {
            self.methods.borrow_mut().push(method.clone());
            match method.as_str() {
                "double" => Ok(codec::encode(&(codec::decode::<u64>(&body).unwrap() * 2)).unwrap()),
                "echo" => Ok(body),
                "hold" => {
                    self.waiting_calls.set(self.waiting_calls.get() + 1);
                    self.gate.wait().await;
                    Ok(body)
                }
                _ => Err(Refusal { code: Code::UnknownMethod, reason: method }),
            }
        }
        .boxed_local()
    }
}

struct TestServer {
    addr: SocketAddr,
    service: Rc<Service>,
    stop: Shutdown,
    ended: Shutdown,
}

fn serve(limits: Limits) -> TestServer {
    serve_at("127.0.0.1:0".parse().unwrap(), limits)
}

fn serve_at(addr: SocketAddr, limits: Limits) -> TestServer {
    // A child process that another test has just started may briefly keep an inherited listener open.
    let begin = Instant::now();
    let server = loop {
        match Server::bind(addr, limits) {
            Ok(server) => break server,
            Err(cause) => assert!(begin.elapsed() < GENEROUS, "{cause}"),
        }
    };
    let addr = server.local_addr().unwrap();
    let service = Rc::new(Service::default());
    let stop = Shutdown::new();
    let ended = Shutdown::new();
    let serving = server.serve(service.clone(), stop.clone(), GENEROUS);
    let done = ended.clone();
    monoio::spawn(async move {
        serving.await;
        done.trigger();
    });
    TestServer { addr, service, stop, ended }
}

#[test]
fn call_whole_answer() {
    run(async {
        let server = serve(Limits::default());
        let client = Client::new(Limits::default());
        let answer: u64 = client.call(server.addr, "double", &21_u64, GENEROUS).await.unwrap();
        assert_eq!(answer, 42);
    });
}

#[test]
fn call_many_at_once() {
    run(async {
        let server = serve(Limits::default());
        let client = Client::new(Limits::default());
        let calls = (0..500_u64).map(|n| {
            let client = &client;
            async move { client.call::<_, u64>(server.addr, "double", &n, GENEROUS).await }
        });
        let answers = join_all(calls).await;
        for (n, answer) in (0..).zip(answers) {
            assert_eq!(answer, Ok(n * 2));
        }
    });
}

#[test]
fn call_large_body() {
    run(async {
        let server = serve(Limits::default());
        let client = Client::new(Limits::default());
        let body = vec![7_u8; 3_000_000];
        let answer: Vec<u8> = client.call(server.addr, "echo", &body, GENEROUS).await.unwrap();
        assert!(answer == body);
    });
}

#[test]
fn call_too_large() {
    run(async {
        let server = serve(Limits { body_bytes: 1000, ..Limits::default() });
        let client = Client::new(Limits::default());
        let error = client
            .call::<_, Vec<u8>>(server.addr, "echo", &vec![0_u8; 200_000], GENEROUS)
            .await
            .unwrap_err();
        assert_eq!(error.step, CallPhase::Refused(Code::Malformed));
        assert!(server.service.methods.borrow().is_empty());
        let answer: u64 = client.call(server.addr, "double", &1_u64, GENEROUS).await.unwrap();
        assert_eq!(answer, 2);
    });
}

#[test]
fn call_unknown_method() {
    run(async {
        let server = serve(Limits::default());
        let client = Client::new(Limits::default());
        let error = client.call::<_, u64>(server.addr, "no-such", &1_u64, GENEROUS).await;
        assert_eq!(error.unwrap_err().step, CallPhase::Refused(Code::UnknownMethod));
    });
}

#[test]
fn call_refused_connection() {
    let unused = UNUSED.parse().unwrap();
    let error = run(async {
        let client = Client::new(Limits::default());
        client.call::<_, u64>(unused, "double", &1_u64, GENEROUS).await.unwrap_err()
    });
    assert_eq!((error.step, error.sent), (CallPhase::Connect, false));
}

// A call times out and its response arrives later, while other calls use the same connection. It must
// reach none of them.
#[test]
fn call_late_answer() {
    run(async {
        let server = serve(Limits::default());
        let client = Client::new(Limits::default());
        let short = Duration::from_millis(250);
        let error = client.call::<_, u64>(server.addr, "hold", &7_u64, short).await.unwrap_err();
        assert_eq!((error.step, error.sent), (CallPhase::Timeout, true));
        server.service.gate.trigger();
        for n in 0..20_u64 {
            let answer = client.call::<_, u64>(server.addr, "double", &n, GENEROUS).await;
            assert_eq!(answer, Ok(n * 2));
        }
    });
}

// The server is stopped while it handles a call. That call still gets its response; later calls fail
// and are reported as not sent.
#[test]
fn serve_graceful_stop() {
    run(async {
        let server = serve(Limits::default());
        let client = Rc::new(Client::new(Limits::default()));
        let waiting_calls = monoio::spawn({
            let (client, addr) = (client.clone(), server.addr);
            async move { client.call::<_, u64>(addr, "hold", &7_u64, GENEROUS).await }
        });
        while server.service.waiting_calls.get() == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        server.stop.trigger();
        server.service.gate.trigger();
        assert_eq!(waiting_calls.await, Ok(7));
        server.ended.wait().await;
        // A child process that another test has just started may briefly keep the listener open.
        while client.call::<_, u64>(server.addr, "double", &1_u64, GENEROUS).await.unwrap_err().sent
        {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(*server.service.methods.borrow(), ["hold"]);
    });
}

/// Limits with a probe interval short enough for a test.
fn frequent_probes() -> Limits {
    Limits { keepalive: Duration::from_millis(100), ..Limits::default() }
}

// The peer's process is frozen: its sockets stay open and its kernel acknowledges data. Unanswered
// probes must fail the calls long before their timeouts, as calls that may have been sent.
#[test]
fn call_frozen_peer() {
    let frozen = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = frozen.local_addr().unwrap();
    run(async {
        let client = Client::new(frequent_probes());
        let calls =
            [1_u64; 3].each_ref().map(|n| client.call::<_, u64>(addr, "double", n, GENEROUS * 10));
        let begin = Instant::now();
        for answer in join_all(calls).await {
            let error = answer.unwrap_err();
            assert_eq!((error.step, error.sent), (CallPhase::Receive, true), "{error}");
        }
        assert!(begin.elapsed() < GENEROUS);
    });
}

// An owner that a thousand instances follow spent its time on their probes, and each that it answered late
// was followed by a new connection. A longer interval applies to the calls of this peer.
#[test]
fn call_frozen_peer_with_longer_interval() {
    let frozen = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = frozen.local_addr().unwrap();
    run(async {
        let client = Client::new(frequent_probes());
        client.set_keepalive(addr, GENEROUS * 10);
        let timeout = frequent_probes().keepalive * 6;
        let error = client.call::<_, u64>(addr, "double", &1_u64, timeout).await.unwrap_err();
        assert_eq!(error.step, CallPhase::Timeout, "{error}");
        // An interval below that of the limits has no effect.
        let client = Client::new(Limits { keepalive: GENEROUS * 10, ..frequent_probes() });
        client.set_keepalive(addr, Duration::from_millis(1));
        let error = client.call::<_, u64>(addr, "double", &1_u64, timeout).await.unwrap_err();
        assert_eq!(error.step, CallPhase::Timeout, "{error}");
    });
}

// A frozen peer is replaced by another one at the same address. Once unanswered probes have closed the
// connection, calls must reach the new peer.
#[test]
fn call_replaced_peer() {
    // Uses a separate address, so that no other test takes the port while it is free.
    let frozen = std::net::TcpListener::bind("127.0.0.77:0").unwrap();
    let addr = frozen.local_addr().unwrap();
    run(async {
        let client = Client::new(frequent_probes());
        client.call::<_, u64>(addr, "double", &1_u64, GENEROUS * 10).await.unwrap_err();
        drop(frozen);
        let server = serve_at(addr, Limits::default());
        let answer = client.call::<_, u64>(server.addr, "double", &1_u64, GENEROUS).await;
        assert_eq!(answer, Ok(2));
    });
}

// A peer's process is paused with calls in flight, which may fail with an unknown outcome. After it resumes,
// its late responses must reach no later call.
#[test]
fn call_paused_peer() {
    let (resume, resumed) = mpsc::channel();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        run(async move {
            let server = Server::bind("127.0.0.1:0".parse().unwrap(), Limits::default()).unwrap();
            sender.send(server.local_addr().unwrap()).unwrap();
            server.serve(Rc::new(Paused { resumed }), Shutdown::new(), GENEROUS).await;
        });
    });
    let addr = receiver.recv().unwrap();
    run(async {
        let client = Client::new(frequent_probes());
        assert_eq!(client.call::<_, u64>(addr, "echo", &1_u64, GENEROUS).await, Ok(1));
        let calls = ["echo", "pause", "echo"].map(|method| {
            let client = &client;
            async move { client.call::<_, u64>(addr, method, &2_u64, GENEROUS * 10).await }
        });
        for answer in join_all(calls).await {
            assert!(answer.is_ok() || answer.is_err_and(|error| error.sent));
        }
        resume.send(()).unwrap();
        for n in 10..20_u64 {
            assert_eq!(client.call::<_, u64>(addr, "echo", &n, GENEROUS).await, Ok(n));
        }
    });
}

/// Echoes the body; `pause` blocks the server's thread until `resumed` receives a message.
struct Paused {
    resumed: mpsc::Receiver<()>,
}

impl Handler for Paused {
    fn handle(
        &self,
        _peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>> {
        if method == "pause" {
            self.resumed.recv().unwrap();
        }
        async { Ok(body) }.boxed_local()
    }
}

// A handler takes many times the probe interval. The peer still answers probes, so that the client must
// wait for the response.
#[test]
fn call_slow_handler() {
    run(async {
        let server = serve(Limits::default());
        let client =
            Client::new(Limits { keepalive: Duration::from_millis(20), ..frequent_probes() });
        let gate = server.service.gate.clone();
        monoio::spawn(async move {
            monoio::time::sleep(Duration::from_millis(400)).await;
            gate.trigger();
        });
        assert_eq!(client.call::<_, u64>(server.addr, "hold", &7_u64, GENEROUS).await, Ok(7));
    });
}

// Calls time out while their handlers still run, and more calls follow. The number of running handlers
// is limited: a call beyond the limit is rejected as busy and certainly has not run.
#[test]
fn call_beyond_bound() {
    run(async {
        let server = serve(Limits { calls: 2, ..Limits::default() });
        let client = Client::new(Limits::default());
        let short = Duration::from_millis(250);
        for n in 0..2_u64 {
            let error = client.call::<_, u64>(server.addr, "hold", &n, short).await.unwrap_err();
            assert_eq!(error.step, CallPhase::Timeout);
        }
        assert_eq!(server.service.waiting_calls.get(), 2);
        let error = client.call::<_, u64>(server.addr, "double", &1_u64, GENEROUS).await;
        let error = error.unwrap_err();
        assert!(!error.sent);
        assert!(error.is_busy(), "{error}");
        assert_eq!(server.service.methods.borrow().len(), 2);
        server.service.gate.trigger();
        while client.call::<_, u64>(server.addr, "double", &1_u64, GENEROUS).await != Ok(2) {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

// Malicious clients connect and send nothing, or random frames after a valid preface. The server must
// close their connections in bounded time and meanwhile answer correct peers.
#[test]
fn serve_hostile_frames() {
    run(async {
        let short = Duration::from_millis(100);
        let limits = Limits { read_timeout: short, idle_timeout: short, ..Limits::default() };
        let server = serve(limits);
        let addr = server.addr;
        let clients: Vec<_> =
            (0..16).map(|n| thread::spawn(move || send_hostile(addr, n))).collect();
        let client = Client::new(Limits::default());
        while !clients.iter().all(thread::JoinHandle::is_finished) {
            match client.call::<_, u64>(addr, "double", &4_u64, GENEROUS).await {
                Ok(answer) => assert_eq!(answer, 8),
                // On a slow machine the server may close this connection as idle.
                Err(error) => assert!(!error.sent, "{error}"),
            }
        }
        for client_thread in clients {
            client_thread.join().unwrap();
        }
    });
}

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];

fn send_hostile(addr: SocketAddr, thread: u64) {
    for n in 0..8 {
        send_hostile_frames(addr, thread * 8 + n);
    }
}

/// Sends frames drawn from `seed` and waits for the server to close.
fn send_hostile_frames(addr: SocketAddr, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut stream = std::net::TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(GENEROUS)).unwrap();
    let mut bytes = Vec::new();
    if !seed.is_multiple_of(8) {
        bytes.extend_from_slice(PREFACE);
        bytes.extend_from_slice(SETTINGS);
    }
    for _ in 0..random.random_range(0..8) {
        bytes.extend_from_slice(&hostile_frame(&mut random));
    }
    let _ = stream.write_all(&bytes);
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => {
            panic!("the server kept the connection of seed {seed} open")
        }
        _ => {}
    }
}

fn hostile_frame(random: &mut SmallRng) -> Vec<u8> {
    let length = random.random_range(0..64_u8);
    let kind = random.random_range(0..11_u8);
    let stream = random.random_range(0..6_u8);
    let mut frame = vec![0, 0, length, kind, random.random(), 0, 0, 0, stream];
    frame.extend((0..length).map(|_| random.random::<u8>()));
    frame
}
