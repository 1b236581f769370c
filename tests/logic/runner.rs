//! Tests of the routing of quick requests.

mod load;
mod outcome;
mod setup;
mod share;
