//! A map that knows which of its entries may have changed.

use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

/// A map that notes the keys of entries as they are added, removed or handed out to be changed, so
/// that whoever keeps something worked out from them goes through these alone.
///
/// ```
/// use oriolefork::cell::machine::TrackedMap;
/// let mut ages = TrackedMap::default();
/// ages.insert("w1", 7);
/// ages.insert("w2", 3);
/// ages.take_changed();
/// if let Some(age) = ages.get_mut("w2") {
///     *age += 1;
/// }
/// assert_eq!(ages.take_changed().into_iter().collect::<Vec<_>>(), ["w2"]);
/// ```
#[derive(Clone, Debug)]
pub struct TrackedMap<K, V> {
    entries: BTreeMap<K, V>,
    changed: BTreeSet<K>,
}

impl<K, V> Default for TrackedMap<K, V> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), changed: BTreeSet::new() }
    }
}

impl<K, V> Deref for TrackedMap<K, V> {
    type Target = BTreeMap<K, V>;

    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}

impl<K: Clone + Ord, V> TrackedMap<K, V> {
    /// Adds or replaces an entry.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        self.changed.insert(key.clone());
        self.entries.insert(key, value)
    }

    /// Removes an entry.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let (key, value) = self.entries.remove_entry(key)?;
        self.changed.insert(key);
        Some(value)
    }

    /// An entry that may be changed.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        if !self.changed.contains(key) {
            let (key, _) = self.entries.get_key_value(key)?;
            self.changed.insert(key.clone());
        }
        self.entries.get_mut(key)
    }

    /// Notes all entries, for a change of what they are seen by.
    pub fn mark_all_changed(&mut self) {
        self.changed.extend(self.entries.keys().cloned());
    }

    /// Keys of the entries that may have changed since the last call, removed ones included.
    pub fn take_changed(&mut self) -> BTreeSet<K> {
        std::mem::take(&mut self.changed)
    }
}
