//! Tests of the owner's session with one worker.

use std::net::SocketAddr;

use oriolefork::clock::Instant;
use oriolefork::domain::Epoch;
use oriolefork::job;
use oriolefork::owner::Timings;
use oriolefork::owner::session::{Channel, ExchangeRequest, Session};
use oriolefork::resource::Amount;
use oriolefork::task;
use oriolefork::worker::{Command, Error, Fault, Report};

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn start(index: u32) -> Command {
    let task = task_id(index);
    Command::Start { task, demand: Amount::ZERO, payload: String::new() }
}

fn task_id(index: u32) -> task::Id {
    task::Id { job: job::Id::from_raw(1), index, attempt: 0 }
}

fn report(run: u64) -> Report {
    Report { run, sequence: 1, full: true, tasks: Vec::new(), capacity: Amount::ZERO }
}

fn starts(requests: &[ExchangeRequest]) -> Vec<task::Id> {
    let commands = requests.iter().flat_map(|request| &request.exchange.commands);
    let starts = commands.filter_map(|command| match command {
        Command::Start { task, .. } => Some(*task),
        _ => None,
    });
    starts.collect()
}

// A call with a first start command hangs before it reaches the worker, and the worker restarts. If
// a second start were sent beside the hanging call, the failure of the first call as "not sent"
// could be attributed to the second start. Its task would then be placed elsewhere while it runs.
#[test]
fn failed_earlier_command() {
    let (now, timings) = (Instant::from_millis(1), Timings::default());
    let mut session = Session::new(peer(), "rack-1");
    session.poll(now, Epoch::FIRST, &timings);
    session.on_report(Channel::Watch, &report(1));
    session.push(start(0));
    assert_eq!(starts(&session.poll(now, Epoch::FIRST, &timings)), [task_id(0)]);
    session.on_report(Channel::Watch, &report(2));
    session.push(start(1));
    let sent = starts(&session.poll(now, Epoch::FIRST, &timings));
    let error = Error { peer: peer(), fault: Fault::NotSent("connect timed out".to_owned()) };
    session.on_failure(Channel::Command, now, &error, &timings);
    assert!(!sent.contains(&task_id(1)) || !session.is_unsent(task_id(1)));
}
