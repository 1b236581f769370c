//! Starts the tasks of quick requests and keeps their role in the failure domain up to date.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::Clock;
use crate::domain::Instance;
use crate::entry::controller::Handle;
use crate::intent::{self, Deduplicator};
use crate::owner::machine::Machine;
use crate::runner::handler::Access;
use crate::runner::proxy::{Options, Proxy, Role};
use crate::runner::share::CoordinatorId;
use crate::runner::{self, RunnerTransport};
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::store::Store;
use crate::telemetry::instrumented;
use crate::{http, peer};

/// Interval at which the owner of the failure domain is checked.
const OWNER_POLL: Duration = Duration::from_millis(250);
/// Time limit at shutdown for the last records of at-most-once work to reach the log.
const RECORD_GRACE: Duration = Duration::from_secs(3);

/// Interfaces that the tasks use.
pub struct Dependencies {
    /// HTTP client used only for runners.
    pub runners: Rc<http::Client>,
    /// Calls to other instances.
    pub peers: Rc<peer::Client>,
    /// Records of idempotency keys in the log.
    pub deduplicator: Deduplicator,
    /// Controller of the failure domain's state machine.
    pub handle: Handle,
    /// Clock.
    pub clock: Rc<dyn Clock>,
}

/// Starts the task that records idempotency keys of work that runs at most once.
pub fn start_records(me: &Instance, store: Rc<dyn Store>, clock: Rc<dyn Clock>) -> Deduplicator {
    let (deduplicator, records) =
        Deduplicator::new(&me.name, me.run, intent::Policy::default(), store, clock);
    monoio::spawn(records.run(RECORD_GRACE));
    deduplicator.preload();
    deduplicator
}

/// Starts the tasks that serve quick requests until `stop` is triggered and all are answered.
pub fn start(settings: &Settings, me: &Instance, deps: Dependencies, stop: Shutdown) -> Proxy {
    let Dependencies { runners, peers, deduplicator, handle, clock } = deps;
    let transport: Rc<dyn RunnerTransport> = Rc::new(runner::http::Client::new(runners));
    let (proxy, driver) = Proxy::new(Options {
        policy: settings.queues.routing(),
        domain: settings.domain.clone(),
        position: settings.position(),
        run: me.run,
        warm_up: settings.queues.request_restart_wait,
        transport: Rc::new(instrumented::Runners(transport)),
        peers: Rc::new(runner::peer::Client::new(peers)),
        clock: clock.clone(),
        deduplicator: Some(deduplicator),
        access: Access::of(&settings.services, settings.queues.caller_timeout),
    });
    monoio::spawn(driver.run());
    monoio::spawn(follow_owner(me.clone(), handle, clock, proxy.clone()));
    monoio::spawn(drain(proxy.clone(), stop));
    proxy
}

async fn drain(proxy: Proxy, stop: Shutdown) {
    stop.wait().await;
    proxy.drain().await;
}

/// Updates the role of the proxy from the owner of the failure domain, until the controller ends.
async fn follow_owner(me: Instance, handle: Handle, clock: Rc<dyn Clock>, proxy: Proxy) {
    loop {
        let own = me.clone();
        let Some(role) = handle.inspect(move |machine, _, _| role(&own, machine)).await else {
            return proxy.set_role(Role::Unknown);
        };
        proxy.set_role(role);
        clock.sleep(OWNER_POLL).await;
    }
}

fn role(me: &Instance, machine: &Machine) -> Role {
    let Some(owner) = machine.owner() else { return Role::Unknown };
    let coordinator = CoordinatorId { epoch: machine.known_epoch(), run: owner.run };
    match owner.run == me.run {
        true if machine.is_owner() => Role::Owner(coordinator),
        true => Role::Unknown,
        false => Role::Follower(coordinator, owner.peer),
    }
}
