//! Amounts of resources: processors, memory and accelerators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Capacity, demand or usage in each dimension.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[display("{cpu_millis}m cpu, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct Amount {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Amount {
    /// No resources at all.
    pub const ZERO: Self = Self { cpu_millis: 0, memory_mib: 0, accelerators: 0 };

    /// Whether this amount is at most `free` in every dimension.
    ///
    /// ```
    /// use oriolefork::resource::Amount;
    /// let need = Amount { cpu_millis: 500, memory_mib: 64, accelerators: 0 };
    /// let free = Amount { cpu_millis: 1_000, memory_mib: 64, accelerators: 0 };
    /// assert!(need.fits(&free));
    /// assert!(!free.fits(&need));
    /// ```
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// The sum, or `None` on overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// The difference, or `None` when `other` does not fit.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_sub(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// The sum, capped at the largest value of each dimension.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, with zero in each dimension where `other` is larger.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The product with `count`, or `None` on overflow.
    pub fn checked_mul(&self, count: u64) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// Whether every dimension is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }
}

/// Upper bound of the resources that one user of a shared pool may use at a time. A dimension
/// without a bound is unlimited.
///
/// ```
/// use oriolefork::resource::{Amount, Limit};
/// let limit = Limit { cpu_millis: Some(1_000), ..Limit::UNLIMITED };
/// let usage = Amount { cpu_millis: 800, memory_mib: 4_096, accelerators: 0 };
/// let small = Amount { cpu_millis: 200, memory_mib: 64, accelerators: 0 };
/// assert!(limit.admits(&usage, &small));
/// assert!(!limit.admits(&usage.saturating_add(&small), &small));
/// assert_eq!(limit.count(&usage, &small), 1);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Processor time in thousandths of a core.
    pub cpu_millis: Option<u64>,
    /// Memory in MiB.
    pub memory_mib: Option<u64>,
    /// Number of accelerators.
    pub accelerators: Option<u64>,
}

impl Limit {
    /// No bound in any dimension.
    pub const UNLIMITED: Self = Self { cpu_millis: None, memory_mib: None, accelerators: None };

    /// Whether `demand` may be used in addition to `usage`.
    pub fn admits(&self, usage: &Amount, demand: &Amount) -> bool {
        self.count(usage, demand) > 0
    }

    /// Whether `usage` is above the limit in any dimension.
    pub fn is_exceeded_by(&self, usage: &Amount) -> bool {
        !self.admits(usage, &Amount::ZERO)
    }

    /// How many tasks of `demand` each may be used in addition to `usage`; `u64::MAX` if the limit
    /// does not restrict them. A usage above the limit in any dimension leaves room for none.
    pub fn count(&self, usage: &Amount, demand: &Amount) -> u64 {
        let count = |limit: Option<u64>, usage: u64, demand: u64| match limit {
            None => u64::MAX,
            Some(limit) if usage > limit => 0,
            Some(limit) => (limit - usage).checked_div(demand).unwrap_or(u64::MAX),
        };
        count(self.cpu_millis, usage.cpu_millis, demand.cpu_millis)
            .min(count(self.memory_mib, usage.memory_mib, demand.memory_mib))
            .min(count(self.accelerators, usage.accelerators, demand.accelerators))
    }
}

impl From<Amount> for Limit {
    /// Bounds every dimension; one of zero allows nothing.
    fn from(amount: Amount) -> Self {
        Self {
            cpu_millis: Some(amount.cpu_millis),
            memory_mib: Some(amount.memory_mib),
            accelerators: Some(amount.accelerators),
        }
    }
}
