//! What operators see of a running daemon: its log lines, metrics and refusal of bad settings.

#[path = "../support/file.rs"]
mod file;

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;

use serde_json::{Value, json};
use ureq::http::Method;

use crate::harness::{Cluster, Place, Plan, eventually, get, request, settings};

use file::smallest;

const ENTRY: &str = env!("CARGO_BIN_EXE_oriolefork-entry");
const TOKEN: &str = "a-secret-that-must-never-show";

fn cluster(entries: usize) -> Cluster {
    let settings = json!({
        "operators": {"token": TOKEN},
        "services": [{"name": "portal", "token": format!("{TOKEN}-of-portal")}],
        "logging": {"level": "trace"},
    });
    Plan { entries, workers: 1, settings, ..Plan::default() }.start()
}

fn write(name: &str, settings: &Value) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, settings.to_string()).expect("write settings");
    path
}

// An operator sends a dump and a log to a colleague to ask for help. Were a token in either, the
// colleague, the mail service and the archive would all hold the key to the cluster.
#[test]
fn running_daemon_shows_itself_but_no_secret() {
    let cluster = cluster(1);
    let entry = &cluster.entries[0];
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let asked =
        |path| request(Method::GET, entry.place.api, path, &headers, b"").expect("an answer");

    let metrics = eventually("the log is in the metrics", || {
        let text = String::from_utf8(asked("/metrics").body.clone()).expect("text");
        text.contains("oriolefork_log_reads_total").then_some(text)
    });
    let expected = [
        "process_cpu_seconds_total ",
        "process_resident_memory_bytes ",
        "oriolefork_owner ",
        "oriolefork_jobs_waiting 0",
        "oriolefork_packing_ratio{resource=\"memory\"} ",
        "oriolefork_api_requests_total{route=\"ready\",status=\"2xx\"} ",
    ];
    for name in expected {
        assert!(metrics.contains(name), "{name} is not in\n{metrics}");
    }

    let parts: Value = asked("/dump").json();
    for part in ["instance", "owner", "settings", "standings", "instances", "requests", "intents"] {
        assert!(!parts[part].is_null(), "{part} is not in {parts}");
    }
    let dump = parts.to_string();
    let output = entry.process.output();
    assert!(!dump.contains(TOKEN), "a secret in the dump");
    assert!(!output.contains(TOKEN), "a secret in the log");
    let lines = output.lines().filter(|line| line.starts_with("ts="));
    let formed = lines.filter(|line| line.contains(" level=") && line.contains(" event=")).count();
    assert!(formed > 0, "{output}");
}

#[test]
fn running_daemon_has_one_thread() {
    let cluster = cluster(1);
    let tasks = format!("/proc/{}/task", cluster.entries[0].process.pid());
    assert_eq!(fs::read_dir(tasks).expect("a process").count(), 1);
}

#[test]
fn operators_need_their_token() {
    let cluster = cluster(1);
    let api = cluster.entries[0].place.api;
    let asked = |token: &str| {
        let bearer = format!("Bearer {token}");
        let headers = [("authorization", bearer.as_str())];
        request(Method::GET, api, "/dump", &headers, b"").expect("an answer").status
    };
    assert_eq!(get(api, "/dump").expect("an answer").status, 401);
    assert_eq!(asked("another"), 401);
    assert_eq!(asked(TOKEN), 200);
}

fn start_with_reader(cluster: &Cluster, place: &Place) -> Child {
    let settings = settings(place, cluster.platform(&place.domain), &[]);
    let path = write(&format!("observe-{}.json", place.api.ip()), &settings);
    let mut command = Command::new(ENTRY);
    command.arg("--settings").arg(path).args(["--set", "logging.level=trace"]);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command.spawn().expect("start a daemon")
}

// The collector that reads the daemons' log lines is restarted by its own operators. Each daemon's
// next line then fails with a broken pipe. Were that to end the process, one restarted collector
// would take every scheduler down at once.
#[test]
fn daemon_outlives_the_reader_of_its_log() {
    let cluster = cluster(0);
    let place = Place::new("oamaru-hall-0".to_owned(), "oamaru-hall".to_owned());
    let mut daemon = start_with_reader(&cluster, &place);
    let reader = daemon.stderr.take().expect("a pipe");
    let first = thread::spawn(move || BufReader::new(reader).lines().next().is_some());
    assert!(first.join().expect("a reader"), "one line is read, then the reader is gone");
    eventually("the daemon answers", || get(place.api, "/healthz").ok());
    for _ in 0..20 {
        // Each refusal writes a line.
        let refused = request(Method::POST, place.api, "/v1/jobs", &[], b"{}").expect("an answer");
        assert_eq!(refused.status / 100, 4);
    }
    assert!(daemon.try_wait().expect("a child").is_none(), "the daemon still runs");
    daemon.kill().expect("kill a child");
    daemon.wait().expect("wait for a child");
}

fn check(settings: &Value, name: &str, extra: &[&str]) -> Output {
    let path = write(name, settings);
    let mut command = Command::new(ENTRY);
    command.arg("--settings").arg(path).arg("--check-settings").args(extra);
    command.output().expect("run the check")
}

#[test]
fn check_settings_valid() {
    let output = check(&smallest(), "observe-valid.json", &[]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).ends_with(": valid\n"));
}

#[test]
fn check_settings_with_override() {
    let output = check(&smallest(), "observe-override.json", &["--set", "owner.lease_ms=1"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn check_settings_lists_all_problems() {
    let mut settings = smallest();
    settings["owner"] = json!({"lease_s": 20, "claim_timeout_ms": 100});
    settings["addresses"]["peer"] = json!("127.0.0.1:7400");
    let output = check(&settings, "observe-invalid.json", &[]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for path in ["owner.lease_s: ", "owner.claim_timeout_ms: ", "addresses.peer: "] {
        assert!(text.contains(path), "{path} is not in {text}");
    }
}
