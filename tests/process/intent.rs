//! Idempotency keys over a log in its own process, with a faulty network between it and the
//! instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monoio::task::JoinHandle;
use oriolefork::clock::{Clock, System};
use oriolefork::intent::{
    Admission, Deduplicator, DomainBinding, ExecutionOutcome, Key, Kind, Policy, Progress,
    RecordedResponse, Refusal, Request, fingerprint,
};
use oriolefork::standin::log;
use oriolefork::standin::proxy::{self, Mode};
use oriolefork::{domain, http, store};

use serde_json::json;

use crate::harness::{Entry, LIMIT, Plan, Standin, block_on, eventually, get_json, post_json};

const TIMEOUT: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
const KEYS: usize = 40;

/// A log, and a proxy with a route to it for each instance.
struct Platform {
    log: Standin,
    proxy: Standin,
}

/// The deduplication of one instance.
struct Instance {
    name: String,
    deduplicator: Deduplicator,
    task: JoinHandle<()>,
    clock: System,
}

impl Platform {
    fn start() -> Self {
        Self { log: Standin::start("log", &[]), proxy: Standin::start("proxy", &[]) }
    }

    fn route(&self, name: &str) -> SocketAddr {
        let listen = SocketAddr::new(self.proxy.addr.ip(), 0);
        let path = proxy::Path { name: name.to_owned(), listen, target: self.log.addr };
        let route: proxy::Snapshot = post_json(self.proxy.addr, "/v1/routes", &path).json();
        route.listen
    }

    fn switch(&self, instance: &Instance, mode: Mode) {
        let control = proxy::Control { routes: vec![instance.name.clone()], mode };
        post_json(self.proxy.addr, "/control", &control);
    }

    fn control(&self, control: log::Control) {
        post_json(self.log.addr, "/control", &control);
    }

    fn appends(&self) -> u64 {
        let state: log::Snapshot = get_json(self.log.addr, "/v1/state");
        state.streams.values().map(|stream| stream.appends).sum()
    }

    fn instance(&self, name: &str, run: u64) -> Instance {
        let http = Rc::new(http::Client::new(http::Limits::default()));
        let store = store::http::Client::new(self.route(name), http, CALL_TIMEOUT);
        let clock = System::start();
        let call_timeout = CALL_TIMEOUT * 2;
        let policy = Policy { call_timeout, confirm_timeout: CONFIRM_TIMEOUT, ..Policy::default() };
        let (deduplicator, driver) =
            Deduplicator::new(name, run, policy, Rc::new(store), Rc::new(clock.clone()));
        deduplicator.preload();
        let task = monoio::spawn(driver.run(Duration::ZERO));
        Instance { name: name.to_owned(), deduplicator, task, clock }
    }
}

impl Instance {
    fn request(&self, name: &str) -> Request {
        Request {
            key: Key::new(Kind::Request, "portal", name).expect("valid"),
            created: self.clock.unix(),
            fingerprint: fingerprint(name.as_bytes()),
            domain: None,
        }
    }

    async fn begin(&self, request: &Request) -> Admission {
        self.deduplicator.begin(request.clone(), TIMEOUT).await
    }

