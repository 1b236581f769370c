//! Compares first fit, best fit and the chosen policy on the same job mix, for both deployments.
//!
//! `cargo bench --bench policies` replays each seed's mix once for each policy and prints waiting
//! time, packing and missed deadlines. The replay is a queue of events around the engine.

mod mix;
mod replay;

use std::time::Duration;

use oriolefork::placement::{BackfillEstimate, FitMetric, Objective, Policy, Preset, Strategy};

use mix::Site;
use replay::Outcome;

const SEEDS: [u64; 3] = [1, 2, 3];

const WAITAKI: Site = Site {
    label: "Waitaki-like: 50 workers of 64 cores, 128 GiB; weighs packing",
    cores: 64,
    gib: 128,
    objective: Objective::Packing,
};
const LAKESHORE: Site = Site {
    label: "Lakeshore-like: 50 workers of 16 cores, 64 GiB; weighs waiting",
    cores: 16,
    gib: 64,
    objective: Objective::Waiting,
};

/// The policies compared, by name.
fn policies(objective: Objective) -> Vec<(String, Policy)> {
    let ordinary = Policy::for_preset(Preset::Ordinary, objective);
    let with = |strategy| Policy { strategy, ..ordinary };
    let gangs = |hard, preempts| Policy {
        hard_reservation_after: secs(hard),
        gang_preemption_after: Some(secs(preempts)),
        ..ordinary
    };
    let mut policies = vec![
        ("first fit".to_owned(), with(Strategy::FirstFit)),
        ("best fit".to_owned(), with(Strategy::BestFit)),
        ("chosen".to_owned(), ordinary),
        ("no reservation".to_owned(), Policy { max_reservations: 0, ..ordinary }),
        ("one reservation".to_owned(), Policy { max_reservations: 1, ..ordinary }),
        ("3 reservations".to_owned(), Policy { max_reservations: 3, ..ordinary }),
        ("typical backfill".to_owned(), Policy { backfill: BackfillEstimate::Typical, ..ordinary }),
        ("other order".to_owned(), Policy { shortest_first: !ordinary.shortest_first, ..ordinary }),
        ("fit by sum".to_owned(), Policy { fit: FitMetric::Sum, ..ordinary }),
        ("fit by shape".to_owned(), Policy { fit: FitMetric::Balance, ..ordinary }),
        ("ages in 20 min".to_owned(), Policy { aging_threshold: secs(1_200), ..ordinary }),
        ("ages in 1 h".to_owned(), Policy { aging_threshold: secs(3_600), ..ordinary }),
        ("gang never preempts".to_owned(), Policy { gang_preemption_after: None, ..ordinary }),
        ("gang preempts in 10 min".to_owned(), gangs(600, 600)),
        ("slack of 10 min".to_owned(), Policy { slack_window: secs(600), ..ordinary }),
        ("slack of 2 h".to_owned(), Policy { slack_window: secs(7_200), ..ordinary }),
        ("no preemption".to_owned(), Policy { preemption_enabled: false, ..ordinary }),
    ];
    for preset in [Preset::Peak, Preset::Maintenance] {
        policies.push((format!("chosen, {preset}"), Policy::for_preset(preset, objective)));
    }
    policies
}

fn main() {
    println!("seeds {SEEDS:?}; waiting in seconds; all figures are sums or means over the seeds");
    for site in [WAITAKI, LAKESHORE] {
        println!("\n{}", site.label);
        println!("{}", Outcome::header());
        for (name, policy) in policies(site.objective) {
            let mut total = Outcome::default();
            for seed in SEEDS {
                total.add(&replay::run(&site, policy, seed));
            }
            println!("{}", total.row(&name));
        }
    }
}

/// Seconds as a duration.
fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
