//! Stand-in of a runner, as in PROTOCOL.md: it does what it is told, under leases and fencing tokens.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{self, Value, quote};
use crate::record::Record;

/// Ended runs in one report.
const MAX_LISTED: usize = 500;

/// Interval between two looks at what ends by itself.
const TICK: Duration = Duration::from_millis(5);

/// Properties of a runner.
#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub rack: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub max_hold_ms: u64,
}

/// One life of a runner.
pub struct Runner {
    pub settings: Settings,
    pub address: SocketAddr,
    born: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

#[derive(Default)]
struct State {
    gone: bool,
    fence: u64,
    until_ms: u64,
    running: BTreeMap<String, (u64, Instant)>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    over: HashMap<String, u64>,
}

impl Runner {
    /// Starts a runner at this address, whose port may be 0 for a free one.
    pub fn start(
        settings: Settings,
        address: SocketAddr,
        record: Arc<Record>,
    ) -> std::io::Result<(Arc<Self>, Server)> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let runner = Arc::new(Self {
            settings,
            address,
            born: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
        });
        let handler = runner.clone();
        let server = Server::start(listener, Arc::new(move |request| handler.answer(request)))?;
        let ticking = runner.clone();
        std::thread::spawn(move || ticking.run());
        Ok((runner, server))
    }

    /// Its entry in the list of runners.
    pub fn entry(&self, sequence: u64) -> String {
        let Settings { service, rack, zone, cpu, mem_mb, .. } = &self.settings;
        format!(
            r#"{{"backend":{},"address":"{}","zone":{},"version":"1","slots":8,"state":"ready","coldRemainingMs":0,"seq":{sequence},"capacity":{{"cpu":{cpu},"memMb":{mem_mb},"gpu":0}},"labels":["a",{}]}}"#,
            quote(service),
            self.address,
            quote(zone),
            quote(rack)
        )
    }

    /// Ends this life: nothing runs on it any more.
    pub fn end(&self) {
        self.state.lock().unwrap().gone = true;
        self.changed.notify_all();
    }

    pub fn is_gone(&self) -> bool {
        self.state.lock().unwrap().gone
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    /// Ends runs that are done or whose lease has expired, until the end of this life.
    fn run(&self) {
        loop {
            std::thread::sleep(TICK);
            let clock_ms = self.clock_ms();
            let mut state = self.state.lock().unwrap();
            if state.gone {
                return;
            }
            let lapsed = clock_ms > state.until_ms;
            let now = Instant::now();
            let over = |end: &Instant| lapsed || *end <= now;
            let ends: Vec<(String, u64)> = state
                .running
                .iter()
                .filter(|(_, (_, end))| over(end))
                .map(|(task, (run, _))| (task.clone(), *run))
                .collect();
            for (task, run) in ends {
                self.end_run(&mut state, &task, run, if lapsed { "lapsed" } else { "done" });
            }
        }
    }

    fn end_run(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.running.remove(task);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), run, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run);
        self.record.note(&format!("runner {} task {task} run {run} {how}", self.settings.id));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        let expected = request.headers.get("expected-instance");
        if expected.is_some_and(|expected| *expected != self.settings.id) {
            return self.refuse(421, "instance");
        }
        let Some(body) = json::parse(&request.body) else { return self.refuse(400, "body") };
        let fence = body.number("fenceToken").unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if fence < state.fence {
                return self.refuse(409, "fence");
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/api/hold" => self.hold(&body),
            "/api/run-start" => self.start_run(&body),
            "/api/run-stop" => self.stop_run(&body),
            _ => self.refuse(404, "path"),
        }
    }

    fn refuse(&self, status: u16, reason: &str) -> Response {
        let clock_ms = self.clock_ms();
        Response::new(status, format!(r#"{{"clockMs":{clock_ms},"reason":"{reason}"}}"#))
    }

    fn accept(&self) -> Response {
        Response::new(200, format!(r#"{{"clockMs":{}}}"#, self.clock_ms()))
    }

    fn extend(&self, state: &mut State, body: &Value) {
        let longest = self.clock_ms() + self.settings.max_hold_ms;
        if let Some(until_ms) = body.number("untilMs") {
            state.until_ms = state.until_ms.max(until_ms.min(longest));
        }
    }

    fn hold(&self, body: &Value) -> Response {
        let observed = body.number("observed").unwrap_or(0);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body);
        state.ended.retain(|(number, ..)| *number > observed);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() || state.gone {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, (run, _))| format!(r#"[{},{run},"",50,0]"#, quote(task)))
            .collect();
        let listed = state.ended.iter().take(MAX_LISTED);
        let ended: Vec<String> = listed
            .map(|(number, task, run, how)| {
                format!(r#"[{number},{},{run},"{how}",""]"#, quote(task))
            })
            .collect();
        Response::new(
            200,
            format!(
                r#"{{"clockMs":{},"running":[{}],"ended":[{}]}}"#,
                self.clock_ms(),
                running.join(","),
                ended.join(",")
            ),
        )
    }

    fn start_run(&self, body: &Value) -> Response {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return self.refuse(400, "body");
        };
        let mut state = self.state.lock().unwrap();
        if state.gone {
            return self.refuse(503, "gone");
        }
        if body.number("untilMs").is_none_or(|until_ms| until_ms < self.clock_ms()) {
            return self.refuse(409, "late");
        }
        self.extend(&mut state, body);
        if state.running.get(task).is_some_and(|(running, _)| *running == run) {
            return self.accept();
        }
        if state.over.get(task).is_some_and(|over| run <= *over) {
            return self.refuse(409, "old");
        }
        let work = body.text("spec").and_then(|spec| spec.split(' ').next()?.parse().ok());
        let end = Instant::now() + Duration::from_millis(work.unwrap_or(1_000));
        state.running.insert(task.to_owned(), (run, end));
        self.record.note(&format!("runner {} task {task} run {run} started", self.settings.id));
        drop(state);
        self.accept()
    }

    fn stop_run(&self, body: &Value) -> Response {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return self.refuse(400, "body");
        };
        let mut state = self.state.lock().unwrap();
        if state.running.get(task).is_some_and(|(running, _)| *running == run) {
            self.end_run(&mut state, task, run, "stopped");
        }
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run);
        drop(state);
        self.accept()
    }
}
