//! Scenarios about the owner of a failure domain, with real processes behind the fault proxy.
//!
//! Each scenario reads the workers' own records with [`Cluster::runs`](crate::harness::Cluster),
//! which checks that no worker was overcommitted and that no task ran in two places at once.

mod cut;
mod host;
mod kill;
mod load;
mod log;
mod pause;
mod rolling;
mod site;
mod work;
mod worker;
