//! Customers: who may call, and how much of the workers each may use.
//!
//! A site either has customers, and then each call carries a key of one of them unless its queue
//! is anonymous, or it has none, and calls need no keys.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::resource::{Amount, Limit};

/// Largest cap that is accepted in any dimension. It is far above any site, and sums of caps and
/// demands cannot overflow.
pub const MAX_CAP: u64 = 1 << 50;

/// Largest rate that is accepted, in jobs a second. It is far above any site; a larger one is a
/// mistake, and would make every other customer's share a rounding error.
pub const MAX_RATE: f64 = 1e6;

/// Name of a customer.
pub type Name = Rc<str>;

/// Digest of a key. Keys themselves are not kept, so that none can appear in a log line, a record
/// or a dump.
///
/// ```
/// use oriolefork::cell::customer::KeyDigest;
/// let digest = KeyDigest::of("gkcuyj8p");
/// assert_ne!(digest, KeyDigest::of("gkcuyj8q"));
/// assert_eq!(digest.to_hex().parse(), Ok(digest));
/// assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest(u128);

/// Error for a text that is not a digest.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a digest of a key has 32 hexadecimal digits")]
pub struct InvalidDigest;

/// A customer, as configured by the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: Name,
    /// Digests of its keys; a customer without keys cannot call.
    pub keys: Vec<KeyDigest>,
    /// Jobs that it may submit in a second without yielding to other customers; zero for no such
    /// share.
    pub jobs_per_second: f64,
    /// Resources that its tasks may use at a time.
    pub cap: Limit,
}

/// All customers of a site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    all: Vec<Rc<Customer>>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<Name, usize>,
}

/// Why a list of customers is invalid. Names customers by their position, counted from zero.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidCustomers {
    /// A name is empty or contains a control character.
    #[display("customer {at}: the name is empty or contains a control character")]
    Name {
        /// Position of the customer.
        at: usize,
    },
    /// Two customers have the same name.
    #[display("customer {at}: the name is that of customer {other}")]
    DuplicateName {
        /// Position of the customer.
        at: usize,
        /// Position of the earlier one.
        other: usize,
    },
    /// Two customers have the same key.
    #[display("customer {at}: key {key} is a key of customer {other}")]
    DuplicateKey {
        /// Position of the customer.
        at: usize,
        /// Position of the key in its list.
        key: usize,
        /// Position of the earlier customer.
        other: usize,
    },
    /// The rate of a customer is negative, not a number, infinite or too large.
    #[display("customer {at}: the weight must be a number from zero to {MAX_RATE}")]
    Rate {
        /// Position of the customer.
        at: usize,
    },
    /// A cap is too large.
    #[display("customer {at}: a cap may be at most {MAX_CAP}")]
    Cap {
        /// Position of the customer.
        at: usize,
    },
}

impl KeyDigest {
    /// Digest of a key.
    pub fn of(key: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(key.as_bytes()))
    }

    /// The digest in hexadecimal digits, for calls between instances.
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        u128::from_str_radix(text, 16).map(Self).map_err(|_| InvalidDigest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl Customers {
    /// Checks and indexes a list of customers.
    ///
    /// # Errors
    /// Returns the first customer whose values are invalid or collide with those of another.
    ///
    /// ```
    /// use oriolefork::cell::customer::{Customer, Customers, InvalidCustomers, KeyDigest};
    /// use oriolefork::resource::Limit;
    /// let customer = |name: &str, key: &str| Customer {
    ///     name: name.into(),
    ///     keys: vec![KeyDigest::of(key)],
    ///     jobs_per_second: 4.0,
    ///     cap: Limit::UNLIMITED,
    /// };
    /// let customers = Customers::new(vec![customer("orchard", "k1"), customer("museum", "k2")]);
    /// let found = customers.unwrap().with_key(&KeyDigest::of("k2")).map(|found| found.name.clone());
    /// assert_eq!(found.as_deref(), Some("museum"));
    ///
    /// let clash = Customers::new(vec![customer("orchard", "k1"), customer("museum", "k1")]);
    /// assert_eq!(clash, Err(InvalidCustomers::DuplicateKey { at: 1, key: 0, other: 0 }));
    /// ```
    pub fn new(customers: Vec<Customer>) -> Result<Self, InvalidCustomers> {
        let mut indexed = Self::default();
        for (at, customer) in customers.into_iter().enumerate() {
            customer.check(at)?;
            if let Some(&other) = indexed.by_name.get(&customer.name) {
                return Err(InvalidCustomers::DuplicateName { at, other });
            }
            for (key, digest) in customer.keys.iter().enumerate() {
                match indexed.by_key.insert(*digest, at) {
                    Some(other) if other != at => {
                        return Err(InvalidCustomers::DuplicateKey { at, key, other });
                    }
                    _ => {}
                }
            }
            indexed.by_name.insert(customer.name.clone(), at);
            indexed.all.push(Rc::new(customer));
        }
        Ok(indexed)
    }

    /// The customer with that key.
    pub fn with_key(&self, key: &KeyDigest) -> Option<&Rc<Customer>> {
        self.by_key.get(key).map(|at| &self.all[*at])
    }

    /// The customer of that name.
    pub fn named(&self, name: &str) -> Option<&Rc<Customer>> {
        self.by_name.get(name).map(|at| &self.all[*at])
    }

    /// All customers, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Customer>> {
        self.all.iter()
    }
}

impl Customer {
    fn check(&self, at: usize) -> Result<(), InvalidCustomers> {
        if self.name.is_empty() || self.name.chars().any(char::is_control) {
            return Err(InvalidCustomers::Name { at });
        }
        if !(0.0..=MAX_RATE).contains(&self.jobs_per_second) {
            return Err(InvalidCustomers::Rate { at });
        }
        let Limit { cpu_millis, memory_mib, accelerators } = self.cap;
        let is_huge = |cap: Option<u64>| cap.is_some_and(|cap| cap > MAX_CAP);
        if is_huge(cpu_millis) || is_huge(memory_mib) || is_huge(accelerators) {
            return Err(InvalidCustomers::Cap { at });
        }
        Ok(())
    }

    /// Whether `count` tasks of `demand` each could ever run at once.
    ///
    /// ```
    /// # use oriolefork::cell::customer::Customer;
    /// # use oriolefork::resource::{Amount, Limit};
    /// # let cap = Limit { cpu_millis: Some(4_000), ..Limit::UNLIMITED };
    /// # let customer = Customer { name: "orchard".into(), keys: vec![], jobs_per_second: 0.0, cap };
    /// let two_cores = Amount { cpu_millis: 2_000, ..Amount::ZERO };
    /// assert!(customer.could_run(&two_cores, 2));
    /// assert!(!customer.could_run(&two_cores, 3));
    /// ```
    pub fn could_run(&self, demand: &Amount, count: u64) -> bool {
        self.cap.count(&Amount::ZERO, demand) >= count
    }
}
