//! Several instances over one log, stepped by hand: every call to the log waits until the test says
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
pub enum End {
    /// As it should.
    Whole,
    /// An append is written and its answer lost; a read gets no answer.
    AnswerLost,
    /// Surely nothing happened.
    Refused,
    /// An append seems lost and is written only later; a read gets no answer.
    Late,
    /// An append seems lost and is never written; a read gets no answer.
    Vanished,
    /// The answer of another call arrives.
    Crossed,
    /// A read misses the newest record; an append ends as it should.
    Stale,
}

#[derive(Default)]
pub struct Stream {
    pub records: Vec<Bytes>,
    pub oldest: usize,
}

/// A request that an instance knows of.
#[derive(Clone, Debug)]
struct Asked {
    key: Key,
    created: Unix,
    tried: bool,
}

pub struct Instance {
    machine: Option<Machine>,
    name: String,
    run: u64,
    /// How far its wall clock is ahead of the true time.
    pub ahead: Duration,
    calls: VecDeque<Effect>,
    asked: BTreeMap<RequestId, Asked>,
    permits: VecDeque<(RequestId, AttemptId)>,
    tries: VecDeque<(RequestId, AttemptId, ExecutionOutcome)>,
}

pub struct World {
    pub policy: Policy,
    pub streams: Vec<Stream>,
    late: VecDeque<(u16, Bytes)>,
    pub instances: Vec<Instance>,
    pub now: Instant,
    /// The outcomes of the tries of each key as they truly happened.
    pub tried: BTreeMap<Key, Vec<ExecutionOutcome>>,
    pub decisions: BTreeMap<RequestId, AdmissionDecision>,
    last_request_id: RequestId,
    runs: u64,
}

impl World {
    pub fn new(instances: usize, policy: Policy) -> Self {
        let mut world = Self {
            policy,
            streams: (0..PARTITIONS).map(|_| Stream::default()).collect(),
            late: VecDeque::new(),
            instances: Vec::new(),
            now: Instant::from_millis(1),
            tried: BTreeMap::new(),
            decisions: BTreeMap::new(),
            last_request_id: 0,
            runs: 0,
        };
        for number in 0..instances {
            world.instances.push(Instance::new(format!("erie-{number}")));
            world.restart(number);
        }
        world
    }

