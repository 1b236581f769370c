//! Election of a cell's owner: each instance follows the owner, and takes over when it is gone.
//!
//! Safety depends on the journal alone. From a claim on, the journal refuses the former owner, so
//! that no record can be inserted before the claim. The claimant replays the journal up to its own
//! claim and then has the whole state. The other code here only decides *when* to claim.
//!
//! | File | Contents |
//! |---|---|
//! | `follow.rs` | following the owner while it answers |
//! | `reason.rs`, `takeover.rs` | possible reasons for a takeover, and the checks before it |
//! | `priority.rs` | the order in which instances claim |
//! | `owner_record.rs` | reading and writing the owner record |
//! | `journal.rs`, `search.rs` | replay of the journal, unless a new owner appears meanwhile |
//! | `snapshot.rs` | the snapshot from which the replay starts, and what is left without it |
//! | `learned.rs` | reading what an earlier owner had learned |
//! | `claim.rs` | the claim, and the start of an owner |
//! | `standby.rs` | replay of the journal ahead of a takeover |

mod claim;
mod follow;
mod journal;
mod learned;
mod owner_record;
mod priority;
mod reason;
mod search;
mod snapshot;
mod standby;
mod takeover;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use local_sync::oneshot;
use reason::TakeoverReason;
use snapshot::Damage;

use super::Id;
use super::dependencies::OwnerRecord;
use super::node::Node;
use super::replay::JournalReplay;
use super::watch::Hold;
use crate::clock::Instant;

/// Delay after the store could not be read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

struct Election {
    node: Rc<Node>,
    cell: Id,
    replay: JournalReplay,
    /// Position in the order of succession, as last received from the owner.
    rank: Option<u32>,
    /// Instances that followed the owner when it last answered.
    peers: Vec<SocketAddr>,
    /// Digest of the order of succession received last from the present owner; zero for none.
    succession_digest: u64,
    /// Hold of the next watch request to the owner that answered last.
    watch_hold: Hold,
    /// The owner record that this instance followed last.
    last_owner_record: Option<OwnerRecord>,
    /// Whether the owner did not answer the last watch request.
    owner_unresponsive: bool,
    /// Time of the next replay as a standby.
    next_catch_up: Instant,
    /// Time since which the instance that claimed the cell has been replaying its journal.
    claimant_since: Option<Instant>,
    /// The owner that answered last.
    last_owner: Option<SocketAddr>,
    /// CPU that this owner may use, in thousandths of a core.
    owner_cpu_millis: u32,
    /// End offset of the journal, as last received from the owner.
    known_journal_end: u64,
    /// Time until which this instance leaves the cell to others.
    claims_paused_until: Option<Instant>,
    /// Damage of the stored snapshot that was found last.
    damage: Option<Damage>,
    /// What an earlier owner had learned, being read since the last claim.
    learned: Option<oneshot::Receiver<learned::Record>>,
}

/// Follows or owns the cell until the instance leaves.
pub async fn run(node: Rc<Node>, cell: Id) {
    let next_catch_up = node.deps.clock.now();
    let mut election = Election {
        node,
        cell,
        replay: JournalReplay::default(),
        rank: None,
        peers: Vec::new(),
        succession_digest: 0,
        watch_hold: Hold::SHORTEST,
        last_owner_record: None,
        owner_unresponsive: false,
        next_catch_up,
        claimant_since: None,
        last_owner: None,
        owner_cpu_millis: 0,
        known_journal_end: 0,
        claims_paused_until: None,
        damage: None,
        learned: None,
    };
    let mut reason = TakeoverReason::Unknown;
    while !election.node.has_left() {
        // A process that shuts down claims nothing; it forwards calls until its end.
        if election.node.stop.is_triggered() || election.are_claims_paused() {
            election.follow_without_claiming().await;
            continue;
        }
        election.take_over_if_needed(reason).await;
        reason = election.follow().await;
    }
}
