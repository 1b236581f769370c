//! Tests of the settings that operators change at run time.

mod cluster;
mod gossip;
mod histories;
mod publish;
mod retention;
mod wire;
