//! Which callers may use which queue, by the newest configuration that the instance can learn of.

use super::Node;
use crate::cell::caller::Caller;
use crate::cell::customer::KeyDigest;
use crate::cell::queue::{Access, QueueConfig};

/// A caller that may use a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Name of the queue.
    pub queue: String,
    /// Length of the path prefix that belongs to the queue, in bytes.
    pub prefix_len: usize,
    /// The caller.
    pub caller: Caller,
}

/// Why a caller may not use a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// This instance has no configuration yet.
    NoConfig,
    /// There is no such queue.
    NoQueue,
    /// The queue requires a key.
    KeyMissing,
    /// No customer has the caller's key.
    KeyUnknown,
    /// The instance does not know the queue or the key, and reaches nobody who may know a newer
    /// configuration.
    Unconfirmed,
}

impl Node {
    /// Finds the queue of a request and checks the caller's key.
    ///
    /// A queue or a key that this instance does not know is looked for in a newer configuration
    /// before it is refused: it may just have been added.
    ///
    /// # Errors
    /// Returns why the caller may not use the queue.
    pub async fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<KeyDigest>,
    ) -> Result<Admission, Denial> {
        let config = self.config();
        match admit(&config, host, path, key) {
            Err(Denial::NoQueue | Denial::KeyUnknown) if !self.refresh_config().await => {
                Err(Denial::Unconfirmed)
            }
            Err(Denial::NoQueue | Denial::KeyUnknown) => admit(&self.config(), host, path, key),
            known => known,
        }
    }
}

/// Checks a request by one configuration.
fn admit(
    config: &QueueConfig,
    host: &str,
    path: &str,
    key: Option<KeyDigest>,
) -> Result<Admission, Denial> {
    if config.version == 0 {
        return Err(Denial::NoConfig);
    }
    let queue = config.find(host, path).ok_or(Denial::NoQueue)?;
    let customer = match config.access(queue, key.as_ref()) {
        Access::Granted(customer) => customer,
        Access::KeyMissing => return Err(Denial::KeyMissing),
        Access::KeyUnknown => return Err(Denial::KeyUnknown),
    };
    let caller = Caller { config_version: config.version, customer, key, understands_busy: true };
    Ok(Admission { queue: queue.name.clone(), prefix_len: queue.path_prefix.len(), caller })
}
