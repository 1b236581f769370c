//! Messages between instances about cells.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::config_message::RouteTable;
use super::job::StepKey;
use super::machine::{Answer, Call};
use super::record::WorkerId;
use super::{Epoch, Id};

/// Peer method that forwards a caller's call to the owner.
pub const CALL: &str = "cell/call";
/// Peer method by which an instance follows the owner.
pub const WATCH: &str = "cell/watch";
/// Peer method by which the owner queries the policy service through another instance.
pub const POLICY: &str = "cell/advise";
/// Peer method by which a new owner announces itself.
pub const ANNOUNCE: &str = "cell/announce";
/// Peer method that returns the configuration of an instance.
pub const CONFIG: &str = "cell/config";
/// The same of an instance that first looks for a newer one in the store, and is refused if the
/// store does not answer.
pub const FRESH_CONFIG: &str = "cell/config?fresh";
/// Peer method that sends a newer configuration.
pub const CONFIGURE: &str = "cell/configure";
/// Peer method by which instances of earlier versions send theirs, without customers.
pub const TABLE: &str = "cell/table";

/// Peer method by which an instance asks the owner for an explanation. Owners of earlier versions
/// have no such method.
pub const EXPLAIN: &str = "cell/explain";

/// Version that a follower states which needs no [`RouteTable`], but the owner's version. Owners of
/// earlier versions have no newer table, and send none.
pub const NO_TABLE: u64 = u64::MAX;

/// A caller's call, forwarded to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// The cell.
    pub cell: Id,
    /// The call.
    pub call: Call,
}

/// Response to a [`ForwardedCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The owner's answer.
    Answer(Answer),
    /// The instance does not own the cell; contains the owner if it is known.
    #[serde(rename = "Elsewhere")]
    NotOwner(Option<SocketAddr>),
    /// The owner task ended before it answered; the call may have been executed.
    #[serde(rename = "Cut")]
    Interrupted,
}

/// Request by which an instance follows the owner of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The cell.
    pub cell: Id,
    /// Address of the follower.
    #[serde(rename = "from")]
    pub follower: SocketAddr,
    /// Failure domain of the follower.
    pub domain: Rc<str>,
    /// Version of the follower's configuration, or [`NO_TABLE`].
    #[serde(rename = "version")]
    pub config_version: u64,
    /// CPU that the follower may use, in thousandths of a core.
    #[serde(rename = "strength")]
    pub cpu_millis: u32,
    /// Whether the owner may delay its response while nothing changes.
    #[serde(rename = "patient")]
    pub long_poll: bool,
    /// Digest of the order of succession that the follower received last; zero for none.
    #[serde(rename = "succession")]
    pub succession_digest: u64,
}

/// Whether an owner offers its cell to other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverOffer {
    /// The owner keeps its cell.
    #[default]
    #[serde(rename = "Kept")]
    NotOffered,
    /// The store answers the owner slowly; an instance that reaches it faster should take over.
    #[serde(rename = "IfQuicker")]
    IfFaster,
    /// Any instance that reaches the store should take over.
    #[serde(rename = "Open")]
    Anyone,
}

/// Announcement of a new owner, so that instances need not search the journal for it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// The cell.
    pub cell: Id,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Address of the owner.
    pub owner: SocketAddr,
}

/// Response to a [`WatchRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Whether the instance owns the cell.
    #[serde(rename = "owns")]
    pub is_owner: bool,
    /// Owner of the cell if known; the instance itself while it prepares to own the cell.
    pub owner: Option<SocketAddr>,
    /// CPU that the instance may use, in thousandths of a core.
    #[serde(rename = "strength")]
    pub cpu_millis: u32,
    /// End offset of the journal, as known to the owner.
    #[serde(rename = "end")]
    pub journal_end: u64,
    /// Whether the owner offers its cell.
    pub offer: HandoverOffer,
    /// Instances that follow the owner, in the order in which they would take over; `None` if the
    /// follower has this order already.
    #[serde(rename = "present")]
    pub succession_order: Option<Vec<SocketAddr>>,
    /// Digest of that order; zero while there is none.
    #[serde(rename = "succession")]
    pub succession_digest: u64,
    /// Queues and services of the owner's configuration, when it is newer; only its version if the
    /// follower needs no table.
    #[serde(rename = "table")]
    pub config: Option<RouteTable>,
}

/// Request to query the policy service on behalf of the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PolicyRequest {
    /// The step.
    pub step: StepKey,
    /// Workers that the query names.
    pub workers: Vec<WorkerId>,
    /// Timeout of the query, in milliseconds.
    pub timeout_ms: u64,
}
