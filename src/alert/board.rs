//! The set of a failure domain's alerts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

use super::kind::{Id, Key, Kind, Subject};
use super::record::{Acknowledgement, Record};
use crate::clock::Unix;

/// Maximum number of individual open alerts of one kind; further alerts of the kind are counted in
/// a summary alert with the subject [`Subject::Many`].
pub const MAX_OPEN_PER_KIND: usize = 500;
/// Maximum number of subjects that a summary alert remembers, to count each of them once. Subjects
/// beyond the limit may be counted more than once.
const MAX_COUNTED_SUBJECTS: usize = 65_536;
/// Maximum number of acknowledged alerts that are kept.
const MAX_ACKNOWLEDGED: usize = 256;
/// Maximum length of a message or an operator's name, in bytes.
const MAX_MESSAGE_BYTES: usize = 512;

/// An alert, open or acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alert {
    /// Identity of the alert.
    pub id: Id,
    /// Kind and subject of the alert.
    pub key: Key,
    /// Description of the event for operators.
    pub message: String,
    /// Time at which the alert was first raised.
    pub raised: Unix,
    /// Time at which the alert was last raised.
    pub last_raised: Unix,
    /// Number of raised alerts that this one stands for: 1, unless it is a summary alert.
    pub count: u64,
    /// Time at which the cause went away; `None` while it persists.
    pub ended: Option<Unix>,
    /// Acknowledgement by an operator; `None` while the alert is open.
    pub acknowledged: Option<Acknowledgement>,
}

impl Alert {
    const fn raised(id: Id, key: Key, message: String, at: Unix) -> Self {
        Self {
            id,
            key,
            message,
            raised: at,
            last_raised: at,
            count: 1,
            ended: None,
            acknowledged: None,
        }
    }
}

/// The board holds no alert with this identity.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("there is no alert {id}")]
pub struct UnknownAlert {
    /// The identity that was not found.
    #[error(not(source))]
    pub id: Id,
}

/// Complete state of a [`Board`], for snapshots of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoardSnapshot {
    /// Open alerts in order of identity, then acknowledged ones, oldest first.
    pub alerts: Vec<Alert>,
    /// Hashes of the subjects that each summary alert has counted, by kind.
    pub counted_subjects: BTreeMap<Kind, BTreeSet<u64>>,
    /// Largest identity assigned so far.
    pub latest_id: Id,
    /// Largest identity among the acknowledged alerts that were evicted.
    pub latest_evicted: Id,
}

/// The alerts of a failure domain: all open alerts, and the most recently acknowledged ones.
#[derive(Clone, Debug, Default)]
pub struct Board {
    open: BTreeMap<Key, Alert>,
    ids: BTreeMap<Id, Key>,
    open_by_kind: BTreeMap<Kind, usize>,
    counted_subjects: BTreeMap<Kind, BTreeSet<u64>>,
    acknowledged: VecDeque<Alert>,
    latest_id: Id,
    latest_evicted: Id,
}

impl Board {
    /// Creates a board without alerts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores a board from a snapshot.
    pub fn restore(snapshot: BoardSnapshot) -> Self {
        let BoardSnapshot { counted_subjects, latest_id, latest_evicted, .. } = snapshot;
        let mut board = Self { counted_subjects, latest_id, latest_evicted, ..Self::default() };
        for alert in snapshot.alerts {
            if alert.acknowledged.is_some() {
                board.remember_acknowledged(alert);
            } else {
                board.insert(alert);
            }
        }
        board
    }

    /// Returns the complete state of the board.
    pub fn snapshot(&self) -> BoardSnapshot {
        let open = self.ids.values().filter_map(|key| self.open.get(key));
        let alerts = open.chain(&self.acknowledged).cloned().collect();
        let Self { latest_id, latest_evicted, .. } = *self;
        BoardSnapshot {
            alerts,
            counted_subjects: self.counted_subjects.clone(),
            latest_id,
            latest_evicted,
        }
    }

