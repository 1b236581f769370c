//! Simulates several instances over one log. Each call to the log stays open until the test decides
//! how it ends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use oriolefork::clock::{Instant, Unix};
use oriolefork::domain;
use oriolefork::intent::{
    AdmissionDecision, AttemptId, CallResult, Effect, Entry, ExecutionOutcome, Input, Key, Kind,
    Machine, Now, PARTITIONS, Policy, Progress, RecordedResponse, Refusal, Request, RequestId,
    fingerprint,
};
use oriolefork::store::{self, Offset, Page, Record};

pub const TIMEOUT: Duration = Duration::from_secs(5);
const START: u64 = 1_800_000_000_000;
const PAGE: usize = 3;

/// How a call to the log ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnding {
    /// It succeeds.
    Success,
    /// An append is written but its response is lost; a read gets no response.
    AnswerLost,
    /// The log refuses the call: an append is not written.
    Refused,
    /// An append gets no response and is written later; a read gets no response.
    Late,
    /// An append gets no response and is never written; a read gets no response.
    Dropped,
    /// The response to another call arrives: an append is not written but gets an offset, and a
    /// read gets a page of another partition.
    Misdelivered,
    /// A read misses the newest record; an append succeeds.
    Stale,
}

#[derive(Default)]
pub struct Stream {
    pub records: Vec<Bytes>,
    pub oldest: usize,
}

/// A request submitted at an instance.
#[derive(Clone, Debug)]
struct Submitted {
    key: Key,
    created: Unix,
    executed: bool,
}

pub struct Instance {
    machine: Option<Machine>,
    name: String,
    run: u64,
    /// How far its wall clock is ahead of the true time.
    pub clock_offset: Duration,
    calls: VecDeque<Effect>,
    submitted: BTreeMap<RequestId, Submitted>,
    permits: VecDeque<(RequestId, AttemptId)>,
    executions: VecDeque<(RequestId, AttemptId, ExecutionOutcome)>,
}

pub struct Simulation {
    pub policy: Policy,
    pub streams: Vec<Stream>,
    late: VecDeque<(u16, Bytes)>,
    pub instances: Vec<Instance>,
    pub now: Instant,
    /// Actual outcomes of all executions of each key.
    pub executed: BTreeMap<Key, Vec<ExecutionOutcome>>,
    pub decisions: BTreeMap<RequestId, AdmissionDecision>,
    last_request_id: RequestId,
    runs: u64,
}

impl Simulation {
    pub fn new(instances: usize, policy: Policy) -> Self {
        let mut simulation = Self {
            policy,
            streams: (0..PARTITIONS).map(|_| Stream::default()).collect(),
            late: VecDeque::new(),
            instances: Vec::new(),
            now: Instant::from_millis(1),
            executed: BTreeMap::new(),
            decisions: BTreeMap::new(),
            last_request_id: 0,
            runs: 0,
        };
        for number in 0..instances {
            simulation.instances.push(Instance::new(format!("erie-{number}")));
            simulation.restart(number);
        }
        simulation
    }

    /// True wall-clock time.
    pub fn unix(&self) -> Unix {
        Unix::from_millis(START + self.now.as_millis())
    }

    pub fn restart(&mut self, number: usize) {
        self.runs += 1;
        let instance = &mut self.instances[number];
        instance.run = self.runs;
        instance.machine = Some(Machine::new(&instance.name, self.runs, self.policy.clone()));
        instance.calls.clear();
        instance.permits.clear();
        instance.executions.clear();
        instance.submitted.clear();
    }

    pub fn submit(&mut self, number: usize, request: &Request) -> RequestId {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let submitted =
            Submitted { key: request.key.clone(), created: request.created, executed: false };
        self.instances[number].submitted.insert(request_id, submitted);
        self.input(
            number,
            Input::Submit { request_id, request: request.clone(), timeout: TIMEOUT },
        );
        request_id
    }

