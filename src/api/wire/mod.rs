//! JSON form of requests and responses.
//!
//! Requests are validated strictly: an unknown, missing or repeated field or a value out of range
//! is refused, and the refusal names the field. Later versions may add fields to responses, so
//! readers ignore unknown fields.

pub mod alert;
pub mod amount;
pub mod check;
pub mod job;
pub mod page;
pub mod parse;
pub mod preset;
pub mod quota;
pub mod refusal;
pub mod status;
pub mod worker;

pub use amount::Amount;
pub use page::Page;
pub use parse::parse;
pub use refusal::Refusal;
