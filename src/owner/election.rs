//! Following the stream, noticing that the owner is gone, and claiming its place.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::codec;
use crate::domain::{Epoch, Instance};
use crate::membership::{Role as MemberRole, State};
use crate::owner::active::Active;
use crate::owner::journal::{Parcel, Tag};
use crate::owner::machine::{Beat, Effect, Machine, Role};
use crate::owner::record::{Claim, Floor, Record};
use crate::owner::replica::Replica;
use crate::store::{self, Offset, Outcome, Page};

/// Records at the end of the stream in which a new reader first looks for a floor.
const TAIL: Offset = 64;
/// Factor by which that window grows while it holds no floor.
const TAIL_GROWTH: Offset = 16;
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(300);
/// Share of the claim timeout that each further rank waits.
const RANK_SHARE: u32 = 3;

/// How far this instance has come with reading the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Asks where the stream ends.
    FindEnd,
    /// Looks through this many last records for a floor.
    FindFloor(Offset),
    /// Reads from the floor to the end that the stream had at the start.
    CatchUp(Offset),
    /// Has read all that there was at the start.
    Live,
}

/// What this instance knows of the owner and of the stream.
#[derive(Clone, Debug)]
pub struct Election {
    progress: Progress,
    reading: bool,
    read_at: Instant,
    read_failing_since: Option<Instant>,
    heard: Instant,
    leader: Option<(Epoch, Instance)>,
    leader_without_log: Option<Instant>,
    claiming: bool,
    /// Claim whose append got no answer; it may still take effect.
    claim_pause: Option<Instant>,
}

impl Election {
    /// State of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            progress: Progress::FindEnd,
            reading: false,
            read_at: now,
            read_failing_since: None,
            heard: now,
            leader: None,
            leader_without_log: None,
            claiming: false,
            claim_pause: None,
        }
    }

    /// Whether all that the stream held at the start has been read.
    pub fn is_caught_up(&self) -> bool {
        self.progress == Progress::Live
    }

    /// Since when reading the log has failed.
    pub fn read_failing_since(&self) -> Option<Instant> {
        self.read_failing_since
    }

    /// The instance that says it owns the domain in an epoch not before `epoch`.
    pub fn leader(&self, epoch: Epoch) -> Option<&Instance> {
        self.leader.as_ref().filter(|(theirs, _)| *theirs >= epoch).map(|(_, owner)| owner)
    }

    /// Highest epoch that any instance has named.
    pub fn highest(&self) -> Epoch {
        self.leader.as_ref().map(|(epoch, _)| *epoch).unwrap_or_default()
    }

    pub(super) fn start_over(&mut self) {
        self.progress = Progress::FindEnd;
    }

    pub(super) fn heard(&mut self, now: Instant) {
        self.heard = now;
    }

    /// An owner that still appends is alive, even if its heartbeats do not get through.
    pub(super) fn heard_through_log(&mut self, now: Instant) {
        if self.progress == Progress::Live {
            self.heard = now;
        }
    }

    pub(super) fn claimed(&mut self, claim: &Claim, now: Instant) {
        self.heard = now;
        self.leader = Some((claim.epoch, claim.instance.clone()));
        self.leader_without_log = None;
    }
}

impl Machine {
    /// Issues the next read unless one is under way.
    ///
    /// An owner learns of its own records from the answers to its appends, so it reads only to
    /// fill a gap or, at a slow pace, to find a rival's claim.
    pub(super) fn read_on(&mut self, now: Instant) {
        if self.election.reading || now < self.election.read_at {
            return;
        }
        let wait = if self.is_owner() { Duration::ZERO } else { self.timings.follow };
        let (from, wait) = match self.election.progress {
            Progress::FindEnd => (Offset::MAX, Duration::ZERO),
            Progress::FindFloor(start) => (start, Duration::ZERO),
            Progress::CatchUp(_) => (self.replica.next(), Duration::ZERO),
            Progress::Live => (self.replica.next(), wait),
        };
        self.election.reading = true;
        self.out.push(Effect::Read { from, wait });
    }