    /// The true wall-clock time.
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
        instance.tries.clear();
        instance.asked.clear();
    }

    pub fn submit(&mut self, number: usize, request: &Request) -> RequestId {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let asked = Asked { key: request.key.clone(), created: request.created, tried: false };
        self.instances[number].asked.insert(request_id, asked);
        self.input(
            number,
            Input::Submit { request_id, request: request.clone(), timeout: TIMEOUT },
        );
        request_id
    }

    pub fn input(&mut self, number: usize, input: Input) {
        let instance = &mut self.instances[number];
        let wall = Unix::from_millis(START + self.now.as_millis()).after(instance.ahead);
        let now = Now { instant: self.now, unix: wall };
        let Some(machine) = instance.machine.as_mut() else { return };
        for effect in machine.handle(input, now) {
            match effect {
                Effect::Reply { request_id, decision } => self.reply(number, request_id, decision),
                call => self.instances[number].calls.push_back(call),
            }
        }
    }

    /// Checks each answer against what truly happened.
    fn reply(&mut self, number: usize, request_id: RequestId, decision: AdmissionDecision) {
        let instance = &mut self.instances[number];
        let asked = instance.asked[&request_id].clone();
        let tries = self.tried.get(&asked.key).map_or(&[][..], Vec::as_slice);
        match &decision {
            AdmissionDecision::Granted(attempt) => {
                instance.permits.push_back((request_id, *attempt))
            }
            AdmissionDecision::Duplicate(state) => {
                if let Progress::Done(told) = &state.progress {
                    assert_eq!(
                        tries,
                        std::slice::from_ref(told),
                        "the outcome told is that of the one try"
                    );
                }
            }
            AdmissionDecision::NotRun(_) => {
                assert!(!asked.tried, "a request told not run was tried")
            }
        }
        let repeated = self.decisions.insert(request_id, decision);
        assert!(repeated.is_none(), "request_id {request_id} was answered twice");
    }

    /// Begins the try of the oldest permit of an instance.
    pub fn begin_try(&mut self, number: usize) {
        let Some((request_id, attempt)) = self.instances[number].permits.pop_front() else {
            return;
        };
        let asked = self.instances[number].asked.get_mut(&request_id).expect("asked here");
        asked.tried = true;
        let body = Bytes::from(attempt.to_string());
        let outcome =
            ExecutionOutcome::Responded(RecordedResponse::new(200, "text/plain", &body, 8));
        let tried = self.tried.entry(asked.key.clone()).or_default();
        tried.push(outcome.clone());
        assert_eq!(tried.len(), 1, "{} was tried twice", asked.key);
        self.instances[number].tries.push_back((request_id, attempt, outcome));
    }

    /// Records the outcome of the oldest try of an instance.
    pub fn finish_try(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let Some((request_id, attempt, outcome)) = instance.tries.pop_front() else { return };
        let Asked { key, created, .. } = instance.asked[&request_id].clone();
        self.input(number, Input::Record(Entry::Outcome { attempt, key, created, outcome }));
    }

    /// Gives the oldest permit of an instance back unused.
    pub fn withdraw(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let Some((request_id, attempt)) = instance.permits.pop_front() else { return };
        let key = instance.asked[&request_id].key.clone();
        self.input(number, Input::Record(Entry::Withdrawal { attempt, key }));
    }

    /// Ends the oldest call of an instance to the log.
    pub fn deliver(&mut self, number: usize, end: End) {
        let Some(effect) = self.instances[number].calls.pop_front() else { return };
        let (partition, call) = match effect {
            Effect::Append { partition, payload } => {
                (partition, CallResult::Append(self.append(partition, payload, end)))
            }
            Effect::Read { partition, from } => {
                (partition, CallResult::Read(self.read(partition, from, end)))
            }
            Effect::Reply { .. } => unreachable!("replies are taken at once"),
        };
        self.input(number, Input::CallEnded { partition, call });
    }

    fn append(
        &mut self,
        partition: u16,
        payload: Bytes,
        end: End,
    ) -> Result<Offset, store::AppendOutcome> {
        let stream = &mut self.streams[usize::from(partition)];
        let next = stream.records.len() as Offset;
        match end {
            End::Whole | End::Stale => stream.records.push(payload),
            End::AnswerLost => {
                stream.records.push(payload);
                return Err(store::AppendOutcome::Unknown);
            }
            End::Refused => return Err(store::AppendOutcome::NotWritten),
            End::Late => {
                self.late.push_back((partition, payload));
                return Err(store::AppendOutcome::Unknown);
            }
            End::Vanished => return Err(store::AppendOutcome::Unknown),
            End::Crossed => {}
        }
        Ok(next)
    }

    fn read(&self, partition: u16, from: Offset, end: End) -> Option<Page> {
        let partition = match end {
            End::Whole | End::Stale => partition,
            End::Crossed => (partition + 1) % PARTITIONS,
            _ => return None,
        };
        let stream = &self.streams[usize::from(partition)];
        let missing = usize::from(end == End::Stale && stream.records.len() > stream.oldest);
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

    /// Lets the oldest late write take effect.
    pub fn land(&mut self) {
        if let Some((partition, payload)) = self.late.pop_front() {
            self.streams[usize::from(partition)].records.push(payload);
        }
    }

    /// Drops the oldest records of every stream but the newest `kept`.
    pub fn cut(&mut self, kept: usize) {
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

    /// Lets time pass with a healthy log until nothing waits for it.
    pub fn calm(&mut self) {
        for _ in 0..2000 {
            for number in 0..self.instances.len() {
                while !self.instances[number].calls.is_empty() {
                    self.deliver(number, End::Whole);
                }
            }
            self.advance(10);
            let now = self.now;
            let rests = |machine: &Machine| machine.is_idle() && machine.next_wakeup(now).is_none();
            let quiet = |instance: &Instance| {
                instance.calls.is_empty() && instance.machine.as_ref().is_none_or(rests)
            };
            if self.instances.iter().all(quiet) {
                return;
            }
        }
        panic!("the instances never came to rest");
    }

    /// Submits and waits with a healthy log for the answer.
    pub fn ask(&mut self, number: usize, request: &Request) -> AdmissionDecision {
        let request_id = self.submit(number, request);
        self.calm();
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
            ahead: Duration::ZERO,
            calls: VecDeque::new(),
            asked: BTreeMap::new(),
            permits: VecDeque::new(),
            tries: VecDeque::new(),
        }
    }

    /// Whether a call to the log waits for its end.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }
}

/// The refusal in a decision; panics on any other.
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