    /// Repeats a request until its answer satisfies `wanted`.
    async fn until(&self, request: &Request, wanted: impl Fn(&Admission) -> bool) -> Admission {
        let start = std::time::Instant::now();
        loop {
            let admission = self.begin(request).await;
            if wanted(&admission) {
                return admission;
            }
            assert!(start.elapsed() < LIMIT, "the expected answer did not arrive");
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Ends the instance without writing its pending records, as if it were killed.
    async fn kill(self) {
        let Self { deduplicator, task, .. } = self;
        drop(deduplicator);
        task.await;
    }
}

fn is_won(admission: &Admission) -> bool {
    matches!(admission, Admission::Granted(_))
}

fn is_unknown(admission: &Admission) -> bool {
    matches!(admission, Admission::Duplicate(state) if state.progress == Progress::Unknown)
}

fn is_done(admission: &Admission) -> bool {
    matches!(admission, Admission::Duplicate(state) if state.is_done())
}

fn refusal(admission: &Admission) -> Option<Refusal> {
    match admission {
        Admission::NotRun(refusal) => Some(*refusal),
        _ => None,
    }
}

fn answered() -> ExecutionOutcome {
    ExecutionOutcome::Responded(RecordedResponse::new(
        200,
        "text/plain",
        &Bytes::from_static(b"renewed"),
        4096,
    ))
}

// Two instances get each request at the same moment, as after a client's timeout. Only one of them
// may run it.
#[test]
fn begin_race_has_one_winner() {
    block_on(async {
        let platform = Platform::start();
        let (erie, huron) = (platform.instance("erie", 1), platform.instance("huron", 2));
        let names: Vec<String> = (0..KEYS).map(|number| format!("renew-{number}")).collect();
        let requests: Vec<Request> = names.iter().map(|name| erie.request(name)).collect();
        let races = requests.iter().map(|request| async {
            let both = futures_util::join!(erie.begin(request), huron.begin(request));
            (is_won(&both.0), is_won(&both.1))
        });
        let races = futures_util::future::join_all(races).await;
        assert!(races.iter().all(|(first, second)| first != second), "{races:?}");
        assert!(platform.appends() < KEYS as u64, "intents share appends");
    });
}

// The log writes the intent but never answers. The instance reads its own record back and runs the
// request. A retry through another instance is answered with the outcome.
#[test]
fn begin_lost_answer_is_settled() {
    block_on(async {
        let platform = Platform::start();
        let (erie, huron) = (platform.instance("erie", 1), platform.instance("huron", 2));
        platform.control(log::Control { drop_answers: Some(1), ..log::Control::default() });
        let request = erie.request("renew-7");
        let Admission::Granted(permit) = erie.begin(&request).await else { panic!("not won") };
        permit.start().finish(answered());
        let answer = huron.until(&request, |answer| !is_unknown(answer)).await;
        assert!(is_done(&answer));
    });
}

// The network stops forwarding to the log while an intent is in transit, and the instance answers
// NotRun. After the network recovers, the delayed record reaches the log. The request must never
// run from it, and a retry through another instance must run once.
#[test]
fn begin_late_write_is_withdrawn() {
    block_on(async {
        let platform = Platform::start();
        let (erie, huron) = (platform.instance("erie", 1), platform.instance("huron", 2));
        assert!(is_won(&erie.begin(&erie.request("warm-up")).await));
        platform.switch(&erie, Mode::CutToServer);
        let request = erie.request("renew-7");
        assert!(refusal(&erie.begin(&request).await).is_some());
        platform.switch(&erie, Mode::Pass);
        let won = huron.until(&request, is_won).await;
        let Admission::Granted(permit) = won else { unreachable!() };
        permit.start().finish(answered());
        let answer =
            erie.until(&request, |answer| !is_unknown(answer) && refusal(answer).is_none()).await;
        assert!(is_done(&answer));
    });
}

// The log is unavailable. Each request is answered NotRun and nothing is appended. When the log is
// back, the retry runs.
#[test]
fn begin_outage_is_not_run() {
    block_on(async {
        let platform = Platform::start();
        let erie = platform.instance("erie", 1);
        platform.control(log::Control { outage: Some(true), ..log::Control::default() });
        let request = erie.request("renew-7");
        for _ in 0..5 {
            assert_eq!(refusal(&erie.begin(&request).await), Some(Refusal::LogUnavailable));
        }
        platform.control(log::Control { outage: Some(false), ..log::Control::default() });
        assert_eq!(platform.appends(), 0);
        assert!(is_won(&erie.until(&request, is_won).await));
    });
}

// The instance wins the key and crashes, so it is unknown whether it sent the request. Retries
// through another instance and through its own replacement are answered that the outcome is
// unknown, and nothing runs.
#[test]
fn begin_after_death_is_unknown() {
    block_on(async {
        let platform = Platform::start();
        let (erie, huron) = (platform.instance("erie", 1), platform.instance("huron", 2));
        let request = erie.request("renew-7");
        let Admission::Granted(permit) = erie.begin(&request).await else { panic!("not won") };
        std::mem::forget(permit.start());
        drop(erie);
        assert!(is_unknown(&huron.begin(&request).await));
        assert!(is_unknown(&platform.instance("erie-again", 3).begin(&request).await));
    });
}

// The log's response is truncated. The instance must not take it for a complete page: it confirms
// its intent when complete responses arrive again, or refuses the request, but never runs it on a
// truncated page.
#[test]
fn begin_truncated_answers() {
    block_on(async {
        let platform = Platform::start();
        let (erie, huron) = (platform.instance("erie", 1), platform.instance("huron", 2));
        let request = erie.request("renew-7");
        let Admission::Granted(permit) = huron.begin(&request).await else { panic!("not won") };
        platform.switch(&erie, Mode::Truncate(120));
        assert!(!is_won(&erie.begin(&request).await));
        permit.start().finish(answered());
        platform.switch(&erie, Mode::Pass);
        let answer =
            erie.until(&request, |answer| !is_unknown(answer) && refusal(answer).is_none()).await;
        assert!(is_done(&answer));
    });
}

// The log has dropped the record of a request that ran, and the instance was replaced since. The
// old key is refused; a key created now runs.
#[test]
fn begin_dropped_key_is_refused() {
    block_on(async {
        let platform = Platform::start();
        let erie = platform.instance("erie", 1);
        let request = erie.request("renew-7");
        let Admission::Granted(permit) = erie.begin(&request).await else { panic!("not won") };
        permit.start().finish(answered());
        erie.kill().await;
        platform.control(log::Control { retention: Some(1), ..log::Control::default() });
        let huron = platform.instance("huron", 2);
        let mut others = (0..).map(|number| huron.request(&format!("other-{number}")));
        let partition = request.key.partition();
        let neighbour = others.find(|other| other.key.partition() == partition).expect("endless");
        assert!(is_won(&huron.begin(&neighbour).await));
        let again = platform.instance("erie-again", 3);
        assert_eq!(refusal(&again.begin(&request).await), Some(Refusal::Expired));
        assert!(is_won(&again.until(&again.request("renew-8"), is_won).await));
    });
}

// A job is submitted through two instances with one key. Both must bind it to one failure domain,
// also after that domain's owner has recorded it.
#[test]
fn place_job_fixes_one_domain() {
    block_on(async {
        let platform = Platform::start();
        let (erie, huron) = (platform.instance("erie", 1), platform.instance("huron", 2));
        let job = |instance: &Instance, domain: &str| Request {
            key: Key::new(Kind::Job, "shop", "backup").expect("valid"),
            domain: Some(domain::Name::from(domain)),
            ..instance.request("backup")
        };
        let (first, second) = (job(&erie, "erie-hall"), job(&huron, "huron-hall"));
        let (here, there) = futures_util::join!(
            erie.deduplicator.bind_job(first.clone(), TIMEOUT),
            huron.deduplicator.bind_job(second.clone(), TIMEOUT)
        );
        let DomainBinding::Bound { domain, attempt, .. } = here else { panic!("{here:?}") };
        let DomainBinding::Bound { domain: other, .. } = there else { panic!("{there:?}") };
        assert_eq!(domain, other);
        erie.deduplicator.record_acceptance(&first, attempt, domain.clone());
        let start = std::time::Instant::now();
        loop {
            let again = huron.deduplicator.bind_job(second.clone(), TIMEOUT).await;
            let DomainBinding::Bound { domain: bound, duplicate, accepted, .. } = again else {
                panic!("{again:?}")
            };
            assert!(duplicate);
            assert_eq!(bound, domain);
            if accepted {
                break;
            }
            assert!(start.elapsed() < LIMIT, "the acceptance was not read in time");
        }
    });
}

// A client submits a job in three failure domains with the same key at the same moment. All answers
// refer to one job, and it runs once in one domain.
#[test]
fn submit_in_three_domains_is_one_job() {
    let domains = vec!["oamaru-hall", "kurow-hall", "palmerston-hall"];
    let cluster = Plan { domains, entries: 1, workers: 1, ..Plan::default() }.start();
    let spec = json!({
        "name": "backup", "team": "shop", "kind": "batch", "tasks": 1,
        "demand": { "cpu-millis": 100, "memory-mib": 64 },
        "payload": r#"{"run_ms":100,"end":"succeeded"}"#,
    });
    for round in 0..5 {
        let key = format!("backup-{round}");
        let tell = |entry: &Entry| {
            eventually("the job is accepted", || {
                entry.submit(&key, &spec).ok().filter(|reply| reply.status / 100 == 2)
            });
        };
        std::thread::scope(|scope| {
            for entry in &cluster.entries {
                scope.spawn(|| tell(entry));
            }
        });
    }
    eventually("every job ends", || {
        let runs = cluster.runs();
        (runs.len() >= 5 && runs.iter().all(|(_, run)| run.ended.is_some())).then_some(())
    });
    assert_eq!(cluster.runs().len(), 5, "{:?}", cluster.runs());
}
