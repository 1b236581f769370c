//! Settings: one JSON file, command-line overrides on top, checked as a whole before anything
//! starts.
//!
//! [`load`] is the one place where file and command line meet. A file passes four checks, and all
//! that they find is reported at once: JSON without repeated keys, the schema (keys, types,
//! ranges), limits that contradict each other, and names and addresses that clash.

mod clashes;
mod complaint;
mod contradictions;
mod convert;
mod document;
mod load;
mod mend;
mod model;
mod overrides;
mod place;
mod report;
mod schema;
mod secret;
mod wire;

pub use load::{check, load, parse};
pub use model::{
    Addresses, Domain, Http, InstanceList, Log, Owner, Peer, PeerCalls, Queues, Service, Settings,
};
pub use overrides::{Malformed, Override};
pub use report::{INVALID, Problem, Problems, Report};
pub use schema::schema;
pub use secret::Secret;
pub use wire::{Level, Weighs};

/// Key under which secrets stand, wherever in the file.
const SECRET_KEY: &str = "token";

/// Whether the setting named `key` is a secret.
fn is_secret(key: &str) -> bool {
    key == SECRET_KEY
}
