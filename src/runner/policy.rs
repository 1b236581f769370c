//! Settings of request routing.

use std::time::Duration;

/// Limits and budgets of one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Longest time for which a runner works on one request.
    pub run_limit: Duration,
    /// Longest wait in the queue at which a request is still taken while the queue stands.
    pub queue_target: Duration,
    /// The same while the queue has been empty a short time ago, as in a burst.
    pub queue_burst: Duration,
    /// Time after which a queue that has not been empty counts as standing.
    pub burst_window: Duration,
    /// Most requests that wait per service.
    pub queue_length: usize,
    /// Most requests forwarded to other failure domains at once, per service.
    pub forward_limit: usize,
    /// Tries of one request in all, hedges included.
    pub max_attempts: usize,
    /// Retries allowed per request submitted, on average.
    pub retry_ratio: f64,
    /// Hedges allowed per request submitted, on average.
    pub hedge_ratio: f64,
    /// Retries or hedges that may come in one burst.
    pub budget_burst: f64,
    /// Shortest time before a hedge is sent.
    pub min_hedge_delay: Duration,
    /// Failures in a row after which a runner is ejected.
    pub consecutive_failures: u32,
    /// Part of recent answers that failed, from which on a runner is ejected.
    pub failure_ratio: f64,
    /// Multiple of the median latency of its kind from which on a runner is ejected.
    pub slow_ratio: f64,
    /// First ejection; each further one in a row lasts twice as long.
    pub base_ejection_time: Duration,
    /// Longest ejection.
    pub max_ejection_time: Duration,
    /// Part of a service's runners that may be ejected at once.
    pub max_ejected_fraction: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            run_limit: Duration::from_secs(5),
            queue_target: Duration::from_millis(50),
            queue_burst: Duration::from_millis(250),
            burst_window: Duration::from_millis(500),
            queue_length: 4096,
            forward_limit: 64,
            max_attempts: 3,
            retry_ratio: 0.1,
            hedge_ratio: 0.05,
            budget_burst: 10.0,
            min_hedge_delay: Duration::from_millis(5),
            consecutive_failures: 5,
            failure_ratio: 0.5,
            slow_ratio: 3.0,
            base_ejection_time: Duration::from_secs(2),
            max_ejection_time: Duration::from_secs(60),
            max_ejected_fraction: 0.5,
        }
    }
}
