//! Compares request routing with two baselines of our own on the same arrivals, in virtual time.
//!
//! Fifty runners of 8 slots, three entry instances, service times with a long tail, three kinds of
//! deadlines. `cargo bench --bench routing` prints one table for the load and one for bad runners.

mod baseline;
mod candidate;
mod field;
mod report;

use std::time::Instant;

use baseline::{RoundRobin, Unbounded};
use candidate::Candidate;
use field::{Balancer, Fault, Field, Plan};
use report::Row;

const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 5.0];
const FAULTS: [Fault; 5] = [Fault::None, Fault::Slow, Fault::Lying, Fault::Hanging, Fault::Failing];
const FAULT_LOAD: f64 = 0.5;
const SKEWED: [f64; 3] = [0.7, 0.15, 0.15];
const EVEN: [f64; 3] = [1.0, 1.0, 1.0];

type Make = fn(&Plan) -> Vec<Box<dyn Balancer>>;

const KINDS: [(&str, Make); 3] = [
    ("round robin", RoundRobin::instances),
    ("unbounded queue", Unbounded::instances),
    ("oriolefork", Candidate::instances),
];

fn main() {
    println!("{}", Row::HEAD);
    for load in LOADS {
        for (name, make) in KINDS {
            let plan = Plan { load, fault: Fault::None, parts: EVEN };
            show(&format!("load {load}"), name, &plan, make);
        }
    }
    for fault in FAULTS {
        for (name, make) in KINDS {
            let plan = Plan { load: FAULT_LOAD, fault, parts: EVEN };
            show(&format!("one runner {fault:?}").to_lowercase(), name, &plan, make);
        }
    }
    for load in [0.5, 0.8] {
        let plan = Plan { load, fault: Fault::None, parts: SKEWED };
        let label = format!("70% to one, load {load}");
        show(&label, "without keeper", &plan, Candidate::without_coordinator);
        show(&label, "oriolefork", &plan, Candidate::instances);
    }
}

fn show(label: &str, name: &str, plan: &Plan, make: Make) {
    let start = Instant::now();
    let tally = Field::new(plan, make(plan)).run();
    println!("{}", Row::new(label, name, &tally, start.elapsed()));
}