    /// Makes the next read due at once, to find out what became of an append.
    pub(super) fn read_soon(&mut self, now: Instant) {
        self.election.read_at = now;
    }

    pub(super) fn on_read(&mut self, result: Result<Page, store::Error>, now: Instant, unix: Unix) {
        self.election.reading = false;
        let page = match result {
            Ok(page) => page,
            Err(error) => {
                log::warn!("event=owner.read_failed domain={} {error}", self.domain);
                self.election.read_failing_since.get_or_insert(now);
                self.election.read_at = now.after(READ_PAUSE);
                return;
            }
        };
        self.election.read_failing_since = None;
        self.election.read_at = if self.is_owner() { now.after(self.timings.check) } else { now };
        match self.election.progress {
            Progress::FindEnd => self.on_end(&page),
            Progress::FindFloor(start) => self.on_tail(start, &page),
            Progress::CatchUp(_) | Progress::Live => self.on_page(&page, now, unix),
        }
    }

    fn on_end(&mut self, page: &Page) {
        let start = page.end.saturating_sub(TAIL).max(page.oldest);
        self.election.progress = Progress::FindFloor(start);
    }

    fn on_tail(&mut self, start: Offset, page: &Page) {
        let floor = find_floor(page).filter(|floor| floor.offset >= page.oldest);
        let whole = start <= page.oldest;
        match floor {
            Some(floor) => self.start_at(floor, page.end),
            None if whole => self.start_at(first_floor(page), page.end),
            None => {
                let window = (page.end.saturating_sub(start)).saturating_mul(TAIL_GROWTH);
                let wider = page.end.saturating_sub(window).max(page.oldest);
                self.election.progress = Progress::FindFloor(wider);
            }
        }
    }

    fn start_at(&mut self, floor: Floor, end: Offset) {
        self.replica = Replica::starting_at(floor);
        self.election.progress = Progress::CatchUp(end);
    }

    fn on_page(&mut self, page: &Page, now: Instant, unix: Unix) {
        if self.replica.has_gap(page) {
            self.restart_reading("records_dropped");
            return;
        }
        for record in &page.records {
            if record.offset == self.replica.next() {
                self.absorb(record.offset, &record.payload, now, unix);
            }
        }
        let behind = self.replica.next() < page.end;
        if behind {
            self.read_soon(now);
        }
        if let Progress::CatchUp(end) = self.election.progress
            && self.replica.next() >= end
        {
            log::info!(
                "event=owner.caught_up domain={} offset={} jobs={}",
                self.domain,
                end,
                self.replica.table.len()
            );
            self.election.progress = Progress::Live;
            self.election.heard(now);
        }
    }

    /// Retention has dropped records this instance never read. What it holds may be wrong in any
    /// part, so it starts over from a floor near the end.
    fn restart_reading(&mut self, cause: &str) {
        log::warn!("event=owner.reading_restarted domain={} cause={cause}", self.domain);
        self.step_down(cause);
        self.election.start_over();
    }

    pub(super) fn advance_follower(&mut self, now: Instant, unix: Unix) {
        if self.stopping {
            self.out.push(Effect::Stopped);
            return;
        }
        if !self.election.is_caught_up() {
            return;
        }
        if self.claim_due(now) {
            self.claim(now);
        } else if self.takeover_due(now) {
            self.take_over(now, unix);
        }
    }

    /// Whether both the owner and the log have been silent for so long that the leases of all that
    /// runs in the domain would lapse before anybody could claim it.
    fn takeover_due(&self, now: Instant) -> bool {
        let patience = self.timings.claim * 2 + self.rank_delay();
        let log_away =
            self.election.read_failing_since.is_some_and(|since| now.since(since) >= patience);
        log_away && now.since(self.election.heard) >= patience
    }

