//! Every metric of the scheduler with its meaning; the only place where a metric is named.

use super::{Counter, Gauge, Histogram};

macro_rules! metrics {
    ($($name:ident: $kind:ident = $key:literal, $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $name: $kind = $kind { name: $key, help: $help };
        )*

        /// Tells the recorder what each metric means.
        pub(super) fn describe() {
            $($name.describe();)*
        }
    };
}

metrics! {
    JOBS_ACCEPTED: Counter = "oriolefork_jobs_accepted_total",
        "Jobs accepted by this instance.";
    JOBS_REFUSED: Counter = "oriolefork_jobs_refused_total",
        "Jobs refused by this instance; they did not run.";
    JOBS_WAITING: Gauge = "oriolefork_jobs_waiting",
        "Jobs that wait for placement; set by the owner of the failure domain.";
    TASKS_RUNNING: Gauge = "oriolefork_tasks_running",
        "Tasks that hold resources of workers; set by the owner.";
    TASKS_STARTED: Counter = "oriolefork_tasks_started_total",
        "Starts sent to workers, by the owner.";
    TASKS_ENDED: Counter = "oriolefork_tasks_ended_total",
        "Ends that workers reported, by how the task ended.";
    JOB_WAIT: Histogram = "oriolefork_job_wait_seconds",
        "Time from acceptance of a job to its first start.";
    PACKING: Gauge = "oriolefork_packing_ratio",
        "Reserved share of what the workers have, by resource; set by the owner.";
    DECISION: Histogram = "oriolefork_decision_seconds",
        "Time of one round of placement decisions.";
    LOG_APPENDS: Counter = "oriolefork_log_appends_total",
        "Appends to the platform's log, by outcome.";
    LOG_APPEND_BYTES: Counter = "oriolefork_log_append_bytes_total",
        "Bytes given to the platform's log to append.";
    LOG_APPEND: Histogram = "oriolefork_log_append_seconds",
        "Time of one append to the platform's log.";
    LOG_READS: Counter = "oriolefork_log_reads_total",
        "Reads of the platform's log, by outcome.";
    LIST_FETCHES: Counter = "oriolefork_instance_list_fetches_total",
        "Fetches of the platform's list of instances, by outcome.";
    EXCHANGES: Counter = "oriolefork_worker_exchanges_total",
        "Exchanges with workers, by outcome.";
    RUNNER_CALLS: Counter = "oriolefork_runner_calls_total",
        "Calls to runners, retries and hedges included, by outcome.";
    RUNNER_CALL: Histogram = "oriolefork_runner_call_seconds",
        "Time of one call to a runner.";
    OWNER: Gauge = "oriolefork_owner",
        "One while this instance owns its failure domain, else zero.";
    OWNER_TERM: Gauge = "oriolefork_owner_term",
        "Term of the failure domain's owner as this instance knows it.";
    TAKEOVERS: Counter = "oriolefork_takeovers_total",
        "Times that this instance became the owner of its failure domain.";
    WORKERS_REACHED: Gauge = "oriolefork_workers_reached",
        "Workers that answer this owner.";
    REQUESTS: Counter = "oriolefork_requests_total",
        "Quick requests answered, by outcome.";
    REQUEST: Histogram = "oriolefork_request_seconds",
        "Time from a quick request's arrival to its answer.";
    REQUESTS_WAITING: Gauge = "oriolefork_requests_waiting",
        "Quick requests that wait for a runner's slot at this instance.";
    ALERTS_OPEN: Gauge = "oriolefork_alerts_open",
        "Alerts that nobody has acknowledged.";
    PRESET_VERSION: Gauge = "oriolefork_preset_version",
        "Version of the configuration in force at this instance.";
}
