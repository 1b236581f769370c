//! Decisions on quick requests.

mod load;
mod outcome;
mod setup;
mod share;
