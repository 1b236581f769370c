//! Faults planted on purpose, by which the soak test shows that its checks detect them.
//!
//! Each fault skips one guard. Builds without the feature `planted-faults` contain none of them;
//! builds with it plant the one that the environment variable `ORIOLEFORK_PLANTED_FAULT` names.

/// A guard that can be skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Start commands are sent before their placement is stored.
    StartBeforeStored,
    /// Allocations are not subtracted from the capacity of their worker.
    CapacityNotCounted,
    /// A worker may forget an ended run before its end is stored.
    EndAcknowledgedEarly,
    /// Customers' caps are not applied.
    CapIgnored,
    /// A job that is refused because the owner is overloaded or the store is stuck is recorded
    /// nevertheless.
    RefusedJobKept,
    /// A job is acknowledged to its caller before it is stored.
    AcceptedBeforeStored,
}

/// Whether `fault` is planted in this process.
#[cfg(not(feature = "planted-faults"))]
pub(crate) const fn is_planted(_: Fault) -> bool {
    false
}

/// Whether `fault` is planted in this process.
#[cfg(feature = "planted-faults")]
pub(crate) fn is_planted(fault: Fault) -> bool {
    static PLANTED: std::sync::OnceLock<Option<Fault>> = std::sync::OnceLock::new();
    *PLANTED.get_or_init(from_environment) == Some(fault)
}

#[cfg(feature = "planted-faults")]
fn from_environment() -> Option<Fault> {
    let name = std::env::var("ORIOLEFORK_PLANTED_FAULT").ok()?;
    let fault = match &*name {
        "start-before-stored" => Fault::StartBeforeStored,
        "capacity-not-counted" => Fault::CapacityNotCounted,
        "end-acknowledged-early" => Fault::EndAcknowledgedEarly,
        "cap-ignored" => Fault::CapIgnored,
        "refused-job-kept" => Fault::RefusedJobKept,
        "accepted-before-stored" => Fault::AcceptedBeforeStored,
        _ => panic!("no planted fault has the name {name:?}"),
    };
    log::warn!("event=fault.planted fault={fault:?}");
    Some(fault)
}
