//! Starts real processes, breaks the network between them and looks into them.

#![allow(dead_code, reason = "each story uses the parts that it needs")]

mod address;
mod cluster;
mod entry;
mod process;
mod web;

pub use cluster::{Cluster, Plan};
pub use entry::{Entry, Place, Platform, settings};
pub use process::Standin;
pub use web::{Reply, get, get_json, post, post_json, request};

use std::future::Future;
use std::thread;
use std::time::{Duration, Instant};

use monoio::{LegacyDriver, RuntimeBuilder};

/// Time after which a condition that should come about is given up.
pub const LIMIT: Duration = Duration::from_secs(60);

const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Probes until something is found; panics with `what` after [`LIMIT`].
pub fn eventually<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(start.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        thread::sleep(POLL_PAUSE);
    }
}

/// Runs a future of the library on a runtime of its own.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    builder.enable_timer().build().expect("runtime").block_on(future)
}
