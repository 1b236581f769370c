//! The state machine of an entry instance towards its failure domain.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::alert::Board;
use crate::clock::{Instant, Unix};
use crate::domain::{self, Epoch, Instance};
use crate::membership::Member;
use crate::owner::active::Active;
use crate::owner::custody::{Custody, Hold};
use crate::owner::election::Election;
use crate::owner::journal::{Parcel, Tag};
use crate::owner::replica::{Applied, Replica};
use crate::owner::session::{Channel, Send};
use crate::owner::{Ticket, Timings};
use crate::placement::Policy;
use crate::store::{self, Offset, Page};
use crate::{alert, config, job, placement, worker};

/// Something that happened.
#[derive(Debug)]
pub enum Message {
    /// Time passed.
    Tick,
    /// A read of the stream ended.
    Read(Result<Page, store::Error>),
    /// An append to the stream ended.
    Appended {
        /// What was appended.
        tag: Tag,
        /// Its offset, or what went wrong.
        result: Result<Offset, store::Error>,
    },
    /// An exchange with a worker ended.
    Exchanged {
        /// Epoch in which it was sent.
        epoch: Epoch,
        /// The worker.
        worker: worker::Name,
        /// Call it belonged to.
        channel: Channel,
        /// Its result.
        result: Result<worker::Report, worker::Error>,
    },
    /// The list of instances was read.
    Members(Vec<Member>),
    /// Another instance of the domain says that it is the owner.
    Beat(Beat),
    /// An instance has taken in a heartbeat and answered.
    BeatAnswered {
        /// The instance that answered.
        from: Instance,
        /// Latest epoch it knows.
        epoch: Epoch,
    },
    /// An owner without the log asks this instance to keep a batch.
    Hold(Hold),
    /// An instance keeps a batch.
    Held {
        /// The instance.
        from: Instance,
        /// Epoch of the batch.
        epoch: Epoch,
        /// Place of the batch in that epoch.
        sequence: u64,
    },
    /// A caller asks for something.
    Call {
        /// Number to answer to.
        ticket: Ticket,
        /// What it asks for.
        call: Call,
    },
    /// A caller's time is up; it is answered at once.
    Expired(Ticket),
    /// Another policy is in force.
    Policy(Policy),
    /// Other settings of operators are in force.
    Settings(Rc<config::Value>),
    /// The owner asks this instance to take over.
    Handover(Epoch),
    /// The process is to stop.
    Shutdown,
}

/// Heartbeat of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Failure domain it owns.
    pub domain: domain::Name,
    /// The owner.
    pub owner: Instance,
    /// Its epoch.
    pub epoch: Epoch,
    /// Whether it cannot reach the log.
    pub without_log: bool,
    /// Instances that keep its batches when the log is away.
    pub enrolled: Vec<Instance>,
}

/// What a caller asks of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Accept a job.
    Submit {
        /// Identity of the job.
        job: job::Id,
        /// Idempotency key.
        key: String,
        /// What it asks for.
        spec: job::Spec,
    },
    /// Stop a job.
    Cancel(job::Id),
    /// Mark an alert as seen.
    Acknowledge {
        /// The alert.
        alert: alert::Id,
        /// Who saw it.
        by: String,
    },
    /// Take a worker that does not answer for gone, with all that it ran.
    GiveUp(worker::Name),
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is in the log.
    Accepted {
        /// Whether it was there before.
        duplicate: bool,
    },
    /// The cancellation is in the log.
    Cancelled,
    /// The acknowledgement is in the log.
    Acknowledged,
    /// The end of all that the worker ran is in the log.
    GivenUp,
    /// The job, alert or worker is not known.
    NotFound,
    /// Nothing was written and nothing will run because of the call.
    Refused(Refusal),
    /// The call may have taken effect; asking again with the same identity tells.
    Unknown,
}

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This instance does not own the domain.
    NotOwner(Option<Instance>),
    /// The worker answers, so it is not gone.
    WorkerAnswers,
    /// The key stands for another job.
    KeyReused,
    /// No worker could ever run it.
    Impossible(placement::Reason),
    /// Too much waits for the log.
    Busy,
    /// The log cannot be reached.
    LogAway,
    /// Time ran out before anything was written.
    Expired,
}

