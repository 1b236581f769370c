//! Sets of numbers that are mostly consecutive, such as the occurrences of a job that are done.

use std::fmt::{self, Formatter};
use std::ops::Range;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A set of numbers whose size in memory depends on the number of gaps between them.
///
/// Its encoded form is the sequence of all numbers.
///
/// ```
/// use oriolefork::cell::index_set::IndexSet;
/// let mut done: IndexSet = (0..1_000_000).collect();
/// done.insert(1_000_002);
/// assert_eq!((done.len(), done.ranges().count()), (1_000_001, 2));
/// assert_eq!(done.absent().next(), Some(1_000_000));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexSet {
    /// Ranges in ascending order, with a gap between each two.
    ranges: Vec<Range<u32>>,
}

impl IndexSet {
    /// Adds a number below [`u32::MAX`]; returns whether it is new.
    ///
    /// ```
    /// use oriolefork::cell::index_set::IndexSet;
    /// let mut set = IndexSet::default();
    /// assert!(set.insert(7));
    /// assert!(!set.insert(7));
    /// ```
    pub fn insert(&mut self, index: u32) -> bool {
        let at = self.position(index);
        if self.ranges.get(at).is_some_and(|range| range.start <= index) {
            return false;
        }
        let extends_former = at > 0 && self.ranges[at - 1].end == index;
        let extends_next = self.ranges.get(at).is_some_and(|range| range.start == index + 1);
        match (extends_former, extends_next) {
            (true, true) => {
                self.ranges[at - 1].end = self.ranges[at].end;
                self.ranges.remove(at);
            }
            (true, false) => self.ranges[at - 1].end = index + 1,
            (false, true) => self.ranges[at].start = index,
            (false, false) => self.ranges.insert(at, index..index + 1),
        }
        true
    }

    /// Whether the set contains a number.
    pub fn contains(&self, index: u32) -> bool {
        let range = self.ranges.get(self.position(index));
        range.is_some_and(|range| range.contains(&index))
    }

    /// Number of numbers in the set.
    pub fn len(&self) -> usize {
        self.ranges.iter().map(ExactSizeIterator::len).sum()
    }

    /// Whether the set is empty.
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// The numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().cloned().flatten()
    }

    /// The ranges of consecutive numbers, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> {
        self.ranges.iter().cloned()
    }

    /// All numbers below [`u32::MAX`] that are not in the set, in ascending order.
    pub fn absent(&self) -> impl Iterator<Item = u32> {
        let starts = std::iter::once(0).chain(self.ranges.iter().map(|range| range.end));
        let ends = self.ranges.iter().map(|range| range.start).chain([u32::MAX]);
        starts.zip(ends).flat_map(|(start, end)| start..end)
    }

    /// Memory that it takes beyond the set itself, in bytes.
    pub const fn heap_bytes(&self) -> usize {
        self.ranges.capacity() * size_of::<Range<u32>>()
    }

    /// Removes all numbers.
    pub fn clear(&mut self) {
        self.ranges.clear();
    }

    /// Position of the first range that ends after `index`.
    fn position(&self, index: u32) -> usize {
        self.ranges.partition_point(|range| range.end <= index)
    }
}

impl FromIterator<u32> for IndexSet {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> Self {
        let mut set = Self::default();
        for number in numbers {
            set.insert(number);
        }
        set
    }
}

impl FromIterator<Range<u32>> for IndexSet {
    fn from_iter<I: IntoIterator<Item = Range<u32>>>(ranges: I) -> Self {
        let mut set = Self::default();
        for range in ranges.into_iter().filter(|range| !range.is_empty()) {
            match set.ranges.last_mut() {
                Some(last) if last.end == range.start => last.end = range.end,
                Some(last) if last.end > range.start => range.for_each(|number| {
                    set.insert(number);
                }),
                _ => set.ranges.push(range),
            }
        }
        set
    }
}

impl Serialize for IndexSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut numbers = serializer.serialize_seq(Some(self.len()))?;
        for number in self.iter() {
            numbers.serialize_element(&number)?;
        }
        numbers.end()
    }
}

impl<'de> Deserialize<'de> for IndexSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(SetVisitor)
    }
}

struct SetVisitor;

impl<'de> Visitor<'de> for SetVisitor {
    type Value = IndexSet;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a sequence of numbers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut numbers: A) -> Result<IndexSet, A::Error> {
        let mut set = IndexSet::default();
        while let Some(number) = numbers.next_element()? {
            set.insert(number);
        }
        Ok(set)
    }
}
