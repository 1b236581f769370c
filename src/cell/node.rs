//! An instance: what it knows of every cell, and its answers to other instances.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;

use super::contact::Contact;
use super::link::Allowed;
use super::machine::{Health, Machine, Message};
use super::owner::{Borders, Handle};
use super::peer::{
    self as wire, ADVISE, ANNOUNCE, Announcement, CALL, Envelope, Offer, Reply, TABLE, WATCH,
    Watch, Watched,
};
use super::queue::Table;
use super::timings::{Timings, WATCH_HOLD};
use super::{Epoch, Id, election};
use crate::clock::Instant;
use crate::codec;
use crate::peer::{Code, Handler, Refusal, decode};
use crate::shutdown::Shutdown;

/// Time that one read for a newer configuration waits at the platform.
const TABLE_WAIT: Duration = Duration::from_millis(1_000);

/// Rest after such a read failed.
const TABLE_RETRY: Duration = Duration::from_millis(250);

/// Age of the last word of an owner that reaches the store from which the instance wants no
/// callers. A change of owner is over before; a failure domain that is cut off says no in time for
/// the platform to send callers to another one.
const CONTACT_LIMIT: Duration = Duration::from_millis(400);

/// Time without contact after which callers' resting connections are closed: long enough for a change
/// of owner, and about when the platform begins to send new connections elsewhere.
const RELIEF_AFTER: Duration = Duration::from_millis(1_000);

/// Rest between two looks at the contact for that.
const RELIEF_REST: Duration = Duration::from_millis(100);

/// Time for passing the configuration to an owner.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);

/// What an instance knows of one cell.
#[derive(Default)]
struct View {
    owner: Option<SocketAddr>,
    /// Latest epoch whose owner was heard of.
    epoch: Epoch,
    owning: Option<Handle>,
    /// When the owner was last heard of.
    contact: Option<Instant>,
    /// When an owner was last heard of that reaches the store.
    served: Option<Instant>,
    /// Raised while this instance owns the cell and the store keeps it waiting.
    alarm: Shutdown,
}

/// One instance.
pub struct Node {
    /// Address at which other instances reach it.
    pub me: SocketAddr,
    /// Drawn at the start of the process.
    pub incarnation: u64,
    /// Processor that the process may use, in thousandths of a core.
    pub strength: u32,
    /// Cells of the site.
    pub cells: u32,
    /// Spans that the site sets.
    pub timings: Timings,
    /// Ways to the outside.
    pub borders: Rc<Borders>,
    /// Raised when the process is told to stop.
    pub stop: Shutdown,
    table: RefCell<Rc<Table>>,
    views: RefCell<BTreeMap<Id, View>>,
    left: Cell<bool>,
    /// Raised while callers are served better elsewhere.
    relief: RefCell<Shutdown>,
}

impl Node {
    /// Builds an instance that knows nothing yet.
    pub fn new(
        me: SocketAddr,
        incarnation: u64,
        strength: u32,
        cells: u32,
        timings: Timings,
        borders: Rc<Borders>,
        stop: Shutdown,
    ) -> Rc<Self> {
        let views = (0..cells.max(1)).map(|cell| (Id(cell), View::default())).collect();
        Rc::new(Self {
            me,
            incarnation,
            strength,
            cells: cells.max(1),
            timings,
            borders,
            stop,
            table: RefCell::default(),
            views: RefCell::new(views),
            left: Cell::new(false),
            relief: RefCell::new(Shutdown::new()),
        })
    }

    /// Starts following the configuration and every cell; the tasks end with the process.
    pub fn start(self: &Rc<Self>) {
        let node = self.clone();
        monoio::spawn(async move { node.follow_table().await });
        let node = self.clone();
        monoio::spawn(async move { node.follow_contact().await });
        for cell in 0..self.cells {
            let node = self.clone();
            monoio::spawn(async move { election::run(node, Id(cell)).await });
        }
    }

    /// Rank of the process by its processor alone: zero from half a core on, `lowest` for none.
    pub(super) fn weakness(&self, lowest: u32) -> u32 {
        /// Processor of the strongest instances, in thousandths of a core.
        const STRONG: u32 = 500;
        lowest - lowest * self.strength.min(STRONG) / STRONG
    }

    /// Number of this process's claims within their epochs; small enough to count on from.
    pub const fn first_sequence(&self) -> u64 {
        self.incarnation >> 16
    }

    /// The configuration in force here.
    pub fn table(&self) -> Rc<Table> {
        self.table.borrow().clone()
    }