    /// Takes the domain over without the log, to keep alive what runs.
    ///
    /// The failure: the owner dies while the log is away, nobody can claim, and ten seconds later
    /// every service of the domain stops with its lease. A worker obeys the largest epoch, and
    /// ranks keep the epochs of two takers apart, so renewing needs no agreement. Placing does: it
    /// waits until the claim of this epoch is in the log, where a claim of a later term wins. Until
    /// then what this instance has read may be far behind the log, so it draws no conclusion from
    /// what workers report either; ownership begins anew once the claim is read.
    fn take_over(&mut self, now: Instant, unix: Unix) {
        let rank = u8::try_from(self.rank()).unwrap_or(u8::MAX);
        let epoch = self.known_epoch().next_sub(rank);
        log::warn!("event=owner.took_over_without_log domain={} epoch={epoch}", self.domain);
        let mut active = self.new_active(epoch, now, unix);
        active.logged = false;
        self.role = Role::Owner(Box::new(active));
        self.election.leader = Some((epoch, self.me.clone()));
    }

    fn claim_due(&self, now: Instant) -> bool {
        let paused = self.election.claim_pause.is_some_and(|until| now < until);
        let log_away = self.election.read_failing_since.is_some();
        if paused || log_away {
            return false;
        }
        let patience = self.timings.claim + self.rank_delay();
        let silent = now.since(self.election.heard) >= patience;
        let cut_off =
            self.election.leader_without_log.is_some_and(|since| now.since(since) >= patience * 2);
        silent || cut_off
    }

    /// Instances claim in the order of their names, so that two seldom claim at once.
    fn rank_delay(&self) -> Duration {
        let steps = u32::try_from(self.rank()).unwrap_or(u32::MAX);
        (self.timings.claim / RANK_SHARE).saturating_mul(steps)
    }

    fn rank(&self) -> usize {
        let ahead = |name: &str| name < self.me.name.as_str();
        self.peers().filter(|(name, _)| ahead(name)).count()
    }

    fn claim(&mut self, now: Instant) {
        self.claim_epoch(self.replica.epoch().next_term(), now);
    }

    /// Appends a claim unless one is under way.
    pub(super) fn claim_epoch(&mut self, epoch: Epoch, now: Instant) {
        let paused = self.election.claim_pause.is_some_and(|until| now < until);
        if self.election.claiming || paused {
            return;
        }
        let claim = self.replica.claim_for(&self.me, epoch);
        log::info!("event=owner.claiming domain={} epoch={}", self.domain, claim.epoch);
        self.election.claim_pause = Some(now.after(self.timings.claim));
        match codec::encode(&Record::Claim(claim)) {
            Ok(payload) => {
                self.election.claiming = true;
                self.out.push(Effect::Append(Parcel { tag: Tag::Claim, payload }));
            }
            Err(error) => log::error!("event=owner.claim_unwritable cause=\"{error}\""),
        }
    }

    /// Takes in the end of an append.
    ///
    /// A failed append may have been written. A claim takes effect whenever it is read, and a
    /// batch is appended again under the same epoch and sequence, so neither is lost or doubled.
    pub(super) fn on_appended(
        &mut self,
        tag: Tag,
        result: Result<Offset, store::Error>,
        now: Instant,
        unix: Unix,
    ) {
        if tag == Tag::Claim {
            self.election.claiming = false;
        }
        match result {
            Ok(offset) if tag != Tag::Claim => self.on_batch_written(tag, offset, now, unix),
            Ok(_) => self.read_soon(now),
            Err(error) => {
                log::warn!("event=owner.append_failed domain={} {error}", self.domain);
                if let Some(active) = self.active() {
                    active.journal.failed(tag, now);
                    active.append_failed(tag, now);
                }
                if error.outcome == Outcome::Unknown {
                    self.read_soon(now);
                }
            }
        }
    }

    pub(super) fn on_beat(&mut self, beat: &Beat, now: Instant) {
        if beat.epoch < self.known_epoch() || beat.owner == self.me {
            return;
        }
        self.yield_to(beat.epoch, "later_owner_spoke");
        self.enroll(beat);
        self.election.heard(now);
        self.election.leader = Some((beat.epoch, beat.owner.clone()));
        // Only what this instance can reach and the owner cannot is a reason to take its place: an
        // outage that both had ends for one of them first.
        let alone = beat.without_log && self.election.read_failing_since.is_none();
        self.election.leader_without_log = match alone {
            true => Some(self.election.leader_without_log.unwrap_or(now)),
            false => None,
        };
    }

