//! Time to find the queue and the customer of a call, and to take in a configuration, on a site of
//! 1,000 customers with ten keys each and 1,403 queues.

use std::hint::black_box;
use std::rc::Rc;

use criterion::Criterion;
use oriolefork::cell::config_message::ConfigMessage;
use oriolefork::cell::customer::{Customer, Customers, KeyDigest};
use oriolefork::cell::queue::{Queue, QueueConfig};
use oriolefork::codec;
use oriolefork::resource::Limit;

const CUSTOMERS: usize = 1_000;
const KEYS: usize = 10;
const QUEUES: usize = 1_403;

/// Queues of the largest configuration that is taken in.
const MANY_QUEUES: usize = 3_000;

fn key(customer: usize, number: usize) -> String {
    format!("key-{customer}-{number}")
}

fn config(queues: usize) -> QueueConfig {
    let queue = |number: usize| Queue {
        name: format!("r-{number}"),
        host: format!("host{}.example", number % 2),
        path_prefix: format!("/p{number}/"),
        service: "portal".to_owned(),
        ..Queue::default()
    };
    let customer = |number: usize| Customer {
        name: format!("customer-{number}").into(),
        keys: (0..KEYS).map(|at| KeyDigest::of(&key(number, at))).collect(),
        jobs_per_second: 1.0,
        cap: Limit::UNLIMITED,
    };
    let customers = Customers::new((0..CUSTOMERS).map(customer).collect()).expect("valid");
    QueueConfig::new(1, (0..queues).map(queue).map(Rc::new).collect(), Vec::new())
        .with_customers(customers)
}

fn calls(c: &mut Criterion) {
    let config = config(QUEUES);
    let last = QUEUES - 1;
    let host = format!("host{}.example", last % 2);
    let path = format!("/p{last}/5c0e7a21d94b36f8");
    let name = format!("r-{last}");
    let known = key(CUSTOMERS - 1, KEYS - 1);
    c.bench_function("queue_by_path", |b| {
        b.iter(|| config.find(black_box(&host), black_box(&path)).expect("a queue"));
    });
    c.bench_function("queue_by_path_compared_one_by_one", |b| {
        b.iter(|| {
            let (host, path) = (black_box(&host), black_box(&path));
            let matching = config.queues().iter().filter(|queue| {
                queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
            });
            matching.max_by_key(|queue| queue.path_prefix.len()).expect("a queue")
        });
    });
    c.bench_function("queue_by_name", |b| {
        b.iter(|| config.queue(black_box(&name)).expect("a queue"));
    });
    c.bench_function("queue_by_name_compared_one_by_one", |b| {
        b.iter(|| {
            let name = black_box(&name);
            config.queues().iter().find(|queue| queue.name == *name).expect("a queue")
        });
    });
    let queue = config.find(&host, &path).expect("a queue");
    c.bench_function("customer_by_key", |b| {
        b.iter(|| config.access(queue, Some(&KeyDigest::of(black_box(&known)))));
    });
}

fn configuration(c: &mut Criterion) {
    let config = config(MANY_QUEUES);
    let bytes = codec::encode(&ConfigMessage::from(&config)).expect("a message");
    c.bench_function("configuration_of_3000_queues_received", |b| {
        b.iter(|| {
            let message: ConfigMessage = codec::decode(black_box(&bytes)).expect("a message");
            QueueConfig::try_from(message).expect("a configuration")
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    calls(&mut criterion);
    configuration(&mut criterion);
    criterion.final_summary();
}
