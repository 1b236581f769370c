//! Tests over real sockets on loopback. Verdicts wait for conditions, never for the machine's speed.

mod admission;
mod cli;
mod config;
mod controller;
mod descriptors;
mod dev;
mod election;
mod harness;
mod http;
mod http_client;
mod intent;
mod membership;
mod observe;
mod once;
mod owner;
mod peer;
mod runner;
mod runner_daemon;
mod runtime;
mod settings;
mod standin;
mod stop;
mod submission;
mod support;
mod watch;
