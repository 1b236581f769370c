//! Names and descriptions of all metrics of the scheduler, which are defined only here.

use super::{Counter, Gauge, Histogram};

macro_rules! metrics {
    ($($name:ident: $kind:ident = $key:literal, $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $name: $kind = $kind { name: $key, help: $help };
        )*

        /// Registers the description of each metric with the recorder.
        pub(super) fn describe() {
            $($name.describe();)*
        }
    };
}

metrics! {
    OWNER: Gauge = "oriolefork_owner",
        "1 while this instance owns its failure domain, otherwise 0.";
    OWNER_TERM: Gauge = "oriolefork_owner_term",
        "Latest term of the failure domain's owner that this instance has received.";
    JOBS_WAITING: Gauge = "oriolefork_jobs_waiting",
        "Jobs of the failure domain that wait for placement.";
    OLDEST_WAIT: Gauge = "oriolefork_oldest_wait_seconds",
        "Longest time for which a job has been waiting for its first placement.";
    TASKS: Gauge = "oriolefork_tasks",
        "Tasks of the failure domain that have not ended, by state.";
    WORKERS: Gauge = "oriolefork_workers",
        "Workers by state; set by the owner.";
    PACKING: Gauge = "oriolefork_packing_ratio",
        "Reserved share of the workers' capacity, by resource; set by the owner.";
    PRESET_VERSION: Gauge = "oriolefork_preset_version",
        "Version of the configuration in force at this instance.";
    API_REQUESTS: Counter = "oriolefork_api_requests_total",
        "Requests of callers and operators answered, by route and status class.";
    API_REQUEST: Histogram = "oriolefork_api_request_seconds",
        "Time from a request's arrival to its response, by route.";
    LOG_APPENDS: Counter = "oriolefork_log_appends_total",
        "Appends to the platform's log, by outcome.";
    LOG_APPEND_BYTES: Counter = "oriolefork_log_append_bytes_total",
        "Bytes sent to the platform's log to append.";
    LOG_APPEND: Histogram = "oriolefork_log_append_seconds",
        "Time of one append to the platform's log.";
    LOG_READS: Counter = "oriolefork_log_reads_total",
        "Reads of the platform's log, by outcome.";
    LIST_FETCHES: Counter = "oriolefork_instance_list_fetches_total",
        "Fetches of the platform's list of instances, by outcome.";
    EXCHANGES: Counter = "oriolefork_worker_exchanges_total",
        "Exchanges with workers, by outcome.";
    REQUESTS: Counter = "oriolefork_requests_total",
        "Quick requests answered, by outcome.";
    REQUEST: Histogram = "oriolefork_request_seconds",
        "Time from a quick request's arrival to its response.";
    REQUESTS_WAITING: Gauge = "oriolefork_requests_waiting",
        "Quick requests that wait for a runner's slot at this instance.";
    RUNNER_CALLS: Counter = "oriolefork_runner_calls_total",
        "Calls to runners, retries and hedges included, by outcome.";
    CONFIG_REFRESHES: Counter = "oriolefork_config_refreshes_total",
        "Reads of the configuration before a caller is refused, by outcome.";
    CALLERS_DENIED: Counter = "oriolefork_callers_denied_total",
        "Requests refused for their queue or key, by reason.";
    CELL_JOBS: Counter = "oriolefork_cell_jobs_total",
        "Jobs of a cell, by outcome; counted by the owner.";
    CELL_REFUSALS: Counter = "oriolefork_cell_refusals_total",
        "Jobs that a cell's owner refused because they could not end in time, by reason.";
    CELL_TRIES: Counter = "oriolefork_cell_tries_total",
        "Ended attempts to run tasks of a cell, by outcome; counted by the owner.";
    CELL_UNUSED_ENDS: Counter = "oriolefork_cell_unused_ends_total",
        "Ends that workers of a cell reported of attempts that had ended for its owner, by outcome.";
    CELL_CLAIMS: Counter = "oriolefork_cell_claims_total",
        "Claims of a cell by this instance, by outcome.";
    CELL_APPEND: Histogram = "oriolefork_cell_append_seconds",
        "Time until a batch of the cell's journal was stored, retries included.";
    CELL_UNSAVED_AGE: Gauge = "oriolefork_cell_unsaved_age_seconds",
        "Age of the oldest record of the cell's journal that no snapshot contains; set by the owner.";
    CELL_UNSAVED_BYTES: Gauge = "oriolefork_cell_unsaved_bytes",
        "Size of the records of the cell's journal that no snapshot contains; set by the owner.";
    CELL_JOB_BYTES: Gauge = "oriolefork_cell_job_bytes",
        "Memory that the cell's open jobs and their runs take, as counted for the limit; set by the owner.";
    CELL_LOST_RECORDS: Counter = "oriolefork_cell_lost_records_total",
        "Records of the cell's journal that the store removed before a snapshot contained them, as found by a new owner.";
    CELL_UNUSABLE_SNAPSHOTS: Counter = "oriolefork_cell_unusable_snapshots_total",
        "Stored snapshots of the cell that this instance could not use, by what it did instead.";
    CELL_WORKERS: Gauge = "oriolefork_cell_workers",
        "Workers of the cell by state, active if the owner polls them; set by the owner.";
    CELL_DUTY: Counter = "oriolefork_cell_duty_microseconds_total",
        "Time for which each activity occupied the thread of a cell's owner.";
    CELL_DUTY_LONGEST: Gauge = "oriolefork_cell_duty_longest_seconds",
        "Longest time in the last second for which one activity occupied the owner's thread.";
    CELL_CUSTOMER_CPU: Gauge = "oriolefork_cell_customer_cpu_cores",
        "Cores that a customer's attempts use; written by the owner.";
    CELL_CUSTOMER_CAP: Gauge = "oriolefork_cell_customer_cap_ratio",
        "Largest share of its cap that a customer uses in any dimension; written by the owner.";
    CELL_CUSTOMER_SHARE: Gauge = "oriolefork_cell_customer_share_ratio",
        "Used part of the share that a customer may save up; above one it is in debt; written by the owner.";
    CELL_CUSTOMER_WAITING: Gauge = "oriolefork_cell_customer_waiting_jobs",
        "Open jobs of a customer of which no task has started; written by the owner.";
    CELL_CUSTOMER_REFUSED: Gauge = "oriolefork_cell_customer_refused_jobs",
        "Refused calls of a customer since the owner took office; written by the owner.";
    CELL_CUSTOMER_LATE: Gauge = "oriolefork_cell_customer_late_jobs",
        "Jobs of a customer that ended later than their objective since the owner took office; written by the owner.";
    CELL_QUEUE_WAITING: Gauge = "oriolefork_cell_queue_waiting_jobs",
        "Open jobs of a queue of which no task has started; written by the owner.";
    CELL_QUEUE_OLDEST_WAIT: Gauge = "oriolefork_cell_queue_oldest_wait_seconds",
        "Longest time for which a job of a queue has waited for its first task; written by the owner.";
    CELL_QUEUE_ON_TIME: Gauge = "oriolefork_cell_queue_on_time_jobs",
        "Jobs of a queue that ended within their objective since the owner took office; written by the owner.";
    CELL_QUEUE_LATE: Gauge = "oriolefork_cell_queue_late_jobs",
        "Jobs of a queue that ended later than their objective since the owner took office; written by the owner.";
    CELL_QUEUE_RUN_TIME_ERROR: Gauge = "oriolefork_cell_queue_run_time_error_ratio",
        "Mean error of the learned run times of a queue, as a factor; written by the owner.";
    CELL_REFUSED: Gauge = "oriolefork_cell_refused_jobs",
        "Refused calls for jobs since the owner took office, by reason, repeated calls included; written by the owner.";
    CELL_RETURNED: Gauge = "oriolefork_cell_returned_jobs",
        "Jobs accepted after they had been refused, since the owner took office; written by the owner.";
    CELL_PASSED_OVER: Gauge = "oriolefork_cell_passed_over_steps",
        "Waiting steps that a rule passes over although they could run, by rule; written by the owner.";
    CELL_PASSED_OVER_LONGEST: Gauge = "oriolefork_cell_passed_over_longest_seconds",
        "Longest time for which any rule has passed over a waiting step; written by the owner.";
    CELL_WORKER_CONDITION: Gauge = "oriolefork_cell_worker_conditions",
        "Active workers by condition; a worker can have several; written by the owner.";
    CELL_WORKER_SPEED: Gauge = "oriolefork_cell_worker_speeds",
        "Active workers by learned speed; written by the owner.";
    DESCRIPTORS_IN_USE: Gauge = "oriolefork_descriptors_in_use",
        "Descriptors that connections use, by class.";
    DESCRIPTOR_LIMIT: Gauge = "oriolefork_descriptors_limit",
        "Descriptors that connections may use; absent if that is not limited.";
    DESCRIPTORS_RECLAIMED: Counter = "oriolefork_descriptors_reclaimed_total",
        "Idle connections closed for want of descriptors, by class of the connection that needed one.";
    DESCRIPTORS_REFUSED: Counter = "oriolefork_descriptors_refused_total",
        "Connections refused for want of descriptors, by class.";
    MESSAGE_BYTES: Gauge = "oriolefork_message_bytes",
        "Bytes that messages of clients hold while they arrive or are handled, by address.";
    CLIENTS_EVICTED: Counter = "oriolefork_clients_evicted_total",
        "Clients that gave way to others for want of memory or connections, by address and cause.";
    CONNECTIONS_REFUSED_BY_PEER: Counter = "oriolefork_connections_refused_by_peer_total",
        "Connections that workers refused, or closed before any response.";
    RUNNER_CALL: Histogram = "oriolefork_runner_call_seconds",
        "Time of one call to a runner.";
}
