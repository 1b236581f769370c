//! What this instance's own calls say of other instances.

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

/// Rest between two reports that an instance answers. Each report costs a look at the whole view.
const REST: Duration = Duration::from_secs(5);

/// Passes on to the view of the instances whether they answer.
pub struct Witness {
    domain: domain::Name,
    members: Handle,
    directory: Rc<Directory>,
    clock: Rc<dyn Clock>,
    /// When an instance was last reported to answer; none after a failure.
    answered: RefCell<BTreeMap<Key, Instant>>,
}

impl Witness {
    /// Reports to `members` on workers of `domain` and on the entry instances in `directory`.
    pub fn new(
        domain: domain::Name,
        members: Handle,
        directory: Rc<Directory>,
        clock: Rc<dyn Clock>,
    ) -> Self {
        Self { domain, members, directory, clock, answered: RefCell::default() }
    }

    /// Reports how an exchange with a worker ended.
    pub fn exchanged(&self, name: &worker::Name, result: &Result<worker::Report, worker::Error>) {
        let answered = match result {
            Ok(_) => true,
            Err(error) => matches!(error.fault, Fault::Fenced(_)),
        };
        let class = Class::Worker(self.domain.clone());
        self.report(Key { class, name: name.as_str().to_owned() }, answered);
    }

    /// Reports how a call to an entry instance ended.
    ///
    /// A timeout says nothing: the call may have waited for something beyond that instance.
    pub fn called<T>(&self, address: std::net::SocketAddr, result: &Result<T, peer::Error>) {
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
        let mut reported = self.answered.borrow_mut();
        if !answered {
            reported.remove(&key);
            self.members.report_call(key, false);
            return;
        }
        let is_recent = reported.get(&key).is_some_and(|at| now.since(*at) < REST);
        if !is_recent {
            reported.insert(key.clone(), now);
            self.members.report_call(key, true);
        }
    }
}
