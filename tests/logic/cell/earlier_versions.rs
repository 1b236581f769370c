//! Records, snapshots and messages beside instances of earlier versions.

use std::collections::{BTreeMap, BTreeSet};

use oriolefork::cell::Epoch;
use oriolefork::cell::caller::Caller;
use oriolefork::cell::config_message::{ConfigMessage, RouteTable};
use oriolefork::cell::customer::{Customer, Customers, KeyDigest};
use oriolefork::cell::job::{Id, Job, Phase, Run, RunOutcome, Schedule, Step, StepKey, TaskKey};
use oriolefork::cell::machine::Answer;
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig, Service};
use oriolefork::cell::record::{Record, WorkerId};
use oriolefork::cell::state::{Owner, State};
use oriolefork::cell::stored_state;
use oriolefork::cell::task_list::Task;
use oriolefork::clock::Unix;
use oriolefork::codec;
use oriolefork::resource::Limit;
use serde::{Deserialize, Serialize};

use super::model::{self, cores, step};

/// A job as earlier versions store it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierJob {
    id: Id,
    queue: String,
    payload: String,
    steps: Vec<Step>,
    schedule: Option<Schedule>,
}

/// A configuration as earlier versions send it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierConfig {
    version: u64,
    queues: Vec<EarlierQueue>,
    services: Vec<Service>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierQueue {
    name: String,
    host: String,
    prefix: String,
    service: String,
    priority: u32,
    attempts: u32,
    stretch: f64,
    target_ms: u64,
    advice: Option<PolicyTiming>,
}

fn job(customer: Option<&str>) -> Job {
    Job { customer: customer.map(Into::into), ..model::job(7, step(2, cores(1))) }
}

fn config() -> QueueConfig {
    let base = model::queue_config();
    let queue = Queue { anonymous: true, ..Queue::clone(&base.queues()[0]) };
    let museum = Customer {
        name: "museum".into(),
        keys: vec![KeyDigest::of("k1"), KeyDigest::of("k2")],
        jobs_per_second: 2.5,
        cap: Limit { cpu_millis: Some(4_000), ..Limit::UNLIMITED },
    };
    let customers = Customers::new(vec![museum]).expect("valid customers");
    QueueConfig::new(5, vec![queue.into()], base.services.clone()).with_customers(customers)
}

#[test]
fn job_keeps_its_customer() {
    for job in [job(None), job(Some("museum"))] {
        let bytes = codec::encode(&job).expect("a small job");
        assert_eq!(codec::decode::<Job>(&bytes), Ok(job));
    }
}

#[test]
fn job_of_an_earlier_version_has_no_customer() {
    let Job { id, queue, payload, steps, schedule, .. } = job(None);
    let earlier = EarlierJob { id, queue, payload, steps, schedule };
    let bytes = codec::encode(&earlier).expect("a small job");
    assert_eq!(codec::decode::<Job>(&bytes), Ok(job(None)));
}

/// An owner of an earlier version started a capped customer's tasks without counting them. It
/// finds no such queue, keeps the job, and starts nothing.
#[test]
fn job_with_a_customer_is_of_no_queue_in_an_earlier_version() {
    let bytes = codec::encode(&job(Some("museum"))).expect("a small job");
    let earlier: EarlierJob = codec::decode(&bytes).expect("readable by earlier versions");
    assert_eq!(earlier.payload, job(None).payload);
    assert!(model::queue_config().queue(&earlier.queue).is_none());
}

#[test]
fn table_is_read_by_an_earlier_version() {
    let bytes = codec::encode(&RouteTable::from(&config())).expect("a small table");
    let earlier: EarlierConfig = codec::decode(&bytes).expect("readable by earlier versions");
    assert_eq!((earlier.version, &*earlier.queues[0].name), (5, model::QUEUE));
    assert_eq!(codec::encode(&earlier).expect("a small table"), bytes);
}

#[test]
fn message_keeps_the_whole_configuration() {
    let bytes = codec::encode(&ConfigMessage::from(&config())).expect("a small message");
    let message: ConfigMessage = codec::decode(&bytes).expect("a message");
    assert_eq!(QueueConfig::try_from(message), Ok(config()));
}

/// Answers as earlier versions know them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierAnswer {
    Accepted,
    Cancelled,
    Phase(Phase),
    Waiting(u64),
    Unknown,
    Unavailable,
    Unauthorized,
    IdInUse,
    AboveCap,
}