    /// Raises an alert and returns the record to append to the stream.
    ///
    /// Returns `None` if an alert with this key is open and its cause persists, if a summary alert
    /// counts the subject, or if the alert was acknowledged and its cause persists.
    ///
    /// ```
    /// use oriolefork::alert::{Board, Key, Kind, Subject};
    /// use oriolefork::clock::Unix;
    /// let mut board = Board::new();
    /// let key = Key { kind: Kind::LogOutage, subject: Subject::Domain };
    /// assert!(board.raise(Unix::from_millis(5), key.clone(), "no answer for 4 s").is_some());
    /// assert!(board.raise(Unix::from_millis(9), key, "no answer for 8 s").is_none());
    /// ```
    pub fn raise(&mut self, now: Unix, key: Key, message: &str) -> Option<Record> {
        if let Some(alert) = self.open.get_mut(&key) {
            alert.last_raised = now;
            return self.reopen(now, key, message);
        }
        if self.is_counted(&key) || self.is_acknowledged_and_ongoing(&key) {
            return None;
        }
        // Identities increase even if the clock of a new owner is behind, so that a record that is
        // read twice never reopens an alert that was acknowledged in between.
        let id = Id::from_raw(now.as_millis().max(self.latest_id.raw() + 1));
        let message = truncate(message).to_owned();
        let record = Record::Raised { id, key, message, at: now };
        self.apply(&record);
        Some(record)
    }

    /// Marks the cause of an alert as gone and returns the record to append to the stream.
    ///
    /// Returns `None` if no alert has this key or its cause had gone before.
    pub fn end(&mut self, now: Unix, key: &Key) -> Option<Record> {
        let acknowledged = || self.acknowledged.iter().rev().find(|alert| alert.key == *key);
        let alert = self.open.get(key).or_else(acknowledged)?;
        if alert.ended.is_some() {
            return None;
        }
        let record = Record::Ended { id: alert.id, at: now };
        self.apply(&record);
        Some(record)
    }

    /// Acknowledges an alert and returns the record to append to the stream, or `None` if the alert
    /// was acknowledged before.
    ///
    /// # Errors
    ///
    /// Fails if the board holds no alert with this identity, for example because the acknowledged
    /// alert was evicted.
    pub fn acknowledge(
        &mut self,
        now: Unix,
        id: Id,
        by: &str,
    ) -> Result<Option<Record>, UnknownAlert> {
        if self.acknowledged.iter().any(|alert| alert.id == id) {
            return Ok(None);
        }
        if !self.ids.contains_key(&id) {
            return Err(UnknownAlert { id });
        }
        let acknowledgement = Acknowledgement { by: truncate(by).to_owned(), at: now };
        let record = Record::Acknowledged { id, acknowledgement };
        self.apply(&record);
        Ok(Some(record))
    }

