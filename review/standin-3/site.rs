//! A small deployment: processes of the system, the store, and runners, all on loopback addresses.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Client, Server};
use crate::record::Record;
use crate::runner::{Runner, Settings};
use crate::store::{Limits, Store};

/// The command of deploy/system.toml.
const PROGRAM: &str = "target/release/oriolefork-platform";
const ARGUMENTS: [&str; 2] = ["--features", "worker-speeds"];

/// Host and path prefix of the only queue, and the service of its runners.
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/portal/";
const SERVICE: &str = "portal";

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Limits of the store, as the settings of the system state them; the time for which it keeps records
/// is 20 s by the sheets, 300 s by the example of the settings.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// Memory that a process may use.
const MEMORY_MB: u64 = 260;

/// Delay after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Figures of the bounds that the cases use.
const MAX_HOLD_MS: u64 = 10_000;

pub struct Site {
    pub record: Arc<Record>,
    store: Arc<Store>,
    store_server: Server,
    store_address: SocketAddr,
    folder: PathBuf,
    instances: Vec<Instance>,
    runners: Arc<Mutex<BTreeMap<String, (Arc<Runner>, Server)>>>,
    next_runner: u64,
    over: Arc<AtomicBool>,
}

struct Instance {
    name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
    restart_at: Instant,
    ends: u32,
}

impl Site {
    /// Starts the store, which keeps records for `keep_s` seconds, and `instances` processes of the
    /// system.
    pub fn start(instances: usize, keep_s: u64, record: Arc<Record>) -> io::Result<Self> {
        let keep = Duration::from_secs(keep_s);
        let limits = Limits { keep, record_bytes: RECORD_BYTES, call_bytes: CALL_BYTES };
        let store = Arc::new(Store::new(limits));
        store.write_keyed("keyed.op", "config", &configuration());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store_address = listener.local_addr()?;
        let answering = store.clone();
        let store_server =
            Server::start(listener, Arc::new(move |request| answering.answer(request)))?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut site = Self {
            record,
            store,
            store_server,
            store_address,
            folder,
            instances: Vec::new(),
            runners: Arc::default(),
            next_runner: 0,
            over: Arc::default(),
        };
        site.send_heartbeats();
        for number in 0..instances {
            let instance = site.configure(number, keep_s)?;
            site.instances.push(instance);
            site.start_instance(number)?;
        }
        Ok(site)
    }

