//! Arithmetic on resource amounts for placement.

use crate::resource::Amount;

/// A whole in millionths, the unit of [`dominant_share`].
pub(super) const ONE_MILLION: u64 = 1_000_000;

/// Largest value of a dimension, so that sums over many tasks never overflow.
const MAX_VALUE: u64 = 1 << 40;

/// `amount` with each dimension limited to [`MAX_VALUE`].
pub(super) fn clamped(amount: &Amount) -> Amount {
    let limit = Amount { cpu_millis: MAX_VALUE, memory_mib: MAX_VALUE, accelerators: MAX_VALUE };
    min_each(amount, &limit)
}

/// How many times `demand` fits into `free`.
pub(super) fn slots(demand: &Amount, free: &Amount) -> usize {
    let per = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
    let slots = per(demand.cpu_millis, free.cpu_millis)
        .min(per(demand.memory_mib, free.memory_mib))
        .min(per(demand.accelerators, free.accelerators));
    usize::try_from(slots).unwrap_or(usize::MAX)
}

/// The largest share of `whole` that `used` takes in any dimension, in millionths.
pub(super) fn dominant_share(used: &Amount, whole: &Amount) -> u64 {
    ratio_ppm(used.cpu_millis, whole.cpu_millis)
        .max(ratio_ppm(used.memory_mib, whole.memory_mib))
        .max(ratio_ppm(used.accelerators, whole.accelerators))
}

/// `portion` of `whole` in millionths; zero when `portion` is zero, even where `whole` is zero.
pub(super) fn ratio_ppm(portion: u64, whole: u64) -> u64 {
    if portion == 0 {
        return 0;
    }
    portion.saturating_mul(ONE_MILLION).checked_div(whole).unwrap_or(u64::MAX)
}

/// The larger value of each dimension.
pub(super) fn max_each(a: &Amount, b: &Amount) -> Amount {
    Amount {
        cpu_millis: a.cpu_millis.max(b.cpu_millis),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// The smaller value of each dimension.
pub(super) fn min_each(a: &Amount, b: &Amount) -> Amount {
    Amount {
        cpu_millis: a.cpu_millis.min(b.cpu_millis),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// The given thousandths of the processors and memory of `whole`, without accelerators.
pub(super) fn fraction(whole: &Amount, thousandths: u64) -> Amount {
    Amount {
        cpu_millis: whole.cpu_millis.saturating_mul(thousandths) / 1_000,
        memory_mib: whole.memory_mib.saturating_mul(thousandths) / 1_000,
        accelerators: 0,
    }
}

/// `demand` times `count`; on overflow, the largest value in each dimension.
pub(super) fn multiplied(demand: &Amount, count: usize) -> Amount {
    let limit = Amount { cpu_millis: u64::MAX, memory_mib: u64::MAX, accelerators: u64::MAX };
    demand.checked_mul(count as u64).unwrap_or(limit)
}
