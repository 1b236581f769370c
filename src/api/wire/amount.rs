//! JSON form of resource amounts.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::wire::check;
use crate::resource;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Amount {
    /// CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Amount {
    /// Validates the amount as the demand of one task; `path` is its field in the request.
    ///
    /// # Errors
    ///
    /// Refuses a resource that is out of range.
    pub fn into_demand(self, path: &str) -> Result<resource::Amount, Refusal> {
        let field = |name| format!("{path}.{name}");
        check::in_range(&field("cpu-millis"), self.cpu_millis, 1, check::MAX_CPU_MILLIS)?;
        check::in_range(&field("memory-mib"), self.memory_mib, 1, check::MAX_MEMORY_MIB)?;
        check::in_range(&field("accelerators"), self.accelerators, 0, check::MAX_ACCELERATORS)?;
        Ok(self.into())
    }

    /// Validates the amount as a team's quota; `path` is its field in the request.
    ///
    /// # Errors
    ///
    /// Refuses a resource that is out of range.
    pub fn into_quota(self, path: &str) -> Result<resource::Amount, Refusal> {
        let tasks = u64::from(check::MAX_TASKS);
        let field = |name| format!("{path}.{name}");
        check::in_range(&field("cpu-millis"), self.cpu_millis, 0, check::MAX_CPU_MILLIS * tasks)?;
        check::in_range(&field("memory-mib"), self.memory_mib, 0, check::MAX_MEMORY_MIB * tasks)?;
        check::in_range(
            &field("accelerators"),
            self.accelerators,
            0,
            check::MAX_ACCELERATORS * tasks,
        )?;
        Ok(self.into())
    }
}

impl From<Amount> for resource::Amount {
    fn from(amount: Amount) -> Self {
        let Amount { cpu_millis, memory_mib, accelerators } = amount;
        Self { cpu_millis, memory_mib, accelerators }
    }
}

impl From<resource::Amount> for Amount {
    fn from(amount: resource::Amount) -> Self {
        let resource::Amount { cpu_millis, memory_mib, accelerators } = amount;
        Self { cpu_millis, memory_mib, accelerators }
    }
}
