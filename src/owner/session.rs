//! What the owner knows of one worker: fencing, lease, commands on their way.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::domain::Epoch;
use crate::owner::Timings;
use crate::resource::Amount;
use crate::task;
use crate::worker::{Command, Error, Exchange, Fault, Observation, Report};

/// Bound on the commands of one exchange.
const MAX_COMMANDS: usize = 64;

/// Which of the two calls to a worker an exchange belongs to.
///
/// A watch is held by the worker until something changes, so commands go beside it.
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
    /// Call it belongs to.
    pub channel: Channel,
    /// Where to send it.
    pub address: SocketAddr,
    /// Content.
    pub exchange: Exchange,
}

/// What a report means.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportSummary {
    /// The worker answered after being unfenced or out of reach, with all it knows.
    pub resynced: bool,
    /// The worker's process is another one than before; what ran there is gone.
    pub restarted: bool,
    /// Tasks that changed, or all of them when `resynced`.
    pub tasks: Vec<Observation>,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct Session {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Rack it stands in.
    pub rack: String,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
    /// What it has.
    pub capacity: Amount,
    /// Last process seen; zero before the first report.
    pub run: u64,
    /// Tasks that hold resources there, by the worker's own word.
    pub running: BTreeMap<task::Id, Observation>,
    fenced: bool,
    /// Whether the worker has told all it runs in this epoch, or surely runs nothing any more.
    reported: bool,
    last_sequence: u64,
    leased_at: Option<Instant>,
    failing_since: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
    outbox: VecDeque<Command>,
    /// Commands at the head of the outbox that the call under way carries.
    commands_in_flight: usize,
    /// Whether a call with commands is under way.
    command_call_in_flight: bool,
    watch_call_in_flight: bool,
    deliveries: BTreeMap<task::Id, Delivery>,
    /// Ended tasks that the worker still reports.
    reported_ended: BTreeSet<task::Id>,
    /// Starts whose first try is the command exchange under way.
    first_sends: Vec<task::Id>,
}

/// Whether a start command may have reached the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    NotSent,
    MaybeSent,
}

impl Session {
    /// A worker that was never reached in this epoch.
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

    /// Whether the worker refuses earlier owners and has told this one all it runs.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Asks the worker for all it runs with the next exchange, and closes it until then.
    pub fn resync(&mut self) {
        self.fenced = false;
    }

    /// Whether the start of `task` is still to be sent or answered.
    pub fn is_starting(&self, task: task::Id) -> bool {
        self.outbox.iter().any(|command| is_start_of(command, task))
    }

    /// Whether it is known what earlier owners left there.
    pub fn has_reported(&self) -> bool {
        self.reported
    }

    /// Whether new tasks may go there.
    pub fn is_open(&self) -> bool {
        self.fenced && self.failing_since.is_none() && !self.leaving
    }

    /// Since when it has not answered.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing_since
    }

    /// Queues a command; it is repeated until the worker has answered to it.
    pub fn push(&mut self, command: Command) {
        if let Command::Start { task, .. } = &command {
            // A start that is repeated may have reached the worker the first time.
            self.deliveries.entry(*task).or_insert(Delivery::NotSent);
        }
        self.outbox.push_back(command);
    }

    /// Whether the start of `task` has surely not reached the worker.
    pub fn is_unsent(&self, task: task::Id) -> bool {
        self.deliveries.get(&task) == Some(&Delivery::NotSent)
    }

    /// Withdraws a start that has surely not reached the worker.
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
        // A watch that names a later report than a command under way would overtake it, and the
        // worker would answer to the command without applying it.
        if !self.watch_call_in_flight && !backing_off && !self.command_call_in_flight {
            requests.push(self.watch_request(now, epoch, timings));
        }
        let reachable = self.fenced && self.failing_since.is_none();
        // One call with commands at a time, also when the outbox was emptied under it: the failure of
        // an earlier call that nothing was sent would otherwise be taken for that of a later one, and
        // a start that has reached the worker would count as never sent and be placed elsewhere.
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

    /// Lease to grant with the next exchange.
    ///
    /// None before the worker's first report: a worker counts a lease from the report that the
    /// exchange names, so an exchange that names none could be held up in the network and renew
    /// long after it was sent.
    ///
    /// None either for a worker that has not answered for half a lease: each renewal that may have
    /// arrived would put off the time from which its tasks have surely stopped, and a worker that
    /// hears but cannot answer would hold its tasks for ever.
    fn lease(&self, now: Instant, timings: &Timings) -> Duration {
        let silent = self.failing_since.is_some_and(|since| now.since(since) > timings.lease / 2);
        if silent || !self.fenced { Duration::ZERO } else { timings.lease }
    }

    /// Whether every task there has surely stopped because no renewal can have kept its lease.
    ///
    /// Counted from the last send that could renew, not from the last answer: a renewal whose
    /// answer was lost still renewed.
    pub fn has_lapsed(&self, now: Instant, timings: &Timings) -> bool {
        let silent = self.failing_since.is_some();
        let bound = timings.lease + timings.lease_margin;
        silent && self.leased_at.is_some_and(|at| now.since(at) > bound)
    }

    /// Whether this owner may have granted a lease to its tasks.
    pub fn was_leased(&self) -> bool {
        self.leased_at.is_some()
    }

    /// Takes in an answer. `None` when it is older than one already taken in.
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
            // The delta of a new process says nothing of what the old one ran; ask for all.
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
            // What was on its way is derived anew from the log and this report. A start repeated
            // to a new process of the worker would run a task that the old process ran already.
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

    /// Takes in a failure and returns the epoch that fenced this owner off, if that was the cause.
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

    /// Tells the worker to drop an ended task, if it may know it.
    pub fn forget(&mut self, task: task::Id) {
        if self.reported_ended.remove(&task) {
            self.outbox.push_back(Command::Forget(task));
        }
    }

    /// What the worker's tasks were last measured to use in all.
    pub fn usage(&self) -> Amount {
        let add = |sum: Amount, task: &Observation| sum.saturating_add(&task.usage);
        self.running.values().fold(Amount::ZERO, add)
    }

    /// Forgets every task and command, once the tasks have surely stopped. The next answer has to
    /// tell all that the worker runs before anything is placed there again.
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
