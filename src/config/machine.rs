//! Decides when settings are in force, what to publish and what to tell peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::compaction::Compaction;
use super::gossip::{Age, Digest, Peer, SyncStatus};
use super::herald::Herald;
use super::publish::{self, Publication, PublishOutcome, Queue};
use super::reader::{Reader, Record};
use super::state::{ApplyResult, State};
use super::value::{Value, Version};
use super::wire;
use crate::clock::{Instant, Unix};
use crate::domain;
use crate::store::{self, Offset, Page};
use bytes::Bytes;

/// Spans that the machine goes by.
#[derive(Clone, Debug)]
pub struct Timing {
    /// How long a publisher waits for its record before the answer is [`PublishOutcome::Unknown`].
    pub publish_timeout: Duration,
    /// Pause before a failed append is tried again.
    pub append_retry: Duration,
    /// Pause between two digests that an instance sends.
    pub gossip_interval: Duration,
    /// How long an instance whose log works waits for the log before it asks a peer.
    pub fetch_delay: Duration,
    /// How long the log may be silent before it counts as lost.
    pub log_timeout: Duration,
    /// Longest age of the newest snapshot in the stream; well below the log's retention.
    pub snapshot_interval: Duration,
    /// Longest random delay before an instance writes a snapshot.
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

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Message {
    /// A read of the stream was answered.
    Page(Page),
    /// A read of the stream failed.
    ReadFailed,
    /// An operator wants a change.
    Publish(Publication),
    /// An append of a change was answered.
    Appended(publish::Id),
    /// An append of a change failed.
    AppendFailed(publish::Id, store::Outcome),
    /// The peers to exchange digests with, this instance not among them.
    Peers(Vec<Peer>),
    /// A digest arrived, as a call or as an answer.
    DigestReceived(Digest),
    /// A peer sent the state in force there.
    StateReceived(State),
    /// A fetch from a peer failed.
    FetchFailed,
    /// Time has passed.
    Tick,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a change; answer with [`Message::Appended`] or [`Message::AppendFailed`].
    Append(publish::Id, Bytes),
    /// Append a snapshot; nobody waits for it.
    Snapshot(Bytes),
    /// Answer the operator.
    Answer(publish::Id, PublishOutcome),
    /// A newer value is in force.
    InForce(Rc<Value>),
    /// Send a digest to a peer; its answer comes back as [`Message::DigestReceived`].
    SendDigest(SocketAddr, Digest),
    /// Fetch the state from a peer; it comes back as [`Message::StateReceived`].
    FetchState(SocketAddr),
}

/// The settings at one instance.
#[derive(Debug)]
pub struct Machine {
    timing: Timing,
    reader: Reader,
    queue: Queue,
    compaction: Compaction,
    herald: Herald,
    /// The value that was shown last.
    shown: Option<Rc<Value>>,
    /// End of the stream when it was first read.
    start_end: Option<Offset>,
    /// Whether a peer has sent its state.
    offered: bool,
    /// How long ago no newer version existed.
    confirmed: Option<Age>,
    /// When the log last answered; the start before it ever did.
    answered: Instant,
    failing: bool,
}

impl Machine {
    /// A machine that knows nothing yet; `seed` sets its random choices.
    pub fn new(name: &str, domain: &domain::Name, timing: Timing, seed: u64, now: Instant) -> Self {
        Self {
            timing,
            reader: Reader::default(),
            queue: Queue::default(),
            compaction: Compaction::default(),
            herald: Herald::new(name, domain, seed, now),
            shown: None,
            start_end: None,
            offered: false,
            confirmed: None,
            answered: now,
            failing: false,
        }
    }

    /// The value in force; `None` until one is.
    pub fn value(&self) -> Option<Rc<Value>> {
        self.shown.clone()
    }

    /// The state in force, for a peer that asks.
    pub fn state(&self) -> Option<&State> {
        self.shown.as_ref().and(self.reader.state())
    }

    /// The next offset to read from the stream.
    pub fn position(&self) -> Offset {
        self.reader.position()
    }

    /// What became of a change, as far as this instance can tell.
    pub fn outcome(&self, id: publish::Id) -> Option<PublishOutcome> {
        let accepted = self.reader.state().and_then(|state| state.accepted(id));
        accepted
            .map(|entry| PublishOutcome::Accepted(entry.revision.version))
            .or_else(|| self.queue.settled(id).cloned())
    }

    /// The status of this instance and of all that it has heard of.
    pub fn sync_statuses(&self, now: Instant) -> Vec<SyncStatus> {
        let mut statuses = vec![self.sync_status(now)];
        statuses.extend(self.herald.sync_statuses(now));
        statuses
    }

    /// A digest for a peer.
    pub fn digest(&mut self, now: Instant) -> Digest {
        let from = self.sync_status(now);
        self.herald.digest(now, from)
    }