/// Something to do.
#[derive(Debug)]
pub enum Effect {
    /// Read the stream and answer with [`Message::Read`].
    Read {
        /// First offset wanted.
        from: Offset,
        /// How long to wait for a record.
        wait: Duration,
    },
    /// Append to the stream and answer with [`Message::Appended`].
    Append(Parcel),
    /// Call a worker and answer with [`Message::Exchanged`].
    Exchange {
        /// Present epoch, to be returned with the result.
        epoch: Epoch,
        /// The worker.
        worker: worker::Name,
        /// What to send.
        send: Send,
    },
    /// Send a heartbeat and answer with [`Message::BeatAnswered`] for each answer.
    Beat {
        /// Instances of the domain.
        to: Vec<SocketAddr>,
        /// Content.
        beat: Beat,
    },
    /// Ask instances to keep a batch and answer with [`Message::Held`] for each that does.
    Hold {
        /// The instances.
        to: Vec<SocketAddr>,
        /// The batch.
        hold: Hold,
    },
    /// Ask an instance to take over.
    Handover {
        /// The instance.
        to: SocketAddr,
        /// Epoch that ends.
        epoch: Epoch,
    },
    /// Answer a caller.
    Reply {
        /// Number of the call.
        ticket: Ticket,
        /// Answer.
        answer: Answer,
    },
    /// Nothing is left to do before the process ends.
    Stopped,
}

/// Part that the instance plays.
#[derive(Debug)]
pub enum Role {
    /// Reads the stream and watches the owner.
    Follower,
    /// Owns the domain.
    Owner(Box<Active>),
}

/// State of an entry instance towards its failure domain.
#[derive(Debug)]
pub struct Machine {
    /// This process.
    pub me: Instance,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Timeouts and intervals.
    pub timings: Timings,
    /// State read from the stream.
    pub replica: Replica,
    /// Part it plays.
    pub role: Role,
    /// Policy in force.
    pub policy: Policy,
    /// Settings of operators in force.
    pub settings: Rc<config::Value>,
    /// Who owns the domain, and when to claim it.
    pub election: Election,
    /// Batches kept for an owner without the log.
    pub custody: Custody,
    pub(super) members: Vec<Member>,
    pub(super) stopping: bool,
    pub(super) out: Vec<Effect>,
}

impl Machine {
    /// A machine that has read nothing yet.
    pub fn new(
        me: Instance,
        domain: domain::Name,
        timings: Timings,
        policy: Policy,
        now: Instant,
    ) -> Self {
        Self {
            me,
            domain,
            timings,
            replica: Replica::default(),
            role: Role::Follower,
            policy,
            settings: Rc::default(),
            election: Election::new(now),
            custody: Custody::default(),
            members: Vec::new(),
            stopping: false,
            out: Vec::new(),
        }
    }

    /// Takes in a message and returns what to do.
    pub fn handle(&mut self, message: Message, now: Instant, unix: Unix) -> Vec<Effect> {
        match message {
            Message::Tick => {}
            Message::Read(result) => self.on_read(result, now, unix),
            Message::Appended { tag, result } => self.on_appended(tag, result, now, unix),
            Message::Exchanged { epoch, worker, channel, result } => {
                self.on_exchanged(epoch, &worker, channel, result, now, unix);
            }
            Message::Members(members) => self.on_members(members),
            Message::Beat(beat) => self.on_beat(&beat, now),
            Message::Hold(hold) => self.on_hold(hold),
            Message::Held { from, epoch, sequence } => {
                self.on_held(&from, epoch, sequence, now, unix);
            }
            Message::BeatAnswered { from, epoch } => self.on_beat_answered(&from, epoch, now),
            Message::Call { ticket, call } => self.on_call(ticket, call, now, unix),
            Message::Expired(ticket) => self.on_expired(ticket),
            Message::Policy(policy) => self.on_policy(policy),
            Message::Settings(settings) => self.on_settings(settings),
            Message::Handover(epoch) => self.on_handover(epoch, now, unix),
            Message::Shutdown => self.stopping = true,
        }
        self.advance(now, unix);
        std::mem::take(&mut self.out)
    }

