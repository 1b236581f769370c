//! What the stories of the transport share.

use std::future::Future;
use std::time::Duration;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Long enough for any step on a busy machine; reached only by a failing test.
pub const GENEROUS: Duration = Duration::from_secs(20);

/// An address at which nobody listens: its port is given out to no one.
pub const UNUSED: &str = "127.0.0.1:1";

/// Runs `future` on a runtime of its own.
pub fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(future)
}
