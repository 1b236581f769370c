//! Replays job mixes through a cell's machine, without any network, and tells what the policy earns
//! and what deciding costs.
//!
//! `cargo bench --bench cell` prints a line for each site and mix: share of the worth earned, waiting,
//! packing, starts a second, and the owner's processor time for each second replayed. Name one site
//! (`cargo bench --bench cell -- grown 7`) to replay only those whose label holds that word, and a seed
//! to draw other jobs. `served` tells, for each kind, which share of its jobs ended in time or late, and
//! of the tenth of them with the most work; `askers`, how many instances were busy asking on average. `--log` prints the owner's
//! log lines to standard error, each after the time of the replay in seconds.

use std::sync::atomic::Ordering;

mod mix;
mod replay;

#[path = "../../tests/logic/cell/upstream.rs"]
#[allow(dead_code)]
mod upstream;

use mix::{SITES, Scenario};
use replay::Replay;

fn main() {
    if std::env::args().any(|argument| argument == "--log") {
        let format = |out: fern::FormatCallback<'_>,
                      message: &std::fmt::Arguments<'_>,
                      _: &log::Record<'_>| {
            let now_s = replay::NOW_MS.load(Ordering::Relaxed) as f64 / 1_000.0;
            out.finish(format_args!("{now_s:.3} owner ts= {message}"));
        };
        let lines = fern::Dispatch::new().format(format).chain(std::io::stderr());
        lines.apply().expect("the only logger");
    }
    let mut words = std::env::args().skip(1).filter(|argument| !argument.starts_with('-'));
    let wanted = words.next();
    let seed = words.next().map_or(1, |seed| seed.parse().expect("a seed is a number"));
    println!(
        "{:<20} {:<13} {:>6} {:>7} {:>21} {:>21} {:>21} {:>10} {:>10} {:>10} {:>7} {:>7} \
         {:>8} {:>8} {:>8} {:>8}",
        "site",
        "day",
        "worth",
        "packed",
        "waiting ms p50/p99 0",
        "1",
        "2",
        "served 0",
        "1",
        "2",
        "askers",
        "jobs",
        "starts/s",
        "cpu ms/s",
        "step p99",
        "longest"
    );
    for site in &SITES {
        if wanted.as_ref().is_some_and(|wanted| !site.label.contains(wanted.as_str())) {
            continue;
        }
        for scenario in [Scenario::Calm, Scenario::Burst, Scenario::Loss, Scenario::Flood] {
            println!("{}", Replay::new(site, scenario, seed).run());
        }
    }
}