    /// Takes in that `from` has heard this owner and knows of `epoch`.
    ///
    /// An earlier owner that has heard of a later epoch has stepped down, and a new process at its
    /// address proves the old one gone.
    pub(super) fn on_beat_answered(&mut self, from: &Instance, epoch: Epoch, now: Instant) {
        if self.yield_to(epoch, "peer_knows_later_epoch") {
            self.election.heard(now);
        }
        let gone: Vec<Instance> = self
            .replica
            .formers()
            .iter()
            .filter(|former| former.peer == from.peer)
            .cloned()
            .collect();
        let Role::Owner(active) = &mut self.role else { return };
        active.heard_by.insert(from.name.clone(), now);
        if epoch < active.epoch {
            return;
        }
        for former in gone {
            active.retire(&former);
        }
        if epoch == active.epoch {
            active.enroll(from);
        }
    }

    pub(super) fn on_handover(&mut self, epoch: Epoch, now: Instant, unix: Unix) {
        let current = epoch >= self.known_epoch() && !self.stopping && !self.is_owner();
        if !current || !self.election.is_caught_up() {
            return;
        }
        match self.election.read_failing_since {
            None => self.claim(now),
            Some(_) => self.take_over(now, unix),
        }
    }

    pub(super) fn new_active(&self, epoch: Epoch, now: Instant, unix: Unix) -> Active {
        let board = self.replica.board.clone();
        let domain = self.domain.clone();
        let mut active = Active::new(epoch, domain, &self.timings, self.policy, board, now);
        active.set_settings(&self.settings);
        active.set_members(&self.members);
        // An owner before this one may have started what the log does not say, unless this
        // instance would keep the record of it.
        let previous = self.replica.previous();
        active.cautious = previous != Epoch::default() && self.custody.enrolled() != Some(previous);
        active.load(&self.replica.table, now, unix);
        active
    }

    pub(super) fn become_owner(&mut self, now: Instant, unix: Unix) {
        let epoch = self.replica.epoch();
        log::info!(
            "event=owner.claimed domain={} epoch={epoch} jobs={}",
            self.domain,
            self.replica.table.len()
        );
        let mut active = self.new_active(epoch, now, unix);
        for change in self.custody.changes(self.replica.previous()) {
            log::debug!("event=owner.relogged change={change:?}");
            active.recovering = true;
            active.journal.push(change, None);
        }
        self.role = Role::Owner(Box::new(active));
        self.election.leader = Some((epoch, self.me.clone()));
    }

    /// Entry instances of the domain other than this one, by name.
    pub(super) fn peers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.members
            .iter()
            .filter(|member| member.role == MemberRole::Entry && member.state == State::Live)
            .filter(|member| member.address != self.me.peer)
            .map(|member| (member.name.as_str(), member.address))
    }
}

/// The latest floor that a batch of the page names.
fn find_floor(page: &Page) -> Option<Floor> {
    let floor = |payload| match codec::decode::<Record>(payload) {
        Ok(Record::Batch(batch)) => Some(batch.floor),
        _ => None,
    };
    page.records.iter().filter_map(|record| floor(&record.payload)).max_by_key(|floor| floor.offset)
}

/// Where to start when no floor is left: at the oldest record, in the epoch that makes it hold.
fn first_floor(page: &Page) -> Floor {
    let Some(first) = page.records.first() else {
        return Floor { offset: page.oldest, ..Floor::default() };
    };
    let (epoch, sequence) = match codec::decode::<Record>(&first.payload) {
        Ok(Record::Batch(batch)) => (batch.epoch, batch.sequence),
        Ok(Record::Claim(claim)) => (previous(claim.epoch), 0),
        Err(_) => (Epoch::default(), 0),
    };
    Floor { offset: page.oldest, epoch, sequence }
}

fn previous(epoch: Epoch) -> Epoch {
    match epoch.sub {
        0 => Epoch { term: epoch.term.saturating_sub(1), sub: 0 },
        sub => Epoch { term: epoch.term, sub: sub - 1 },
    }
}
