//! Runs one stand-in of the platform or of an upstream, for tests and trials.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::membership::{Member, wire};
use oriolefork::resource::Amount;
use oriolefork::shutdown::Shutdown;
use oriolefork::standin::{Bound, instances, log, proxy, runner, worker};

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    use oriolefork::standin::proxy::Path;
    use oriolefork::standin::worker::Factor;

    xflags::xflags! {
        /// Runs one stand-in of the platform or of an upstream.
        ///
        /// Prints its address once it answers; port 0 takes a free one.
        cmd oriolefork-standin {
            /// Runs the append-only log.
            cmd log {
                /// Where to listen.
                required --listen address: SocketAddr
                /// Records kept of each stream.
                optional --retention records: usize
            }
            /// Runs the lagging list of instances.
            cmd instances {
                /// Where to listen.
                required --listen address: SocketAddr
                /// Time until a change shows, in milliseconds.
                optional --lag-ms millis: u64
                /// File with the list shown at first, in JSON.
                optional --file path: PathBuf
            }
            /// Runs a worker.
            cmd worker {
                /// Where to listen.
                required --listen address: SocketAddr
                /// Processor time in thousandths of a core.
                required --cpu-millis millis: u64
                /// Memory in MiB.
                required --memory-mib mib: u64
                /// Whole accelerators.
                optional --accelerators count: u64
                /// Fail every task once started.
                optional --fail-all
                /// Time from a start command to the start of the run, in milliseconds.
                optional --start-latency-ms millis: u64
                /// Time that a stop takes, in milliseconds.
                optional --stop-time-ms millis: u64
                /// Time that a checkpoint takes, in milliseconds.
                optional --checkpoint-time-ms millis: u64
                /// Time until a task's use of resources is reported, in milliseconds.
                optional --usage-lag-ms millis: u64
                /// Speed of the worker; 1 by default.
                optional --speed factor: Factor
                /// Share of the tasks that take several times as long.
                optional --tail-share share: Factor
                /// How many times as long they take; 7 by default.
                optional --tail-factor factor: Factor
                /// Factor by which all tasks take longer.
                optional --slowdown factor: Factor
            }
            /// Runs a runner.
            cmd runner {
                /// Where to listen.
                required --listen address: SocketAddr
                /// Requests it works on at once.
                required --slots count: u32
                /// Connections it accepts.
                required --connections count: u32
                /// Time that a request takes, in milliseconds.
                optional --latency-ms millis: u64
            }
            /// Runs a fault-injecting TCP proxy.
            cmd proxy {
                /// Where to listen for control.
                required --listen address: SocketAddr
                /// A route as name,listen address,server address.
                repeated --route route: Path
            }
        }
    }
}

use flags::{OrioleforkStandin, OrioleforkStandinCmd};

fn main() -> Result<(), Box<dyn Error>> {
    let flags = OrioleforkStandin::from_env_or_exit();
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(run(flags.subcommand))
}

async fn run(command: OrioleforkStandinCmd) -> Result<(), Box<dyn Error>> {
    let stop = Shutdown::new();
    stop.trigger_on_signals()?;
    let (role, bound) = bind(&command)?;
    println!("event=standin.ready role={role} addr={}", bound.local_addr()?);
    bound.serve(stop).await;
    Ok(())
}

fn bind(command: &OrioleforkStandinCmd) -> Result<(&'static str, Bound), Box<dyn Error>> {
    Ok(match command {
        OrioleforkStandinCmd::Log(flags) => ("log", bind_log(flags)?),
        OrioleforkStandinCmd::Instances(flags) => ("instances", bind_instances(flags)?),
        OrioleforkStandinCmd::Worker(flags) => ("worker", bind_worker(flags)?),
        OrioleforkStandinCmd::Runner(flags) => ("runner", bind_runner(flags)?),
        OrioleforkStandinCmd::Proxy(flags) => ("proxy", bind_proxy(flags)?),
    })
}

fn bind_log(flags: &flags::Log) -> std::io::Result<Bound> {
    let retention = flags.retention.unwrap_or(log::RETENTION);
    log::bind(flags.listen, log::Options { retention })
}

fn bind_instances(flags: &flags::Instances) -> Result<Bound, Box<dyn Error>> {
    let members = flags.file.as_deref().map(read_members).transpose()?.unwrap_or_default();
    let options = instances::Options { lag: span(flags.lag_ms), members };
    Ok(instances::bind(flags.listen, options)?)
}

fn bind_worker(flags: &flags::Worker) -> std::io::Result<Bound> {
    let capacity = Amount {
        cpu_millis: flags.cpu_millis,
        memory_mib: flags.memory_mib,
        accelerators: flags.accelerators.unwrap_or(0),
    };
    let usual = worker::Pace::default();
    let options = worker::Options {
        capacity,
        fail_all: flags.fail_all,
        start_latency: span(flags.start_latency_ms),
        stop_time: span(flags.stop_time_ms),
        checkpoint_time: span(flags.checkpoint_time_ms),
        usage_lag: span(flags.usage_lag_ms),
        pace: worker::Pace {
            speed: flags.speed.unwrap_or(usual.speed),
            tail_share: flags.tail_share,
            tail_factor: flags.tail_factor.unwrap_or(usual.tail_factor),
            slowdown: flags.slowdown.unwrap_or(usual.slowdown),
        },
    };
    worker::bind(flags.listen, options)
}

fn bind_runner(flags: &flags::Runner) -> std::io::Result<Bound> {
    let (slots, connections) = (flags.slots, flags.connections);
    let options = runner::Options { slots, connections, latency: span(flags.latency_ms) };
    runner::bind(flags.listen, options)
}

fn bind_proxy(flags: &flags::Proxy) -> std::io::Result<Bound> {
    proxy::bind(flags.listen, &flags.route)
}

fn read_members(path: &Path) -> Result<Vec<Member>, Box<dyn Error>> {
    let members: Vec<wire::Member> = serde_json::from_slice(&std::fs::read(path)?)?;
    Ok(members.into_iter().map(Member::try_from).collect::<Result<_, _>>()?)
}

fn span(millis: Option<u64>) -> Duration {
    Duration::from_millis(millis.unwrap_or(0))
}
