//! Claiming a cell, and starting its owner.

use std::time::Duration;

use super::reason::TakeoverReason;
use super::search::ReplayResult;
use super::{Election, READ_RETRY_DELAY};
use crate::cell::Epoch;
use crate::cell::dependencies::AppendError;
use crate::cell::machine::Machine;
use crate::cell::owner::OwnerTask;
use crate::cell::peer::{ANNOUNCE, Announcement};
use crate::cell::record::{Batch, Record};
use crate::cell::replay::JournalReplay;
use crate::cell::timings::APPEND_TIMEOUT;
use crate::telemetry::names;
use crate::{codec, logging};

/// Number of checks for the instance whose claim came first, and the delay before each.
const WINNER_CHECKS: u32 = 5;
const WINNER_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Timeout for announcing a new owner to one instance.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

impl Election {
    /// Claims the cell, whose last epoch is `known`, and owns it if no other instance claims first.
    ///
    /// The claim is appended wherever the journal ends. A busy owner that hands its cell over
    /// continues to write, so a claim at a fixed offset would repeatedly come too late.
    ///
    /// The claim precedes the replay of the journal. Guards against simultaneous replays: on a site
    /// of a hundred instances, all that wanted the cell read megabytes at once, and the one that
    /// claimed it could neither read the list of workers nor write for a second and a half.
    pub(super) async fn claim(&mut self, reason: TakeoverReason, known: Epoch) {
        let epoch = known.next();
        let Ok(bytes) = codec::encode(&self.claim_batch(epoch)) else { return };
        log::info!("event=owner.claim cell={} epoch={epoch} motive={reason:?}", self.cell);
        let first = self.node.claim_sequence();
        let journal = self.node.deps.journal.clone();
        let claimed = journal.append(self.cell, epoch, first, bytes, APPEND_TIMEOUT).await;
        self.drop_replay_with_losses();
        match claimed {
            Ok(_) => {
                names::CELL_CLAIMS.increment(&[("outcome", "written")]);
                self.learned = self.begin_reading_learned();
                self.replay_and_own(epoch).await;
            }
            Err(AppendError::Fenced) => {
                names::CELL_CLAIMS.increment(&[("outcome", "lost")]);
                log::info!("event=owner.claim_lost cell={} epoch={epoch}", self.cell);
                self.find_winner(known).await;
            }
            // The claim may have been written; only reading the journal shows it.
            Err(rejected) => {
                names::CELL_CLAIMS.increment(&[("outcome", "unknown")]);
                log::warn!("event=owner.claim_unknown cell={} epoch={epoch} {rejected}", self.cell);
                self.node.deps.clock.sleep(READ_RETRY_DELAY).await;
                self.learned = self.begin_reading_learned();
                if self.read().await {
                    if self.is_last_claimant(epoch) {
                        self.advertise(epoch);
                    }
                    self.own_or_follow(epoch).await;
                }
            }
        }
    }

    /// Replays the journal up to the claim of `epoch`, while other instances wait for this one, and
    /// owns the cell unless a later claim was made.
    async fn replay_and_own(&mut self, epoch: Epoch) {
        let node = self.node.clone();
        node.begin_takeover(self.cell);
        self.advertise(epoch);
        let started = node.deps.clock.now();
        let from = self.replay.next_offset;
        let found = self.read_unless_owned(epoch).await;
        let took_ms = node.deps.clock.now().since(started).as_millis();
        let (cell, records) = (self.cell, self.replay.next_offset.saturating_sub(from));
        log::info!(
            "event=journal.read cell={cell} epoch={epoch} records={records} took_ms={took_ms}"
        );
        match found {
            ReplayResult::Complete => self.own_or_follow(epoch).await,
            ReplayResult::OwnerFound => {}
            ReplayResult::StoreUnavailable => node.deps.clock.sleep(READ_RETRY_DELAY).await,
        }
        node.end_takeover(self.cell);
    }

    /// Owns the cell if the journal's last claim is this instance's of `epoch`; otherwise follows
    /// the claimant.
    async fn own_or_follow(&mut self, epoch: Epoch) {
        if self.is_last_claimant(epoch) {
            self.run_as_owner().await;
        } else {
            self.follow_last_claim();
        }
    }

