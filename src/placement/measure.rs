//! Arithmetic on amounts that only placement needs.

use crate::resource::Amount;

/// The whole, in the unit of [`share`].
pub(super) const WHOLE: u64 = 1_000_000;

/// Largest value of a dimension that is counted, so that sums over many tasks never overflow.
const LARGEST: u64 = 1 << 40;

/// `amount` with absurdly large values cut down.
pub(super) fn bounded(amount: &Amount) -> Amount {
    let most = Amount { cpu_millis: LARGEST, memory_mib: LARGEST, accelerators: LARGEST };
    narrowest(amount, &most)
}

/// How many times `demand` fits into `room`.
pub(super) fn slots(demand: &Amount, room: &Amount) -> usize {
    let per = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
    let slots = per(demand.cpu_millis, room.cpu_millis)
        .min(per(demand.memory_mib, room.memory_mib))
        .min(per(demand.accelerators, room.accelerators));
    usize::try_from(slots).unwrap_or(usize::MAX)
}

/// The largest part that `used` has of `whole` in any dimension, in millionths.
pub(super) fn share(used: &Amount, whole: &Amount) -> u64 {
    ratio(used.cpu_millis, whole.cpu_millis)
        .max(ratio(used.memory_mib, whole.memory_mib))
        .max(ratio(used.accelerators, whole.accelerators))
}

/// `part` of `whole` in millionths; nothing of nothing is none.
pub(super) fn ratio(part: u64, whole: u64) -> u64 {
    if part == 0 {
        return 0;
    }
    part.saturating_mul(WHOLE).checked_div(whole).unwrap_or(u64::MAX)
}

/// The larger value of each dimension.
pub(super) fn widest(a: &Amount, b: &Amount) -> Amount {
    Amount {
        cpu_millis: a.cpu_millis.max(b.cpu_millis),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// The smaller value of each dimension.
pub(super) fn narrowest(a: &Amount, b: &Amount) -> Amount {
    Amount {
        cpu_millis: a.cpu_millis.min(b.cpu_millis),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// Processors and memory of `whole` in thousandths; accelerators are not divided.
pub(super) fn part(whole: &Amount, thousandths: u64) -> Amount {
    Amount {
        cpu_millis: whole.cpu_millis.saturating_mul(thousandths) / 1_000,
        memory_mib: whole.memory_mib.saturating_mul(thousandths) / 1_000,
        accelerators: 0,
    }
}

/// `demand` as often as `count` says, capped at the largest value.
pub(super) fn times(demand: &Amount, count: usize) -> Amount {
    let most = Amount { cpu_millis: u64::MAX, memory_mib: u64::MAX, accelerators: u64::MAX };
    demand.checked_mul(count as u64).unwrap_or(most)
}
