//! HTTP/1.1 interface with JSON bodies for callers and operators.
//!
//! The HTTP layer validates requests, converts them into model types and passes them to a
//! [`Backend`]. The backend returns a [`view`], or a [`Refusal`] that states whether the work may
//! have run.

pub mod backend;
pub mod configuration;
mod endpoint;
pub mod header;
pub mod query;
pub mod refusal;
pub mod reply;
pub mod route;
pub mod service;
pub mod view;
pub mod wire;

pub use backend::{Backend, BackendFuture, CallContext};
pub use configuration::Configuration;
pub use refusal::{ExecutionStatus, Reason, Refusal};
pub use service::{Options, Service, TokenCheck};
