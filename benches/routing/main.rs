//! Compares request routing with two baselines on the same arrivals, in virtual time.
//!
//! Fifty runners of 8 slots, three entry instances, service times with a long tail, three
//! deadlines. `cargo bench --bench routing` prints a table with one row for each load and algorithm,
//! for each fault of a runner, and for unequal load of the instances.

mod baseline;
mod candidate;
mod report;
mod simulation;

use std::time::Instant;

use baseline::{RoundRobin, Unbounded};
use candidate::Candidate;
use report::Row;
use simulation::{Balancer, Fault, Plan, Simulation};

const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 5.0];
const FAULTS: [Fault; 5] = [Fault::None, Fault::Slow, Fault::Lying, Fault::Hanging, Fault::Failing];
const FAULT_LOAD: f64 = 0.5;
const SKEWED: [f64; 3] = [0.7, 0.15, 0.15];
const EVEN: [f64; 3] = [1.0, 1.0, 1.0];

type MakeInstances = fn(&Plan) -> Vec<Box<dyn Balancer>>;

const ALGORITHMS: [(&str, MakeInstances); 3] = [
    ("round robin", RoundRobin::instances),
    ("unbounded queue", Unbounded::instances),
    ("oriolefork", Candidate::instances),
];

fn main() {
    println!("{}", Row::HEAD);
    for load in LOADS {
        for (name, make) in ALGORITHMS {
            let plan = Plan { load, fault: Fault::None, weights: EVEN };
            run_case(&format!("load {load}"), name, &plan, make);
        }
    }
    for fault in FAULTS {
        for (name, make) in ALGORITHMS {
            let plan = Plan { load: FAULT_LOAD, fault, weights: EVEN };
            run_case(&format!("one runner {fault:?}").to_lowercase(), name, &plan, make);
        }
    }
    for load in [0.5, 0.8] {
        let plan = Plan { load, fault: Fault::None, weights: SKEWED };
        let label = format!("70% to one, load {load}");
        run_case(&label, "without keeper", &plan, Candidate::without_coordinator);
        run_case(&label, "oriolefork", &plan, Candidate::instances);
    }
}

fn run_case(label: &str, name: &str, plan: &Plan, make: MakeInstances) {
    let start = Instant::now();
    let tally = Simulation::new(plan, make(plan)).run();
    println!("{}", Row::new(label, name, &tally, start.elapsed()));
}
