//! An instance: its view of every cell, and its responses to other instances.
//!
//! | File | Contents |
//! |---|---|
//! | `view.rs` | state of each cell, as known to the instance |
//! | `admission.rs` | which callers may use which queue |
//! | `config.rs` | the configuration and its distribution |
//! | `refresh.rs` | reads of the configuration that callers wait for |
//! | `readiness.rs` | readiness for callers, and closing of their idle connections |
//! | `explain.rs` | explanations for operators |
//! | `answer.rs` | responses to other instances |

mod admission;
mod answer;
mod config;
mod explain;
mod readiness;
mod refresh;
mod view;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

pub use admission::{Admission, Denial};
use explain::Explanations;
pub use explain::Unexplained;
use refresh::Refresh;
use view::CellView;

use super::owner::Dependencies;
use super::queue::QueueConfig;
use super::timings::Timings;
use super::{Id, election};
use crate::shutdown::Shutdown;

/// Interval at which a leaving instance checks whether its owners have ended.
const OWNER_END_INTERVAL: Duration = Duration::from_millis(10);

/// Identity and resources of a process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Address at which other instances reach it.
    pub me: SocketAddr,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// CPU that the process may use, in thousandths of a core.
    pub cpu_millis: u32,
    /// Its failure domain.
    pub domain: Rc<str>,
}

/// One instance.
pub struct Node {
    /// The instance itself, for the tasks that it starts.
    this: Weak<Self>,
    /// Address at which other instances reach it.
    pub me: SocketAddr,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// CPU that the process may use, in thousandths of a core.
    pub cpu_millis: u32,
    /// Its failure domain.
    pub domain: Rc<str>,
    /// Number of cells of the site.
    pub cells: u32,
    /// Durations that the site sets.
    pub timings: Timings,
    /// Interfaces to external systems.
    pub deps: Rc<Dependencies>,
    /// Triggered when the process receives a request to stop.
    pub stop: Shutdown,
    config: RefCell<Rc<QueueConfig>>,
    /// Whether a newer configuration is being fetched from another instance.
    is_fetching_config: Cell<bool>,
    refresh: Refresh,
    explanations: Explanations,
    views: RefCell<BTreeMap<Id, CellView>>,
    left: Cell<bool>,
    /// Triggered while callers are served better by other instances.
    close_idle_signal: RefCell<Shutdown>,
}

impl Node {
    /// Creates an instance that does not know any owner or configuration yet.
    pub fn new(
        identity: Identity,
        cells: u32,
        timings: Timings,
        deps: Rc<Dependencies>,
        stop: Shutdown,
    ) -> Rc<Self> {
        let views = (0..cells.max(1)).map(|cell| (Id(cell), CellView::default())).collect();
        let Identity { me, incarnation, cpu_millis, domain } = identity;
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            me,
            incarnation,
            cpu_millis,
            domain,
            cells: cells.max(1),
            timings,
            deps,
            stop,
            config: RefCell::default(),
            is_fetching_config: Cell::new(false),
            refresh: Refresh::default(),
            explanations: Explanations::default(),
            views: RefCell::new(views),
            left: Cell::new(false),
            close_idle_signal: RefCell::new(Shutdown::new()),
        })
    }

    /// Starts following the configuration and every cell. The tasks end with the process.
    pub fn start(self: &Rc<Self>) {
        let node = self.clone();
        monoio::spawn(async move { node.follow_config().await });
        let node = self.clone();
        monoio::spawn(async move { node.update_close_idle_signal().await });
        for cell in 0..self.cells {
            let node = self.clone();
            monoio::spawn(async move { election::run(node, Id(cell)).await });
        }
    }

    /// Rank of the process by its CPU alone: zero from half a core on, `lowest` for none.
    pub(super) fn cpu_rank(&self, lowest: u32) -> u32 {
        /// CPU of the largest instances, in thousandths of a core.
        const STRONG: u32 = 500;
        lowest - lowest * self.cpu_millis.min(STRONG) / STRONG
    }

    /// Sequence number of this process's claims within their epochs, small enough to be counted up
    /// from.
    pub const fn claim_sequence(&self) -> u64 {
        self.incarnation >> 16
    }

    /// Ends the ownership of every cell, when the process shuts down.
    pub fn leave(&self) {
        self.left.set(true);
        for view in self.views.borrow().values() {
            if let Some(handle) = &view.owner_handle {
                handle.stop();
            }
        }
    }

    /// Waits until no cell is owned any more.
    pub async fn until_owners_end(&self) {
        while self.views.borrow().values().any(|view| view.owner_handle.is_some()) {
            self.deps.clock.sleep(OWNER_END_INTERVAL).await;
        }
    }

    /// Whether the instance has left.
    pub fn has_left(&self) -> bool {
        self.left.get()
    }
}
