//! State machine that decides when settings are in force, what to append to the stream and what to
//! exchange with peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::compaction::Compaction;
use super::gossip::{Age, Digest, Peer, SyncStatus};
use super::gossiper::Gossiper;
use super::publish::{self, Publication, PublishOutcome, PublishQueue};
use super::reader::{Record, StreamReader};
use super::state::{ApplyResult, State};
use super::value::{Value, Version};
use super::wire;
use crate::clock::{Instant, Unix};
use crate::domain;
use crate::store::{self, Offset, Page};
use bytes::Bytes;

/// Timeouts and intervals of the machine.
#[derive(Clone, Debug)]
pub struct Timing {
    /// How long a change waits to be read back before its outcome is [`PublishOutcome::Unknown`].
    pub publish_timeout: Duration,
    /// Delay before a failed append is retried.
    pub append_retry: Duration,
    /// Time between two digests that an instance sends.
    pub gossip_interval: Duration,
    /// How long an instance whose log works waits for the log to bring a newer version before it
    /// fetches the state from a peer.
    pub fetch_delay: Duration,
    /// Time without an answered read after which the log counts as lost.
    pub log_timeout: Duration,
    /// Maximum age of the newest snapshot in the stream; well below the log's retention.
    pub snapshot_interval: Duration,
    /// Maximum random delay before an instance writes a snapshot.
    pub snapshot_jitter: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            publish_timeout: Duration::from_secs(5),
            append_retry: Duration::from_millis(400),
            gossip_interval: Duration::from_secs(1),
            fetch_delay: Duration::from_millis(500),
            log_timeout: Duration::from_secs(4),
            snapshot_interval: Duration::from_secs(30 * 60),
            snapshot_jitter: Duration::from_secs(2),
        }
    }
}

/// An input of the machine.
#[derive(Clone, Debug)]
pub enum Message {
    /// A read of the stream returned a page.
    Page(Page),
    /// A read of the stream failed.
    ReadFailed,
    /// An operator requests a change.
    Publish(Publication),
    /// An append of a change succeeded.
    Appended(publish::Id),
    /// An append of a change failed.
    AppendFailed(publish::Id, store::AppendOutcome),
    /// The peers to exchange digests with, this instance not among them.
    Peers(Vec<Peer>),
    /// A digest arrived, as a peer's call or as the response to a call.
    DigestReceived(Digest),
    /// A peer returned the state in force there.
    StateReceived(State),
    /// A fetch from a peer failed.
    FetchFailed,
    /// Periodic call that lets retries, snapshots and gossip run when they are due.
    Tick,
}

/// An action that the caller of the machine executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a change and report [`Message::Appended`] or [`Message::AppendFailed`].
    Append(publish::Id, Bytes),
    /// Append a snapshot; its result is not reported.
    Snapshot(Bytes),
    /// Return the outcome of a change to the operator.
    Answer(publish::Id, PublishOutcome),
    /// A newer value is in force.
    InForce(Rc<Value>),
    /// Send a digest to a peer and report its own with [`Message::DigestReceived`].
    SendDigest(SocketAddr, Digest),
    /// Fetch the state from a peer and report [`Message::StateReceived`] or
    /// [`Message::FetchFailed`].
    FetchState(SocketAddr),
}

/// The settings at one instance.
#[derive(Debug)]
pub struct Machine {
    timing: Timing,
    reader: StreamReader,
    queue: PublishQueue,
    compaction: Compaction,
    gossiper: Gossiper,
    /// The value in force; its version never decreases.
    in_force: Option<Rc<Value>>,
    /// End of the stream at the first read.
    initial_end: Option<Offset>,
    /// Whether a peer has returned its state.
    received_state: bool,
    /// Time since the version here was last confirmed to be the newest.
    confirmed: Option<Age>,
    /// When a read of the log last succeeded; the machine's start before the first one.
    last_read: Instant,
    /// Whether the last read of the log failed.
    log_failing: bool,
}

impl Machine {
    /// Creates a machine without settings; `seed` determines its random choices.
    pub fn new(name: &str, domain: &domain::Name, timing: Timing, seed: u64, now: Instant) -> Self {
        Self {
            timing,
            reader: StreamReader::default(),
            queue: PublishQueue::default(),
            compaction: Compaction::default(),
            gossiper: Gossiper::new(name, domain, seed, now),
            in_force: None,
            initial_end: None,
            received_state: false,
            confirmed: None,
            last_read: now,
            log_failing: false,
        }
    }

