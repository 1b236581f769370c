//! The task that keeps the view of the instances: it fetches the list, tries doubtful instances
//! and passes on what changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use local_sync::mpsc::unbounded;
use local_sync::oneshot;

use super::probe::Probe;
use super::view::{Class, Key, PeerReport, View, ViewPolicy};
use super::{Error, Member, Source};
use crate::clock::{Clock, Instant};
use crate::shutdown::{Shutdown, until};

/// Rest between two fetches of the list.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// Most instances that are tried at once.
const MAX_PROBES: usize = 64;

/// Changes of the view, the whole view each time.
pub type Changes = unbounded::Rx<Rc<Roster>>;

/// The instances at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Instances in use; those in the state `Leaving` take no new work.
    pub members: Vec<Member>,
    /// Classes of which the list lost suspiciously many, with their number.
    pub suspects: Vec<(Class, usize)>,
}

/// What the task reaches.
pub struct Setup {
    /// The list.
    pub source: Rc<dyn Source>,
    /// Own connections.
    pub probe: Rc<dyn Probe>,
    /// When the list is believed.
    pub policy: ViewPolicy,
    /// Rest between two fetches, commonly [`INTERVAL`].
    pub interval: Duration,
    /// Time.
    pub clock: Rc<dyn Clock>,
    /// Ends the tasks when triggered.
    pub stop: Shutdown,
}

enum Command {
    Listed(Result<Vec<Member>, Error>, oneshot::Sender<()>),
    CallEnded(Key, bool),
    PeerReport(Key, PeerReport),
    Subscribe(unbounded::Tx<Rc<Roster>>),
    Roster(oneshot::Sender<(Rc<Roster>, Option<Duration>)>),
}

/// Reaches the task that holds the view.
#[derive(Clone)]
pub struct Handle {
    commands: unbounded::Tx<Command>,
}

impl Handle {
    /// Reports whether an own call to an instance was answered.
    pub fn report_call(&self, key: Key, answered: bool) {
        // A task that has stopped needs no evidence.
        let _ = self.commands.send(Command::CallEnded(key, answered));
    }

    /// Reports what a peer says of an instance.
    pub fn report_peer(&self, key: Key, report: PeerReport) {
        let _ = self.commands.send(Command::PeerReport(key, report));
    }

    /// The present roster, then a new one whenever it changes.
    pub fn subscribe(&self) -> Changes {
        let (sender, receiver) = unbounded::channel();
        // The receiver ends at once when the task has stopped.
        let _ = self.commands.send(Command::Subscribe(sender));
        receiver
    }

    /// The present roster and the age of the list behind it; `None` once the task has stopped.
    pub async fn roster(&self) -> Option<(Rc<Roster>, Option<Duration>)> {
        let (sender, receiver) = oneshot::channel();
        self.commands.send(Command::Roster(sender)).ok()?;
        receiver.await.ok()
    }
}

/// Starts the tasks on the present runtime.
pub fn start(setup: Setup) -> Handle {
    let (sender, inbox) = unbounded::channel();
    let fetching =
        fetch_loop(setup.source, Rc::clone(&setup.clock), setup.interval, sender.clone());
    monoio::spawn(until(setup.stop.clone(), fetching));
    let task = ViewTask {
        view: View::new(setup.policy),
        probe: setup.probe,
        clock: setup.clock,
        commands: sender.clone(),
        roster: Rc::default(),
        subscribers: Vec::new(),
    };
    monoio::spawn(until(setup.stop, task.run(inbox)));
    Handle { commands: sender }
}

/// Fetches the list again and again. A failed fetch says nothing of the instances on it.
async fn fetch_loop(
    source: Rc<dyn Source>,
    clock: Rc<dyn Clock>,
    interval: Duration,
    commands: unbounded::Tx<Command>,
) {
    loop {
        let listed = source.list().await;
        let (sender, receiver) = oneshot::channel();
        if commands.send(Command::Listed(listed, sender)).is_err() || receiver.await.is_err() {
            return;
        }
        // Spread by up to a quarter, so that instances started together do not ask together.
        clock.sleep(interval.mul_f64(1.0 + rand::random::<f64>() / 4.0)).await;
    }
}

struct ViewTask {
    view: View,
    probe: Rc<dyn Probe>,
    clock: Rc<dyn Clock>,
    commands: unbounded::Tx<Command>,
    roster: Rc<Roster>,
    subscribers: Vec<unbounded::Tx<Rc<Roster>>>,
}

impl ViewTask {
    async fn run(mut self, mut inbox: unbounded::Rx<Command>) {
        while let Some(command) = inbox.recv().await {
            let now = self.clock.now();
            self.handle(now, command);
            self.publish(now);
        }
    }

    /// Answers one request. Whoever no longer waits for the answer does not get it.
    fn handle(&mut self, now: Instant, command: Command) {
        match command {
            Command::Listed(listed, sender) => {
                self.apply_list(now, listed);
                self.probe(now);
                let _ = sender.send(());
            }
            Command::CallEnded(key, true) => self.view.record_answer(now, &key),
            Command::CallEnded(key, false) => self.view.record_failure(now, &key),
            Command::PeerReport(key, report) => self.view.apply_peer_report(now, &key, report),
            Command::Subscribe(sender) => {
                let _ = sender.send(Rc::clone(&self.roster));
                self.subscribers.push(sender);
            }
            Command::Roster(sender) => {
                let _ = sender.send((Rc::clone(&self.roster), self.view.age(now)));
            }
        }
    }

    fn apply_list(&mut self, now: Instant, listed: Result<Vec<Member>, Error>) {
        match listed {
            Ok(members) => self.view.apply_list(now, &members),
            Err(error) => {
                log::warn!("event=membership.list_failed {error}");
                self.view.tick(now);
            }
        }
    }

    fn probe(&self, now: Instant) {
        for (key, address) in self.view.probes(now).into_iter().take(MAX_PROBES) {
            let (probe, commands) = (Rc::clone(&self.probe), self.commands.clone());
            monoio::spawn(async move {
                let answered = reaches(&*probe, address).await;
                let _ = commands.send(Command::CallEnded(key, answered));
            });
        }
    }

    /// Passes the roster on if it has changed.
    fn publish(&mut self, now: Instant) {
        let members = self.view.members(now);
        let suspects: Vec<(Class, usize)> = self.view.suspects().into_iter().collect();
        let roster = Roster { members, suspects };
        if roster == *self.roster {
            return;
        }
        for (class, count) in &roster.suspects {
            log::warn!("event=membership.suspect class={:?} vanished={count}", class.to_string());
        }
        self.roster = Rc::new(roster);
        let roster = &self.roster;
        self.subscribers.retain(|subscriber| subscriber.send(Rc::clone(roster)).is_ok());
    }
}

async fn reaches(probe: &dyn Probe, address: SocketAddr) -> bool {
    probe.reaches(address).await
}