    pub fn input(&mut self, number: usize, input: Input) {
        let instance = &mut self.instances[number];
        let wall = Unix::from_millis(START + self.now.as_millis()).after(instance.clock_offset);
        let now = Now { instant: self.now, unix: wall };
        let Some(machine) = instance.machine.as_mut() else { return };
        for effect in machine.handle(input, now) {
            match effect {
                Effect::Reply { request_id, decision } => self.reply(number, request_id, decision),
                call => self.instances[number].calls.push_back(call),
            }
        }
    }

    /// Checks an answer against the executions that actually happened.
    fn reply(&mut self, number: usize, request_id: RequestId, decision: AdmissionDecision) {
        let instance = &mut self.instances[number];
        let submitted = instance.submitted[&request_id].clone();
        let executions = self.executed.get(&submitted.key).map_or(&[][..], Vec::as_slice);
        match &decision {
            AdmissionDecision::Granted(attempt) => {
                instance.permits.push_back((request_id, *attempt))
            }
            AdmissionDecision::Duplicate(state) => {
                if let Progress::Done(reported) = &state.progress {
                    assert_eq!(
                        executions,
                        std::slice::from_ref(reported),
                        "the reported outcome is that of the only execution"
                    );
                }
            }
            AdmissionDecision::NotRun(_) => {
                assert!(!submitted.executed, "a request answered with NotRun was executed")
            }
        }
        let repeated = self.decisions.insert(request_id, decision);
        assert!(repeated.is_none(), "request {request_id} was answered twice");
    }

    /// Begins the execution of an instance's oldest permit.
    pub fn begin_execution(&mut self, number: usize) {
        let Some((request_id, attempt)) = self.instances[number].permits.pop_front() else {
            return;
        };
        let submitted =
            self.instances[number].submitted.get_mut(&request_id).expect("submitted here");
        submitted.executed = true;
        let body = Bytes::from(attempt.to_string());
        let outcome =
            ExecutionOutcome::Responded(RecordedResponse::new(200, "text/plain", &body, 8));
        let executed = self.executed.entry(submitted.key.clone()).or_default();
        executed.push(outcome.clone());
        assert_eq!(executed.len(), 1, "{} was executed twice", submitted.key);
        self.instances[number].executions.push_back((request_id, attempt, outcome));
    }

    /// Records the outcome of an instance's oldest execution.
    pub fn finish_execution(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let Some((request_id, attempt, outcome)) = instance.executions.pop_front() else { return };
        let Submitted { key, created, .. } = instance.submitted[&request_id].clone();
        self.input(number, Input::Record(Entry::Outcome { attempt, key, created, outcome }));
    }

    /// Releases an instance's oldest permit unused.
    pub fn withdraw(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let Some((request_id, attempt)) = instance.permits.pop_front() else { return };
        let key = instance.submitted[&request_id].key.clone();
        self.input(number, Input::Record(Entry::Withdrawal { attempt, key }));
    }

    /// Ends an instance's oldest call to the log.
    pub fn deliver(&mut self, number: usize, ending: CallEnding) {
        let Some(effect) = self.instances[number].calls.pop_front() else { return };
        let (partition, call) = match effect {
            Effect::Append { partition, payload } => {
                (partition, CallResult::Append(self.append(partition, payload, ending)))
            }
            Effect::Read { partition, from } => {
                (partition, CallResult::Read(self.read(partition, from, ending)))
            }
            Effect::Reply { .. } => unreachable!("replies are taken at once"),
        };
        self.input(number, Input::CallEnded { partition, call });
    }

    fn append(
        &mut self,
        partition: u16,
        payload: Bytes,
        ending: CallEnding,
    ) -> Result<Offset, store::AppendOutcome> {
        let stream = &mut self.streams[usize::from(partition)];
        let next = stream.records.len() as Offset;
        match ending {
            CallEnding::Success | CallEnding::Stale => stream.records.push(payload),
            CallEnding::AnswerLost => {
                stream.records.push(payload);
                return Err(store::AppendOutcome::Unknown);
            }
            CallEnding::Refused => return Err(store::AppendOutcome::NotWritten),
            CallEnding::Late => {
                self.late.push_back((partition, payload));
                return Err(store::AppendOutcome::Unknown);
            }
            CallEnding::Dropped => return Err(store::AppendOutcome::Unknown),
            CallEnding::Misdelivered => {}
        }
        Ok(next)
    }

