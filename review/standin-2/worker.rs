//! Stand-in of a runner: it starts, stops and lists tasks as the pages describe it.
//!
//! A task works for as many milliseconds as its text says (`ms=500`).

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{self, Value};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 10_000;
const STOP_MS: u64 = 100;

struct Task {
    run: u64,
    since: Instant,
    work: Duration,
    stopping: Option<Instant>,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Life {
    number: u32,
    began: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Task>,
    ended: Vec<Ended>,
    last_ended: u64,
    /// Highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    down: bool,
}

impl Life {
    fn new(number: u32) -> Self {
        Self {
            number,
            began: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_ended: 0,
            over: BTreeMap::new(),
            down: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 100_000
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(ended) = self.running.remove(task) else { return };
        self.last_ended += 1;
        let over = self.over.entry(task.to_owned()).or_insert(0);
        *over = (*over).max(ended.run);
        let number = self.last_ended;
        self.ended.push(Ended { number, task: task.to_owned(), run: ended.run, how });
    }
}

pub struct Worker {
    name: String,
    pub address: SocketAddr,
    pub cpu: u64,
    pub mem_mb: u64,
    life: Mutex<Life>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        name: &str,
        cpu: u64,
        mem_mb: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let worker = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("an address"),
            cpu,
            mem_mb,
            life: Mutex::new(Life::new(1)),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let server = worker.clone();
        http::serve(listener, Arc::new(move |request: &Request| server.handle(request)));
        let (ticker, store) = (worker.clone(), store.clone());
        std::thread::spawn(move || ticker.tick(&store));
        worker
    }

    pub fn id(&self) -> String {
        self.id_of(self.life.lock().unwrap().number)
    }

    fn id_of(&self, life: u32) -> String {
        format!("{}-{life:04x}", self.name)
    }

    /// Goes dark for good; its entry expires after three heartbeats without any.
    pub fn vanish(self: &Arc<Self>, store: &Arc<Store>) {
        let id = {
            let mut life = self.life.lock().unwrap();
            life.down = true;
            life.running.clear();
            self.id_of(life.number)
        };
        self.changed.notify_all();
        self.record.note(&format!("worker {id} is lost for good"));
        let store = store.clone();
        std::thread::spawn(move || {
            std::thread::sleep(HEARTBEAT * 3);
            store.put("keyed.servers", &id, "");
        });
    }

