//! Cells: the owner's machine alone, and over random histories with workers and a journal.

mod advice;
mod askers;
mod histories;
mod lease;
mod looks;
mod machine;
mod model;
mod patience;
mod place;
mod preempt;
mod standstill;
mod state;
mod store;
mod story;
mod ticket;
mod unanswered;
mod upstream;
mod world;
