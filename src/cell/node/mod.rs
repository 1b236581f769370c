//! An instance: what it knows of every cell, and its answers to other instances.
//!
//! | File | Duty |
//! |---|---|
//! | `view.rs` | what is known of each cell |
//! | `config.rs` | the configuration, and who else has it |
//! | `readiness.rs` | whether callers should come here, and their resting connections stay |
//! | `answer.rs` | what other instances are told |

mod answer;
mod config;
mod readiness;
mod view;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use view::CellView;

use super::owner::Dependencies;
use super::queue::QueueConfig;
use super::timings::Timings;
use super::{Id, election};
use crate::shutdown::Shutdown;

/// What tells one process from others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Address at which other instances reach it.
    pub me: SocketAddr,
    /// Drawn at the start of the process.
    pub incarnation: u64,
    /// Processor that the process may use, in thousandths of a core.
    pub cpu_millis: u32,
    /// Its failure domain.
    pub domain: Rc<str>,
}

/// One instance.
pub struct Node {
    /// Address at which other instances reach it.
    pub me: SocketAddr,
    /// Drawn at the start of the process.
    pub incarnation: u64,
    /// Processor that the process may use, in thousandths of a core.
    pub cpu_millis: u32,
    /// Its failure domain.
    pub domain: Rc<str>,
    /// Cells of the site.
    pub cells: u32,
    /// Spans that the site sets.
    pub timings: Timings,
    /// Ways to the outside.
    pub deps: Rc<Dependencies>,
    /// Raised when the process is told to stop.
    pub stop: Shutdown,
    config: RefCell<Rc<QueueConfig>>,
    views: RefCell<BTreeMap<Id, CellView>>,
    left: Cell<bool>,
    /// Raised while callers are served better elsewhere.
    close_idle_signal: RefCell<Shutdown>,
}

impl Node {
    /// Builds an instance that knows nothing yet.
    pub fn new(
        identity: Identity,
        cells: u32,
        timings: Timings,
        borders: Rc<Dependencies>,
        stop: Shutdown,
    ) -> Rc<Self> {
        let views = (0..cells.max(1)).map(|cell| (Id(cell), CellView::default())).collect();
        let Identity { me, incarnation, cpu_millis: strength, domain } = identity;
        Rc::new(Self {
            me,
            incarnation,
            cpu_millis: strength,
            domain,
            cells: cells.max(1),
            timings,
            deps: borders,
            stop,
            config: RefCell::default(),
            views: RefCell::new(views),
            left: Cell::new(false),
            close_idle_signal: RefCell::new(Shutdown::new()),
        })
    }

    /// Starts following the configuration and every cell; the tasks end with the process.
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

    /// Rank of the process by its processor alone: zero from half a core on, `lowest` for none.
    pub(super) fn cpu_rank(&self, lowest: u32) -> u32 {
        /// Processor of the strongest instances, in thousandths of a core.
        const STRONG: u32 = 500;
        lowest - lowest * self.cpu_millis.min(STRONG) / STRONG
    }

    /// Number of this process's claims within their epochs; small enough to count on from.
    pub const fn claim_sequence(&self) -> u64 {
        self.incarnation >> 16
    }

    /// Ends ownership of every cell; for the end of a process that was told to stop.
    pub fn leave(&self) {
        self.left.set(true);
        for view in self.views.borrow().values() {
            if let Some(owning) = &view.owner_handle {
                owning.stop();
            }
        }
    }

    /// Whether the instance takes part no more.
    pub fn has_left(&self) -> bool {
        self.left.get()
    }
}