    /// Takes a configuration that is newer than the present one.
    ///
    /// Guards against going back: an older version that arrives late, from the store or from an
    /// instance that has been cut off, is passed over.
    pub fn take_table(&self, table: Table) {
        if table.version <= self.table().version {
            return;
        }
        log::info!("event=config.received version={} queues={}", table.version, table.queues.len());
        let table = Rc::new(table);
        *self.table.borrow_mut() = table.clone();
        for view in self.views.borrow().values() {
            if let Some(owning) = &view.owning {
                owning.send(Message::Table(table.clone()));
            }
        }
    }

    /// Takes in how the store serves this instance as the cell's owner.
    pub(super) fn note_health(&self, cell: Id, health: Health) {
        if health != Health::Stuck {
            self.note_contact(cell);
            self.note_served(cell);
        }
        let mut views = self.views.borrow_mut();
        let Some(view) = views.get_mut(&cell) else { return };
        match health {
            Health::Good if view.alarm.is_triggered() => view.alarm = Shutdown::new(),
            Health::Good => {}
            Health::Struggling | Health::Stuck => view.alarm.trigger(),
        }
    }

    /// Completes when the cell's owner, this instance, is to be relieved.
    async fn until_relief(&self, cell: Id) {
        let alarm = self.views.borrow().get(&cell).map(|view| view.alarm.clone());
        match alarm {
            Some(alarm) => {
                futures_util::future::select(pin!(self.stop.wait()), pin!(alarm.wait())).await;
            }
            None => self.stop.wait().await,
        }
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_triggered()
            && self.table().version > 0
            && self.is_recent(CONTACT_LIMIT, |view| view.served)
    }

    /// Whether what `moment` tells of each cell lies no longer back than `limit`.
    fn is_recent(&self, limit: Duration, moment: impl Fn(&View) -> Option<Instant>) -> bool {
        let now = self.borders.clock.now();
        let recent = |view: &View| moment(view).is_some_and(|at| now.since(at) < limit);
        self.views.borrow().values().all(recent)
    }

    /// A flag that is raised when callers' resting connections should close.
    ///
    /// Guards against callers that stay with an instance which is cut off: the platform sends new
    /// connections elsewhere after two seconds, but callers kept theirs through the whole cut, were
    /// refused at each first try and came back a second later. In a cut of six seconds all 45 jobs
    /// from there waited 1.08 s, and the quick ones were late.
    pub fn relief(&self) -> Shutdown {
        self.relief.borrow().clone()
    }

    /// Keeps the flag for resting connections.
    async fn follow_contact(self: Rc<Self>) {
        while !self.left.get() {
            self.borders.clock.sleep(RELIEF_REST).await;
            let lost = !self.is_recent(RELIEF_AFTER, |view| view.contact);
            let raised = self.relief.borrow().is_triggered();
            if lost && !raised {
                log::warn!("event=callers.sent_away reason=no_owner");
                self.relief.borrow().trigger();
            } else if raised && !lost {
                log::info!("event=callers.welcome");
                self.relief.replace(Shutdown::new());
            }
        }
    }

    /// The owner of a cell, as far as it is known.
    pub fn owner(&self, cell: Id) -> Option<SocketAddr> {
        self.views.borrow().get(&cell).and_then(|view| view.owner)
    }

    /// The way to the cell's owner when that is this instance.
    pub fn owning(&self, cell: Id) -> Option<Handle> {
        self.views.borrow().get(&cell).and_then(|view| view.owning.clone())
    }

