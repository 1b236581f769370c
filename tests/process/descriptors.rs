//! Connections over real sockets while the budget of descriptors is exhausted.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, join_all};
use futures_util::{FutureExt, poll};
use oriolefork::descriptors::{Budget, Class, Shares};
use oriolefork::http::{self, CallPhase, Client, Error, Limits, Request, Response, Server};
use oriolefork::peer;
use oriolefork::shutdown::Shutdown;

use crate::support::{GENEROUS, UNUSED, run};

/// Server that records the connections on which it is called; `/hold` waits for `gate`.
#[derive(Default)]
struct Service {
    gate: Shutdown,
    connections: RefCell<Vec<SocketAddr>>,
}

impl Service {
    fn calls(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Number of connections on which the calls came.
    fn connections(&self) -> usize {
        let mut distinct = self.connections.borrow().clone();
        distinct.sort_unstable();
        distinct.dedup();
        distinct.len()
    }

    async fn wait_calls(&self, calls: usize) {
        while self.calls() < calls {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

impl http::Handler for Service {
    fn handle(&self, peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        self.connections.borrow_mut().push(peer);
        async move {
            if request.uri().path() == "/hold" {
                self.gate.wait().await;
            }
            Response::new(Bytes::from_static(b"ok"))
        }
        .boxed_local()
    }
}

impl peer::Handler for Service {
    fn handle(
        &self,
        peer: SocketAddr,
        _method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, peer::Refusal>> {
        self.connections.borrow_mut().push(peer);
        async move { Ok(body) }.boxed_local()
    }
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn serve_on(server: Server) -> (SocketAddr, Rc<Service>) {
    let addr = server.local_addr().unwrap();
    let service = Rc::new(Service::default());
    monoio::spawn(server.serve(service.clone(), Shutdown::new(), GENEROUS));
    (addr, service)
}

fn serve() -> (SocketAddr, Rc<Service>) {
    serve_on(Server::bind(any(), Limits::default()).unwrap())
}

fn budget(limit: usize, shares: Shares) -> Rc<Budget> {
    Rc::new(Budget::new(limit, shares))
}

fn client(budget: &Rc<Budget>, class: Class) -> Client {
    Client::new(Limits::default()).with_budget(budget.clone(), class)
}

async fn send(client: &Client, addr: SocketAddr, path: &str) -> Result<Bytes, Error> {
    let request = ::http::Request::builder().uri(path).body(Bytes::new()).unwrap();
    client.send(addr, request, GENEROUS).await.map(Response::into_body)
}

fn assert_refused(error: &Error) {
    assert_eq!((error.phase, error.sent), (CallPhase::Descriptor, false), "{error}");
    assert!(error.cause.contains("no descriptor left"), "{error}");
}

async fn wait_in_use(budget: &Budget, in_use: usize) {
    while budget.in_use() != in_use {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

// Idle connections to thousands of workers hold all descriptors, and a worker that is not connected
// could not be called. Only the longest idle one may be closed, whatever pool it belongs to.
#[test]
fn send_exhausted_closes_the_longest_idle() {
    run(async {
        let budget = budget(2, Shares::default());
        let (polls, commands) = (client(&budget, Class::Poll), client(&budget, Class::Command));
        let (oldest, oldest_service) = serve();
        let (recent, recent_service) = serve();
        let (new, _) = serve();
        send(&commands, oldest, "/").await.unwrap();
        send(&polls, recent, "/").await.unwrap();
        assert_eq!(send(&polls, new, "/").await.unwrap(), "ok");
        send(&polls, recent, "/").await.unwrap();
        assert_eq!((recent_service.calls(), recent_service.connections()), (2, 1));
        send(&commands, oldest, "/").await.unwrap();
        assert_eq!((oldest_service.calls(), oldest_service.connections()), (2, 2));
        assert_eq!(budget.in_use(), 2);
    });
}

// With all descriptors in use, a call must not wait for its timeout, and its caller must learn that
// the worker has not acted on it.
#[test]
fn send_exhausted_fails_at_once() {
    run(async {
        let budget = budget(1, Shares::default());
        let commands = client(&budget, Class::Command);
        let (busy, busy_service) = serve();
        let (other, other_service) = serve();
        let (held, refused) = futures_util::join!(send(&commands, busy, "/hold"), async {
            busy_service.wait_calls(1).await;
            let refused = send(&commands, other, "/").now_or_never();
            busy_service.gate.trigger();
            refused.expect("an answer at once")
        });
        assert!(held.is_ok());
        assert_refused(&refused.unwrap_err());
        assert_eq!(other_service.calls(), 0);
    });
}

// An owner whose polls and commands hold all descriptors could not reach the store, and lost its
// cell.
#[test]
fn store_is_reached_while_workers_have_the_rest() {
    run(async {
        let budget = budget(3, Shares { control: 1, ..Shares::default() });
        let polls = client(&budget, Class::Poll);
        let commands = client(&budget, Class::Command);
        let store = client(&budget, Class::Control);
        let (worker, worker_service) = serve();
        let (store_addr, _) = serve();
        let held = async {
            join_all([send(&polls, worker, "/hold"), send(&commands, worker, "/hold")]).await
        };
        let (_, ()) = futures_util::join!(held, async {
            worker_service.wait_calls(2).await;
            assert_refused(&send(&polls, worker, "/").await.unwrap_err());
            assert_eq!(send(&store, store_addr, "/").await.unwrap(), "ok");
            worker_service.gate.trigger();
        });
    });
}

// Descriptors that are not given back after a failed connect add up until no call gets through.
#[test]
fn connect_failed_gives_back() {
    run(async {
        let budget = budget(1, Shares::default());
        let polls = client(&budget, Class::Poll);
        for _ in 0..3 {
            let error = send(&polls, UNUSED.parse().unwrap(), "/").await.unwrap_err();
            assert!(!error.cause.contains("descriptor"), "{error}");
        }
        assert_eq!(budget.in_use(), 0);
    });
}

// An owner drops its calls when it stops owning. Descriptors of calls that were dropped while they
// connected, or while they waited for the response, must not stay counted.
#[test]
fn send_dropped_gives_back() {
    run(async {
        let budget = budget(1, Shares::default());
        let polls = client(&budget, Class::Poll);
        let (addr, service) = serve();
        let mut connecting = Box::pin(send(&polls, addr, "/"));
        assert!(poll!(&mut connecting).is_pending());
        assert_eq!((budget.in_use(), service.calls()), (1, 0));
        drop(connecting);
        assert_eq!(budget.in_use(), 0);
        let mut waiting = Box::pin(send(&polls, addr, "/hold").fuse());
        futures_util::select_biased! {
            _ = waiting => panic!("an answer"),
            () = Box::pin(service.wait_calls(1).fuse()) => {}
        }
        assert_eq!(budget.in_use(), 1);
        drop(waiting);
        assert_eq!(budget.in_use(), 0);
    });
}

/// Sends one request on a new connection and returns the connection with the response.
fn call_as_caller(addr: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(GENEROUS)).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut head = vec![0; 1024];
    let bytes = stream.read(&mut head).unwrap();
    (stream, String::from_utf8_lossy(&head[..bytes]).into_owned())
}

async fn caller(addr: SocketAddr) -> (TcpStream, String) {
    let call = std::thread::spawn(move || call_as_caller(addr));
    while !call.is_finished() {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
    call.join().unwrap()
}

// Callers may take the places of idle connections to workers, but a caller that pushes out a poll
// in flight would cost a worker its lease.
#[test]
fn caller_takes_the_place_of_an_idle_connection_only() {
    run(async {
        let budget = budget(2, Shares::default());
        let polls = client(&budget, Class::Poll);
        let server = Server::bind(any(), Limits::default()).unwrap();
        let (ingress, _) = serve_on(server.with_budget(budget.clone(), Class::Caller));
        let (worker, worker_service) = serve();
        let (idle, _) = serve();
        let held = send(&polls, worker, "/hold");
        let (held, ()) = futures_util::join!(held, async {
            worker_service.wait_calls(1).await;
            send(&polls, idle, "/").await.unwrap();
            let (first, response) = caller(ingress).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
            let (_, response) = caller(ingress).await;
            assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
            drop(first);
            wait_in_use(&budget, 1).await;
            let (_, response) = caller(ingress).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
            worker_service.gate.trigger();
        });
        assert!(held.is_ok());
    });
}

// An owner whose descriptors all lead to workers could accept no other instance, and was taken for
// dead.
#[test]
fn peer_is_accepted_while_workers_have_the_rest() {
    run(async {
        let budget = budget(2, Shares { control: 1, ..Shares::default() });
        let polls = client(&budget, Class::Poll);
        let server = peer::Server::bind(any(), peer::Limits::default()).unwrap();
        let server = server.with_budget(budget.clone());
        let peer_addr = server.local_addr().unwrap();
        monoio::spawn(server.serve(Rc::new(Service::default()), Shutdown::new(), GENEROUS));
        let (worker, worker_service) = serve();
        let (held, ()) = futures_util::join!(send(&polls, worker, "/hold"), async {
            worker_service.wait_calls(1).await;
            assert_refused(&send(&polls, worker, "/").await.unwrap_err());
            let first = peer::Client::new(peer::Limits::default());
            assert_eq!(first.call::<_, u64>(peer_addr, "echo", &7_u64, GENEROUS).await, Ok(7));
            // The share is used up: another instance is turned away, until the first one has gone.
            let second = peer::Client::new(peer::Limits::default());
            second.call::<_, u64>(peer_addr, "echo", &7_u64, GENEROUS).await.unwrap_err();
            drop(first);
            wait_in_use(&budget, 1).await;
            assert_eq!(second.call::<_, u64>(peer_addr, "echo", &7_u64, GENEROUS).await, Ok(7));
            worker_service.gate.trigger();
        });
        assert!(held.is_ok());
    });
}

// A call to another instance that finds no descriptor must fail at once as surely not sent, and a
// connection that failed or was closed must give its descriptor back.
#[test]
fn peer_call_exhausted_fails_at_once() {
    run(async {
        let budget = budget(1, Shares::default());
        let server = peer::Server::bind(any(), peer::Limits::default()).unwrap();
        let addr = server.local_addr().unwrap();
        monoio::spawn(server.serve(Rc::new(Service::default()), Shutdown::new(), GENEROUS));
        let client = peer::Client::new(peer::Limits::default()).with_budget(budget.clone());
        let unused = UNUSED.parse().unwrap();
        client.call::<_, u64>(unused, "echo", &7_u64, GENEROUS).await.unwrap_err();
        assert_eq!(budget.in_use(), 0);
        let caller = budget.acquire(Class::Caller).ok().unwrap();
        let refused = client.call::<_, u64>(addr, "echo", &7_u64, GENEROUS).now_or_never();
        let error = refused.expect("an answer at once").unwrap_err();
        assert_eq!((error.step, error.sent), (peer::CallPhase::Connect, false), "{error}");
        assert!(error.cause.contains("no descriptor left"), "{error}");
        drop(caller);
        assert_eq!(client.call::<_, u64>(addr, "echo", &7_u64, GENEROUS).await, Ok(7));
        assert_eq!(budget.in_use(), 1);
        drop(client);
        wait_in_use(&budget, 0).await;
    });
}
