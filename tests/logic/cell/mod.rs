//! Cells: the owner's machine alone, and over random histories with workers and a journal.

mod advice;
mod askers;
mod crash;
mod duty;
mod histories;
mod lease;
mod left_behind;
mod looks;
mod machine;
#[path = "../../../benches/cell/mix.rs"]
#[allow(dead_code)]
mod mix;
mod model;
mod patience;
mod place;
mod preempt;
#[path = "../../../benches/cell/replay.rs"]
#[allow(dead_code)]
mod replay;
mod shrink;
mod sizes;
mod standstill;
mod state;
mod store;
mod story;
mod succession;
mod ticket;
mod unanswered;
mod upstream;
mod world;