    pub(super) fn set_owner(&self, cell: Id, owner: Option<SocketAddr>) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            if view.owner != owner {
                let name = owner.map_or_else(|| "none".to_owned(), |owner| owner.to_string());
                log::info!("event=owner.known cell={cell} owner={name}");
            }
            view.owner = owner;
        }
    }

    pub(super) fn set_owning(&self, cell: Id, owning: Option<Handle>) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner = owning.as_ref().map(|_| self.me);
            view.owning = owning;
        }
    }

    /// Notes that an owner was heard of that reaches the store.
    pub(super) fn note_served(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.served = Some(self.borders.clock.now());
        }
    }

    /// When this instance last heard of the cell's owner.
    pub(super) fn contact(&self, cell: Id) -> Option<Instant> {
        self.views.borrow().get(&cell).and_then(|view| view.contact)
    }

    pub(super) fn note_contact(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.contact = Some(self.borders.clock.now());
        }
    }

    /// Ends ownership of every cell; for the end of a process that was told to stop.
    pub fn leave(&self) {
        self.left.set(true);
        for view in self.views.borrow().values() {
            if let Some(owning) = &view.owning {
                owning.end();
            }
        }
    }

    /// Whether the instance takes part no more.
    pub fn has_left(&self) -> bool {
        self.left.get()
    }

    /// Reads the configuration as it changes, and passes it to owners that may not have it.
    async fn follow_table(self: Rc<Self>) {
        let mut store = Contact::new("store");
        while !self.left.get() {
            let version = self.table().version;
            match self.borders.lists.table(version, TABLE_WAIT).await {
                Ok(table) => {
                    store.answered();
                    if let Some(table) = table {
                        self.take_table(table);
                        self.spread_table();
                    }
                }
                Err(cause) => {
                    store.failed(&cause);
                    self.borders.clock.sleep(TABLE_RETRY).await;
                }
            }
        }
    }

    fn spread_table(&self) {
        let table = self.table();
        let owners: Vec<SocketAddr> =
            self.views.borrow().values().filter_map(|view| view.owner).collect();
        for owner in owners.into_iter().filter(|owner| *owner != self.me) {
            let (borders, table) = (self.borders.clone(), table.clone());
            monoio::spawn(async move {
                let told: Result<(), _> =
                    borders.peers.call(owner, TABLE, &*table, TABLE_TIMEOUT).await;
                if let Err(error) = told {
                    log::info!("event=config.not_passed owner={owner} cause={error:?}");
                }
            });
        }
    }

    async fn answer(&self, method: &str, body: &[u8]) -> Result<Bytes, Refusal> {
        match method {
            CALL => encode(&self.take_call(decode(body)?).await),
            WATCH => encode(&self.watched(&decode(body)?).await),
            ADVISE => encode(&self.advise(decode(body)?).await),
            TABLE => {
                self.take_table(decode(body)?);
                encode(&())
            }
            ANNOUNCE => {
                self.take_announcement(decode(body)?);
                encode(&())
            }
            other => Err(Refusal::new(Code::UnknownMethod, format!("no method {other}"))),
        }
    }

    /// Follows an owner that makes itself known, unless a later one is known already.
    fn take_announcement(&self, announcement: Announcement) {
        let Announcement { cell, epoch, owner } = announcement;
        let known = self.epoch(cell);
        if epoch <= known || self.owning(cell).is_some() {
            return;
        }
        self.note_epoch(cell, epoch);
        self.set_owner(cell, Some(owner));
    }

    /// Latest epoch whose owner was heard of.
    pub(super) fn epoch(&self, cell: Id) -> Epoch {
        self.views.borrow().get(&cell).map_or(Epoch(0), |view| view.epoch)
    }

    pub(super) fn note_epoch(&self, cell: Id, epoch: Epoch) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.epoch = view.epoch.max(epoch);
        }
    }

    async fn take_call(&self, envelope: Envelope) -> Reply {
        let Some(owning) = self.owning(envelope.cell) else {
            return Reply::Elsewhere(self.owner(envelope.cell));
        };
        owning.call(envelope.call).await.map_or(Reply::Cut, Reply::Answer)
    }

    async fn advise(&self, ask: wire::Ask) -> Result<Allowed, String> {
        let timeout = Duration::from_millis(ask.timeout_ms);
        self.borders.advisor.advise(&ask.step, &ask.workers, timeout).await
    }

    /// Answers a follower after a while, so that its next word is due again soon and neither side
    /// takes the other's silence for long.
    async fn watched(&self, watch: &Watch) -> Watched {
        if let Some(owning) = self.owning(watch.cell) {
            let (peer, strength) = (watch.from, watch.strength);
            owning.send(Message::Present { peer, strength });
            if watch.patient {
                let _ = monoio::time::timeout(WATCH_HOLD, self.until_relief(watch.cell)).await;
            }
        }
        let table = self.table();
        let newer = (table.version > watch.version).then(|| (*table).clone());
        let strength = self.strength;
        let look =
            move |machine: &Machine, now| (machine.offer(strength, now), machine.present(now));
        let seen = match self.owning(watch.cell) {
            Some(owning) => owning.inspect(look).await,
            None => None,
        };
        let owns = seen.is_some();
        let (offer, present) = seen.unwrap_or_default();
        let offer = if self.stop.is_triggered() { Offer::Open } else { offer };
        Watched { owns, owner: self.owner(watch.cell), offer, present, table: newer }
    }
}

impl Handler for Node {
    fn handle(
        &self,
        _peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>> {
        let method = method.to_owned();
        async move { self.answer(&method, &body).await }.boxed_local()
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, Refusal> {
    codec::encode(value).map_err(|error| Refusal::new(Code::Busy, error))
}
