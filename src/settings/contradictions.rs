//! Limits that cannot hold together.

use super::report::Problem;
use super::wire;

/// A setting's path and value.
#[derive(Clone, Copy)]
struct Setting {
    path: &'static str,
    value: u64,
}

const fn setting(path: &'static str, value: u64) -> Setting {
    Setting { path, value }
}

/// Renewals of a lease that must fit into it, so that one lost exchange does not end tasks.
const RENEWALS_A_LEASE: u64 = 2;

/// Heartbeats that an instance must miss before it claims the owner's place.
const HEARTBEATS_A_CLAIM: u64 = 3;

/// All contradictions in `settings`.
pub(super) fn find(settings: &wire::Settings) -> Vec<Problem> {
    let rules = leases(settings).into_iter().chain(takeover(settings)).chain(callers(settings));
    rules.flatten().collect()
}

fn leases(settings: &wire::Settings) -> [Option<Problem>; 4] {
    let owner = &settings.owner;
    let lease = setting("owner.lease_ms", owner.lease_ms);
    let margin = setting("owner.lease_margin_ms", owner.lease_margin_ms);
    let wait = setting("owner.exchange_wait_ms", owner.exchange_wait_ms);
    let timeout = setting("owner.exchange_timeout_ms", owner.exchange_timeout_ms);
    let log = setting("log.timeout_ms", settings.log.timeout_ms);
    let renewal = wait.value + timeout.value;
    [
        at_least(
            lease,
            RENEWALS_A_LEASE * renewal + 1,
            wait,
            "a lease must outlast two exchanges with their timeouts, or one lost answer ends tasks",
        ),
        above(lease, margin, "a margin as long as the lease delays every move of a task"),
        above(
            margin,
            log,
            "a log call that outlasts the margin lets an owner act on a lease already given up",
        ),
        above(lease, log, "a log call as long as the lease leaves no time to renew"),
    ]
}

fn takeover(settings: &wire::Settings) -> [Option<Problem>; 3] {
    let owner = &settings.owner;
    let claim = setting("owner.claim_timeout_ms", owner.claim_timeout_ms);
    let heartbeat = setting("owner.heartbeat_ms", owner.heartbeat_ms);
    let delay = setting("owner.commit_delay_ms", owner.commit_delay_ms);
    let log = setting("log.timeout_ms", settings.log.timeout_ms);
    let lease = setting("owner.lease_ms", owner.lease_ms);
    [
        at_least(
            claim,
            HEARTBEATS_A_CLAIM * heartbeat.value,
            heartbeat,
            "a claim before three missed heartbeats replaces owners that are well",
        ),
        above(log, delay, "records would wait longer for company than the append may take"),
        above(lease, claim, "tasks would lapse before another instance takes over"),
    ]
}

fn callers(settings: &wire::Settings) -> [Option<Problem>; 4] {
    let caller = setting("queues.caller_timeout_ms", settings.queues.caller_timeout_ms);
    let wait = setting("queues.request_wait_ms", settings.queues.request_wait_ms);
    let run = setting("queues.request_run_ms", settings.queues.request_run_ms);
    let grace = setting("http.shutdown_grace_ms", settings.http.shutdown_grace_ms);
    let head = setting("http.head_bytes", settings.http.head_bytes);
    let body = setting("http.body_bytes", settings.http.body_bytes);
    [
        above(caller, wait, "requests would still wait after their callers gave up"),
        above(caller, run, "runners would still work after their callers gave up"),
        above(grace, caller, "a graceful shutdown would cut requests in flight"),
        at_least(body, head.value, head, "a request's body would have less room than its head"),
    ]
}

fn above(larger: Setting, smaller: Setting, reason: &str) -> Option<Problem> {
    at_least(larger, smaller.value + 1, smaller, reason)
}

fn at_least(larger: Setting, least: u64, smaller: Setting, reason: &str) -> Option<Problem> {
    (larger.value < least).then(|| {
        let fault = format!(
            "{} is too small beside {} = {}: {reason}",
            larger.value, smaller.path, smaller.value
        );
        let mend = format!("raise it to at least {least}, or lower {}", smaller.path);
        Problem::new(larger.path, fault, mend).beside(smaller.path)
    })
}
