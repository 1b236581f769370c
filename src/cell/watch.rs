//! Time for which an owner delays its response to a follower, by the number of followers.
//!
//! Each instance follows the owner by watch requests, one after the other. With one hold for any
//! number of followers, the owner of a site of a thousand instances answered five thousand watches
//! a second, and as many connections kept it from placing tasks. The hold therefore grows with the
//! number of followers, except for the instances that would take over first.

use std::time::Duration;

use super::peer::WATCH;
use super::timings::{WATCH_HOLD, WATCH_TIMEOUT};

/// Number of instances, the first in the order of succession, that keep the shortest hold. They
/// notice the loss of an owner; the others learn of its successor from the announcement.
pub const SUCCESSORS: u32 = 8;

/// Maximum number of watches that an owner answers in a second: as many as 300 followers cause
/// with the shortest hold.
pub const MAX_WATCH_RATE: u32 = 1_500;

/// Part of that rate which the first instances use.
const SUCCESSOR_RATE: u32 = SUCCESSORS * 1_000 / WATCH_HOLD.as_millis() as u32;

/// Longest hold, enough for 7,000 followers. Limits what a malformed request can ask for.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Query parameter of a watch request that asks for a hold in milliseconds.
const HOLD_PARAMETER: &str = "hold_ms=";

/// Number of different parts of a hold.
const PARTS: u64 = 1_024;

/// Time for which an owner may delay its response to a follower.
///
/// A follower states the hold that it expects with each request, since its timeout has to be
/// longer. The hold is a query parameter of the method: an instance of an earlier version ignores
/// it as an owner, and does not send it as a follower, and both then use the shortest hold.
///
/// ```
/// use oriolefork::cell::watch::Hold;
/// assert_eq!(Hold::new(Some(8), 300), Hold::SHORTEST);
/// assert!(Hold::new(Some(8), 1_000).is_extended());
/// assert_eq!(Hold::new(Some(0), 1_000), Hold::SHORTEST);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hold(Duration);

impl Hold {
    /// The hold of the first instances, and of all on a site of up to 300.
    pub const SHORTEST: Self = Self(WATCH_HOLD);

    /// Returns the hold of an instance by its position in the order of succession, if it has one,
    /// on a site with this number of `followers`.
    pub fn new(position: Option<u32>, followers: usize) -> Self {
        if position.is_none_or(|position| position < SUCCESSORS) {
            return Self::SHORTEST;
        }
        let others = u32::try_from(followers).unwrap_or(u32::MAX).saturating_sub(SUCCESSORS);
        let hold = Duration::from_secs(1) * others / (MAX_WATCH_RATE - SUCCESSOR_RATE);
        Self(hold.clamp(WATCH_HOLD, MAX_HOLD))
    }

    /// Returns a random part of the hold, at least the shortest hold, derived from `seed`.
    ///
    /// Guards against watches that all arrive at the same moment, since all instances begin to
    /// follow a new owner at once.
    ///
    /// ```
    /// use oriolefork::cell::watch::Hold;
    /// let hold = Hold::new(Some(8), 1_000);
    /// assert!(hold.random_part(0) < hold);
    /// assert_eq!(hold.random_part(1_023), hold);
    /// assert_eq!(Hold::SHORTEST.random_part(7), Hold::SHORTEST);
    /// ```
    #[must_use]
    pub fn random_part(self, seed: u64) -> Self {
        let part = (seed % PARTS + 1) as u32;
        Self(WATCH_HOLD + self.extension() * part / PARTS as u32)
    }

    /// The hold as a duration.
    pub const fn duration(self) -> Duration {
        self.0
    }

    /// Whether the hold is longer than the shortest one.
    pub fn is_extended(self) -> bool {
        self > Self::SHORTEST
    }

    /// Time by which the hold exceeds the shortest one. What depends on the time since the last
    /// contact is extended by it.
    pub const fn extension(self) -> Duration {
        self.0.saturating_sub(WATCH_HOLD)
    }

    /// Timeout of a watch request with this hold.
    pub const fn timeout(self) -> Duration {
        WATCH_TIMEOUT.saturating_add(self.extension())
    }

    /// Interval between two probes of the owner's connection, with which there are no more probes
    /// than watches.
    pub const fn keepalive(self) -> Duration {
        Duration::from_micros(self.0.as_micros() as u64 / 2)
    }

    /// Peer method of a watch request that asks for this hold.
    ///
    /// ```
    /// use oriolefork::cell::watch::Hold;
    /// assert_eq!(Hold::SHORTEST.method(), "cell/watch");
    /// assert_eq!(Hold::new(Some(8), 1_000).method(), "cell/watch?hold_ms=679");
    /// ```
    pub fn method(self) -> String {
        if self.is_extended() {
            format!("{WATCH}?{HOLD_PARAMETER}{}", self.0.as_millis())
        } else {
            WATCH.to_owned()
        }
    }

    /// Returns the hold that a request with this `query` asks for: the shortest one unless a valid
    /// one is stated.
    ///
    /// ```
    /// use oriolefork::cell::watch::Hold;
    /// assert_eq!(Hold::from_query("hold_ms=679").duration().as_millis(), 679);
    /// assert_eq!(Hold::from_query(""), Hold::SHORTEST);
    /// ```
    pub fn from_query(query: &str) -> Self {
        let stated = query.strip_prefix(HOLD_PARAMETER).and_then(|millis| millis.parse().ok());
        let hold = stated.map_or(WATCH_HOLD, Duration::from_millis);
        Self(hold.clamp(WATCH_HOLD, MAX_HOLD))
    }
}