    /// Applies a record. Applying a record again changes nothing.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Raised { id, key, message, at } => self.apply_raised(*id, key, message, *at),
            Record::Ended { id, at } => {
                if let Some(alert) = self.get_mut(*id) {
                    alert.ended.get_or_insert(*at);
                }
            }
            Record::Acknowledged { id, acknowledgement } => {
                self.apply_acknowledged(*id, acknowledgement)
            }
        }
    }

    /// Returns the open alerts, the most severe kind first and the oldest first within a kind.
    pub fn open(&self) -> Vec<&Alert> {
        let mut open: Vec<&Alert> = self.open.values().collect();
        open.sort_by_key(|alert| (alert.key.kind, alert.id));
        open
    }

    /// Returns whether no alert was ever raised in the failure domain.
    pub fn never_raised(&self) -> bool {
        self.latest_id == Id::default()
    }

    /// Returns the number of open alerts.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the most recently acknowledged alerts, the earliest acknowledgement first.
    pub fn acknowledged(&self) -> impl Iterator<Item = &Alert> {
        self.acknowledged.iter()
    }

    /// Returns the alert with this identity if it is open or was acknowledged recently.
    pub fn get(&self, id: Id) -> Option<&Alert> {
        let open = self.ids.get(&id).and_then(|key| self.open.get(key));
        open.or_else(|| self.acknowledged.iter().find(|alert| alert.id == id))
    }

    /// Raises an open alert again if its cause had gone; returns `None` otherwise.
    fn reopen(&mut self, now: Unix, key: Key, message: &str) -> Option<Record> {
        let id = self.open.get(&key).filter(|alert| alert.ended.is_some())?.id;
        let record = Record::Raised { id, key, message: truncate(message).to_owned(), at: now };
        self.apply(&record);
        Some(record)
    }

    fn apply_raised(&mut self, id: Id, key: &Key, message: &str, at: Unix) {
        if let Some(alert) = self.get_mut(id).filter(|alert| alert.acknowledged.is_none()) {
            // An earlier `Raised` record that is read again must not undo a later `Ended` record.
            alert.ended.take_if(|ended| *ended <= at);
            alert.last_raised = alert.last_raised.max(at);
            return;
        }
        let seen_before =
            id <= self.latest_evicted || self.get(id).is_some() || self.is_counted(key);
        self.latest_id = self.latest_id.max(id);
        if seen_before || self.open.contains_key(key) {
            return;
        }
        let full = self.open_by_kind.get(&key.kind).is_some_and(|open| *open >= MAX_OPEN_PER_KIND);
        if full && key.subject != Subject::Many {
            self.add_to_summary(id, key, message, at);
            return;
        }
        self.insert(Alert::raised(id, key.clone(), message.to_owned(), at));
    }

    /// Counts an alert in the summary alert of its kind.
    ///
    /// Every subject still has its own record in the stream, so that the next owner arrives at the
    /// same count; only memory and the list shown to operators are bounded.
    fn add_to_summary(&mut self, id: Id, key: &Key, message: &str, at: Unix) {
        let counted_subjects = self.counted_subjects.entry(key.kind).or_default();
        if counted_subjects.len() < MAX_COUNTED_SUBJECTS {
            counted_subjects.insert(fingerprint(&key.subject));
        }
        let many = Key { kind: key.kind, subject: Subject::Many };
        if let Some(alert) = self.open.get_mut(&many) {
            alert.count += 1;
            alert.last_raised = at;
            alert.message = format!("{} more; the latest: {message}", alert.count);
            return;
        }
        self.insert(Alert::raised(id, many, format!("1 more: {message}"), at));
    }

    fn apply_acknowledged(&mut self, id: Id, acknowledgement: &Acknowledgement) {
        let Some(key) = self.ids.remove(&id) else { return };
        let Some(mut alert) = self.open.remove(&key) else { return };
        if key.subject == Subject::Many {
            self.counted_subjects.remove(&key.kind);
        } else if let Some(open) = self.open_by_kind.get_mut(&key.kind) {
            *open = open.saturating_sub(1);
        }
        alert.acknowledged = Some(acknowledgement.clone());
        self.remember_acknowledged(alert);
    }

    fn insert(&mut self, alert: Alert) {
        self.latest_id = self.latest_id.max(alert.id);
        if alert.key.subject != Subject::Many {
            *self.open_by_kind.entry(alert.key.kind).or_default() += 1;
        }
        self.ids.insert(alert.id, alert.key.clone());
        self.open.insert(alert.key.clone(), alert);
    }

    fn remember_acknowledged(&mut self, alert: Alert) {
        if self.acknowledged.len() == MAX_ACKNOWLEDGED {
            let oldest = self.acknowledged.pop_front().map(|alert| alert.id);
            self.latest_evicted = self.latest_evicted.max(oldest.unwrap_or_default());
        }
        self.acknowledged.push_back(alert);
    }

    fn get_mut(&mut self, id: Id) -> Option<&mut Alert> {
        match self.ids.get(&id) {
            Some(key) => self.open.get_mut(key),
            None => self.acknowledged.iter_mut().find(|alert| alert.id == id),
        }
    }

    /// Returns whether an alert with this key was acknowledged and its cause persists.
    fn is_acknowledged_and_ongoing(&self, key: &Key) -> bool {
        let latest = self.acknowledged.iter().rev().find(|alert| alert.key == *key);
        latest.is_some_and(|alert| alert.ended.is_none())
    }

    fn is_counted(&self, key: &Key) -> bool {
        let counted_subjects = self.counted_subjects.get(&key.kind);
        counted_subjects.is_some_and(|counted| counted.contains(&fingerprint(&key.subject)))
    }
}

fn fingerprint(subject: &Subject) -> u64 {
    xxh3_64(subject.to_string().as_bytes())
}

/// Returns the longest prefix of `text` that fits into [`MAX_MESSAGE_BYTES`].
fn truncate(text: &str) -> &str {
    let mut end = text.len().min(MAX_MESSAGE_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
