//! A claim on the cell, and what an owner does first.

use std::time::Duration;

use super::motive::Motive;
use super::{Election, READ_RETRY};
use crate::cell::Epoch;
use crate::cell::link::Rejected;
use crate::cell::machine::{Machine, Message};
use crate::cell::owner::Owner;
use crate::cell::peer::{ANNOUNCE, Announcement};
use crate::cell::reading::Reading;
use crate::cell::record::{Batch, Record};
use crate::cell::timings::APPEND_TIMEOUT;
use crate::codec;
use crate::telemetry::names;

/// Time for telling another instance of a new owner.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

impl Election {
    /// Claims the cell and owns it, if no other instance is faster.
    ///
    /// The claim goes wherever the journal ends: a busy owner that hands its cell over goes on
    /// writing, so that a claim at the end that was read would come too late again and again.
    pub(super) async fn claim(&mut self, motive: Motive) {
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
        machine.handle(Message::Present { peer, strength }, now, unix);
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
