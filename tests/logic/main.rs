//! Tests of decision logic and codecs: no sockets, no sleeping.

mod codec;
mod api;
mod job;
mod placement;
mod standin;
