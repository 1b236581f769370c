//! Who owns a cell: each instance follows the owner, and takes over when the owner is gone.
//!
//! Safety lies in the journal alone: from a claim on it refuses the owner before, so that what
//! stands before the claim is all that ever will. The claimant reads up to its own claim and has the
//! whole state. Everything here only decides *when* to claim.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::link::{Rejected, Sign};
use super::machine::Machine;
use super::node::Node;
use super::owner::Owner;
use super::peer::{ANNOUNCE, Announcement, Offer, WATCH, Watch, Watched};
use super::reading::Reading;
use super::record::{Batch, Record};
use super::timings::{
    APPEND_RETRY, APPEND_TIMEOUT, PROBE_TIMEOUT, RANK_DELAY, SIGN_TIMEOUT, STORE_QUICK,
    WATCH_TIMEOUT,
};
use super::{Epoch, Id};
use crate::codec;
use crate::peer;
use crate::telemetry::names;

/// Rest between two looks of an instance that is about to end.
const FOLLOW_REST: Duration = Duration::from_millis(50);

/// Rest after the store could not be read.
const READ_RETRY: Duration = Duration::from_millis(200);

/// Time in which an owner that nobody reaches must write something to count as alive.
const SILENT_OWNER: Duration = Duration::from_millis(250);

/// Time for telling another instance of a new owner.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tries to leave a sign of a new owner; with the rests between them they outlast a store that is
/// down for six seconds. Without a sign, instances read the journal.
const PUBLISH_TRIES: u32 = 40;

/// Rank of an instance that no owner has told its place.
const UNRANKED: u32 = 3;

/// Bounds the rank, so that the last instance of many does not wait for long.
const LOWEST_RANK: u32 = 8;

struct Election {
    node: Rc<Node>,
    cell: Id,
    reading: Reading,
    rank: u32,
    /// Instances that followed the owner when it last answered.
    peers: Vec<SocketAddr>,
    /// The sign that this instance went by last.
    followed: Option<Sign>,
    /// Whether the owner did not answer when it was last asked.
    unheard: bool,
}

/// Why an instance wants to take a cell over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Motive {
    /// Nobody owns it, or it is not known who does.
    Unknown,
    /// The owner offers it.
    Offered(SocketAddr),
    /// The store keeps the owner waiting.
    Struggling(SocketAddr),
    /// The owner's process is gone: its connection was refused or reset.
    Gone(SocketAddr),
    /// The owner does not answer.
    Silent(SocketAddr),
}

impl Motive {
    /// The owner that is to be replaced.
    const fn replaced(self) -> Option<SocketAddr> {
        match self {
            Self::Unknown => None,
            Self::Offered(peer)
            | Self::Struggling(peer)
            | Self::Gone(peer)
            | Self::Silent(peer) => Some(peer),
        }
    }
}

/// Follows or owns the cell until the instance leaves.
pub async fn run(node: Rc<Node>, cell: Id) {
    let (reading, peers) = (Reading::default(), Vec::new());
    let (followed, unheard) = (None, false);
    let mut election = Election { node, cell, reading, rank: UNRANKED, peers, followed, unheard };
    let mut motive = Motive::Unknown;
    while !election.node.has_left() {
        if election.node.stop.is_triggered() {
            // A process about to end takes nothing over; it passes calls on until it is gone.
            election.follow_quietly().await;
            continue;
        }
        election.consider(motive).await;
        motive = election.follow().await;
    }
}

impl Election {
    /// Follows the known owner while it answers; returns why the instance should act.
    async fn follow(&mut self) -> Motive {
        loop {
            let Some(owner) = self.node.owner(self.cell) else { return Motive::Unknown };
            if owner == self.node.me {
                return Motive::Unknown;
            }
            let watched = self.watch(owner, !self.unheard).await;
            self.unheard = watched.is_err();
            match watched {
                Ok(watched) => {
                    if let Some(motive) = self.learn(owner, watched) {
                        return motive;
                    }
                }
                Err(error) => {
                    log::info!("event=owner.unanswered cell={} owner={owner} {error}", self.cell);
                    let silent = error.step == peer::Step::Timeout;
                    return if silent { Motive::Silent(owner) } else { Motive::Gone(owner) };
                }
            }
            if self.node.stop.is_triggered() {
                return Motive::Unknown;
            }
        }
    }