    fn tick(&self, store: &Store) {
        let mut next = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(5));
            self.advance();
            if Instant::now() >= next {
                next += HEARTBEAT;
                self.heartbeat(store);
            }
        }
    }

    fn heartbeat(&self, store: &Store) {
        let life = self.life.lock().unwrap();
        if life.down {
            return;
        }
        let entry = format!(
            "{{\"backend\":\"portal\",\"address\":\"{}\",\"zone\":\"hall-1\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{},\
             \"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"labels\":[\"a\",\"rack-1\"]}}",
            self.address,
            life.clock_ms(),
            self.cpu,
            self.mem_mb
        );
        let id = self.id_of(life.number);
        drop(life);
        store.put("keyed.servers", &id, &entry);
    }

    fn advance(&self) {
        let mut life = self.life.lock().unwrap();
        let lapsed = life.lease_until_ms > 0 && life.clock_ms() > life.lease_until_ms;
        let mut over = Vec::new();
        for (name, task) in &life.running {
            let stopped =
                task.stopping.is_some_and(|at| at.elapsed().as_millis() as u64 >= STOP_MS);
            if task.since.elapsed() >= task.work {
                over.push((name.clone(), "done"));
            } else if stopped {
                over.push((name.clone(), "stopped"));
            } else if lapsed {
                over.push((name.clone(), "lapsed"));
            }
        }
        let id = self.id_of(life.number);
        for (name, how) in &over {
            life.end(name, how);
            self.record.ended(&id, name, how);
        }
        drop(life);
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        self.advance();
        let life = self.life.lock().unwrap();
        if life.down {
            return self.stay_dark(life);
        }
        if request.header("expected-instance").is_some_and(|id| id != self.id_of(life.number)) {
            return Response::new(421, "{}");
        }
        let clock_ms = life.clock_ms();
        let Some(body) = json::parse(&request.body) else { return Response::new(400, "{}") };
        let fence = body.number("fenceToken").unwrap_or(0.0) as u64;
        if fence < life.fence {
            return refuse(clock_ms, "fence");
        }
        match request.path.as_str() {
            "/api/run-start" => self.run(life, fence, &body),
            "/api/run-stop" => self.stop(life, fence, &body),
            "/api/hold" => self.hold(life, fence, &body),
            _ => Response::new(404, "{}"),
        }
    }

    /// Leaves a request unanswered and its connection open.
    fn stay_dark(&self, mut life: std::sync::MutexGuard<'_, Life>) -> Option<Response> {
        while life.down {
            life = self.changed.wait(life).unwrap();
        }
        None
    }

    fn run(
        &self,
        mut life: std::sync::MutexGuard<'_, Life>,
        fence: u64,
        body: &Value,
    ) -> Option<Response> {
        life.fence = fence;
        let clock_ms = life.clock_ms();
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return Response::new(400, "{}");
        };
        let (run, until) = (run as u64, body.number("untilMs").unwrap_or(0.0) as u64);
        if until < clock_ms {
            return refuse(clock_ms, "late");
        }
        life.lease_until_ms = life.lease_until_ms.max(until.min(clock_ms + MAX_HOLD_MS));
        if life.running.get(task).is_some_and(|there| there.run == run) {
            return answer(clock_ms);
        }
        if life.over.get(task).is_some_and(|over| run <= *over) || life.running.contains_key(task) {
            return refuse(clock_ms, "old");
        }
        let spec = body.text("spec").unwrap_or_default();
        let work =
            spec.split("ms=").nth(1).and_then(|text| text.split_whitespace().next()?.parse().ok());
        let work = Duration::from_millis(work.unwrap_or(500));
        let began = Task { run, since: Instant::now(), work, stopping: None };
        life.running.insert(task.to_owned(), began);
        self.record.started(&self.id_of(life.number), task, run, fence);
        drop(life);
        self.changed.notify_all();
        answer(clock_ms)
    }

    fn stop(
        &self,
        mut life: std::sync::MutexGuard<'_, Life>,
        fence: u64,
        body: &Value,
    ) -> Option<Response> {
        life.fence = fence;
        let clock_ms = life.clock_ms();
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return Response::new(400, "{}");
        };
        let run = run as u64;
        match life.running.get_mut(task) {
            Some(there) if there.run <= run => {
                there.stopping.get_or_insert(Instant::now());
            }
            Some(_) => {}
            None => {
                let over = life.over.entry(task.to_owned()).or_insert(0);
                *over = (*over).max(run);
            }
        }
        answer(clock_ms)
    }

    fn hold(
        &self,
        mut life: std::sync::MutexGuard<'_, Life>,
        fence: u64,
        body: &Value,
    ) -> Option<Response> {
        let number = life.number;
        life.fence = fence;
        let observed = body.number("observed").unwrap_or(0.0) as u64;
        life.ended.retain(|ended| ended.number > observed);
        if let Some(until) = body.number("untilMs") {
            let most = life.clock_ms() + MAX_HOLD_MS;
            life.lease_until_ms = life.lease_until_ms.max((until as u64).min(most));
        }
        let wait = body.number("waitMs").unwrap_or(0.0).min(2_000.0);
        let until = Instant::now() + Duration::from_millis(wait as u64);
        let before = life.last_ended;
        while life.last_ended == before && !life.down && life.number == number {
            let now = Instant::now();
            if now >= until {
                break;
            }
            life = self.changed.wait_timeout(life, until - now).unwrap().0;
        }
        if life.down || life.number != number {
            return self.stay_dark(life);
        }
        let running: Vec<String> = life
            .running
            .iter()
            .map(|(name, task)| {
                let done = task.since.elapsed().as_secs_f64() / task.work.as_secs_f64().max(0.001);
                let percent = (done * 100.0).min(99.0) as u64;
                format!("[{},{},\"\",{percent},0]", json::quote(name), task.run)
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(500)
            .map(|ended| {
                let task = json::quote(&ended.task);
                format!("[{},{task},{},\"{}\",\"\"]", ended.number, ended.run, ended.how)
            })
            .collect();
        Response::new(
            200,
            format!(
                "{{\"clockMs\":{},\"running\":[{}],\"ended\":[{}]}}",
                life.clock_ms(),
                running.join(","),
                ended.join(",")
            ),
        )
    }
}

fn answer(clock_ms: u64) -> Option<Response> {
    Response::new(200, format!("{{\"clockMs\":{clock_ms}}}"))
}

fn refuse(clock_ms: u64, reason: &str) -> Option<Response> {
    Response::new(409, format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"))
}