    /// Writes each runner's entry at intervals, and drops that of a runner that is gone.
    fn send_heartbeats(&self) {
        let (store, runners, over) = (self.store.clone(), self.runners.clone(), self.over.clone());
        thread::spawn(move || {
            let mut silent: BTreeMap<String, u32> = BTreeMap::new();
            for sequence in 1.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                for (id, (runner, _)) in runners.lock().unwrap().iter() {
                    if !runner.is_gone() {
                        store.write_keyed("keyed.servers", id, &runner.entry(sequence));
                        continue;
                    }
                    let silent = silent.entry(id.clone()).or_default();
                    *silent += 1;
                    if *silent == 3 {
                        store.write_keyed("keyed.servers", id, "");
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn configure(&self, number: usize, keep_s: u64) -> io::Result<Instance> {
        // Addresses of its own for each run, so that runs beside each other take no ports from each other.
        let run = std::process::id();
        let ip = format!("127.{}.{}.{}", 100 + run / 256 % 100, run % 256, 11 + number);
        let port = || free_address(&ip);
        let (front, ready, peer) = (port()?, port()?, port()?.port());
        let ports = format!("[{peer},{}]", peer.saturating_add(1));
        let name = format!("frontend-{number}");
        let zones = ["oamaru-hall", "kurow-hall", "palmerston-hall"];
        let zone = zones[number % zones.len()];
        let settings = format!(
            r#"{{
  "node": "{name}", "role": "entry", "class": "frontend", "serves": ["frontend"],
  "ip": "{ip}", "zone": "{zone}", "region": "otago",
  "zones": {{"oamaru-hall": "otago", "kurow-hall": "otago", "palmerston-hall": "otago"}},
  "listen": {{"front": "{front}", "ready": "{ready}"}},
  "internalPorts": {ports}, "seeds": [], "bootstrap": true, "faultCounted": true,
  "limits": {{"cpuShare": 0.25, "cores": 1, "memoryMb": {MEMORY_MB}, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}},
  "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
  "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
  "faultTolerance": {{"machines": 2, "zones": 1, "regions": 0}},
  "bounds": {{"contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "recoveryS": 12, "maxHoldMs": {MAX_HOLD_MS}, "stopTimeoutMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120}},
  "orders": "rpc",
  "platform": {{"address": "{}", "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 32, "appendMs": 2.0, "partMbS": 20.0, "readMbS": 80.0, "recordBytes": {RECORD_BYTES}, "callBytes": {CALL_BYTES}, "keep_s": {keep_s}, "partMb": 200, "minTtlMs": 1000}}
}}
"#,
            self.store_address
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let restart_at = Instant::now();
        Ok(Instance { name, front, ready, settings: path, process: None, restart_at, ends: 0 })
    }

    /// Starts the process of an instance.
    pub fn start_instance(&mut self, number: usize) -> io::Result<()> {
        let instance = &mut self.instances[number];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", instance.name)))?;
        let process = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("ORIOLEFORK_CONFIG", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(&format!("start {} pid {}", instance.name, process.id()));
        instance.process = Some(process);
        Ok(())
    }

    /// Kills the process of an instance.
    pub fn kill_instance(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        if let Some(mut process) = instance.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.note(&format!("kill {} pid {}", instance.name, process.id()));
        }
    }

    /// Stops the process of an instance as planned: SIGTERM, and SIGKILL after `grace`.
    pub fn stop_instance(&mut self, number: usize, grace: Duration) -> io::Result<()> {
        let instance = &mut self.instances[number];
        let Some(process) = &mut instance.process else { return Ok(()) };
        Command::new("sh").args(["-c", &format!("kill -TERM {}", process.id())]).status()?;
        self.record.note(&format!("SIGTERM to {} pid {}", instance.name, process.id()));
        let until = Instant::now() + grace;
        while process.try_wait()?.is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill_instance(number);
        Ok(())
    }

    /// Sends a signal, STOP or CONT, to the process of an instance.
    pub fn signal_instance(&self, number: usize, signal: &str) -> io::Result<()> {
        let instance = &self.instances[number];
        let Some(process) = &instance.process else { return Ok(()) };
        Command::new("sh").args(["-c", &format!("kill -{signal} {}", process.id())]).status()?;
        self.record.note(&format!("SIG{signal} to {} pid {}", instance.name, process.id()));
        Ok(())
    }

    /// The instance that said last in its log that it begins as the owner.
    pub fn owner(&self) -> Option<usize> {
        let begun = |instance: &Instance| {
            let path = self.folder.join(format!("{}.log", instance.name));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            let line = log.lines().filter(|line| line.contains("event=owner.begin ")).last();
            line.map(str::to_owned)
        };
        let all = self.instances.iter().map(begun).enumerate();
        all.filter_map(|(number, line)| Some((line?, number))).max().map(|(_, number)| number)
    }

    /// Does what the platform does: kills a process that exceeds its memory, and starts a process that
    /// was killed or has ended again after a short delay.
    pub fn keep_instances(&mut self) -> io::Result<()> {
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            let Some(process) = &mut instance.process else {
                if Instant::now() >= instance.restart_at {
                    self.start_instance(number)?;
                }
                continue;
            };
            let ended = process.try_wait()?.is_some();
            let memory_kb = memory_kb(process.id(), "VmRSS:");
            if ended || memory_kb > MEMORY_MB * 1024 {
                let what = format!("{} has ended {ended}, memory {memory_kb} kB", instance.name);
                self.record.note(&what);
                self.kill_instance(number);
                let instance = &mut self.instances[number];
                instance.restart_at = Instant::now() + RESTART_DELAY;
                instance.ends += 1;
            }
        }
        Ok(())
    }

    /// Number of times that the process of each instance has ended.
    pub fn ends(&self) -> Vec<u32> {
        self.instances.iter().map(|instance| instance.ends).collect()
    }

    /// Waits until all instances are ready; returns whether they are.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let timeout = Duration::from_secs(1);
        self.instances.iter().all(|instance| {
            while Instant::now() < until {
                let answer =
                    Client::new(instance.ready, HOST).call("GET", "/api/ready", "", timeout);
                if answer.is_some_and(|(status, _)| status == 200) {
                    self.record.note(&format!("{} is ready", instance.name));
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// A client of an instance.
    pub fn client(&self, number: usize) -> Client {
        Client::new(self.instances[number].front, HOST)
    }

    /// Starts a runner with this capacity and returns its ID.
    pub fn add_runner(&mut self, cpu: u64, mem_mb: u64) -> io::Result<String> {
        self.next_runner += 1;
        let id = format!("s-{:04x}", self.next_runner);
        let settings = Settings {
            id: id.clone(),
            service: SERVICE.to_owned(),
            rack: format!("r1-{}", self.next_runner % 3),
            zone: "oamaru-hall".to_owned(),
            cpu,
            mem_mb,
            max_hold_ms: MAX_HOLD_MS,
        };
        let (runner, server) =
            Runner::start(settings, SocketAddr::from(([127, 0, 0, 1], 0)), self.record.clone())?;
        self.store.write_keyed("keyed.servers", &id, &runner.entry(0));
        self.record.note(&format!("runner {id} at {} is there", runner.address));
        self.runners.lock().unwrap().insert(id.clone(), (runner, server));
        Ok(id)
    }

    /// Notes the peak memory of each instance.
    pub fn note_memory(&self) {
        for instance in &self.instances {
            let Some(process) = &instance.process else { continue };
            let peak_kb = memory_kb(process.id(), "VmHWM:");
            self.record.note(&format!("{} peak memory {peak_kb} kB", instance.name));
        }
    }

    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// Copies the logs of the instances beside the record, for a look at them.
    pub fn keep_logs(&self, to: &Path) {
        for instance in &self.instances {
            let name = format!("{}.log", instance.name);
            let _ = std::fs::copy(self.folder.join(&name), to.join(&name));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        for number in 0..self.instances.len() {
            self.kill_instance(number);
        }
        for (runner, server) in self.runners.lock().unwrap().values() {
            runner.end();
            server.stop();
        }
        self.store_server.stop();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A figure of the memory of a process, 0 if it cannot be read.
fn memory_kb(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let figure = line.and_then(|line| line.split_whitespace().next());
    figure.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

fn free_address(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind(format!("{ip}:0"))?.local_addr()
}

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"portal-jobs","host":"{HOST}","pathPrefix":"{PREFIX}","backend":"{SERVICE}","priority":1,"attempts":2,"stretch":2.2,"targetLatencyMs":1000}}],"services":[{{"name":"{SERVICE}","enforcesCapacity":false}}],"limits":{{}}}}"#
    )
}
