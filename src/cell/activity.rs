//! What an owner spends its time on, told in the log once a second and as metrics.
//!
//! All of an instance's tasks share one thread, so that a duty which takes long holds up all others.
//! The time of each duty, and the longest that it kept the thread at a time, tell which one that is.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use monoio::time::Instant;

use crate::clock;
use crate::telemetry::names;

/// Rest between two lines.
const REST: Duration = Duration::from_secs(1);

/// One piece of work in so many is measured where pieces are short and many, and counts for all.
const SAMPLE: u32 = 16;

/// Something that takes an owner's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OwnerActivity {
    /// Calls of callers, in and out.
    Call,
    /// Other instances that follow the owner.
    Watch,
    /// Sending looks to workers and reading their answers.
    Look,
    /// Taking in what workers report.
    Report,
    /// Sending orders to workers and taking in their answers.
    Command,
    /// The list of workers and the configuration.
    List,
    /// Questions to the policy service.
    Policy,
    /// Writing the journal and what waits for it.
    Append,
    /// Leases that run out, and what is forgotten.
    Upkeep,
    /// Rounds of placement.
    Placement,
}

impl OwnerActivity {
    const ALL: [Self; 10] = [
        Self::Call,
        Self::Watch,
        Self::Look,
        Self::Report,
        Self::Command,
        Self::List,
        Self::Policy,
        Self::Append,
        Self::Upkeep,
        Self::Placement,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Watch => "watch",
            Self::Look => "look",
            Self::Report => "report",
            Self::Command => "order",
            Self::List => "list",
            Self::Policy => "advice",
            Self::Append => "append",
            Self::Upkeep => "upkeep",
            Self::Placement => "placement",
        }
    }
}

/// Time of one duty since the last line.
#[derive(Clone, Copy, Debug, Default)]
struct TimeSpent {
    times: u32,
    whole: Duration,
    longest: Duration,
}

impl Display for TimeSpent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (whole, longest) = (self.whole.as_secs_f64(), self.longest.as_secs_f64());
        write!(f, "{:.1}/{:.1}/{}", whole * 1e3, longest * 1e3, self.times)
    }
}

/// Time of all duties.
#[derive(Debug)]
pub struct ThreadProfiler {
    spent: RefCell<[TimeSpent; OwnerActivity::ALL.len()]>,
    /// Pieces of work that [`ThreadProfiler::measure`] has come by.
    pieces: Cell<u32>,
}

impl ThreadProfiler {
    /// Nothing spent yet.
    pub fn new() -> Rc<Self> {
        Rc::new(Self { spent: RefCell::default(), pieces: Cell::new(0) })
    }

    /// Pieces of work that were counted for `duty` since the last line.
    pub fn count(&self, duty: OwnerActivity) -> u32 {
        self.spent.borrow()[duty as usize].times
    }

    /// Adds what one piece of work took.
    fn add(&self, duty: OwnerActivity, took: Duration) {
        self.add_sample(duty, took, 1);
    }

    /// Adds `pieces` of work, one of which took that long.
    fn add_sample(&self, duty: OwnerActivity, took: Duration, pieces: u32) {
        let spent = &mut self.spent.borrow_mut()[duty as usize];
        spent.times += pieces;
        spent.whole += took * pieces;
        spent.longest = spent.longest.max(took);
    }

    /// Whether the next piece of work stands for those before it.
    fn is_sample(&self) -> bool {
        let pieces = self.pieces.get().wrapping_add(1);
        self.pieces.set(pieces);
        pieces.is_multiple_of(SAMPLE)
    }

    /// Measures the time that `work` keeps the thread, at some of the times that it goes on.
    pub fn measure<'a, T>(
        self: &Rc<Self>,
        duty: OwnerActivity,
        work: LocalBoxFuture<'a, T>,
    ) -> TimedFuture<'a, T> {
        TimedFuture { duty, ledger: self.clone(), work }
    }

    /// Begins to measure duties that follow one another.
    pub fn stopwatch(self: &Rc<Self>) -> Stopwatch {
        Stopwatch { ledger: self.clone(), since: Instant::now() }
    }

    /// Tells the log, once a second, as long as `goes_on` says so.
    pub async fn report_periodically(self: Rc<Self>, cell: super::Id, goes_on: impl Fn() -> bool) {
        let mut since = Instant::now();
        let mut processor_before = clock::processor_time();
        while goes_on() {
            monoio::time::sleep(REST).await;
            let spent = self.spent.take();
            let duties = OwnerActivity::ALL.iter().zip(spent);
            let words: Vec<String> =
                duties.clone().map(|(duty, spent)| format!("{}={spent}", duty.name())).collect();
            for (duty, spent) in duties {
                let micros = u64::try_from(spent.whole.as_micros()).unwrap_or(u64::MAX);
                names::CELL_DUTY.add(micros, &[("duty", duty.name())]);
                names::CELL_DUTY_LONGEST.set(spent.longest.as_secs_f64(), &[("duty", duty.name())]);
            }
            let span_ms = since.elapsed().as_millis();
            since = Instant::now();
            let processor = clock::processor_time();
            let processor_ms = processor.saturating_sub(processor_before).as_millis();
            processor_before = processor;
            log::info!(
                "event=owner.duties cell={cell} span_ms={span_ms} processor_ms={processor_ms} {}",
                words.join(" ")
            );
        }
    }
}

/// Measures duties that follow one another on the thread.
#[derive(Debug)]
pub struct Stopwatch {
    ledger: Rc<ThreadProfiler>,
    since: Instant,
}

impl Stopwatch {
    /// Begins anew, so that what went before counts for nothing.
    pub fn restart(&mut self) {
        self.since = Instant::now();
    }

    /// Counts the time since the last call for `duty`, and returns it.
    pub fn record(&mut self, duty: OwnerActivity) -> Duration {
        let now = Instant::now();
        let took = now - self.since;
        self.ledger.add(duty, took);
        self.since = now;
        took
    }
}

/// Work whose time on the thread is counted.
pub struct TimedFuture<'a, T> {
    duty: OwnerActivity,
    ledger: Rc<ThreadProfiler>,
    work: LocalBoxFuture<'a, T>,
}

impl<T> Future for TimedFuture<'_, T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<T> {
        if !self.ledger.is_sample() {
            return self.work.as_mut().poll(context);
        }
        let begun = Instant::now();
        let polled = self.work.as_mut().poll(context);
        self.ledger.add_sample(self.duty, begun.elapsed(), SAMPLE);
        polled
    }
}