    /// Asks the owner how it is; a `patient` question may be held back by it.
    async fn watch(&self, owner: SocketAddr, patient: bool) -> Result<Watched, peer::Error> {
        let (version, strength) = (self.node.table().version, self.node.strength);
        let watch = Watch { cell: self.cell, from: self.node.me, version, strength, patient };
        let timeout = if patient { WATCH_TIMEOUT } else { PROBE_TIMEOUT };
        self.node.borders.peers.call(owner, WATCH, &watch, timeout).await
    }

    fn learn(&mut self, owner: SocketAddr, watched: Watched) -> Option<Motive> {
        if let Some(table) = watched.table {
            self.node.take_table(table);
        }
        if !watched.owns {
            let elsewhere = watched.owner.filter(|other| *other != owner && *other != self.node.me);
            if elsewhere.is_some() {
                self.node.set_owner(self.cell, elsewhere);
                return None;
            }
            return Some(Motive::Unknown);
        }
        if !watched.present.is_empty() {
            self.peers.clone_from(&watched.present);
        }
        let mut followers = watched.present.iter().filter(|peer| **peer != owner);
        let place = followers.position(|peer| *peer == self.node.me);
        self.rank = place.map_or(UNRANKED, |place| (place as u32).min(LOWEST_RANK));
        // An owner that answers is in contact, also while the store keeps it from serving: callers
        // are passed on to it and keep their connections, since they fare no better elsewhere.
        self.node.note_contact(self.cell);
        if watched.offer != Offer::Open {
            self.node.note_served(self.cell);
        }
        match watched.offer {
            Offer::Open => Some(Motive::Offered(owner)),
            Offer::IfQuicker => Some(Motive::Struggling(owner)),
            Offer::Kept => None,
        }
    }

    /// Passes on what is known of the owner, without taking over.
    async fn follow_quietly(&mut self) {
        match self.node.owner(self.cell) {
            Some(owner) if owner != self.node.me => {
                if let Ok(watched) = self.watch(owner, true).await {
                    let _ = self.learn(owner, watched);
                }
            }
            _ => {
                let sign = self.sign().await.unwrap_or_default();
                if !self.follows_sign(sign, Motive::Unknown) && self.read().await {
                    let owner = self.reading.state.owner.map(|owner| owner.peer);
                    self.node.set_owner(self.cell, owner.filter(|owner| *owner != self.node.me));
                }
            }
        }
        self.node.borders.clock.sleep(FOLLOW_REST).await;
    }

    /// Reads the journal and takes the cell over, where that is called for.
    async fn consider(&mut self, motive: Motive) {
        let before = self.reading.state.epoch.max(self.node.epoch(self.cell));
        if !self.may_claim(motive).await {
            return;
        }
        if !self.read().await {
            // Without the store nobody can take over; the owner may come back.
            self.node.borders.clock.sleep(READ_RETRY).await;
            return;
        }
        if self.follows_other(motive, before) {
            return;
        }
        let goes_on = match motive {
            Motive::Offered(owner) | Motive::Struggling(owner) => self.is_recovered(owner).await,
            Motive::Silent(_) => self.is_owner_writing().await,
            Motive::Unknown | Motive::Gone(_) => false,
        };
        if !goes_on && !self.node.stop.is_triggered() {
            self.claim(motive).await;
        }
    }

    /// Waits for the instance's turn; whether it should take the cell over, as far as the owner's
    /// sign tells.
    async fn may_claim(&mut self, motive: Motive) -> bool {
        if matches!(motive, Motive::Struggling(_)) && !self.reaches_store_quickly().await {
            // The store is slow or away for all.
            self.node.borders.clock.sleep(READ_RETRY).await;
            return false;
        }
        let mut rank = self.rank;
        if motive == Motive::Unknown && !self.reading.begun {
            let sign = self.sign().await.unwrap_or_default();
            if self.follows_sign(sign, motive) {
                return false;
            }
            rank = self.first_rank(sign);
            if rank == 0 {
                return true;
            }
        }
        let known = self.node.epoch(self.cell);
        for _ in 0..rank {
            self.node.borders.clock.sleep(RANK_DELAY).await;
            if self.node.epoch(self.cell) > known {
                return false;
            }
        }
        let sign = self.sign().await.unwrap_or_default();
        !self.follows_sign(sign, motive)
    }

    /// Whether the store answers this instance in its usual time.
    async fn reaches_store_quickly(&self) -> bool {
        let asked = self.node.borders.clock.now();
        let sign = self.sign().await;
        sign.is_ok() && self.node.borders.clock.now().since(asked) <= STORE_QUICK
    }

