//! The owner's state for one worker: fencing, lease and pending commands.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::domain::Epoch;
use crate::owner::Timings;
use crate::resource::Amount;
use crate::task;
use crate::worker::{Command, Error, Exchange, Fault, Observation, Report};

/// Maximum number of commands in one exchange.
const MAX_COMMANDS: usize = 64;

/// Which of the two concurrent calls to a worker an exchange belongs to.
///
/// The worker delays its answer to a watch until something changes, so commands are sent in a
/// separate call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// Renews the leases and waits for changes.
    Watch,
    /// Carries commands.
    Command,
}

/// An exchange to send.
#[derive(Clone, Debug)]
pub struct ExchangeRequest {
    /// Call that carries the exchange.
    pub channel: Channel,
    /// Address of the worker.
    pub address: SocketAddr,
    /// The exchange to send.
    pub exchange: Exchange,
}

/// Summary of a report from a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportSummary {
    /// The report is a full one: the worker was unfenced, unreachable or restarted before.
    pub resynced: bool,
    /// The worker process was replaced; everything that ran in the previous one is gone.
    pub restarted: bool,
    /// Tasks that changed, or all of them when `resynced`.
    pub tasks: Vec<Observation>,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct Session {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Rack of the worker.
    pub rack: String,
    /// Whether the instance list marks it as leaving or no longer contains it.
    pub leaving: bool,
    /// Its total resources; zero before the first report.
    pub capacity: Amount,
    /// Run number of the last worker process that reported; zero before the first report.
    pub run: u64,
    /// Tasks that hold resources there, according to its reports.
    pub running: BTreeMap<task::Id, Observation>,
    fenced: bool,
    /// Whether the worker has sent a full report in this epoch, or certainly runs nothing any more.
    reported: bool,
    last_sequence: u64,
    leased_at: Option<Instant>,
    failing_since: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
    outbox: VecDeque<Command>,
    /// Number of commands at the head of the outbox that the current call carries.
    commands_in_flight: usize,
    /// Whether a call with commands is in flight.
    command_call_in_flight: bool,
    watch_call_in_flight: bool,
    deliveries: BTreeMap<task::Id, Delivery>,
    /// Ended tasks that the worker still reports.
    reported_ended: BTreeSet<task::Id>,
    /// Starts that the current command call sends for the first time.
    first_sends: Vec<task::Id>,
}

/// Whether a start command may have reached the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    NotSent,
    MaybeSent,
}

impl Session {
    /// Creates the session of a worker that was not reached in this epoch.
    pub fn new(address: SocketAddr, rack: &str) -> Self {
        Self {
            address,
            rack: rack.to_owned(),
            leaving: false,
            capacity: Amount::ZERO,
            run: 0,
            running: BTreeMap::new(),
            fenced: false,
            reported: false,
            last_sequence: 0,
            leased_at: None,
            failing_since: None,
            failures: 0,
            retry_at: None,
            outbox: VecDeque::new(),
            commands_in_flight: 0,
            command_call_in_flight: false,
            watch_call_in_flight: false,
            deliveries: BTreeMap::new(),
            reported_ended: BTreeSet::new(),
            first_sends: Vec::new(),
        }
    }

    /// Whether the worker refuses earlier owners and has sent this one a full report.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Requests a full report with the next exchange; no tasks are placed on the worker until then.
    pub fn resync(&mut self) {
        self.fenced = false;
    }

    /// Whether the start of `task` is still to be sent or confirmed.
    pub fn is_starting(&self, task: task::Id) -> bool {
        self.outbox.iter().any(|command| is_start_of(command, task))
    }

    /// Whether it is known which tasks earlier owners left on the worker.
    pub fn has_reported(&self) -> bool {
        self.reported
    }

    /// Whether new tasks may be placed on the worker.
    pub fn is_open(&self) -> bool {
        self.fenced && self.failing_since.is_none() && !self.leaving
    }

