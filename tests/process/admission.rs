//! Callers whose key an instance does not know, and how it learns of a newer configuration.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use oriolefork::cell::customer::{Customer, Customers, KeyDigest};
use oriolefork::cell::dependencies::{Discovery, RosterUpdate};
use oriolefork::cell::node::{Denial, Node};
use oriolefork::cell::queue::{Queue, QueueConfig};
use oriolefork::resource::Limit;

use crate::watch::{FakeOwner, run, start_with_discovery, until};

const HOST: &str = "jobs.example";
const PATH: &str = "/nightly/5c0e7a21d94b36f8";

/// A store that returns a configuration only to reads that do not wait for a newer one, as if the
/// instance had not heard of it yet.
#[derive(Default)]
struct Store {
    config: RefCell<QueueConfig>,
    reads: Cell<u32>,
    down: Cell<bool>,
}

impl Discovery for Store {
    fn reset(&self) {}

    fn roster_update(&self) -> LocalBoxFuture<'_, Result<RosterUpdate, String>> {
        std::future::pending().boxed_local()
    }

    fn newer_config(
        &self,
        version: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<QueueConfig>, String>> {
        if !wait.is_zero() {
            return std::future::pending().boxed_local();
        }
        self.reads.set(self.reads.get() + 1);
        let newer = Some(self.config.borrow().clone()).filter(|config| config.version > version);
        let answer = if self.down.get() { Err("503".to_owned()) } else { Ok(newer) };
        async move { answer }.boxed_local()
    }
}

/// A configuration whose only customer has these keys.
fn config(version: u64, keys: &[&str]) -> QueueConfig {
    let queue = Queue {
        name: "nightly".to_owned(),
        host: HOST.to_owned(),
        path_prefix: "/nightly/".to_owned(),
        ..Queue::default()
    };
    let customer = Customer {
        name: "museum".into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        jobs_per_second: 1.0,
        cap: Limit::UNLIMITED,
    };
    let customers = Customers::new(vec![customer]).expect("valid customers");
    QueueConfig::new(version, vec![queue.into()], Vec::new()).with_customers(customers)
}

async fn denial(node: &Node, key: &str) -> Option<Denial> {
    node.admit(HOST, PATH, Some(KeyDigest::of(key))).await.err()
}

/// A key is used right after it was added. The instance refused it by its older configuration.
#[test]
fn key_added_a_moment_ago_is_admitted() {
    run(async {
        let store = Rc::new(Store::default());
        let node = start_with_discovery(None, store.clone());
        node.apply_config(config(1, &["k1"]));
        store.config.replace(config(2, &["k1", "k2"]));
        assert_eq!(denial(&node, "k2").await, None);
        assert_eq!(denial(&node, "k3").await, Some(Denial::KeyUnknown));
        assert_eq!(node.admit(HOST, PATH, None).await, Err(Denial::KeyMissing));
    });
}

/// The store turns this instance away. The owner, which the store serves, looks for it.
#[test]
fn key_is_looked_for_through_the_owner() {
    run(async {
        let store = Rc::new(Store::default());
        store.down.set(true);
        let owner = FakeOwner::serve(30, 1);
        let node = start_with_discovery(Some(owner.address), store);
        until(|| node.config().version == 1).await;
        node.apply_config(config(2, &["k1"]));
        owner.config.replace(config(3, &["k2"]));
        assert_eq!(denial(&node, "k2").await, None);
        assert_eq!(denial(&node, "k1").await, Some(Denial::KeyUnknown));
    });
}

/// An instance that reaches neither the store nor an owner refused keys that it could not know.
/// Callers are sent to another instance instead.
#[test]
fn key_is_not_refused_by_an_instance_that_is_cut_off() {
    run(async {
        let store = Rc::new(Store::default());
        store.down.set(true);
        let node = start_with_discovery(None, store);
        node.apply_config(config(1, &["k1"]));
        assert_eq!(denial(&node, "k2").await, Some(Denial::Unconfirmed));
        assert_eq!(denial(&node, "k1").await, None);
    });
}

/// A flood of wrong keys cost the store a read for each. All callers share few reads.
#[test]
fn wrong_keys_share_reads() {
    const FLOOD: Duration = Duration::from_millis(900);
    run(async {
        let store = Rc::new(Store::default());
        let node = start_with_discovery(None, store.clone());
        node.apply_config(config(1, &["k1"]));
        let begun = Instant::now();
        let mut refused = 0;
        while begun.elapsed() < FLOOD {
            let denials = join_all((0..100).map(|_| denial(&node, "wrong"))).await;
            assert!(denials.iter().all(|denial| *denial == Some(Denial::KeyUnknown)));
            refused += denials.len();
        }
        let intervals = begun.elapsed().as_millis() / 200;
        let reads = store.reads.get();
        assert!(u128::from(reads) <= intervals + 2, "{reads} reads for {refused} callers");
    });
}
