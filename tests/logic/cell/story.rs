//! An owner's machine whose store, workers and askers a test plays by hand.

use oriolefork::cell::Epoch;
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

/// Wall clock at the start of a story, in milliseconds.
pub const UNIX: u64 = 1_700_000_000_000;

/// Clock of every worker at the start of a story.
pub const WORKER_CLOCK: u64 = 50_000;

/// An owner with workers that answer what they are told to.
pub struct Story {
    pub machine: Machine,
    pub now: u64,
    pub effects: Vec<Effect>,
}

impl Story {
    /// Begins with workers that have answered their first look.
    pub fn begin(workers: usize) -> Self {
        Self::with(model::machine(Instant::from_millis(0), Unix::from_millis(UNIX)), workers)
    }

    /// Begins likewise, on a site whose timings are `timings`.
    pub fn begin_with(timings: Timings, workers: usize) -> Self {
        let (now, unix) = (Instant::from_millis(0), Unix::from_millis(UNIX));
        let mut state = State::default();
        state.apply_batch(model::claim(Epoch(1), unix));
        Self::with(Machine::new(state, 0, 1, model::table(), timings, now, unix), workers)
    }

    /// Begins with an owner that has read `state`.
    pub fn take_over(state: State, workers: usize) -> Self {
        let (now, unix) = (Instant::from_millis(0), Unix::from_millis(UNIX));
        let timings = Timings::default();
        Self::with(Machine::new(state, 0, 1, model::table(), timings, now, unix), workers)
    }

    fn with(machine: Machine, workers: usize) -> Self {
        let mut story = Self { machine, now: 0, effects: Vec::new() };
        story.tell(Message::WorkersChanged(model::roster(workers, cores(8))));
        story.pass(1);
        for number in 0..workers {
            story.report(number, &[], &[]);
        }
        story.pass(1);
        story.effects.clear();
        story
    }

    pub fn pass(&mut self, millis: u64) {
        self.now += millis;
        let (now, unix) = (Instant::from_millis(self.now), Unix::from_millis(UNIX + self.now));
        self.effects.extend(self.machine.step(now, unix));
    }

    pub fn tell(&mut self, message: Message) {
        let (now, unix) = (Instant::from_millis(self.now), Unix::from_millis(UNIX + self.now));
        self.machine.handle(message, now, unix);
    }

    /// What the owner, which is as strong as any, says to its followers.
    pub fn offer(&self) -> HandoverOffer {
        self.machine.offer(u32::MAX, Instant::from_millis(self.now))
    }

    pub fn ask(&mut self, number: u64, call: Call) {
        self.tell(Message::Call { id: number, call });
        self.pass(10);
    }

    /// The store takes the batch that is under way.
    pub fn store(&mut self) {
        let sequence = self.appends().pop().expect("an append");
        self.effects.retain(|effect| !matches!(effect, Effect::Append { .. }));
        let sent = Instant::from_millis(self.now);
        self.tell(Message::Appended { sequence, sent, outcome: Ok(1) });
        self.pass(1);
    }

    /// The store takes everything, and what follows from it.
    pub fn store_all(&mut self) {
        while !self.appends().is_empty() {
            self.store();
        }
    }

    pub fn refuse_append(&mut self) {
        let sequence = self.appends().pop().expect("an append");
        self.effects.retain(|effect| !matches!(effect, Effect::Append { .. }));
        let outcome = Err(AppendError::NotWritten("503".to_owned()));
        let sent = Instant::from_millis(self.now);
        self.tell(Message::Appended { sequence, sent, outcome });
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
            clock_ms: WORKER_CLOCK + self.now,
            running: running.collect(),
            ended: ended.collect(),
            partial: false,
        };
        let sent = Instant::from_millis(self.now);
        let worker = format!("w{worker}").into();
        self.tell(Message::Polled { worker, sent, outcome: Ok(report) });
    }

    pub fn started(&mut self, start: &(usize, StartCommand), outcome: Result<u64, WorkerError>) {
        let worker = format!("w{}", start.0).into();
        self.tell(Message::Started { worker, run: start.1.run, outcome });
        self.pass(1);
    }

    pub fn appends(&self) -> Vec<u64> {
        let sequence = |effect: &Effect| match effect {
            Effect::Append { sequence, .. } => Some(*sequence),
            _ => None,
        };
        self.effects.iter().filter_map(sequence).collect()
    }

    /// Orders to start since the last call, with the number of their worker.
    pub fn starts(&mut self) -> Vec<(usize, StartCommand)> {
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

    pub fn stops(&mut self) -> Vec<Run> {
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
        self.ask(call, Call::Show(id(number)));
        self.answer(call)
    }

    /// Questions to the policy service since the last call.
    pub fn questions(&mut self) -> Vec<PolicyQuery> {
        let mut questions = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::QueryPolicy(question) => {
                questions.push(question.clone());
                false
            }
            _ => true,
        });
        questions
    }

    /// An instance is there to ask.
    pub fn present(&mut self, number: u16) {
        let peer = ([127, 0, 0, 1], number).into();
        self.tell(Message::InstanceSeen { peer, strength: 1, domain: "hall".into() });
    }

    /// The policy service allows every worker asked about.
    pub fn allow_all(&mut self, question: &PolicyQuery) {
        let workers = question.workers.iter();
        let workers = workers.map(|worker| (worker.clone(), "ticket".to_owned())).collect();
        let allowed = Some(Eligibility { workers, valid_ms: None });
        self.tell(Message::PolicyAnswered { query: question.number, allowed });
        self.pass(20);
    }

    /// Accepts a job and starts all its tasks.
    pub fn running(&mut self, number: u64, step: Step) -> Vec<(usize, StartCommand)> {
        self.ask(number, Call::Submit(model::job(number, step)));
        self.store_all();
        self.pass(10);
        self.store_all();
        let starts = self.starts();
        for start in &starts {
            self.started(start, Ok(WORKER_CLOCK + self.now));
        }
        starts
    }
}
