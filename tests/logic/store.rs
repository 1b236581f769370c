//! Failover between the endpoints of a log.

use std::cell::RefCell;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use oriolefork::store::{AppendOutcome, Error, Failover, Offset, Operation, Page, Store};
use test_case::test_case;

const WAIT: Duration = Duration::ZERO;

/// An endpoint whose calls all fail if `fails` is set; it adds its name to `calls` at each call.
struct Endpoint {
    name: &'static str,
    fails: Option<AppendOutcome>,
    calls: Rc<RefCell<Vec<&'static str>>>,
}

impl Endpoint {
    fn answer<T>(&self, operation: Operation, good: T) -> Result<T, Error> {
        self.calls.borrow_mut().push(self.name);
        let peer = ([127, 0, 0, 1], 7_300).into();
        let error = |outcome| Error { operation, peer, outcome, cause: self.name.to_owned() };
        self.fails.map_or(Ok(good), |outcome| Err(error(outcome)))
    }
}

impl Store for Endpoint {
    fn append<'a>(&'a self, _: &'a str, _: Bytes) -> LocalBoxFuture<'a, Result<Offset, Error>> {
        ready(self.answer(Operation::Append, 7)).boxed_local()
    }

    fn read<'a>(
        &'a self,
        _: &'a str,
        _: Offset,
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, Error>> {
        let page = Page { records: Vec::new(), oldest: 0, end: 0 };
        ready(self.answer(Operation::Read, page)).boxed_local()
    }
}

struct Log {
    failover: Failover,
    calls: Rc<RefCell<Vec<&'static str>>>,
}

impl Log {
    fn new(endpoints: [(&'static str, Option<AppendOutcome>); 2]) -> Self {
        let calls = Rc::new(RefCell::new(Vec::new()));
        let endpoint = |(name, fails)| -> Rc<dyn Store> {
            Rc::new(Endpoint { name, fails, calls: calls.clone() })
        };
        Self { failover: Failover::new(endpoints.map(endpoint).into()), calls: calls.clone() }
    }

    fn append(&self) -> Result<Offset, Error> {
        self.failover.append("s", Bytes::new()).now_or_never().expect("answers at once")
    }

    fn read(&self) -> Result<Page, Error> {
        self.failover.read("s", 0, WAIT).now_or_never().expect("answers at once")
    }

    fn calls(&self) -> Vec<&'static str> {
        self.calls.take()
    }
}

#[test]
fn append_uses_first_endpoint_while_it_works() {
    let log = Log::new([("a", None), ("b", None)]);
    assert_eq!((log.append(), log.append()), (Ok(7), Ok(7)));
    assert_eq!(log.calls(), ["a", "a"]);
}

#[test]
fn append_not_written_goes_to_next_endpoint() {
    let log = Log::new([("a", Some(AppendOutcome::NotWritten)), ("b", None)]);
    assert_eq!((log.append(), log.append()), (Ok(7), Ok(7)));
    assert_eq!(log.calls(), ["a", "b", "b"], "the failed endpoint is not used again");
}

// The log writes a record, but its response is lost. Appending the record again at the next
// endpoint would write it twice. The writer gets the outcome Unknown and reads the stream to find
// out.
#[test]
fn append_unknown_is_not_repeated() {
    let log = Log::new([("a", Some(AppendOutcome::Unknown)), ("b", None)]);
    assert_eq!(log.append().map_err(|error| error.outcome), Err(AppendOutcome::Unknown));
    assert_eq!(log.calls(), ["a"]);
    assert_eq!(log.append(), Ok(7));
    assert_eq!(log.calls(), ["b"], "the next call uses the next endpoint");
}

#[test_case(AppendOutcome::NotWritten; "not_written")]
#[test_case(AppendOutcome::Unknown; "unknown")]
fn append_all_endpoints_down(outcome: AppendOutcome) {
    let log = Log::new([("a", Some(AppendOutcome::NotWritten)), ("b", Some(outcome))]);
    assert_eq!(log.append().map_err(|error| error.outcome), Err(outcome));
    assert_eq!(log.calls(), ["a", "b"]);
    assert!(log.append().is_err());
    assert_eq!(log.calls()[0], "a", "the first endpoint follows the last");
}

#[test]
fn read_failed_goes_to_next_endpoint() {
    let log = Log::new([("a", Some(AppendOutcome::Unknown)), ("b", None)]);
    assert!(log.read().is_err());
    assert!(log.read().is_ok());
    assert_eq!(log.calls(), ["a", "b"]);
}
