//! An owner's state machine whose store, workers and policy service are driven by a test.

use oriolefork::cell::Epoch;
use oriolefork::cell::caller::Caller;
use oriolefork::cell::dependencies::{
    AppendError, Eligibility, EndedRun, PollReport, RunStatus, StartCommand, WorkerError,
};
use oriolefork::cell::job::{Run, RunOutcome, Step};
use oriolefork::cell::machine::{Answer, Call, Effect, Machine, Message, PolicyQuery};
use oriolefork::cell::peer::HandoverOffer;
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};

use super::model::{self, cores, id};

/// Wall clock at the start of a test, in milliseconds.
pub const UNIX_START_MS: u64 = 1_700_000_000_000;

/// Clock of every worker at the start of a test, in milliseconds.
pub const WORKER_CLOCK_MS: u64 = 50_000;

/// An owner with workers whose responses the test supplies.
pub struct OwnerHarness {
    pub machine: Machine,
    pub now: u64,
    pub effects: Vec<Effect>,
}

impl OwnerHarness {
    /// Creates an owner whose workers have answered their first poll.
    pub fn new(workers: usize) -> Self {
        Self::start(
            model::machine(Instant::from_millis(0), Unix::from_millis(UNIX_START_MS)),
            workers,
        )
    }

    /// The same with the given `timings`.
    pub fn with_timings(timings: Timings, workers: usize) -> Self {
        let (now, unix) = (Instant::from_millis(0), Unix::from_millis(UNIX_START_MS));
        let mut state = State::default();
        state.apply_batch(model::claim(Epoch(1), unix));
        Self::start(Machine::new(state, 0, 1, model::queue_config(), timings, now, unix), workers)
    }

    /// Creates an owner that has replayed `state`.
    pub fn from_state(state: State, workers: usize) -> Self {
        let (now, unix) = (Instant::from_millis(0), Unix::from_millis(UNIX_START_MS));
        let timings = Timings::default();
        Self::start(Machine::new(state, 0, 1, model::queue_config(), timings, now, unix), workers)
    }

    fn start(machine: Machine, workers: usize) -> Self {
        Self::start_running(machine, workers, &[])
    }

    /// Creates a harness of `machine`, whose workers have answered their first poll; the first of
    /// them reports `running`.
    pub fn start_running(machine: Machine, workers: usize, running: &[Run]) -> Self {
        let mut harness = Self { machine, now: 0, effects: Vec::new() };
        harness.deliver(Message::WorkersChanged(model::roster(workers, cores(8))));
        harness.advance(1);
        for number in 0..workers {
            harness.report(number, if number == 0 { running } else { &[] }, &[]);
        }
        harness.advance(1);
        harness.effects.clear();
        harness
    }

    pub fn advance(&mut self, millis: u64) {
        self.now += millis;
        let (now, unix) =
            (Instant::from_millis(self.now), Unix::from_millis(UNIX_START_MS + self.now));
        self.effects.extend(self.machine.step(now, unix));
    }

    pub fn deliver(&mut self, message: Message) {
        let (now, unix) =
            (Instant::from_millis(self.now), Unix::from_millis(UNIX_START_MS + self.now));
        self.machine.handle(message, now, unix);
    }

    /// Returns the handover offer of the owner, whose CPU is at least that of every follower.
    pub fn handover_offer(&self) -> HandoverOffer {
        self.machine.offer(u32::MAX, Instant::from_millis(self.now))
    }

    pub fn call(&mut self, number: u64, call: Call) {
        self.call_as(number, call, Caller::default());
    }

    /// The same for a caller that an instance stated.
    pub fn call_as(&mut self, number: u64, call: Call, caller: Caller) {
        self.deliver(Message::Call { id: number, call, caller });
        self.advance(10);
    }

    /// Completes the pending append.
    pub fn complete_append(&mut self) {
        let sequence = self.appends().pop().expect("an append");
        self.effects.retain(|effect| !matches!(effect, Effect::Append { .. }));
        let sent = Instant::from_millis(self.now);
        self.deliver(Message::Appended { sequence, sent, outcome: Ok(1) });
        self.advance(1);
    }

    /// Completes appends until none is pending.
    pub fn complete_appends(&mut self) {
        while !self.appends().is_empty() {
            self.complete_append();
        }
    }

