//! Explanations for operators: each reason for which a job may wait, what became of a job, and the
//! bounds of all reports.

mod bounds;
mod outcomes;
mod passed_over;
mod waits;

use std::rc::Rc;

use oriolefork::cell::caller::Caller;
use oriolefork::cell::customer::{Customer, Customers, KeyDigest};
use oriolefork::cell::explain::{CustomersReport, JobReport, Reply, Subject, WorkersReport};
use oriolefork::cell::job::Job;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::QueueConfig;
use oriolefork::resource::Limit;
use serde::de::DeserializeOwned;

use super::harness::OwnerHarness;
use super::model::{self, id};

/// Customer with a cap of four cores and a rate of one job a second.
const MUSEUM: &str = "museum";

/// Text from which the customer's key is derived; the digest must not appear in any report.
const KEY: &str = "museum-key";

fn text(harness: &OwnerHarness, subject: Subject) -> String {
    match harness.machine.explain(subject) {
        Reply::Report(text) => text,
        other => panic!("{subject:?}: {other:?}"),
    }
}

fn report<T: DeserializeOwned>(harness: &OwnerHarness, subject: Subject) -> T {
    serde_json::from_str(&text(harness, subject)).expect("a report")
}

fn job_report(harness: &OwnerHarness, number: u64) -> JobReport {
    report(harness, Subject::Job(id(number)))
}

fn customers_report(harness: &OwnerHarness) -> CustomersReport {
    report(harness, Subject::Customers)
}

fn workers_report(harness: &OwnerHarness) -> WorkersReport {
    report(harness, Subject::Workers)
}

fn customer(name: &str, cap: Limit) -> Customer {
    let keys = vec![KeyDigest::of(&format!("{name}-key"))];
    Customer { name: name.into(), keys, jobs_per_second: 1.0, cap }
}

/// The configuration in version 2 with these customers.
fn with_customers(customers: Vec<Customer>) -> Rc<QueueConfig> {
    let mut config = (*model::queue_config()).clone();
    config.version = 2;
    Rc::new(config.with_customers(Customers::new(customers).expect("valid customers")))
}

/// An owner of `workers` workers of eight cores, and the capped customer.
fn owner_with_customer(workers: usize) -> OwnerHarness {
    let cap = Limit { cpu_millis: Some(4_000), ..Limit::UNLIMITED };
    let mut harness = OwnerHarness::new(workers);
    harness.deliver(Message::ConfigChanged(with_customers(vec![customer(MUSEUM, cap)])));
    harness
}

fn caller() -> Caller {
    Caller {
        config_version: 2,
        customer: Some(MUSEUM.into()),
        key: Some(KeyDigest::of(KEY)),
        understands_busy: true,
    }
}

/// Submits a job and runs a round.
fn submit(harness: &mut OwnerHarness, number: u64, job: Job, caller: Caller) {
    harness.call_as(number, Call::Submit(job), caller);
    harness.complete_appends();
    harness.advance(60);
}
