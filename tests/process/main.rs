//! Tests over real sockets on loopback. Verdicts wait for conditions, never for the machine's speed.

mod http;
mod peer;