    /// Place in the order in which instances that have just begun take over.
    ///
    /// All come at once, and the strongest should win; where one owned the cell before, those that
    /// are as strong need not wait for each other. Buys 0.16 s after each loss of all instances of a
    /// quarter of a core (from the begin of a process to its claim, 0.29 s before).
    fn first_rank(&self, sign: Option<Sign>) -> u32 {
        match sign {
            Some(sign) if sign.strength > 0 && self.node.strength >= sign.strength => 0,
            _ => self.node.weakness(LOWEST_RANK),
        }
    }

    /// What the last owner says of itself; `None` without one.
    async fn sign(&self) -> Result<Option<Sign>, ()> {
        let read = self.node.borders.journal.sign(self.cell);
        let cause = match monoio::time::timeout(SIGN_TIMEOUT, read).await {
            Ok(Ok(sign)) => return Ok(sign),
            Ok(Err(cause)) => cause,
            Err(_) => format!("no answer within {} ms", SIGN_TIMEOUT.as_millis()),
        };
        log::warn!("event=owner.sign_unread cell={} cause={cause:?}", self.cell);
        Err(())
    }

    /// Whether an owner other than the one to be replaced has left a sign, which this instance has
    /// not yet followed in vain.
    ///
    /// Guards against small instances that never learn who owns the cell: once all have come back
    /// after a loss of power, reading a journal of megabytes over a link of 10 Mbit/s took longer
    /// than its timeout again and again, and 24 of 30 instances turned their callers away.
    fn follows_sign(&mut self, sign: Option<Sign>, motive: Motive) -> bool {
        let Some(sign) = sign else { return false };
        let known = self.followed == Some(sign) || motive.replaced() == Some(sign.peer);
        if known || sign.peer == self.node.me {
            return false;
        }
        self.followed = Some(sign);
        self.node.note_epoch(self.cell, sign.epoch);
        self.node.set_owner(self.cell, Some(sign.peer));
        true
    }

    /// Whether the journal names an owner other than the one to be replaced.
    fn follows_other(&self, motive: Motive, before: Epoch) -> bool {
        let state = &self.reading.state;
        let Some(owner) = state.owner else { return false };
        let replaced = motive.replaced();
        if owner.peer == self.node.me {
            // Claimed by an earlier process at this address, or by this one before it stepped down.
            return false;
        }
        let is_new = state.epoch > before;
        if replaced == Some(owner.peer) && !is_new {
            return false;
        }
        if replaced.is_none() && !is_new && self.node.owner(self.cell) == Some(owner.peer) {
            return false;
        }
        self.node.set_owner(self.cell, Some(owner.peer));
        true
    }

    /// Whether an owner that wanted to be relieved serves its cell again.
    ///
    /// Guards against a change of owner right when the store is back for all: the owner that
    /// offered the cell tries its append again every `APPEND_RETRY`, and needs no successor.
    async fn is_recovered(&self, owner: SocketAddr) -> bool {
        self.node.borders.clock.sleep(APPEND_RETRY).await;
        let watched = self.watch(owner, false).await;
        watched.is_ok_and(|watched| watched.owns && watched.offer == Offer::Kept)
    }

    /// Whether an owner that does not answer still writes to the journal.
    ///
    /// Guards against taking a cell from an owner that only this instance cannot reach.
    async fn is_owner_writing(&mut self) -> bool {
        let seen = self.reading.next;
        self.node.borders.clock.sleep(SILENT_OWNER).await;
        self.read().await && self.reading.next > seen
    }

    /// Reads the journal to its end; `false` when the store does not answer.
    async fn read(&mut self) -> bool {
        let journal = self.node.borders.journal.clone();
        if !self.reading.begun {
            match journal.base(self.cell).await {
                Ok(base) => self.reading.begin(&base),
                Err(cause) => return self.unread(&cause),
            }
        }
        loop {
            match journal.read(self.cell, self.reading.next).await {
                Ok(page) => {
                    for record in &page.records {
                        self.reading.take(record);
                    }
                    self.reading.next = page.next;
                    if page.next >= page.end {
                        return true;
                    }
                }
                Err(cause) => {
                    // What was to come next may have been dropped; begin with the saved state.
                    self.reading.begun = false;
                    return self.unread(&cause);
                }
            }
        }
    }

    fn unread(&self, cause: &str) -> bool {
        log::warn!("event=journal.unread cell={} cause={cause:?}", self.cell);
        false
    }