/// The new answer changed the form of the others, or an instance that cannot read it got it.
#[test]
fn answers_are_read_by_an_earlier_version() {
    let decode = |answer: Answer| {
        let bytes = codec::encode(&answer).expect("a small answer");
        codec::decode::<EarlierAnswer>(&bytes)
    };
    assert_eq!(decode(Answer::Accepted), Ok(EarlierAnswer::Accepted));
    assert_eq!(decode(Answer::Waiting(9)), Ok(EarlierAnswer::Waiting(9)));
    assert_eq!(decode(Answer::AboveCap), Ok(EarlierAnswer::AboveCap));
    assert!(decode(Answer::Busy { retry_after_ms: 2_000 }).is_err());
}

/// An instance states that it understands the answer, and one that states nothing does not.
#[test]
fn caller_states_that_it_understands_busy() {
    let caller = Caller { config_version: 3, understands_busy: true, ..Caller::default() };
    let method = caller.method("cell/call");
    let (_, query) = method.split_once('?').expect("a query");
    assert_eq!(Caller::from_query(query), Ok(caller));
    for earlier in ["", "version=3", "version=3&customer=museum"] {
        let caller = Caller::from_query(earlier).expect("a valid query");
        assert!(!caller.understands_busy, "{earlier}");
    }
}

/// The state of a cell as earlier versions write it into snapshots: tasks and occurrences singly.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierState {
    epoch: Epoch,
    owner: Option<Owner>,
    jobs: BTreeMap<Id, EarlierEntry>,
    open: BTreeSet<Id>,
    live: BTreeMap<Run, WorkerId>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierEntry {
    job: Job,
    accepted: Unix,
    started: bool,
    cancelled: bool,
    failed: bool,
    ended: Option<Unix>,
    done: BTreeSet<u32>,
    open: BTreeMap<u32, Vec<EarlierStep>>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierStep {
    tasks: Vec<Task>,
    done: u32,
    saved: String,
    failed_tries: BTreeSet<u32>,
}

/// State with a job of which some occurrences are done and others have begun.
fn state() -> State {
    let at = Unix::from_millis(1_700_000_000_000);
    let schedule = Some(Schedule { first: at, interval_ms: 10, count: 9 });
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(3), at));
    state.apply(Record::Accepted { at, job: Job { schedule, ..job(None) } }, at);
    let run = |occurrence, index| {
        let step = StepKey { job: model::id(7), occurrence, step: 0 };
        Run { task: TaskKey { step, index }, number: 1 }
    };
    let runs = [run(0, 0), run(0, 1), run(1, 0), run(1, 1), run(3, 1)];
    state.apply(Record::Placed { worker: "w0".into(), runs: runs.to_vec() }, at);
    for run in &runs[..3] {
        let (outcome, checkpoint) = (RunOutcome::Succeeded, String::new());
        state.apply(Record::Ended { run: *run, worker: "w0".into(), outcome, checkpoint }, at);
    }
    state
}

/// An instance of an earlier version could not read a snapshot while instances are replaced one after
/// another, or a new one not that of its predecessor.
#[test]
fn state_is_read_by_an_earlier_version_and_read_from_it() {
    let bytes = stored_state::encode(&state()).expect("a small state");
    let earlier: EarlierState = codec::decode(&bytes).expect("readable by earlier versions");
    let entry = &earlier.jobs[&model::id(7)];
    assert_eq!(entry.done, BTreeSet::from([0]));
    assert_eq!(entry.open.keys().copied().collect::<Vec<_>>(), [1, 3]);
    assert_eq!((entry.open[&1][0].done, entry.open[&3][0].tasks[1].live), (1, 1));
    let written = codec::encode(&earlier).expect("a small state");
    assert_eq!(written, bytes);
    assert_eq!(stored_state::decode(&written), Ok(state()));
}

/// Guards against a version without the second form that takes it for damage: it is one that this
/// version does not know, which is left to others.
#[test]
fn state_of_many_tasks_is_of_an_unknown_version_to_an_earlier_one() {
    let at = Unix::from_millis(1_700_000_000_000);
    let mut state = state();
    for number in 100..110 {
        let job = model::job(number, step(20_000, cores(1)));
        let run = model::run(number, 5, 1);
        state.apply(Record::Accepted { at, job }, at);
        state.apply(Record::Placed { worker: "w0".into(), runs: vec![run] }, at);
    }
    let bytes = stored_state::encode(&state).expect("a small state");
    assert!(matches!(codec::decode::<EarlierState>(&bytes), Err(codec::Error::Version { .. })));
    assert_eq!(stored_state::decode(&bytes), Ok(state));
}
