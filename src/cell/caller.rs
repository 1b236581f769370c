//! What an instance states about the caller of a call that it forwards to the owner.

use derive_more::{Display, Error};

use super::customer::{KeyDigest, Name};

/// The caller of a call, as the instance that received it found by its own configuration.
///
/// It is stated in the query of the peer method: an instance of an earlier version neither sends
/// nor reads it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// Version of the configuration by which the instance checked the caller; zero if an instance
    /// of an earlier version forwarded the call unchecked.
    pub config_version: u64,
    /// Customer to which its key belongs; `None` for an anonymous caller.
    pub customer: Option<Name>,
    /// Digest of its key.
    pub key: Option<KeyDigest>,
    /// Whether the instance understands [`Answer::Busy`](super::machine::Answer::Busy). Instances of
    /// earlier versions do not state it, since they could not decode the answer.
    pub understands_busy: bool,
}

/// Error for a query that does not state a caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("invalid parameter {name} of a forwarded call")]
pub struct InvalidCaller {
    /// Name of the parameter.
    pub name: &'static str,
}

const VERSION: &str = "version";
const CUSTOMER: &str = "customer";
const KEY: &str = "key";
const BUSY: &str = "busy";

impl Caller {
    /// Peer method `name` with the caller as its query.
    ///
    /// ```
    /// use oriolefork::cell::caller::Caller;
    /// let caller = Caller { config_version: 7, ..Caller::default() };
    /// assert_eq!(caller.method("cell/call"), "cell/call?version=7");
    /// assert_eq!(Caller::from_query("version=7"), Ok(caller));
    /// ```
    pub fn method(&self, name: &str) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        query.append_pair(VERSION, &self.config_version.to_string());
        if let Some(customer) = &self.customer {
            query.append_pair(CUSTOMER, customer);
        }
        if let Some(key) = &self.key {
            query.append_pair(KEY, &key.to_hex());
        }
        if self.understands_busy {
            query.append_pair(BUSY, "1");
        }
        format!("{name}?{}", query.finish())
    }

    /// Reads the caller from a query; an empty one states nothing.
    ///
    /// # Errors
    /// Returns the first parameter with an invalid value.
    pub fn from_query(query: &str) -> Result<Self, InvalidCaller> {
        let mut caller = Self::default();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            match &*name {
                VERSION => {
                    caller.config_version =
                        value.parse().map_err(|_| InvalidCaller { name: VERSION })?;
                }
                CUSTOMER => caller.customer = Some(value.as_ref().into()),
                KEY => {
                    caller.key = Some(value.parse().map_err(|_| InvalidCaller { name: KEY })?);
                }
                BUSY => caller.understands_busy = value == "1",
                _ => {}
            }
        }
        Ok(caller)
    }
}