    /// Returns the value in force, or `None` before the first one.
    pub fn value(&self) -> Option<Rc<Value>> {
        self.in_force.clone()
    }

    /// Returns the state in force, for a peer that fetches it.
    pub fn state(&self) -> Option<&State> {
        self.in_force.as_ref().and(self.reader.state())
    }

    /// Returns the next offset to read from the stream.
    pub fn position(&self) -> Offset {
        self.reader.position()
    }

    /// Returns the outcome of a change, or `None` if this instance does not know it.
    pub fn outcome(&self, id: publish::Id) -> Option<PublishOutcome> {
        let accepted = self.reader.state().and_then(|state| state.accepted(id));
        accepted
            .map(|entry| PublishOutcome::Accepted(entry.revision.version))
            .or_else(|| self.queue.settled(id).cloned())
    }

    /// Returns the sync status of this instance, which comes first, and of all known instances.
    pub fn sync_statuses(&self, now: Instant) -> Vec<SyncStatus> {
        let mut statuses = vec![self.sync_status(now)];
        statuses.extend(self.gossiper.sync_statuses(now));
        statuses
    }

    /// Builds a digest for a peer.
    pub fn digest(&mut self, now: Instant) -> Digest {
        let from = self.sync_status(now);
        self.gossiper.digest(now, from)
    }

