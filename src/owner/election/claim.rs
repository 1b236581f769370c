//! Taking over the domain: by a claim in the log, or without the log while it is unreachable.

use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::codec;
use crate::domain::Epoch;
use crate::owner::journal::{AppendRequest, Tag};
use crate::owner::machine::{Effect, Machine, Role};
use crate::owner::record::Record;
use crate::store::{self, AppendOutcome, Offset};

/// The claim timeout divided by this is the additional delay of each rank.
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

    /// Whether the owner and the log have both been unreachable for so long that the leases of the
    /// running tasks would expire before an instance could claim the domain.
    fn takeover_due(&self, now: Instant) -> bool {
        let timeout = self.timings.claim_timeout * 2 + self.rank_delay();
        let log_unavailable =
            self.election.read_failing_since.is_some_and(|since| now.since(since) >= timeout);
        log_unavailable && now.since(self.election.last_heard) >= timeout
    }

    /// Takes over the domain without the log, to renew the leases of running tasks.
    ///
    /// If the owner fails during an outage of the log, no instance can claim the domain, and ten
    /// seconds later every service in it would stop with its lease. A worker obeys the largest
    /// epoch, and each rank uses an epoch of its own, so renewing leases needs no agreement.
    /// Placement does need it: it waits until the claim of this epoch is in the log, where a claim
    /// of a later term wins. Until then the state of this instance may lag far behind the log, so
    /// it does not act on the reports of workers either. Once the claim is read, ownership starts
    /// again from a new state.
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
        let owner_unreachable = now.since(self.election.last_heard) >= timeout;
        let owner_cut_off = self
            .election
            .owner_without_log_since
            .is_some_and(|since| now.since(since) >= timeout * 2);
        owner_unreachable || owner_cut_off
    }

    /// Delay of this instance by its rank. Instances claim in the order of their names, so that two
    /// rarely claim at the same time.
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

    /// Appends a claim unless one is in flight or was appended recently.
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

    /// Handles the result of an append.
    ///
    /// A failed append may still have been written. A claim takes effect whenever it is read, and a
    /// batch is appended again with the same epoch and sequence number, so neither is lost or
    /// applied twice.
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
