//! Who owns a cell: each instance follows the owner, and takes over when the owner is gone.
//!
//! Safety lies in the journal alone: from a claim on it refuses the owner before, so that what
//! stands before the claim is all that ever will. The claimant reads up to its own claim and has the
//! whole state. Everything here only decides *when* to claim.
//!
//! | File | Duty |
//! |---|---|
//! | `follow.rs` | following the owner while it answers |
//! | `reason.rs`, `takeover.rs` | why it may have to be replaced, and whether it has to |
//! | `priority.rs` | who tries first |
//! | `owner_record.rs`, `journal.rs` | what the store says of the owner |
//! | `claim.rs` | the claim, and the begin of an owner |
//! | `standby.rs` | who keeps up with the journal while another instance owns the cell |

mod claim;
mod follow;
mod journal;
mod owner_record;
mod priority;
mod reason;
mod search;
mod standby;
mod takeover;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use reason::TakeoverReason;

use super::Id;
use super::dependencies::OwnerRecord;
use super::node::Node;
use super::replay::JournalReplay;
use crate::clock::Instant;

/// Rest after the store could not be read.
const READ_RETRY: Duration = Duration::from_millis(200);

struct Election {
    node: Rc<Node>,
    cell: Id,
    replay: JournalReplay,
    /// Place in the order of succession, as the owner told it last.
    rank: Option<u32>,
    /// Instances that followed the owner when it last answered.
    peers: Vec<SocketAddr>,
    /// Digest of the order of succession that the present owner told last; zero for none.
    succession_digest: u64,
    /// The sign that this instance went by last.
    last_owner_record: Option<OwnerRecord>,
    /// Whether the owner did not answer when it was last asked.
    owner_unresponsive: bool,
    /// When an heir reads on in the journal.
    next_catch_up: Instant,
    /// Since when the instance that claimed the cell has been reading its journal.
    preparing_since: Option<Instant>,
    /// The owner that answered last.
    last_owner: Option<SocketAddr>,
    /// Processor that it may use, in thousandths of a core.
    owner_cpu_millis: u32,
    /// End of the journal, as the owner told it last.
    known_journal_end: u64,
}

/// Follows or owns the cell until the instance leaves.
pub async fn run(node: Rc<Node>, cell: Id) {
    let next_keep_up = node.deps.clock.now();
    let mut election = Election {
        node,
        cell,
        replay: JournalReplay::default(),
        rank: None,
        peers: Vec::new(),
        succession_digest: 0,
        last_owner_record: None,
        owner_unresponsive: false,
        next_catch_up: next_keep_up,
        preparing_since: None,
        last_owner: None,
        owner_cpu_millis: 0,
        known_journal_end: 0,
    };
    let mut motive = TakeoverReason::Unknown;
    while !election.node.has_left() {
        if election.node.stop.is_triggered() {
            // A process about to end takes nothing over; it passes calls on until it is gone.
            election.follow_without_claiming().await;
            continue;
        }
        election.take_over_if_needed(motive).await;
        motive = election.follow().await;
    }
}
