//! The stand-ins, on a thread of their own so that their cost is not taken for the scheduler's.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::membership::{Member, Role, State};
use crate::resource::Amount;
use crate::shutdown::Shutdown;
use crate::standin::{Bound, instances, log, runner, worker};

/// Failure domains of the site.
pub const DOMAINS: [&str; 3] = ["oamaru-hall", "kurow-hall", "palmerston-hall"];
/// Workers of each failure domain.
const WORKERS: usize = 4;
/// What each worker has.
pub const CAPACITY: Amount = Amount { cpu_millis: 8_000, memory_mib: 16_384, accelerators: 1 };
/// Service whose quick requests the runners answer.
pub const SERVICE: &str = "portal";
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;
const REQUEST_LATENCY: Duration = Duration::from_millis(5);
/// Interval at which the thread looks whether it is to stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// The running stand-ins.
pub struct Upstreams {
    /// The log.
    pub log: SocketAddr,
    /// The list of instances.
    pub list: SocketAddr,
    /// Workers and runners, as the list names them.
    pub members: Vec<Member>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<()>>,
}

struct Addresses {
    log: SocketAddr,
    list: SocketAddr,
    members: Vec<Member>,
}

/// Starts every stand-in.
///
/// # Errors
///
/// Fails when an address cannot be taken.
pub fn start() -> io::Result<Upstreams> {
    let stop = Arc::new(AtomicBool::new(false));
    let (sender, receiver) = mpsc::channel();
    let flag = Arc::clone(&stop);
    let thread = std::thread::Builder::new().name("upstreams".to_owned()).spawn(move || {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
        runtime.block_on(serve(&sender, &flag))
    })?;
    match receiver.recv() {
        Ok(Addresses { log, list, members }) => Ok(Upstreams { log, list, members, stop, thread }),
        Err(_) => Err(thread.join().ok().and_then(Result::err).unwrap_or_else(ended_early)),
    }
}

impl Upstreams {
    /// Stops them all.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Ok(Err(error)) = self.thread.join() {
            ::log::warn!("event=dev.upstreams_failed cause=\"{error}\"");
        }
    }
}

fn ended_early() -> io::Error {
    io::Error::other("the stand-ins' thread ended early")
}

async fn serve(sender: &mpsc::Sender<Addresses>, stop: &AtomicBool) -> io::Result<()> {
    let gate = Shutdown::new();
    let mut members = Vec::new();
    let log = launch(log::bind(any(), log::Options::default())?, &gate)?;
    let list = launch(instances::bind(any(), instances::Options::default())?, &gate)?;
    for domain in DOMAINS {
        for index in 0..WORKERS {
            let bound = worker::bind(any(), worker::Options::new(CAPACITY))?;
            let rack = format!("{domain}-r{}", index / 2);
            let name = format!("w{index}");
            members.push(member(domain, &name, Role::Worker { rack }, launch(bound, &gate)?));
        }
        let options =
            runner::Options { slots: SLOTS, connections: CONNECTIONS, latency: REQUEST_LATENCY };
        let role =
            Role::Runner { service: SERVICE.to_owned(), slots: SLOTS, connections: CONNECTIONS };
        members.push(member(domain, "r0", role, launch(runner::bind(any(), options)?, &gate)?));
    }
    let known = sender.send(Addresses { log, list, members }).is_ok();
    while known && !stop.load(Ordering::Relaxed) {
        monoio::time::sleep(STOP_POLL).await;
    }
    gate.trigger();
    Ok(())
}

fn launch(bound: Bound, stop: &Shutdown) -> io::Result<SocketAddr> {
    let address = bound.local_addr()?;
    monoio::spawn(bound.serve(stop.clone()));
    Ok(address)
}

fn member(domain: &str, name: &str, role: Role, address: SocketAddr) -> Member {
    Member { name: name.to_owned(), role, domain: domain.into(), address, state: State::Live }
}

fn any() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
