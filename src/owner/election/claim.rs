//! Taking the domain over: by a claim in the log, or without the log while it is away.

use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::codec;
use crate::domain::Epoch;
use crate::owner::journal::{AppendRequest, Tag};
use crate::owner::machine::{Effect, Machine, Role};
use crate::owner::record::Record;
use crate::store::{self, AppendOutcome, Offset};

/// Share of the claim timeout that each further rank waits.
const RANK_DELAY_DIVISOR: u32 = 3;

impl Machine {
    pub(in crate::owner) fn advance_follower(&mut self, now: Instant, unix: Unix) {
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
        let timeout = self.timings.claim_timeout * 2 + self.rank_delay();
        let log_unavailable =
            self.election.read_failing_since.is_some_and(|since| now.since(since) >= timeout);
        log_unavailable && now.since(self.election.last_heard) >= timeout
    }

    /// Takes the domain over without the log, to keep alive what runs.
    ///
    /// The failure: the owner dies while the log is away, nobody can claim, and ten seconds later
    /// every service of the domain stops with its lease. A worker obeys the largest epoch, and
    /// ranks keep the epochs of two takers apart, so renewing needs no agreement. Placing does: it
    /// waits until the claim of this epoch is in the log, where a claim of a later term wins. Until
    /// then what this instance has read may be far behind the log, so it draws no conclusion from
    /// what workers report either; ownership begins anew once the claim is read.
    pub(super) fn take_over(&mut self, now: Instant, unix: Unix) {
        let rank = u8::try_from(self.rank()).unwrap_or(u8::MAX);
        let epoch = self.known_epoch().next_sub(rank);
        log::warn!("event=owner.took_over_without_log domain={} epoch={epoch}", self.domain);
        let mut active = self.new_active(epoch, now, unix);
        active.claim_logged = false;
        self.role = Role::Owner(Box::new(active));
        self.election.announced = Some((epoch, self.me.clone()));
    }

    fn claim_due(&self, now: Instant) -> bool {
        let paused = self.election.claim_paused_until.is_some_and(|until| now < until);
        let log_unavailable = self.election.read_failing_since.is_some();
        if paused || log_unavailable {
            return false;
        }
        let timeout = self.timings.claim_timeout + self.rank_delay();
        let silent = now.since(self.election.last_heard) >= timeout;
        let owner_cut_off = self
            .election
            .owner_without_log_since
            .is_some_and(|since| now.since(since) >= timeout * 2);
        silent || owner_cut_off
    }

    /// Instances claim in the order of their names, so that two seldom claim at once.
    fn rank_delay(&self) -> Duration {
        let steps = u32::try_from(self.rank()).unwrap_or(u32::MAX);
        (self.timings.claim_timeout / RANK_DELAY_DIVISOR).saturating_mul(steps)
    }

    fn rank(&self) -> usize {
        let ranks_before = |name: &str| name < self.me.name.as_str();
        self.peers().filter(|(name, _)| ranks_before(name)).count()
    }

    pub(super) fn claim(&mut self, now: Instant) {
        self.claim_epoch(self.replica.epoch().next_term(), now);
    }

    /// Appends a claim unless one is under way.
    pub(in crate::owner) fn claim_epoch(&mut self, epoch: Epoch, now: Instant) {
        let paused = self.election.claim_paused_until.is_some_and(|until| now < until);
        if self.election.claim_in_flight || paused {
            return;
        }
        let claim = self.replica.claim_for(&self.me, epoch);
        log::info!("event=owner.claiming domain={} epoch={}", self.domain, claim.epoch);
        self.election.claim_paused_until = Some(now.after(self.timings.claim_timeout));
        match codec::encode(&Record::Claim(claim)) {
            Ok(payload) => {
                self.election.claim_in_flight = true;
                self.out.push(Effect::Append(AppendRequest { tag: Tag::Claim, payload }));
            }
            Err(error) => log::error!("event=owner.claim_unwritable cause=\"{error}\""),
        }
    }

    /// Takes in the end of an append.
    ///
    /// A failed append may have been written. A claim takes effect whenever it is read, and a
    /// batch is appended again under the same epoch and sequence, so neither is lost or doubled.
    pub(in crate::owner) fn on_appended(
        &mut self,
        tag: Tag,
        result: Result<Offset, store::Error>,
        now: Instant,
        unix: Unix,
    ) {
        if tag == Tag::Claim {
            self.election.claim_in_flight = false;
        }
        match result {
            Ok(offset) if tag != Tag::Claim => self.on_batch_written(tag, offset, now, unix),
            Ok(_) => self.read_soon(now),
            Err(error) => {
                log::warn!("event=owner.append_failed domain={} {error}", self.domain);
                if let Some(active) = self.active() {
                    active.journal.on_append_failed(tag, now);
                    active.on_append_failed(tag, now);
                }
                if error.outcome == AppendOutcome::Unknown {
                    self.read_soon(now);
                }
            }
        }
    }
}
