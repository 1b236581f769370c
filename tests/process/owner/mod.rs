//! Stories of the ownership of a failure domain, with real processes behind the fault proxy.
//!
//! Whatever happens, the workers' own records decide: [`Cluster::runs`](crate::harness::Cluster)
//! checks that no worker was overcommitted and that no task ran in two places at once.

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