    /// Whether this instance owns the domain.
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owner(_))
    }

    /// The owner as far as this instance knows.
    pub fn owner(&self) -> Option<&Instance> {
        match &self.role {
            Role::Owner(_) => Some(&self.me),
            Role::Follower => self.election.leader(self.replica.epoch()).or(self.replica.owner()),
        }
    }

    /// Latest epoch that this instance knows of.
    pub fn known_epoch(&self) -> Epoch {
        self.replica.epoch().max(self.election.highest())
    }

    /// Whether the state read from the stream is as new as the stream was after the start.
    pub fn is_ready(&self) -> bool {
        self.election.is_caught_up()
    }

    /// Alerts of the domain: on its owner with those on their way to the log.
    pub fn board(&self) -> &Board {
        match &self.role {
            Role::Owner(active) => &active.board,
            Role::Follower => &self.replica.board,
        }
    }

    pub(super) fn active(&mut self) -> Option<&mut Active> {
        match &mut self.role {
            Role::Owner(active) => Some(active),
            Role::Follower => None,
        }
    }

    fn advance(&mut self, now: Instant, unix: Unix) {
        match self.role {
            Role::Follower => self.advance_follower(now, unix),
            Role::Owner(_) => self.advance_owner(now, unix),
        }
        self.read_on(now);
    }

    /// Takes in one record that follows what was read so far.
    pub(super) fn absorb(&mut self, offset: Offset, payload: &Bytes, now: Instant, unix: Unix) {
        match self.replica.apply(offset, payload, unix) {
            Applied::Claimed(claim) if claim.instance == self.me => self.become_owner(now, unix),
            Applied::Claimed(claim) => {
                self.election.claimed(&claim, now);
                self.step_down("claimed_by_other");
            }
            Applied::Changed(batch) => self.on_changed(&batch, now, unix),
            Applied::Void => self.on_caught_up(payload, now, unix),
        }
    }

    /// Ends this instance's ownership. Callers whose change was never handed to the log hear that
    /// nothing was done; the others hear that they have to ask again.
    pub(super) fn step_down(&mut self, cause: &str) {
        let Role::Owner(mut active) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        log::warn!(
            "event=owner.stepped_down domain={} epoch={} cause={cause}",
            self.domain,
            active.epoch
        );
        if !active.unlogged.is_empty() {
            // What took effect without the log is void now that another owns the domain. It cannot
            // be taken back out of the state, so the state is read anew.
            self.election.start_over();
        }
        let owner = self.owner().cloned();
        for (ticket, answer) in active.abandon(owner.as_ref()) {
            self.out.push(Effect::Reply { ticket, answer });
        }
    }

    /// Ends this instance's ownership if `epoch` supersedes it; whether it did.
    pub(super) fn yield_to(&mut self, epoch: Epoch, cause: &str) -> bool {
        let superseded = self.active().is_some_and(|active| epoch > active.epoch);
        if superseded {
            self.step_down(cause);
        }
        superseded
    }

    fn on_policy(&mut self, policy: Policy) {
        if let Some(active) = self.active() {
            active.engine.set_policy(policy);
        }
        self.policy = policy;
    }

    fn on_settings(&mut self, settings: Rc<config::Value>) {
        if let Some(active) = self.active() {
            active.set_settings(&settings);
        }
        self.settings = settings;
    }

    fn on_members(&mut self, members: Vec<Member>) {
        let here = |member: &Member| member.domain == self.domain;
        self.members = members.into_iter().filter(here).collect();
        let members = self.members.clone();
        if let Some(active) = self.active() {
            active.set_members(&members);
        }
    }
}
