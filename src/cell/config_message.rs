//! Configurations as instances send them to each other.
//!
//! [`RouteTable`] is the form of versions that know no customers. They still get it, and reject
//! what has more fields; [`ConfigMessage`] adds the rest.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::customer::{Customer, Customers, InvalidCustomers};
use super::queue::{PolicyTiming, Queue, QueueConfig, Service};

/// Queues and services of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Its queues.
    pub queues: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
}

/// A queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    name: String,
    host: String,
    prefix: String,
    service: String,
    priority: u32,
    attempts: u32,
    stretch: f64,
    target_ms: u64,
    advice: Option<PolicyTiming>,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigMessage {
    table: RouteTable,
    /// Positions of the anonymous queues in the table.
    anonymous: Vec<usize>,
    customers: Option<Vec<Customer>>,
}

impl RouteTable {
    /// Tells that there is a configuration of this version, without its contents.
    pub fn notice(version: u64) -> Self {
        Self { version, ..Self::default() }
    }
}

impl From<&QueueConfig> for RouteTable {
    fn from(config: &QueueConfig) -> Self {
        let queues = config.queues().iter().map(|queue| Route::from(&**queue)).collect();
        Self { version: config.version, queues, services: config.services.clone() }
    }
}

impl From<&Queue> for Route {
    fn from(queue: &Queue) -> Self {
        Self {
            name: queue.name.clone(),
            host: queue.host.clone(),
            prefix: queue.path_prefix.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            attempts: queue.max_failures,
            stretch: queue.stretch,
            target_ms: queue.target_ms,
            advice: queue.policy,
        }
    }
}

impl From<Route> for Queue {
    fn from(route: Route) -> Self {
        Self {
            name: route.name,
            host: route.host,
            path_prefix: route.prefix,
            service: route.service,
            priority: route.priority,
            max_failures: route.attempts,
            stretch: route.stretch,
            target_ms: route.target_ms,
            policy: route.advice,
            anonymous: false,
        }
    }
}

impl From<&QueueConfig> for ConfigMessage {
    fn from(config: &QueueConfig) -> Self {
        let queues = config.queues().iter().enumerate();
        let anonymous = queues.filter(|(_, queue)| queue.anonymous).map(|(at, _)| at).collect();
        let customers = config.customers.as_ref();
        let customers =
            customers.map(|customers| customers.iter().map(|one| (**one).clone()).collect());
        Self { table: config.into(), anonymous, customers }
    }
}

impl TryFrom<ConfigMessage> for QueueConfig {
    type Error = InvalidCustomers;

    fn try_from(message: ConfigMessage) -> Result<Self, InvalidCustomers> {
        let RouteTable { version, queues, services } = message.table;
        let mut queues: Vec<Queue> = queues.into_iter().map(Queue::from).collect();
        for at in message.anonymous {
            if let Some(queue) = queues.get_mut(at) {
                queue.anonymous = true;
            }
        }
        let config = Self::new(version, queues.into_iter().map(Rc::new).collect(), services);
        match message.customers {
            Some(customers) => Ok(config.with_customers(Customers::new(customers)?)),
            None => Ok(config),
        }
    }
}
