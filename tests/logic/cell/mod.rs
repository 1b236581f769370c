//! Cells: the owner's machine alone, and over random histories with workers and a journal.

mod advice;
mod askers;
mod histories;
mod lease;
mod machine;
mod model;
mod patience;
mod preempt;
mod state;
mod story;
mod ticket;
mod upstream;
mod world;