    /// Claims the cell and owns it, if no other instance is faster.
    ///
    /// The claim goes wherever the journal ends: a busy owner that hands its cell over goes on
    /// writing, so that a claim at the end that was read would come too late again and again.
    async fn claim(&mut self, motive: Motive) {
        let epoch = self.reading.state.epoch.next();
        let Ok(bytes) = codec::encode(&self.claim_batch(epoch)) else { return };
        log::info!("event=owner.claim cell={} epoch={epoch} motive={motive:?}", self.cell);
        let first = self.node.first_sequence();
        let journal = self.node.borders.journal.clone();
        let claimed = journal.append(self.cell, epoch, first, bytes, APPEND_TIMEOUT).await;
        match &claimed {
            Ok(_) => names::CELL_CLAIMS.increment(&[("outcome", "written")]),
            Err(Rejected::Fenced) => {
                names::CELL_CLAIMS.increment(&[("outcome", "lost")]);
                log::info!("event=owner.claim_lost cell={} epoch={epoch}", self.cell);
            }
            // It may be in the journal all the same; only reading it tells.
            Err(rejected) => {
                names::CELL_CLAIMS.increment(&[("outcome", "unknown")]);
                log::warn!("event=owner.claim_unknown cell={} epoch={epoch} {rejected}", self.cell);
                self.node.borders.clock.sleep(READ_RETRY).await;
            }
        }
        while !self.read().await {
            if claimed.is_err() || self.node.stop.is_triggered() {
                return;
            }
            self.node.borders.clock.sleep(READ_RETRY).await;
        }
        let owner = self.reading.state.owner;
        let mine = owner.is_some_and(|owner| {
            owner.peer == self.node.me && owner.incarnation == self.node.incarnation
        });
        if mine && self.reading.state.epoch == epoch {
            self.own().await;
        } else {
            let owner = owner.map(|owner| owner.peer);
            self.node.set_owner(self.cell, owner.filter(|owner| *owner != self.node.me));
        }
    }

    /// Tells the instances that followed the owner before.
    fn announce(&self, epoch: Epoch) {
        let announcement = Announcement { cell: self.cell, epoch, owner: self.node.me };
        for peer in self.peers.iter().copied().filter(|peer| *peer != self.node.me) {
            let borders = self.node.borders.clone();
            monoio::spawn(async move {
                let told: Result<(), _> =
                    borders.peers.call(peer, ANNOUNCE, &announcement, ANNOUNCE_TIMEOUT).await;
                if let Err(error) = told {
                    log::info!("event=owner.not_announced peer={peer} cause={error:?}");
                }
            });
        }
    }

    /// Leaves a sign for instances that do not know the owner.
    fn publish(&self, epoch: Epoch) {
        let (node, cell) = (self.node.clone(), self.cell);
        let sign = Sign { epoch, peer: node.me, strength: node.strength };
        monoio::spawn(async move {
            let journal = node.borders.journal.clone();
            for _ in 0..PUBLISH_TRIES {
                match journal.publish(cell, node.first_sequence(), sign).await {
                    Ok(()) | Err(Rejected::Fenced) => return,
                    Err(rejected) => {
                        log::warn!("event=owner.sign_unwritten cell={cell} {rejected}");
                    }
                }
                node.borders.clock.sleep(READ_RETRY).await;
            }
        });
    }

    fn claim_batch(&self, epoch: Epoch) -> Batch {
        let claim = Record::Claimed { peer: self.node.me, incarnation: self.node.incarnation };
        Batch { epoch, at: self.node.borders.clock.unix(), records: vec![claim] }
    }

    /// Owns the cell until another instance takes it over.
    async fn own(&mut self) {
        let node = self.node.clone();
        let Reading { state, next, .. } = std::mem::take(&mut self.reading);
        let (epoch, jobs, tasks) = (state.epoch, state.jobs.len(), state.live.len());
        let (now, unix) = (node.borders.clock.now(), node.borders.clock.unix());
        let mut machine =
            Machine::new(state, node.first_sequence(), next, node.table(), node.timings, now, unix);
        let (peer, strength) = (node.me, node.strength);
        machine.handle(super::machine::Message::Present { peer, strength }, now, unix);
        let (noted, cell) = (node.clone(), self.cell);
        let health = Box::new(move |health| noted.note_health(cell, health));
        let (owner, handle) =
            Owner::new(self.cell, node.cells, node.me, machine, node.borders.clone(), health);
        log::info!("event=owner.begin cell={} epoch={epoch} jobs={jobs} tasks={tasks}", self.cell);
        node.note_epoch(self.cell, epoch);
        node.set_owning(self.cell, Some(handle));
        self.announce(epoch);
        self.publish(epoch);
        let why = owner.run().await;
        log::warn!("event=owner.end cell={} epoch={epoch} {why}", self.cell);
        node.set_owning(self.cell, None);
    }
}
