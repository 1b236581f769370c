//! Reading the stream, detecting the loss of the owner, and claiming the domain.

mod claim;
mod reading;

use std::net::SocketAddr;

use reading::Progress;

use crate::clock::{Instant, Unix};
use crate::domain::{Epoch, Instance};
use crate::membership::{Role as MemberRole, State};
use crate::owner::active::Active;
use crate::owner::machine::{Heartbeat, Machine, Role};
use crate::owner::record::Claim;

/// Latest information about the owner, and the progress of this instance in the stream.
#[derive(Clone, Debug)]
pub struct Election {
    progress: Progress,
    read_in_flight: bool,
    next_read_at: Instant,
    read_failing_since: Option<Instant>,
    last_heard: Instant,
    announced: Option<(Epoch, Instance)>,
    owner_without_log_since: Option<Instant>,
    claim_in_flight: bool,
    /// When the next claim may be appended. An earlier claim may still take effect until then.
    claim_paused_until: Option<Instant>,
}

impl Election {
    /// State of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            progress: Progress::FindEnd,
            read_in_flight: false,
            next_read_at: now,
            read_failing_since: None,
            last_heard: now,
            announced: None,
            owner_without_log_since: None,
            claim_in_flight: false,
            claim_paused_until: None,
        }
    }

    /// Whether the stream has been read up to the end that it had when reading began.
    pub fn is_caught_up(&self) -> bool {
        self.progress == Progress::Live
    }

    /// Time since which reads of the log have failed.
    pub fn read_failing_since(&self) -> Option<Instant> {
        self.read_failing_since
    }

    /// The instance that announced itself as owner in `epoch` or later.
    pub fn announced_owner(&self, epoch: Epoch) -> Option<&Instance> {
        self.announced.as_ref().filter(|(announced, _)| *announced >= epoch).map(|(_, owner)| owner)
    }

    /// Highest epoch that an owner has announced.
    pub fn highest_epoch(&self) -> Epoch {
        self.announced.as_ref().map(|(epoch, _)| *epoch).unwrap_or_default()
    }

    pub(in crate::owner) fn restart_replay(&mut self) {
        self.progress = Progress::FindEnd;
    }

    pub(in crate::owner) fn record_owner_alive(&mut self, now: Instant) {
        self.last_heard = now;
    }

    /// Records that the owner is working because it appends, even if its heartbeats do not arrive.
    pub(in crate::owner) fn record_owner_append(&mut self, now: Instant) {
        if self.progress == Progress::Live {
            self.last_heard = now;
        }
    }

    pub(in crate::owner) fn record_claim(&mut self, claim: &Claim, now: Instant) {
        self.last_heard = now;
        self.announced = Some((claim.epoch, claim.instance.clone()));
        self.owner_without_log_since = None;
    }
}

impl Machine {
    pub(in crate::owner) fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if heartbeat.epoch < self.known_epoch() || heartbeat.owner == self.me {
            return;
        }
        self.step_down_if_superseded(heartbeat.epoch, "later_owner_spoke");
        self.enroll(heartbeat);
        self.election.record_owner_alive(now);
        self.election.announced = Some((heartbeat.epoch, heartbeat.owner.clone()));
        // The owner is replaced only if this instance can reach the log and the owner cannot. In an
        // outage of both, the one that recovers first would otherwise replace the other for no
        // reason.
        let only_owner_cut_off =
            heartbeat.without_log && self.election.read_failing_since.is_none();
        self.election.owner_without_log_since = match only_owner_cut_off {
            true => Some(self.election.owner_without_log_since.unwrap_or(now)),
            false => None,
        };
    }

    /// Handles the answer of `from` to a heartbeat; `epoch` is the latest one on record there.
    ///
    /// A former owner that has recorded a later epoch has stepped down, and a new process at the
    /// address of a former owner shows that the old process is gone.
    pub(in crate::owner) fn on_heartbeat_answered(
        &mut self,
        from: &Instance,
        epoch: Epoch,
        now: Instant,
    ) {
        if self.step_down_if_superseded(epoch, "peer_knows_later_epoch") {
            self.election.record_owner_alive(now);
        }
        let replaced: Vec<Instance> = self
            .replica
            .former_owners()
            .iter()
            .filter(|former| former.peer == from.peer)
            .cloned()
            .collect();
        let Role::Owner(active) = &mut self.role else { return };
        active.last_acks.insert(from.name.clone(), now);
        if epoch < active.epoch {
            return;
        }
        for former in replaced {
            active.retire(&former);
        }
        if epoch == active.epoch {
            active.enroll(from);
        }
    }

    pub(in crate::owner) fn on_handover(&mut self, epoch: Epoch, now: Instant, unix: Unix) {
        let current = epoch >= self.known_epoch() && !self.stopping && !self.is_owner();
        if !current || !self.election.is_caught_up() {
            return;
        }
        match self.election.read_failing_since {
            None => self.claim(now),
            Some(_) => self.take_over(now, unix),
        }
    }

    pub(in crate::owner) fn new_active(&self, epoch: Epoch, now: Instant, unix: Unix) -> Active {
        let board = self.replica.board.clone();
        let domain = self.domain.clone();
        let mut active = Active::new(epoch, domain, &self.timings, self.policy, board, now);
        active.set_settings(&self.settings);
        active.set_members(&self.members);
        // An earlier owner may have started tasks whose placement is not in the log, unless this
        // instance was enrolled and would store a copy of it.
        let previous = self.replica.previous_epoch();
        active.awaiting_reports =
            previous != Epoch::default() && self.copies.enrolled_epoch() != Some(previous);
        active.load(&self.replica.table, now, unix);
        active
    }

    pub(in crate::owner) fn become_owner(&mut self, now: Instant, unix: Unix) {
        let epoch = self.replica.epoch();
        log::info!(
            "event=owner.claimed domain={} epoch={epoch} jobs={}",
            self.domain,
            self.replica.table.len()
        );
        let mut active = self.new_active(epoch, now, unix);
        for entry in self.copies.unlogged_entries(self.replica.previous_epoch()) {
            log::debug!("event=owner.relogged change={entry:?}");
            active.recovering = true;
            active.journal.push(entry, None);
        }
        self.role = Role::Owner(Box::new(active));
        self.election.announced = Some((epoch, self.me.clone()));
    }

    /// Names and addresses of the other live entry instances of the domain.
    pub(in crate::owner) fn peers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.members
            .iter()
            .filter(|member| member.role == MemberRole::Entry && member.state == State::Live)
            .filter(|member| member.address != self.me.peer)
            .map(|member| (member.name.as_str(), member.address))
    }
}
