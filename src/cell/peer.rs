//! What instances say to one another about cells.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::job::StepKey;
use super::machine::{Answer, Call};
use super::queue::QueueConfig;
use super::record::WorkerId;
use super::{Epoch, Id};

/// Peer method that carries a caller's call to the owner.
pub const CALL: &str = "cell/call";
/// Peer method by which an instance follows the owner.
pub const WATCH: &str = "cell/watch";
/// Peer method by which the owner has an instance ask the policy service.
pub const POLICY: &str = "cell/advise";
/// Peer method by which a new owner makes itself known.
pub const ANNOUNCE: &str = "cell/announce";
/// Peer method that passes on a newer configuration.
pub const TABLE: &str = "cell/table";

/// A caller's call on its way to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// The cell.
    pub cell: Id,
    /// What is asked.
    pub call: Call,
}

/// Answer to an [`ForwardedCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The owner's answer.
    Answer(Answer),
    /// The instance does not own the cell; the one that does, where it knows.
    #[serde(rename = "Elsewhere")]
    NotOwner(Option<SocketAddr>),
    /// The owner ended before it answered; the call may have been carried out.
    #[serde(rename = "Cut")]
    Interrupted,
}

/// An instance follows the owner of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The cell.
    pub cell: Id,
    /// Address at which the follower is reached.
    #[serde(rename = "from")]
    pub follower: SocketAddr,
    /// Failure domain of the follower.
    pub domain: Rc<str>,
    /// Version of the configuration that it has.
    #[serde(rename = "version")]
    pub config_version: u64,
    /// Processor that the follower may use, in thousandths of a core.
    #[serde(rename = "strength")]
    pub cpu_millis: u32,
    /// Whether the owner may hold its answer back while all is well.
    #[serde(rename = "patient")]
    pub long_poll: bool,
    /// Digest of the order of succession that the follower was told last; zero for none.
    #[serde(rename = "succession")]
    pub succession_digest: u64,
}

/// Whether an owner wants to be relieved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverOffer {
    /// It serves its cell.
    #[default]
    #[serde(rename = "Kept")]
    NotOffered,
    /// The store keeps it waiting; whoever reaches the store faster should take over.
    #[serde(rename = "IfQuicker")]
    IfFaster,
    /// Any instance that reaches the store should take over.
    #[serde(rename = "Open")]
    Anyone,
}

/// A new owner makes itself known, so that nobody has to find it in the journal.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// The cell.
    pub cell: Id,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Where it is reached.
    pub owner: SocketAddr,
}

/// Answer to a [`WatchRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Whether the instance owns the cell.
    #[serde(rename = "owns")]
    pub is_owner: bool,
    /// The instance that does, where it knows; itself while it prepares to.
    pub owner: Option<SocketAddr>,
    /// Processor that the instance may use, in thousandths of a core.
    #[serde(rename = "strength")]
    pub cpu_millis: u32,
    /// End of the journal, as the owner knows it.
    #[serde(rename = "end")]
    pub journal_end: u64,
    /// Whether the owner wants another instance to take over.
    pub offer: HandoverOffer,
    /// Instances that follow the owner, in the order in which they would take over, where the
    /// follower was told of another order last.
    #[serde(rename = "present")]
    pub succession_order: Option<Vec<SocketAddr>>,
    /// Digest of that order; zero while there is none.
    #[serde(rename = "succession")]
    pub succession_digest: u64,
    /// The owner's configuration, when it is newer.
    #[serde(rename = "table")]
    pub config: Option<QueueConfig>,
}

/// A question to the policy service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PolicyRequest {
    /// The step.
    pub step: StepKey,
    /// Workers asked about.
    pub workers: Vec<WorkerId>,
    /// Time for the answer, in milliseconds.
    pub timeout_ms: u64,
}