    /// Handles a message and returns the effects to execute, in order.
    pub fn handle(&mut self, now: Instant, unix: Unix, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Page(page) => self.read(now, &page, &mut effects),
            Message::ReadFailed => self.log_failing = true,
            Message::Publish(publication) => self.publish(now, publication, &mut effects),
            Message::Appended(id) => self.queue.record_append(id),
            Message::AppendFailed(id, outcome) => {
                let retry = now.after(self.timing.append_retry);
                self.queue.record_failure(id, outcome, retry);
            }
            Message::Peers(peers) => self.gossiper.set_peers(peers),
            Message::DigestReceived(digest) => self.receive_digest(now, &digest),
            Message::StateReceived(state) => self.receive_state(state, &mut effects),
            Message::FetchFailed => self.gossiper.clear_fetch_candidate(),
            Message::Tick => self.tick(now, unix, &mut effects),
        }
        self.put_in_force(now, &mut effects);
        self.fetch(now, &mut effects);
        self.settle_changes(now, &mut effects);
        effects
    }

    fn read(&mut self, now: Instant, page: &Page, effects: &mut Vec<Effect>) {
        self.log_failing = false;
        self.last_read = now;
        self.initial_end.get_or_insert(page.end);
        let results = self.reader.read(page);
        self.answer_changes(&results, effects);
        if self.reader.covers(page.end) {
            self.confirmed = Some(Age::new(Duration::ZERO, now));
        }
    }

    fn publish(&mut self, now: Instant, publication: Publication, effects: &mut Vec<Effect>) {
        let id = publication.id;
        if let Err(outcome) = self.admit(&publication) {
            effects.push(Effect::Answer(id, outcome));
            return;
        }
        let payload = wire::encode(&Record::Change(publication.clone()));
        self.queue.push(publication, now.after(self.timing.publish_timeout));
        effects.push(Effect::Append(id, payload));
    }

    /// Rejects a change that cannot be accepted, before anything is sent.
    fn admit(&self, publication: &Publication) -> Result<(), PublishOutcome> {
        if let Some(outcome) = self.outcome(publication.id) {
            return Err(outcome);
        }
        let Some(state) = self.state() else { return Err(PublishOutcome::NotReady) };
        if self.queue.is_full() || self.queue.is_pending(publication.id) {
            return Err(PublishOutcome::Busy);
        }
        if let Some(outcome) = publish::known_outcome(state, publication.id, publication.base) {
            return Err(outcome);
        }
        let current = state.value.version;
        if publication.base != current {
            return Err(PublishOutcome::BaseMismatch { current });
        }
        state.check(publication).map_err(PublishOutcome::Invalid)
    }

    fn receive_digest(&mut self, now: Instant, digest: &Digest) {
        let peer = &digest.from;
        self.gossiper.record(now, digest);
        self.confirm(now, peer);
        let behind = self.in_force.is_none() || peer.version > self.reader.version();
        if peer.in_force && behind {
            self.gossiper.note_fetch_candidate(now, peer);
        }
    }

    /// Adopts a peer's confirmation that its version is the newest, if it is the version here too.
    fn confirm(&mut self, now: Instant, peer: &SyncStatus) {
        let Some(age) = peer.confirmed else { return };
        let same_version = self.in_force.is_some() && peer.version == self.reader.version();
        let more_recent = self.confirmed.is_none_or(|own| age < own.at(now));
        if same_version && more_recent {
            self.confirmed = Some(Age::new(age, now));
        }
    }

    fn receive_state(&mut self, state: State, effects: &mut Vec<Effect>) {
        self.gossiper.clear_fetch_candidate();
        self.received_state = true;
        let mut results = Vec::new();
        self.reader.advance_to(state, &mut results);
        self.answer_changes(&results, effects);
    }

    fn tick(&mut self, now: Instant, unix: Unix, effects: &mut Vec<Effect>) {
        for publication in self.queue.take_due(now) {
            let id = publication.id;
            effects.push(Effect::Append(id, wire::encode(&Record::Change(publication))));
        }
        self.snapshot(now, unix, effects);
        let log_lost = self.is_log_lost(now);
        let peer = self.gossiper.next_exchange(now, self.timing.gossip_interval, log_lost);
        self.exchange(now, peer, effects);
    }

    fn snapshot(&mut self, now: Instant, unix: Unix, effects: &mut Vec<Effect>) {
        if self.in_force.is_none() {
            return;
        }
        let delay = self.gossiper.random_part(self.timing.snapshot_jitter);
        let interval = self.timing.snapshot_interval;
        if !self.compaction.is_due(now, unix, &self.reader, interval, delay) {
            return;
        }
        if let Some(state) = self.reader.state() {
            let record = Record::Snapshot { state: state.clone(), at: unix };
            effects.push(Effect::Snapshot(wire::encode(&record)));
        }
    }

    fn exchange(&mut self, now: Instant, peer: Option<SocketAddr>, effects: &mut Vec<Effect>) {
        if let Some(peer) = peer {
            let digest = self.digest(now);
            effects.push(Effect::SendDigest(peer, digest));
        }
    }

    /// Puts the value in force if its version is greater than that of the current one.
    fn put_in_force(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.in_force.is_none() && !self.may_put_in_force() {
            return;
        }
        let Some(state) = self.reader.state() else { return };
        let newer =
            self.in_force.as_ref().is_none_or(|current| current.version < state.value.version);
        if !newer {
            return;
        }
        let value = Rc::new(state.value.clone());
        let first = self.in_force.replace(Rc::clone(&value)).is_none();
        effects.push(Effect::InForce(value));
        if !first {
            let peer = self.gossiper.peer_behind(self.reader.version());
            self.exchange(now, peer, effects);
        }
    }

    /// Whether the first value may be put in force.
    ///
    /// An earlier process of this instance may have had in force any version that the log held when
    /// this one started. An older value would revert it, so the state must first cover the stream
    /// up to the end found at the first read, by reading it or by a peer's state. If the log has
    /// never answered, that end is unknown; once a read has failed, a peer's state is used as it
    /// is.
    fn may_put_in_force(&self) -> bool {
        match self.initial_end {
            Some(end) => self.reader.covers(end),
            None => self.received_state && self.log_failing,
        }
    }

    /// Fetches a newer state from a peer when the log does not bring it in time.
    fn fetch(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let log_lost = self.log_failing || self.is_log_lost(now);
        let delay = if log_lost { Duration::ZERO } else { self.timing.fetch_delay };
        let own = self.in_force.as_ref().map(|_| self.reader.version());
        effects.extend(self.gossiper.next_fetch(now, own, delay).map(Effect::FetchState));
    }

    fn settle_changes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (id, outcome) in self.queue.settle_due(now, self.reader.state()) {
            effects.push(Effect::Answer(id, outcome));
        }
    }

    fn answer_changes(
        &mut self,
        results: &[(publish::Id, ApplyResult)],
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.reader.state() else { return };
        for (id, result) in results {
            if let Some((id, outcome)) = self.queue.record_result(*id, result, state) {
                effects.push(Effect::Answer(id, outcome));
            }
        }
    }

    fn is_log_lost(&self, now: Instant) -> bool {
        now.since(self.last_read) >= self.timing.log_timeout
    }

    fn sync_status(&self, now: Instant) -> SyncStatus {
        let (name, domain) = self.gossiper.identity();
        SyncStatus {
            instance: name.to_owned(),
            domain: domain.clone(),
            version: self.in_force.as_ref().map_or(Version::ZERO, |value| value.version),
            next: self.reader.state().map_or(0, |state| state.next),
            in_force: self.in_force.is_some(),
            confirmed: self.confirmed.map(|age| age.at(now)),
            heard: Duration::ZERO,
        }
    }
}
