//! Time that an owner spends on each kind of work, logged once a second and exported as metrics.
//!
//! All tasks of an instance share one thread, so work that takes long delays all other work. The
//! total and the longest uninterrupted time of each activity show which one is responsible.

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

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Only one in this many polls of a future is timed, since the polls are short and frequent. Its
/// duration is counted for all of them.
const SAMPLE_INTERVAL: u32 = 16;

/// A kind of work of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OwnerActivity {
    /// Callers' calls and the responses to them.
    Call,
    /// Watch requests of the instances that follow the owner.
    Watch,
    /// Sending polls to workers and reading their reports.
    Poll,
    /// Processing workers' reports.
    Report,
    /// Sending commands to workers and processing the responses.
    Command,
    /// Reading the list of workers and the configuration.
    List,
    /// Queries to the policy service.
    Policy,
    /// Appending to the journal, and the actions that wait for an append.
    Append,
    /// Expiring leases and removing old jobs.
    Upkeep,
    /// Placement rounds.
    Placement,
}

impl OwnerActivity {
    const ALL: [Self; 10] = [
        Self::Call,
        Self::Watch,
        Self::Poll,
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
            Self::Poll => "look",
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

/// Time spent on one activity since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct TimeSpent {
    count: u32,
    total: Duration,
    longest: Duration,
}

impl Display for TimeSpent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (total, longest) = (self.total.as_secs_f64(), self.longest.as_secs_f64());
        write!(f, "{:.1}/{:.1}/{}", total * 1e3, longest * 1e3, self.count)
    }
}

/// Time spent on all activities.
#[derive(Debug)]
pub struct ThreadProfiler {
    spent: RefCell<[TimeSpent; OwnerActivity::ALL.len()]>,
    /// Number of polls in [`ThreadProfiler::measure`].
    polls: Cell<u32>,
}

impl ThreadProfiler {
    /// Creates an empty profile.
    pub fn new() -> Rc<Self> {
        Rc::new(Self { spent: RefCell::default(), polls: Cell::new(0) })
    }

    /// Number of times that `activity` was recorded since the last log line.
    pub fn count(&self, activity: OwnerActivity) -> u32 {
        self.spent.borrow()[activity as usize].count
    }

    /// Records one run of the activity that took `elapsed`.
    fn record(&self, activity: OwnerActivity, elapsed: Duration) {
        self.record_sampled(activity, elapsed, 1);
    }

    /// Records `polls` runs of the activity, one of which was timed and took `elapsed`.
    fn record_sampled(&self, activity: OwnerActivity, elapsed: Duration, polls: u32) {
        let spent = &mut self.spent.borrow_mut()[activity as usize];
        spent.count += polls;
        spent.total += elapsed * polls;
        spent.longest = spent.longest.max(elapsed);
    }

    /// Whether the next poll is to be timed.
    fn should_sample(&self) -> bool {
        let polls = self.polls.get().wrapping_add(1);
        self.polls.set(polls);
        polls.is_multiple_of(SAMPLE_INTERVAL)
    }

    /// Wraps `work` so that the time of its polls is recorded, by sampling.
    pub fn measure<'a, T>(
        self: &Rc<Self>,
        activity: OwnerActivity,
        work: LocalBoxFuture<'a, T>,
    ) -> TimedFuture<'a, T> {
        TimedFuture { activity, profiler: self.clone(), work }
    }

    /// Starts a stopwatch for activities that follow one another.
    pub fn stopwatch(self: &Rc<Self>) -> Stopwatch {
        Stopwatch { profiler: self.clone(), since: Instant::now() }
    }

    /// Logs the profile and updates the metrics once a second, as long as `is_active` returns true.
    pub async fn report_periodically(
        self: Rc<Self>,
        cell: super::Id,
        is_active: impl Fn() -> bool,
    ) {
        let mut since = Instant::now();
        let mut processor_before = clock::processor_time();
        while is_active() {
            monoio::time::sleep(LOG_INTERVAL).await;
            let spent = self.spent.take();
            let activities = OwnerActivity::ALL.iter().zip(spent);
            let fields: Vec<String> = activities
                .clone()
                .map(|(activity, spent)| format!("{}={spent}", activity.name()))
                .collect();
            for (activity, spent) in activities {
                let micros = u64::try_from(spent.total.as_micros()).unwrap_or(u64::MAX);
                names::CELL_DUTY.add(micros, &[("duty", activity.name())]);
                names::CELL_DUTY_LONGEST
                    .set(spent.longest.as_secs_f64(), &[("duty", activity.name())]);
            }
            let span_ms = since.elapsed().as_millis();
            since = Instant::now();
            let processor = clock::processor_time();
            let processor_ms = processor.saturating_sub(processor_before).as_millis();
            processor_before = processor;
            log::info!(
                "event=owner.duties cell={cell} span_ms={span_ms} processor_ms={processor_ms} {}",
                fields.join(" ")
            );
        }
    }
}

/// Times activities that follow one another on the thread.
#[derive(Debug)]
pub struct Stopwatch {
    profiler: Rc<ThreadProfiler>,
    since: Instant,
}

impl Stopwatch {
    /// Restarts, so that the time before is not recorded.
    pub fn restart(&mut self) {
        self.since = Instant::now();
    }

    /// Records the time since the last call for `activity`, and returns it.
    pub fn record(&mut self, activity: OwnerActivity) -> Duration {
        let now = Instant::now();
        let elapsed = now - self.since;
        self.profiler.record(activity, elapsed);
        self.since = now;
        elapsed
    }
}

/// Future whose polls are timed by sampling.
pub struct TimedFuture<'a, T> {
    activity: OwnerActivity,
    profiler: Rc<ThreadProfiler>,
    work: LocalBoxFuture<'a, T>,
}

impl<T> Future for TimedFuture<'_, T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<T> {
        if !self.profiler.should_sample() {
            return self.work.as_mut().poll(context);
        }
        let started = Instant::now();
        let polled = self.work.as_mut().poll(context);
        self.profiler.record_sampled(self.activity, started.elapsed(), SAMPLE_INTERVAL);
        polled
    }
}