    /// Whether the journal's last claim is this instance's of `epoch`.
    fn is_last_claimant(&self, epoch: Epoch) -> bool {
        let mine = self.replay.state.owner.is_some_and(|owner| {
            owner.peer == self.node.me && owner.incarnation == self.node.incarnation
        });
        mine && self.replay.state.epoch == epoch
    }

    /// Follows the instance that made the journal's last claim.
    fn follow_last_claim(&self) {
        let owner = self.replay.state.owner.map(|owner| owner.peer);
        self.node.set_owner(self.cell, owner.filter(|owner| *owner != self.node.me));
    }

    /// Makes this instance known as the claimant of the cell.
    fn advertise(&self, epoch: Epoch) {
        self.node.note_epoch(self.cell, epoch);
        self.announce(epoch);
        self.publish_owner(epoch);
    }

    /// Follows the instance whose claim came first, once it is known.
    ///
    /// If it does not appear, it is gone since its claim; then the epoch is read from the journal.
    async fn find_winner(&mut self, before: Epoch) {
        for _ in 0..WINNER_CHECKS {
            self.node.deps.clock.sleep(WINNER_CHECK_DELAY).await;
            if self.node.epoch(self.cell) > before {
                return;
            }
            if let Ok(Some(record)) = self.owner_record().await
                && record.epoch > before
                && record.peer != self.node.me
            {
                return self.follow_record(record);
            }
        }
        if let ReplayResult::Complete = self.read_unless_owned(before).await {
            self.follow_last_claim();
        }
    }

    /// Latest epoch known to this instance.
    pub(super) fn known_epoch(&self) -> Epoch {
        let followed = self.last_owner_record.map_or(Epoch(0), |record| record.epoch);
        self.replay.state.epoch.max(self.node.epoch(self.cell)).max(followed)
    }

    /// Announces the claim to the instances that followed the former owner.
    fn announce(&self, epoch: Epoch) {
        let announcement = Announcement { cell: self.cell, epoch, owner: self.node.me };
        for peer in self.peers.iter().copied().filter(|peer| *peer != self.node.me) {
            let deps = self.node.deps.clone();
            monoio::spawn(async move {
                let result: Result<(), _> =
                    deps.peers.call(peer, ANNOUNCE, &announcement, ANNOUNCE_TIMEOUT).await;
                if let Err(error) = result {
                    log::info!("event=owner.not_announced peer={peer} cause={error:?}");
                }
            });
        }
    }

    fn claim_batch(&self, epoch: Epoch) -> Batch {
        let claim = Record::Claimed { peer: self.node.me, incarnation: self.node.incarnation };
        Batch { epoch, at: self.node.deps.clock.unix(), records: vec![claim] }
    }

    /// Runs the owner of the cell until another instance takes over.
    async fn run_as_owner(&mut self) {
        let node = self.node.clone();
        let JournalReplay { state, next_offset: next, unsaved, lost, is_substitute, .. } =
            std::mem::take(&mut self.replay);
        let (epoch, jobs, tasks) = (state.epoch, state.jobs.len(), state.live.len());
        let (now, unix) = (node.deps.clock.now(), node.deps.clock.unix());
        let config = node.config();
        let config_version = config.version;
        let mut machine =
            Machine::new(state, node.claim_sequence(), next, config, node.timings, now, unix);
        machine.note_unsaved(unsaved);
        if is_substitute {
            machine.request_snapshot();
        }
        if let Some(lost) = lost {
            self.report_losses(&lost);
            machine.begin_without_records(&lost.open_jobs);
        }
        let (peer, cpu_millis, domain) = (node.me, node.cpu_millis, node.domain.clone());
        machine.note_self(peer, cpu_millis, domain);
        let (health_node, cell) = (node.clone(), self.cell);
        let health = Box::new(move |health| health_node.apply_store_health(cell, health));
        let (owner, handle) =
            OwnerTask::new(self.cell, node.cells, node.me, machine, node.deps.clone(), health);
        log::info!(
            "event=owner.begin cell={} epoch={epoch} jobs={jobs} tasks={tasks} \
             config_version={config_version}",
            self.cell
        );
        logging::flush();
        self.hand_over_learned(&handle);
        node.set_owner_handle(self.cell, Some(handle));
        let end_reason = owner.run().await;
        log::warn!("event=owner.end cell={} epoch={epoch} {end_reason}", self.cell);
        logging::flush();
        node.set_owner_handle(self.cell, None);
    }
}
