//! Gauges of the failure domain, updated from the state machine at intervals.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::{Clock, Instant, Unix};
use crate::entry::controller::Handle;
use crate::entry::views;
use crate::owner::active::Active;
use crate::owner::machine::Machine;
use crate::owner::record::AttemptState;
use crate::owner::table::Job;
use crate::resource::Amount;
use crate::telemetry::{Recorder, names};

/// Pause between two updates. An update iterates over all jobs.
const PAUSE: Duration = Duration::from_secs(10);

/// Updates the gauges at intervals until the controller ends. Also runs the recorder's upkeep, so
/// that its memory stays bounded even if it is never scraped.
pub async fn update_periodically(recorder: Rc<Recorder>, handle: Handle, clock: Rc<dyn Clock>) {
    while handle.inspect(set).await.is_some() {
        recorder.upkeep();
        clock.sleep(PAUSE).await;
    }
}

/// Sets every gauge of the failure domain from its state machine.
pub fn set(machine: &Machine, now: Instant, unix: Unix) {
    let state = views::status(machine, now);
    names::OWNER.set(f64::from(u8::from(machine.is_owner())), &[]);
    names::OWNER_TERM.set(state.epoch.term as f64, &[]);
    names::JOBS_WAITING.set(state.load.waiting_jobs as f64, &[]);
    names::OLDEST_WAIT.set(oldest_wait(machine, unix).as_secs_f64(), &[]);
    names::TASKS.set(state.load.pending_tasks as f64, &[("state", "pending")]);
    names::TASKS.set(state.load.running_tasks as f64, &[("state", "running")]);
    names::TASKS.set(state.load.uncertain_tasks as f64, &[("state", "uncertain")]);
    names::WORKERS.set(f64::from(state.workers.live), &[("state", "live")]);
    names::WORKERS.set(f64::from(state.workers.draining), &[("state", "draining")]);
    names::WORKERS.set(f64::from(state.workers.unreachable), &[("state", "unreachable")]);
    names::WORKERS.set(f64::from(state.workers.unfenced), &[("state", "unfenced")]);
    set_packing(views::active(machine).ok());
}

/// Longest time that a job without a placed task has waited.
fn oldest_wait(machine: &Machine, unix: Unix) -> Duration {
    let waits = |job: &&Job| job.tasks.iter().all(|task| task.state == AttemptState::Pending);
    let waiting = machine.replica.table.jobs().filter(waits);
    let accepted = waiting.map(|job| job.accepted).min();
    accepted.map(|accepted| unix.since(accepted)).unwrap_or_default()
}

fn set_packing(active: Option<&Active>) {
    let workers = active.map(views::workers).unwrap_or_default();
    let sum = |part: fn(&crate::api::view::worker::Worker) -> Amount| {
        workers.iter().map(part).fold(Amount::ZERO, |sum, amount| sum.saturating_add(&amount))
    };
    let (reserved, capacity) = (sum(|worker| worker.reserved), sum(|worker| worker.capacity));
    let dimensions = [
        ("processor", reserved.cpu_millis, capacity.cpu_millis),
        ("memory", reserved.memory_mib, capacity.memory_mib),
        ("accelerator", reserved.accelerators, capacity.accelerators),
    ];
    for (resource, reserved, capacity) in dimensions {
        let share = if capacity == 0 { 0.0 } else { reserved as f64 / capacity as f64 };
        names::PACKING.set(share, &[("resource", resource)]);
    }
}
