//! The entry instances of the site.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ::http::{Method, Uri};
use bytes::Bytes;

use super::Error;
use super::upstreams::{DOMAINS, SERVICE, Upstreams};
use crate::api::wire;
use crate::cli::entries::{Ask, Entries};
use crate::cli::failure::{Code, Failure};
use crate::entry::Daemon;
use crate::membership::{Member, Role, State};
use crate::settings::{Addresses, InstanceList, Log, Service, Settings};
use crate::shutdown::Shutdown;
use crate::telemetry::Recorder;
use crate::{http, membership};

/// Entry instances of each failure domain.
const ENTRIES: usize = 3;
/// Longest that the domains may take to get their owners.
const READY: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);
const CALL: Duration = Duration::from_secs(10);

/// The running entry instances.
pub struct Site {
    /// Entry instances of each failure domain, in the order of [`DOMAINS`].
    pub domains: Vec<Entries>,
    /// One address of each failure domain for callers.
    pub callers: Vec<SocketAddr>,
    /// Workers of every failure domain.
    pub workers: Vec<SocketAddr>,
    stop: Shutdown,
    running: Vec<monoio::task::JoinHandle<()>>,
}

/// Starts the entry instances and waits until every failure domain has an owner and workers.
///
/// # Errors
///
/// Fails when an address cannot be bound or the domains are not ready in time.
pub async fn start(upstreams: &Upstreams, recorder: &Rc<Recorder>) -> Result<Site, Error> {
    let stop = Shutdown::new();
    let mut members = upstreams.members.clone();
    let (mut domains, mut callers, mut running) = (Vec::new(), Vec::new(), Vec::new());
    for domain in DOMAINS {
        let mut addresses = Vec::new();
        for index in 0..ENTRIES {
            let name = format!("{domain}-{index}");
            let daemon = Daemon::bind(settings(&name, domain, upstreams), recorder.clone())?;
            addresses.push(daemon.listening().api);
            members.push(Member {
                name,
                role: Role::Entry,
                domain: domain.into(),
                address: daemon.listening().peer,
                state: State::Live,
            });
            running.push(monoio::spawn(daemon.run(stop.clone())));
        }
        callers.extend(addresses.first());
        domains.push(Entries::new(addresses, CALL, None));
    }
    publish(upstreams.list, &members).await?;
    let is_worker = |member: &&Member| matches!(member.role, Role::Worker { .. });
    let workers = members.iter().filter(is_worker).map(|member| member.address).collect();
    let site = Site { domains, callers, workers, stop, running };
    match monoio::time::timeout(READY, site.ready()).await {
        Ok(()) => Ok(site),
        Err(_) => Err(Error::Late("start")),
    }
}

fn settings(name: &str, domain: &str, upstreams: &Upstreams) -> Settings {
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    let addresses = Addresses { api: any, peer: any };
    let log = Log::at(vec![upstreams.log]);
    let list = InstanceList::at(upstreams.list);
    let mut settings = Settings::new(name, &domain.into(), addresses, log, list);
    settings.services = vec![Service { name: SERVICE.to_owned(), token: None }];
    settings
}

/// Puts the members on the stand-in's list.
async fn publish(list: SocketAddr, members: &[Member]) -> Result<(), Error> {
    let body: Vec<_> = members.iter().map(membership::wire::Member::from).collect();
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut request = http::Request::new(Bytes::from(body));
    *request.method_mut() = Method::PUT;
    *request.uri_mut() = Uri::from_static("/v1/instances");
    let client = http::Client::new(http::Limits::default());
    let sent = client.send(list, request, CALL).await;
    let cause = match sent {
        Ok(response) if response.status().is_success() => return Ok(()),
        Ok(response) => response.status().to_string(),
        Err(error) => error.to_string(),
    };
    Err(Failure {
        code: Code::Internal,
        what: format!("the list of instances cannot be set: {cause}"),
        means: "the trial cannot start".to_owned(),
        next: "try again".to_owned(),
        domain: None,
    }
    .into())
}

impl Site {
    /// Waits until every failure domain has an owner and workers.
    async fn ready(&self) {
        for entries in &self.domains {
            while !is_ready(entries).await {
                monoio::time::sleep(POLL).await;
            }
        }
    }

    /// Stops every entry instance in good order.
    pub async fn stop(self) {
        self.stop.trigger();
        for task in self.running {
            task.await;
        }
    }
}

async fn is_ready(entries: &Entries) -> bool {
    let status = entries.ask::<wire::status::Status>(&Ask::get("/v1/status")).await;
    let workers = entries.ask::<wire::worker::List>(&Ask::get("/v1/workers")).await;
    let owned = status.is_ok_and(|told| {
        told.body
            .domains
            .iter()
            .any(|domain| domain.name.as_str() == told.domain && domain.owner.is_some())
    });
    let used = |list: &wire::worker::List| {
        !list.workers.is_empty()
            && list
                .workers
                .iter()
                .all(|worker| worker.state == crate::api::view::worker::State::Live)
    };
    owned && workers.is_ok_and(|told| used(&told.body))
}
