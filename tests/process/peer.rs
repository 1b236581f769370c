//! Calls between instances over real sockets, against honest, slow, dead and hostile peers.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::codec;
use oriolefork::peer::{Client, Code, Handler, Limits, Refusal, Server, Step};
use oriolefork::shutdown::Shutdown;

/// Long enough for any step on a busy machine; reached only by a failing test.
const GENEROUS: Duration = Duration::from_secs(20);

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(future)
}

/// `double` doubles a number, `echo` returns the body, `hold` waits for the gate.
#[derive(Default)]
struct Service {
    gate: Shutdown,
    held: Cell<usize>,
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
                    self.held.set(self.held.get() + 1);
                    self.gate.wait().await;
                    Ok(body)
                }
                _ => Err(Refusal { code: Code::UnknownMethod, reason: method }),
            }
        }
        .boxed_local()
    }
}

struct Running {
    addr: SocketAddr,
    service: Rc<Service>,
    stop: Shutdown,
    ended: Shutdown,
}

fn serve(limits: Limits) -> Running {
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
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
    Running { addr, service, stop, ended }
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
        assert_eq!(error.step, Step::Refused(Code::Malformed));
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
        assert_eq!(error.unwrap_err().step, Step::Refused(Code::UnknownMethod));
    });
}

#[test]
fn call_refused_connection() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error = run(async {
        let client = Client::new(Limits::default());
        client.call::<_, u64>(unused, "double", &1_u64, GENEROUS).await.unwrap_err()
    });
    assert_eq!((error.step, error.sent), (Step::Connect, false));
}

// A caller stops waiting for a slow answer. The answer comes later, while other calls are out on
// the same connection: it must reach none of them.
#[test]
fn call_late_answer() {
    run(async {
        let server = serve(Limits::default());
        let client = Client::new(Limits::default());
        let short = Duration::from_millis(50);
        let error = client.call::<_, u64>(server.addr, "hold", &7_u64, short).await.unwrap_err();
        assert_eq!((error.step, error.sent), (Step::Timeout, true));
        server.service.gate.trigger();
        for n in 0..20_u64 {
            let answer = client.call::<_, u64>(server.addr, "double", &n, GENEROUS).await;
            assert_eq!(answer, Ok(n * 2));
        }
    });
}

// An instance is told to stop while a call is in its hands. The caller still gets its whole answer,
// and a call after that surely never reached the instance.
#[test]
fn serve_graceful_stop() {
    run(async {
        let server = serve(Limits::default());
        let client = Rc::new(Client::new(Limits::default()));
        let held = monoio::spawn({
            let (client, addr) = (client.clone(), server.addr);
            async move { client.call::<_, u64>(addr, "hold", &7_u64, GENEROUS).await }
        });
        while server.service.held.get() == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        server.stop.trigger();
        server.service.gate.trigger();
        assert_eq!(held.await, Ok(7));
        server.ended.wait().await;
        let error = client.call::<_, u64>(server.addr, "double", &1_u64, GENEROUS).await;
        assert!(!error.unwrap_err().sent);
    });
}
