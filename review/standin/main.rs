//! Stand-ins and drivers of the review's scripts: a store, a runner, and one driver a case.

mod cut;
mod history;
mod http;
mod json;
mod proxy;
mod runner;
mod site;
mod store;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Exit code of a case that could not run.
const UNABLE: i32 = 2;

fn main() {
    let code = std::panic::catch_unwind(run).unwrap_or(UNABLE);
    std::process::exit(code);
}

/// Runs the stand-in or the case that the arguments name; returns the exit code.
fn run() -> i32 {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let address = |at: usize| -> SocketAddr {
        words.get(at).and_then(|text| text.parse().ok()).unwrap_or_else(|| site::unable("usage"))
    };
    let text = |at: usize| words.get(at).cloned().unwrap_or_else(|| site::unable("usage"));
    match words.first().map(String::as_str) {
        Some("store") => {
            let keep = Duration::from_secs(text(2).parse().unwrap_or(300));
            let store = store::Store::new(keep);
            end_with_parent();
            http::serve(address(1), Arc::new(move |request| store.handle(request)));
            UNABLE
        }
        Some("runner") => {
            end_with_parent();
            runner::run(runner::Config {
                listen: address(1),
                address: address(2),
                store: address(3),
                id: text(4),
                service: text(5),
                zone: text(6),
                rack: text(7),
                cpu: 16_000,
                mem_mb: 65_536,
                record: text(8),
            });
            UNABLE
        }
        Some("cut") => cut::run(PathBuf::from(text(1)), is_troubled()),
        Some("history") => history::run(PathBuf::from(text(1)), is_troubled()),
        _ => site::unable("usage: standin store|runner|CASE ..."),
    }
}

/// Ends this process once the one that started it has ended.
fn end_with_parent() {
    let parent = std::os::unix::process::parent_id();
    std::thread::spawn(move || {
        while std::os::unix::process::parent_id() == parent {
            std::thread::sleep(Duration::from_millis(200));
        }
        std::process::exit(0);
    });
}

/// Whether the case brings its disruption about.
fn is_troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
