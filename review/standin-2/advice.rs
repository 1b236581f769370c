//! Stand-in of the advice service: one call at a time for each calling machine, in turn.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Request, Response};
use crate::json::{self, Value};
use crate::record::Record;

pub const DECIDE_MS: u64 = 410;
pub const PER_WORKER_MS: u64 = 6;

/// Calls of one machine that may wait.
const MAX_WAITING: usize = 32;

/// One worker of this many may run a step.
const ELIGIBLE: u64 = 4;

/// Serves the calls of one machine.
pub fn serve(record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (turn, waiting) = (Mutex::new(()), AtomicUsize::new(0));
    let record = record.clone();
    let handler = move |request: &Request| {
        if waiting.fetch_add(1, Ordering::SeqCst) >= MAX_WAITING {
            waiting.fetch_sub(1, Ordering::SeqCst);
            return Response::new(429, "{}");
        }
        let answer = {
            let _turn = turn.lock().unwrap();
            advise(request, &record)
        };
        waiting.fetch_sub(1, Ordering::SeqCst);
        answer
    };
    http::serve(listener, Arc::new(handler));
    address
}

fn advise(request: &Request, record: &Record) -> Option<Response> {
    let Some(body) = json::parse(&request.body) else { return Response::new(400, "{}") };
    let step = body.text("step").unwrap_or_default().to_owned();
    let workers = match body.get("workers") {
        Some(Value::List(workers)) => workers.clone(),
        _ => Vec::new(),
    };
    std::thread::sleep(Duration::from_millis(DECIDE_MS + PER_WORKER_MS * workers.len() as u64));
    let names = workers.iter().filter_map(|worker| match worker {
        Value::Text(name) => Some(name.as_str()),
        _ => None,
    });
    let allowed: Vec<&str> = names.filter(|name| is_eligible(&step, name)).collect();
    record.note_kind("advice", &format!("{step}: {} of {}", allowed.len(), workers.len()));
    let rows = allowed.iter().map(|name| format!("[{},\"t\"]", json::quote(name)));
    let rows: Vec<String> = rows.collect();
    Response::new(200, format!("{{\"eligible\":[{}]}}", rows.join(",")))
}

/// Whether a worker may run a step, which never changes.
fn is_eligible(step: &str, worker: &str) -> bool {
    let job = step.split('.').next().unwrap_or_default();
    let text = job.bytes().chain(worker.bytes());
    let hash = text.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash >> 20) % ELIGIBLE == 0
}
