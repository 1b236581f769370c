//! Reports from this instance's own calls whether other instances are reachable.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::{Clock, Instant};
use crate::domain;
use crate::entry::directory::Directory;
use crate::membership::follow::Handle;
use crate::membership::view::{Class, Key};
use crate::peer::{self, CallPhase};
use crate::worker::{self, Fault};

/// Minimum interval between two reports that an instance answers. Each report makes the membership
/// view be evaluated as a whole.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Reports to the membership view whether instances answer calls.
pub struct ReachabilityReporter {
    domain: domain::Name,
    members: Handle,
    directory: Rc<Directory>,
    clock: Rc<dyn Clock>,
    /// When each instance was last reported as answering; removed after a failure.
    last_reported: RefCell<BTreeMap<Key, Instant>>,
}

impl ReachabilityReporter {
    /// Creates a reporter to `members` about workers of `domain` and entry instances in
    /// `directory`.
    pub fn new(
        domain: domain::Name,
        members: Handle,
        directory: Rc<Directory>,
        clock: Rc<dyn Clock>,
    ) -> Self {
        Self { domain, members, directory, clock, last_reported: RefCell::default() }
    }

    /// Reports how an exchange with a worker ended.
    pub fn record_exchange(
        &self,
        name: &worker::Name,
        result: &Result<worker::Report, worker::Error>,
    ) {
        let answered = match result {
            Ok(_) => true,
            Err(error) => matches!(error.fault, Fault::Fenced(_)),
        };
        let class = Class::Worker(self.domain.clone());
        self.report(Key { class, name: name.as_str().to_owned() }, answered);
    }

    /// Reports how a call to an entry instance ended.
    ///
    /// A timeout is not reported, because the instance may itself have waited for something else.
    pub fn record_call<T>(&self, address: std::net::SocketAddr, result: &Result<T, peer::Error>) {
        let answered = match result {
            Ok(_) => true,
            Err(error) => match error.step {
                CallPhase::Refused(_) | CallPhase::Decode => true,
                CallPhase::Connect | CallPhase::Send | CallPhase::Receive => false,
                CallPhase::Encode | CallPhase::Timeout => return,
            },
        };
        if let Some(key) = self.directory.entry_at(address) {
            self.report(key, answered);
        }
    }

    fn report(&self, key: Key, answered: bool) {
        let now = self.clock.now();
        let mut reported = self.last_reported.borrow_mut();
        if !answered {
            reported.remove(&key);
            self.members.report_call(key, false);
            return;
        }
        let is_recent = reported.get(&key).is_some_and(|at| now.since(*at) < REPORT_INTERVAL);
        if !is_recent {
            reported.insert(key.clone(), now);
            self.members.report_call(key, true);
        }
    }
}
