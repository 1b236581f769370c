//! Settings in force.

mod fleet;
mod gossip;
mod histories;
mod publish;
mod retention;
mod wire;
