//! Cells: the owner's state machine alone, and in random histories with workers and a journal.

mod activation;
mod active_workers;
mod activity;
mod admission;
mod answering_workers;
mod attempts;
mod capacity_changes;
mod crash;
mod customers;
mod departed_workers;
mod earlier_versions;
mod explain;
mod fair_shares;
mod harness;
mod histories;
mod largest_numbers;
mod lease;
mod lost_records;
mod machine;
mod many_tasks;
#[path = "../../../benches/cell/mix.rs"]
#[allow(dead_code)]
mod mix;
mod model;
mod occurrences;
mod overload;
mod passed_over;
mod passed_over_caps;
mod passed_over_departures;
mod passed_over_gangs;
mod passed_over_inactive;
mod passed_over_locality;
mod passed_over_pauses;
mod passed_over_preemption;
mod passed_over_review;
mod passed_over_suspects;
mod placement;
mod policy_histories;
mod policy_queries;
mod policy_site;
mod polls;
mod preempt;
mod proxy_shares;
mod quarantine;
mod refused_connections;
#[path = "../../../benches/cell/replay.rs"]
#[allow(dead_code)]
mod replay;
mod responsiveness;
mod retry;
mod run_times;
mod shares;
mod simulation;
mod sizes;
mod snapshots;
mod starvation;
mod state;
mod store;
mod succession;
mod task_list;
mod ticket;
mod unanswered_commands;
mod upstream;
mod watch;
mod worker_speeds;