    pub fn fail_append(&mut self) {
        let sequence = self.appends().pop().expect("an append");
        self.effects.retain(|effect| !matches!(effect, Effect::Append { .. }));
        let outcome = Err(AppendError::NotWritten("503".to_owned()));
        let sent = Instant::from_millis(self.now);
        self.deliver(Message::Appended { sequence, sent, outcome });
    }

    pub fn report(&mut self, worker: usize, running: &[Run], ended: &[(u64, Run, RunOutcome)]) {
        let running = running.iter().map(|run| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: 10,
            load: 0,
        });
        let ended = ended.iter().map(|(number, run, end)| EndedRun {
            number: *number,
            run: *run,
            outcome: *end,
            checkpoint: String::new(),
        });
        let report = PollReport {
            clock_ms: WORKER_CLOCK_MS + self.now,
            running: running.collect(),
            ended: ended.collect(),
            partial: false,
        };
        let sent = Instant::from_millis(self.now);
        let worker = format!("w{worker}").into();
        self.deliver(Message::Polled { worker, sent, outcome: Ok(report) });
    }

    pub fn answer_start(
        &mut self,
        start: &(usize, StartCommand),
        outcome: Result<u64, WorkerError>,
    ) {
        let worker = format!("w{}", start.0).into();
        self.deliver(Message::Started { worker, run: start.1.run, outcome });
        self.advance(1);
    }

    pub fn appends(&self) -> Vec<u64> {
        let sequence = |effect: &Effect| match effect {
            Effect::Append { sequence, .. } => Some(*sequence),
            _ => None,
        };
        self.effects.iter().filter_map(sequence).collect()
    }

    /// Returns the start commands since the last call, each with the number of its worker.
    pub fn drain_starts(&mut self) -> Vec<(usize, StartCommand)> {
        let mut starts = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Start { worker, start, .. } => {
                starts.push((worker[1..].parse().expect("a number"), start.clone()));
                false
            }
            _ => true,
        });
        starts
    }

    pub fn drain_stops(&mut self) -> Vec<Run> {
        let mut stops = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Stop { run, .. } => {
                stops.push(*run);
                false
            }
            _ => true,
        });
        stops
    }

    pub fn answer(&self, number: u64) -> Option<Answer> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Reply { id, answer } if *id == number => Some(*answer),
            _ => None,
        })
    }

    pub fn phase(&mut self, number: u64) -> Option<Answer> {
        let call = 9_000_000 + self.now;
        self.call(call, Call::Show(id(number)));
        self.answer(call)
    }

    /// Returns the queries to the policy service since the last call.
    pub fn drain_queries(&mut self) -> Vec<PolicyQuery> {
        let mut queries = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::QueryPolicy(query) => {
                queries.push(query.clone());
                false
            }
            _ => true,
        });
        queries
    }

    /// Reports that an instance is present and can query the policy service.
    pub fn see_instance(&mut self, number: u16) {
        let peer = ([127, 0, 0, 1], number).into();
        self.deliver(Message::InstanceSeen { peer, cpu_millis: 1, domain: "hall".into() });
    }

    /// Answers a query so that all its workers are eligible.
    pub fn allow_all(&mut self, query: &PolicyQuery) {
        let workers = query.workers.iter();
        let workers = workers.map(|worker| (worker.clone(), "ticket".to_owned())).collect();
        let allowed = Some(Eligibility { workers, valid_ms: None });
        self.deliver(Message::PolicyAnswered { query: query.number, eligibility: allowed });
        self.advance(20);
    }

    /// Submits a job and returns the start commands of its tasks.
    pub fn start_job_unanswered(&mut self, number: u64, step: Step) -> Vec<(usize, StartCommand)> {
        self.call(number, Call::Submit(model::job(number, step)));
        self.complete_appends();
        self.advance(10);
        self.complete_appends();
        self.drain_starts()
    }

    /// Submits a job and confirms the start of all its tasks.
    pub fn start_job(&mut self, number: u64, step: Step) -> Vec<(usize, StartCommand)> {
        let starts = self.start_job_unanswered(number, step);
        for start in &starts {
            self.answer_start(start, Ok(WORKER_CLOCK_MS + self.now));
        }
        starts
    }
}
