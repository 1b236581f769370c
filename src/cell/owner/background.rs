//! Tasks that run beside the owner's state machine and send it messages.

use std::time::Duration;

use super::{OwnerTask, cell_of};
use crate::cell::Id;
use crate::cell::activity::OwnerActivity;
use crate::cell::dependencies::RosterUpdate;
use crate::cell::dependency_status::DependencyStatus;
use crate::cell::learned::Record;
use crate::cell::machine::{Message, StoreHealth};
use crate::cell::overload::{OverloadDetector, SAMPLE_INTERVAL};
use crate::cell::timings::{LEARNED_INTERVAL, ROSTER_INTERVAL};

/// Time until the end of the list has been read from which the read is logged.
const SLOW_READ: Duration = Duration::from_secs(1);

impl OwnerTask {
    /// Saves what the owner has learned at intervals, if it has changed and the store is healthy.
    pub(super) fn save_learned(&self) {
        if !self.machine.timings.features.any_learned() {
            return;
        }
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        let (cell, ended) = (self.cell, self.ended.clone());
        monoio::spawn(async move {
            let mut saved = Record::default();
            let mut status = DependencyStatus::new("learned");
            loop {
                deps.clock.sleep(LEARNED_INTERVAL).await;
                if ended.get() {
                    return;
                }
                let learned = handle.inspect(|machine, now| {
                    let is_healthy = machine.store_health(now) == StoreHealth::Good;
                    is_healthy.then(|| machine.learned_record())
                });
                let Some(Some(record)) = learned.await else { continue };
                if record == saved {
                    continue;
                }
                let Ok(bytes) = record.encode() else { continue };
                let save = deps.journal.save_learned(cell, bytes);
                match deps.profiler.measure(OwnerActivity::Append, save).await {
                    Ok(()) => {
                        status.record_success();
                        saved = record;
                    }
                    Err(cause) => status.record_failure(&cause),
                }
            }
        });
    }

    pub(super) fn report_activities(&self) {
        let ended = self.ended.clone();
        monoio::spawn(self.profiler.clone().report_periodically(self.cell, move || !ended.get()));
    }

    /// Measures how late the thread's timers fire, and tells the machine when it is overloaded.
    pub(super) fn watch_load(&self) {
        let (handle, ended, cell) = (self.handle.clone(), self.ended.clone(), self.cell);
        let clock = self.deps.clock.clone();
        monoio::spawn(async move {
            let mut detector = OverloadDetector::default();
            while !ended.get() {
                let due = clock.now().after(SAMPLE_INTERVAL);
                clock.sleep(SAMPLE_INTERVAL).await;
                let lateness = clock.now().since(due);
                if detector.record(lateness) {
                    let overloaded = detector.is_overloaded();
                    log::warn!(
                        "event=owner.overload cell={cell} overloaded={overloaded} late_ms={}",
                        lateness.as_millis()
                    );
                    handle.send(Message::Overloaded(overloaded));
                }
            }
        });
    }

    /// Reads the list of workers while the task runs.
    pub(super) fn follow_roster(&self) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        let (cell, cells, ended) = (self.cell, self.cells, self.ended.clone());
        deps.discovery.reset();
        monoio::spawn(async move {
            let mut list = DependencyStatus::new("roster");
            // The pages of a long list count as old as the first of them.
            let mut first_sent = None;
            while !ended.get() {
                let sent = *first_sent.get_or_insert(deps.clock.now());
                match deps
                    .profiler
                    .measure(OwnerActivity::List, deps.discovery.roster_update())
                    .await
                {
                    Ok(mut roster) => {
                        roster.sent = Some(sent);
                        list.record_success();
                        let has_more = roster.has_more;
                        handle.send(Message::WorkersChanged(retain_cell(roster, cell, cells)));
                        if has_more {
                            continue;
                        }
                        let took = deps.clock.now().since(sent);
                        if took > SLOW_READ {
                            let took_ms = took.as_millis();
                            log::info!("event=roster.read_slowly cell={cell} took_ms={took_ms}");
                        }
                        first_sent = None;
                    }
                    Err(cause) => {
                        first_sent = None;
                        list.record_failure(&cause);
                    }
                }
                deps.clock.sleep(ROSTER_INTERVAL).await;
            }
        });
    }
}

fn retain_cell(mut roster: RosterUpdate, cell: Id, cells: u32) -> RosterUpdate {
    roster.changed.retain(|(_, listed)| cell_of(listed, cells) == cell);
    roster
}