    /// Time since which calls to the worker have failed.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing_since
    }

    /// Queues a command. It is repeated until the worker confirms it.
    pub fn push(&mut self, command: Command) {
        if let Command::Start { task, .. } = &command {
            // A repeated start may have reached the worker the first time, so an existing state is
            // kept.
            self.deliveries.entry(*task).or_insert(Delivery::NotSent);
        }
        self.outbox.push_back(command);
    }

    /// Whether the start of `task` has certainly not reached the worker.
    pub fn is_unsent(&self, task: task::Id) -> bool {
        self.deliveries.get(&task) == Some(&Delivery::NotSent)
    }

    /// Withdraws the start of `task` if it has certainly not reached the worker. Returns whether it
    /// did.
    pub fn withdraw_start(&mut self, task: task::Id) -> bool {
        let unsent = self.is_unsent(task);
        if unsent {
            self.deliveries.remove(&task);
            self.outbox.retain(
                |command| !matches!(command, Command::Start { task: id, .. } if *id == task),
            );
        }
        unsent
    }

    /// Exchanges to send now.
    pub fn poll(&mut self, now: Instant, epoch: Epoch, timings: &Timings) -> Vec<ExchangeRequest> {
        let mut requests = Vec::new();
        let backing_off = self.retry_at.is_some_and(|at| now < at);
        // A watch that acknowledges a later report than a command call in flight would overtake it,
        // and the worker would answer the command call without applying its commands.
        if !self.watch_call_in_flight && !backing_off && !self.command_call_in_flight {
            requests.push(self.watch_request(now, epoch, timings));
        }
        let reachable = self.fenced && self.failing_since.is_none();
        // Only one call with commands may be in flight, even if the outbox was emptied meanwhile.
        // Otherwise the failure of an earlier call ("nothing was sent") would be attributed to a
        // later one, and a start that has reached the worker would count as never sent and be
        // placed elsewhere.
        if reachable && !self.command_call_in_flight && !self.outbox.is_empty() {
            requests.push(self.command_request(now, epoch, timings));
        }
        requests
    }

    fn watch_request(&mut self, now: Instant, epoch: Epoch, timings: &Timings) -> ExchangeRequest {
        self.watch_call_in_flight = true;
        let healthy = self.fenced && self.failing_since.is_none();
        let wait = if healthy { timings.exchange_wait } else { Duration::ZERO };
        self.request(Channel::Watch, now, epoch, timings, Vec::new(), wait)
    }

    fn command_request(
        &mut self,
        now: Instant,
        epoch: Epoch,
        timings: &Timings,
    ) -> ExchangeRequest {
        let count = self.outbox.len().min(MAX_COMMANDS);
        self.commands_in_flight = count;
        self.command_call_in_flight = true;
        let commands: Vec<Command> = self.outbox.iter().take(count).cloned().collect();
        for command in &commands {
            if let Command::Start { task, .. } = command {
                let before = self.deliveries.insert(*task, Delivery::MaybeSent);
                if before == Some(Delivery::NotSent) {
                    self.first_sends.push(*task);
                }
            }
        }
        self.request(Channel::Command, now, epoch, timings, commands, Duration::ZERO)
    }

    fn request(
        &mut self,
        channel: Channel,
        now: Instant,
        epoch: Epoch,
        timings: &Timings,
        commands: Vec<Command>,
        wait: Duration,
    ) -> ExchangeRequest {
        let lease = self.lease(now, timings);
        if !lease.is_zero() {
            self.leased_at = Some(now);
        }
        let seen = if self.fenced { self.last_sequence } else { 0 };
        let exchange = Exchange { epoch, lease, commands, seen, wait };
        ExchangeRequest { channel, address: self.address, exchange }
    }

    /// Lease to grant with the next exchange; zero if none is granted.
    ///
    /// No lease is granted before the first report of the worker. A worker counts a lease from the
    /// report that the exchange acknowledges. An exchange that acknowledges none could be delayed
    /// in the network and renew the lease long after it was sent.
    ///
    /// No lease is granted either to a worker that has not answered for half a lease. Each renewal
    /// that may have arrived would postpone the time from which its tasks have certainly stopped,
    /// and a worker that receives calls but cannot answer would keep its tasks forever.
    fn lease(&self, now: Instant, timings: &Timings) -> Duration {
        let unreachable =
            self.failing_since.is_some_and(|since| now.since(since) > timings.lease / 2);
        if unreachable || !self.fenced { Duration::ZERO } else { timings.lease }
    }

    /// Whether every task on the worker has certainly stopped, because no renewal can have kept its
    /// lease.
    ///
    /// The time counts from the last exchange sent that could renew the lease, not from the last
    /// answer: a renewal whose answer was lost has still renewed it.
    pub fn has_lapsed(&self, now: Instant, timings: &Timings) -> bool {
        let unreachable = self.failing_since.is_some();
        let bound = timings.lease + timings.lease_margin;
        unreachable && self.leased_at.is_some_and(|at| now.since(at) > bound)
    }

    /// Whether this owner may have granted a lease to the tasks of the worker.
    pub fn was_leased(&self) -> bool {
        self.leased_at.is_some()
    }

    /// Applies a report of the worker. Returns `None` if it is older than one already applied, or
    /// if a full report is needed first.
    pub fn on_report(&mut self, channel: Channel, report: &Report) -> Option<ReportSummary> {
        self.finish_exchange(channel, true);
        self.failing_since = None;
        self.failures = 0;
        self.retry_at = None;
        self.capacity = report.capacity;
        let restarted = self.run != 0 && self.run != report.run;
        let resynced = !self.fenced || restarted || report.full;
        if self.fenced && !restarted && report.sequence < self.last_sequence {
            return None;
        }
        if resynced && !report.full {
            // A partial report of a new process does not cover the tasks of the old one; request a
            // full report.
            self.fenced = false;
            return None;
        }
        self.fenced = true;
        self.reported = true;
        self.run = report.run;
        self.last_sequence = report.sequence;
        self.apply_report(report, resynced);
        Some(ReportSummary { resynced, restarted, tasks: report.tasks.clone() })
    }

    fn apply_report(&mut self, report: &Report, resynced: bool) {
        if resynced {
            self.running.clear();
            self.reported_ended.clear();
            // Pending commands are derived again from the log and this report. A start that is
            // repeated to a new worker process would run a task that the old process had already
            // run.
            self.outbox.clear();
            self.first_sends.clear();
            self.commands_in_flight = 0;
        }
        for observation in &report.tasks {
            self.deliveries.remove(&observation.task);
            match observation.phase {
                task::Phase::Ended(_) => {
                    self.running.remove(&observation.task);
                    self.reported_ended.insert(observation.task);
                }
                _ => {
                    self.running.insert(observation.task, observation.clone());
                }
            }
        }
    }

    /// Handles a failed call. Returns the epoch that fenced this owner off, if that was the cause.
    pub fn on_failure(
        &mut self,
        channel: Channel,
        now: Instant,
        error: &Error,
        timings: &Timings,
    ) -> Option<Epoch> {
        if channel == Channel::Command && matches!(error.fault, Fault::NotSent(_)) {
            let unsent = self.first_sends.iter().map(|task| (*task, Delivery::NotSent));
            self.deliveries.extend(unsent);
        }
        self.finish_exchange(channel, false);
        self.failing_since.get_or_insert(now);
        self.failures = self.failures.saturating_add(1);
        let pause = timings.probe_min.saturating_mul(1 << self.failures.min(6));
        self.retry_at = Some(now.after(pause.min(timings.probe_max)));
        match error.fault {
            Fault::Fenced(epoch) => Some(epoch),
            Fault::NotSent(_) | Fault::Unknown(_) => None,
        }
    }

    fn finish_exchange(&mut self, channel: Channel, answered: bool) {
        match channel {
            Channel::Watch => self.watch_call_in_flight = false,
            Channel::Command => {
                self.command_call_in_flight = false;
                if answered {
                    self.outbox.drain(..self.commands_in_flight.min(self.outbox.len()));
                }
                self.commands_in_flight = 0;
                self.first_sends.clear();
            }
        }
    }

    /// Commands the worker to forget an ended task that it still reports.
    pub fn forget(&mut self, task: task::Id) {
        if self.reported_ended.remove(&task) {
            self.outbox.push_back(Command::Forget(task));
        }
    }

    /// Total resource usage of the worker's tasks, as last measured.
    pub fn usage(&self) -> Amount {
        let add = |sum: Amount, task: &Observation| sum.saturating_add(&task.usage);
        self.running.values().fold(Amount::ZERO, add)
    }

    /// Clears all tasks and commands once the tasks have certainly stopped. A full report is needed
    /// before anything is placed on the worker again.
    pub fn clear(&mut self) {
        self.fenced = false;
        self.reported = true;
        self.running.clear();
        self.deliveries.clear();
        self.first_sends.clear();
        self.outbox.clear();
        self.commands_in_flight = 0;
    }
}

fn is_start_of(command: &Command, task: task::Id) -> bool {
    matches!(command, Command::Start { task: id, .. } if *id == task)
}
