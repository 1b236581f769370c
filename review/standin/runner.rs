//! Stand-in of a runner: one life of it, as the pages describe it.
//!
//! The `spec` of a task states how many milliseconds it works.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{self, Value};

/// Longest lease, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

/// Interval of the runner's reports to the store.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval at which work is advanced.
const STEP: Duration = Duration::from_millis(5);

/// Most ends in one response.
const MAX_ENDS: usize = 500;

/// What a runner is started with.
pub struct Config {
    pub listen: SocketAddr,
    /// Address that the runner reports, at which instances reach it.
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub record: String,
}

struct Running {
    run: u64,
    started: Instant,
    work: Duration,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: HashMap<String, Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
}

struct Runner {
    config: Config,
    born: Instant,
    state: Mutex<State>,
}

/// Runs the runner until its process ends.
pub fn run(config: Config) {
    let runner = Arc::new(Runner { config, born: Instant::now(), state: Mutex::default() });
    let working = runner.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(STEP);
            working.advance(&mut working.state.lock().unwrap());
        }
    });
    let reporting = runner.clone();
    std::thread::spawn(move || {
        for seq in 1.. {
            reporting.report(seq);
            std::thread::sleep(REPORT_INTERVAL);
        }
    });
    let listen = runner.config.listen;
    http::serve(listen, Arc::new(move |request| runner.handle(&request)));
}

impl Runner {
    fn clock_ms(&self) -> u64 {
        // A clock that is not the caller's.
        480_000 + self.born.elapsed().as_millis() as u64
    }

    fn note(&self, line: &str) {
        let mut file =
            std::fs::OpenOptions::new().append(true).create(true).open(&self.config.record);
        if let Ok(file) = &mut file {
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            let unix_ms = unix.map_or(0, |span| span.as_millis());
            let _ =
                file.write_all(format!("{unix_ms} runner {} {line}\n", self.config.id).as_bytes());
        }
    }

    fn report(&self, seq: u64) {
        let Config { service, address, zone, rack, cpu, mem_mb, id, store, .. } = &self.config;
        let entry = format!(
            r#"{{"backend":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{{"cpu":{cpu},"memMb":{mem_mb},"gpu":0}},"labels":["a","{rack}"],"clockMs":{},"seq":{seq}}}"#,
            self.clock_ms()
        );
        let target = format!("/standin/entry?topic=keyed.servers&key={id}");
        http::call(*store, "PUT", &target, &[], entry.as_bytes(), Duration::from_secs(1));
    }

    fn end(&self, state: &mut State, task: String, how: &'static str) {
        let Some(running) = state.running.remove(&task) else { return };
        state.last_end += 1;
        self.note(&format!("end N={} {task} run={} {how}", state.last_end, running.run));
        let over = state.over.entry(task.clone()).or_default();
        *over = running.run.max(*over);
        state.ended.push((state.last_end, task, running.run, how));
    }

    fn advance(&self, state: &mut State) {
        let lapsed = self.clock_ms() > state.lease_until_ms;
        let over: Vec<(String, bool)> = state
            .running
            .iter()
            .map(|(task, running)| (task.clone(), running.started.elapsed() >= running.work))
            .filter(|(_, done)| *done || lapsed)
            .collect();
        for (task, done) in over {
            self.end(state, task, if done { "done" } else { "lapsed" });
        }
    }

    fn handle(&self, request: &Request) -> Response {
        if request.path == "/health" {
            return Response::json(200, "{}".to_owned());
        }
        let expected = request.headers.get("expected-instance");
        if expected.is_some_and(|id| *id != self.config.id) {
            return Response::json(421, "{}".to_owned());
        }
        let Some(body) = json::parse(&request.body) else {
            return Response::json(400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let fence = body.number("fenceToken").unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        if let Some(until) = body.number("untilMs") {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            let is_late = request.path == "/api/run-start" && until <= self.clock_ms();
            if is_late {
                return self.refuse("late");
            }
            state.lease_until_ms = state.lease_until_ms.max(until.min(longest));
        }
        match request.path.as_str() {
            "/api/run-start" => self.start(&mut state, &body),
            "/api/run-stop" => self.stop(&mut state, &body),
            "/api/hold" => {
                let observed = body.number("observed").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > observed);
                drop(state);
                self.hold(body.number("waitMs").unwrap_or(0).min(2_000))
            }
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> Response {
        Response::json(409, format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock_ms()))
    }

    fn agree(&self) -> Response {
        Response::json(200, format!(r#"{{"clockMs":{}}}"#, self.clock_ms()))
    }

    fn start(&self, state: &mut State, body: &Value) -> Response {
        let (task, run) = (body.text("task").to_owned(), body.number("run").unwrap_or(0));
        if state.running.get(&task).is_some_and(|running| running.run == run) {
            return self.agree();
        }
        if state.over.get(&task).is_some_and(|over| run <= *over) {
            return self.refuse("old");
        }
        let work = Duration::from_millis(body.text("spec").parse().unwrap_or(1_000));
        self.note(&format!("start {task} run={run} fence={}", state.fence));
        state.running.insert(task, Running { run, started: Instant::now(), work });
        self.agree()
    }

    fn stop(&self, state: &mut State, body: &Value) -> Response {
        let (task, run) = (body.text("task").to_owned(), body.number("run").unwrap_or(0));
        if state.running.get(&task).is_some_and(|running| running.run == run) {
            self.end(state, task, "stopped");
            return self.agree();
        }
        let over = state.over.entry(task).or_default();
        *over = run.max(*over);
        self.agree()
    }

    fn hold(&self, wait_ms: u64) -> Response {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            if !state.ended.is_empty() || Instant::now() >= until {
                let running: Vec<String> =
                    state.running.iter().map(|(task, running)| row(task, running)).collect();
                let ended: Vec<String> = state
                    .ended
                    .iter()
                    .take(MAX_ENDS)
                    .map(|(number, task, run, how)| {
                        format!(r#"[{number},"{task}",{run},"{how}",""]"#)
                    })
                    .collect();
                return Response::json(
                    200,
                    format!(
                        r#"{{"clockMs":{},"running":[{}],"ended":[{}]}}"#,
                        self.clock_ms(),
                        running.join(","),
                        ended.join(",")
                    ),
                );
            }
            drop(state);
            std::thread::sleep(STEP);
        }
    }
}

fn row(task: &str, running: &Running) -> String {
    let done = running.started.elapsed().as_secs_f64() / running.work.as_secs_f64().max(0.001);
    format!(r#"["{task}",{},"",{},0]"#, running.run, (done * 100.0).min(100.0) as u64)
}