    /// Takes a message and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, unix: Unix, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Page(page) => self.read(now, &page, &mut effects),
            Message::ReadFailed => self.failing = true,
            Message::Publish(publication) => self.publish(now, publication, &mut effects),
            Message::Appended(id) => self.queue.appended(id),
            Message::AppendFailed(id, outcome) => {
                let retry = now.after(self.timing.append_retry);
                self.queue.failed(id, outcome, retry);
            }
            Message::Peers(peers) => self.herald.set_peers(peers),
            Message::DigestReceived(digest) => self.hear(now, &digest),
            Message::StateReceived(state) => self.accept_offer(state, &mut effects),
            Message::FetchFailed => self.herald.drop_ahead(),
            Message::Tick => self.tick(now, unix, &mut effects),
        }
        self.show(now, &mut effects);
        self.fetch(now, &mut effects);
        self.settle(now, &mut effects);
        effects
    }

    fn read(&mut self, now: Instant, page: &Page, effects: &mut Vec<Effect>) {
        self.failing = false;
        self.answered = now;
        self.start_end.get_or_insert(page.end);
        let results = self.reader.read(page);
        self.answer(&results, effects);
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

    /// Refuses what cannot be accepted before anything is sent.
    fn admit(&self, publication: &Publication) -> Result<(), PublishOutcome> {
        if let Some(outcome) = self.outcome(publication.id) {
            return Err(outcome);
        }
        let Some(state) = self.state() else { return Err(PublishOutcome::NotReady) };
        if self.queue.is_full() || self.queue.is_waiting(publication.id) {
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

    fn hear(&mut self, now: Instant, digest: &Digest) {
        let peer = &digest.from;
        self.herald.note(now, digest);
        self.confirm(now, peer);
        let behind = self.shown.is_none() || peer.version > self.reader.version();
        if peer.in_force && behind {
            self.herald.note_ahead(now, peer);
        }
    }

    /// A peer with our version that lately knew of no newer one vouches for ours too.
    fn confirm(&mut self, now: Instant, peer: &SyncStatus) {
        let Some(age) = peer.confirmed else { return };
        let same = self.shown.is_some() && peer.version == self.reader.version();
        let fresher = self.confirmed.is_none_or(|own| age < own.at(now));
        if same && fresher {
            self.confirmed = Some(Age::new(age, now));
        }
    }

    fn accept_offer(&mut self, state: State, effects: &mut Vec<Effect>) {
        self.herald.drop_ahead();
        self.offered = true;
        let mut results = Vec::new();
        self.reader.adopt(state, &mut results);
        self.answer(&results, effects);
    }

    fn tick(&mut self, now: Instant, unix: Unix, effects: &mut Vec<Effect>) {
        for publication in self.queue.due(now) {
            let id = publication.id;
            effects.push(Effect::Append(id, wire::encode(&Record::Change(publication))));
        }
        self.snapshot(now, unix, effects);
        let cut_off = self.is_cut_off(now);
        let peer = self.herald.turn(now, self.timing.gossip_interval, cut_off);
        self.exchange(now, peer, effects);
    }

    fn snapshot(&mut self, now: Instant, unix: Unix, effects: &mut Vec<Effect>) {
        if self.shown.is_none() {
            return;
        }
        let delay = self.herald.part(self.timing.snapshot_jitter);
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

    /// Shows the value once it is in force; a smaller version than shown before never is.
    fn show(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.shown.is_none() && !self.may_show() {
            return;
        }
        let Some(state) = self.reader.state() else { return };
        let newer = self.shown.as_ref().is_none_or(|shown| shown.version < state.value.version);
        if !newer {
            return;
        }
        let value = Rc::new(state.value.clone());
        let first = self.shown.replace(Rc::clone(&value)).is_none();
        effects.push(Effect::InForce(value));
        if !first {
            let peer = self.herald.lacking(self.reader.version());
            self.exchange(now, peer, effects);
        }
    }

    /// Whether the first value may be shown.
    ///
    /// The earlier process of this instance may have shown anything that the log held when this
    /// one started. A value from before that end would revert it, so the whole stream up to there
    /// must be covered first, by reading it or by a peer's state. Only a log that has never
    /// answered leaves no such bound; then a peer's word has to do.
    fn may_show(&self) -> bool {
        match self.start_end {
            Some(end) => self.reader.covers(end),
            None => self.offered && self.failing,
        }
    }

    /// Asks a peer for a newer state when the log does not bring it.
    fn fetch(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let lost = self.failing || self.is_cut_off(now);
        let patience = if lost { Duration::ZERO } else { self.timing.fetch_delay };
        let own = self.shown.as_ref().map(|_| self.reader.version());
        effects.extend(self.herald.fetch(now, own, patience).map(Effect::FetchState));
    }

    fn settle(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (id, outcome) in self.queue.sweep(now, self.reader.state()) {
            effects.push(Effect::Answer(id, outcome));
        }
    }

    fn answer(&mut self, results: &[(publish::Id, ApplyResult)], effects: &mut Vec<Effect>) {
        let Some(state) = self.reader.state() else { return };
        for (id, result) in results {
            if let Some((id, outcome)) = self.queue.read_back(*id, result, state) {
                effects.push(Effect::Answer(id, outcome));
            }
        }
    }

    fn is_cut_off(&self, now: Instant) -> bool {
        now.since(self.answered) >= self.timing.log_timeout
    }

    fn sync_status(&self, now: Instant) -> SyncStatus {
        let (name, domain) = self.herald.identity();
        SyncStatus {
            instance: name.to_owned(),
            domain: domain.clone(),
            version: self.shown.as_ref().map_or(Version::ZERO, |value| value.version),
            next: self.reader.state().map_or(0, |state| state.next),
            in_force: self.shown.is_some(),
            confirmed: self.confirmed.map(|age| age.at(now)),
            heard: Duration::ZERO,
        }
    }
}
