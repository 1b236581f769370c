//! The tasks that follow the platform's list of instances.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::clock::Clock;
use crate::entry::controller::Handle;
use crate::membership::follow::{self, Changes, Setup};
use crate::membership::probe::Connect;
use crate::membership::view::Guard;
use crate::membership::{Error, Member, Source};
use crate::owner::machine::Message;
use crate::runner::Proxy;
use crate::shutdown::Shutdown;

/// Time for a connection to an instance of which the list is in doubt.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the list until the process ends, and hands it on: as it is to the owner, which has its
/// own proof of each worker, and guarded against a list that suddenly lacks many to `requests`.
pub fn start(
    source: Rc<dyn Source>,
    handle: Handle,
    requests: Proxy,
    clock: Rc<dyn Clock>,
    poll: Duration,
) {
    let view = follow::start(Setup {
        source: Rc::new(Overheard { source, handle }),
        probe: Rc::new(Connect { timeout: PROBE_TIMEOUT }),
        guard: Guard::default(),
        interval: poll,
        clock,
        stop: Shutdown::new(),
    });
    monoio::spawn(hand_on(view.subscribe(), requests));
}

async fn hand_on(mut changes: Changes, requests: Proxy) {
    while let Some(roster) = changes.recv().await {
        for (class, count) in &roster.suspects {
            log::warn!("event=membership.suspect class=\"{class}\" vanished={count}");
        }
        requests.set_members(roster.members.clone());
    }
}

/// A list of which the owner's controller hears each state.
struct Overheard {
    source: Rc<dyn Source>,
    handle: Handle,
}

impl Source for Overheard {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, Error>> {
        async move {
            let members = self.source.list().await?;
            self.handle.send(Message::Members(members.clone()));
            Ok(members)
        }
        .boxed_local()
    }
}
