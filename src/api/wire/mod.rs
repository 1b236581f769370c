//! The JSON form of what callers and operators send and receive.
//!
//! Requests are checked strictly: an unknown, missing or repeated field and a value out of its
//! range is refused with the path of the field. Answers may gain fields in later versions, so that
//! readers pass over those they do not know.

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