    fn read(&self, partition: u16, from: Offset, ending: CallEnding) -> Option<Page> {
        let partition = match ending {
            CallEnding::Success | CallEnding::Stale => partition,
            CallEnding::Misdelivered => (partition + 1) % PARTITIONS,
            _ => return None,
        };
        let stream = &self.streams[usize::from(partition)];
        let missing =
            usize::from(ending == CallEnding::Stale && stream.records.len() > stream.oldest);
        let length = stream.records.len() - missing;
        let start = usize::try_from(from).expect("small").max(stream.oldest);
        let records = (start..length.min(start + PAGE)).map(|offset| Record {
            offset: offset as Offset,
            payload: stream.records[offset].clone(),
        });
        Some(Page {
            records: records.collect(),
            oldest: stream.oldest as Offset,
            end: length as Offset,
        })
    }

    /// Writes the oldest late append to the log.
    pub fn complete_late_append(&mut self) {
        if let Some((partition, payload)) = self.late.pop_front() {
            self.streams[usize::from(partition)].records.push(payload);
        }
    }

    /// Drops all but the newest `kept` records of every stream.
    pub fn drop_old_records(&mut self, kept: usize) {
        for stream in &mut self.streams {
            stream.oldest = stream.oldest.max(stream.records.len().saturating_sub(kept));
        }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
        for number in 0..self.instances.len() {
            self.input(number, Input::Tick);
        }
    }

    /// Advances time with a healthy log until no instance waits for it.
    pub fn run_until_idle(&mut self) {
        for _ in 0..2000 {
            for number in 0..self.instances.len() {
                while !self.instances[number].calls.is_empty() {
                    self.deliver(number, CallEnding::Success);
                }
            }
            self.advance(10);
            let now = self.now;
            let is_idle =
                |machine: &Machine| machine.is_idle() && machine.next_wakeup(now).is_none();
            let is_done = |instance: &Instance| {
                instance.calls.is_empty() && instance.machine.as_ref().is_none_or(is_idle)
            };
            if self.instances.iter().all(is_done) {
                return;
            }
        }
        panic!("the instances did not become idle");
    }

    /// Submits a request and waits with a healthy log for the answer.
    pub fn submit_and_wait(&mut self, number: usize, request: &Request) -> AdmissionDecision {
        let request_id = self.submit(number, request);
        self.run_until_idle();
        self.decisions[&request_id].clone()
    }

    pub fn machine(&self, number: usize) -> &Machine {
        self.instances[number].machine.as_ref().expect("not crashed")
    }

    pub fn request(&self, name: &str) -> Request {
        Request {
            key: Key::new(Kind::Request, "portal", name).expect("valid"),
            created: self.unix(),
            fingerprint: fingerprint(name.as_bytes()),
            domain: None,
        }
    }

    pub fn job(&self, name: &str, domain: &str) -> Request {
        Request {
            key: Key::new(Kind::Job, "shop", name).expect("valid"),
            domain: Some(domain::Name::from(domain)),
            ..self.request(name)
        }
    }
}

impl Instance {
    fn new(name: String) -> Self {
        Self {
            machine: None,
            name,
            run: 0,
            clock_offset: Duration::ZERO,
            calls: VecDeque::new(),
            submitted: BTreeMap::new(),
            permits: VecDeque::new(),
            executions: VecDeque::new(),
        }
    }

    /// Number of open calls to the log.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }
}

/// The refusal in a decision; panics on any other decision.
pub fn refusal(decision: &AdmissionDecision) -> Refusal {
    match decision {
        AdmissionDecision::NotRun(refusal) => *refusal,
        other => panic!("{other:?} is no refusal"),
    }
}

pub fn is_unknown(decision: &AdmissionDecision) -> bool {
    matches!(decision, AdmissionDecision::Duplicate(state) if state.progress == Progress::Unknown)
}

pub fn is_done(decision: &AdmissionDecision) -> bool {
    matches!(decision, AdmissionDecision::Duplicate(state) if state.is_done())
}

pub fn is_won(decision: &AdmissionDecision) -> bool {
    matches!(decision, AdmissionDecision::Granted(_))
}
