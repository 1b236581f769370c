//! Which instances to use: the lagging list as a hint, checked against own connections and what
//! peers say.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use super::{Member, Role, State};
use crate::clock::Instant;
use crate::domain;

/// Instances that are alike: if many of one class vanish at once, the list is suspect.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Entry instances of a failure domain.
    #[display("entry instances of {_0}")]
    Entry(domain::Name),
    /// Runners of a service in a failure domain.
    #[display("runners of {service} in {domain}")]
    Runner {
        /// The failure domain.
        domain: domain::Name,
        /// The service.
        service: String,
    },
    /// Workers of a failure domain.
    #[display("workers of {_0}")]
    Worker(domain::Name),
}

/// Names one instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Its class.
    pub class: Class,
    /// Its name within the class.
    pub name: String,
}

impl From<&Member> for Key {
    fn from(member: &Member) -> Self {
        let domain = member.domain.clone();
        let class = match &member.role {
            Role::Entry => Class::Entry(domain),
            Role::Runner { service, .. } => Class::Runner { domain, service: service.clone() },
            Role::Worker { .. } => Class::Worker(domain),
        };
        Self { class, name: member.name.clone() }
    }
}

/// When the list is believed.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Share of a class, in percent, that may vanish within `window` and be believed.
    pub percent: usize,
    /// Number that may vanish within `window` and be believed, however small the class is.
    pub floor: usize,
    /// Span over which vanished instances add up.
    pub window: Duration,
    /// How long a vanished instance is kept as leaving before it is removed.
    pub grace: Duration,
    /// Failed calls in a row after which an instance counts as down.
    pub failures: u32,
    /// Age up to which an answer is proof that an instance lives.
    pub fresh: Duration,
    /// How long a vanished instance of a suspect class is kept that nobody could reach.
    pub silence: Duration,
}

impl Default for Guard {
    fn default() -> Self {
        Self {
            percent: 20,
            floor: 2,
            window: Duration::from_secs(300),
            grace: Duration::from_secs(10),
            failures: 3,
            fresh: Duration::from_secs(1),
            silence: Duration::from_secs(60),
        }
    }
}

/// What an instance is good for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Standing {
    /// In use.
    #[display("live")]
    Live,
    /// Takes no new work.
    #[display("leaving")]
    Leaving,
    /// Vanished from the list together with many others; in use until proved dead.
    #[display("doubted")]
    Doubted,
    /// Does not answer; takes no new work.
    #[display("down")]
    Down,
}

/// What a peer says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It answered that long ago.
    Answered(Duration),
    /// It is leaving.
    Leaving,
    /// It does not answer.
    Down,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// Since when the list has lacked it; `None` while it is listed.
    absent: Option<Instant>,
    /// Until when a peer's word that it leaves holds against a list that lags.
    leaving_until: Option<Instant>,
    failures: u32,
    answered: Option<Instant>,
    /// When it was last tried, with or without an answer.
    tried: Option<Instant>,
}

impl Entry {
    fn new(member: Member) -> Self {
        Self { member, absent: None, leaving_until: None, failures: 0, answered: None, tried: None }
    }
}

/// The instances known, with what is thought of each.
#[derive(Debug)]
pub struct View {
    guard: Guard,
    entries: BTreeMap<Key, Entry>,
    /// When instances of a class were removed on the list's word alone.
    removed: BTreeMap<Class, VecDeque<Instant>>,
    listed: Option<Instant>,
}

impl View {
    /// A view that knows no instance.
    pub fn new(guard: Guard) -> Self {
        Self { guard, entries: BTreeMap::new(), removed: BTreeMap::new(), listed: None }
    }

    /// Takes a list that was fetched.
    pub fn list(&mut self, now: Instant, members: &[Member]) {
        self.listed = Some(now);
        for entry in self.entries.values_mut() {
            entry.absent.get_or_insert(now);
        }
        for member in members {
            self.note(member);
        }
        self.tick(now);
    }

    /// Takes an own call that was answered.
    pub fn answered(&mut self, now: Instant, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.failures = 0;
            entry.answered = Some(now);
            entry.tried = Some(now);
        }
    }

    /// Takes an own call that was not answered.
    pub fn failed(&mut self, now: Instant, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.failures = entry.failures.saturating_add(1);
            entry.tried = Some(now);
        }
    }

    /// Takes a peer's word.
    ///
    /// A peer may be cut off where this instance is not, so that its word that an instance is down
    /// only asks for an own try. Its word that one leaves is final: nobody takes that back.
    pub fn hear(&mut self, now: Instant, key: &Key, word: Word) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match word {
            Word::Answered(age) => {
                let fresh = age < self.guard.fresh && entry.failures == 0;
                entry.answered = if fresh { Some(now) } else { entry.answered };
            }
            Word::Leaving => entry.leaving_until = Some(now.after(self.guard.silence)),
            Word::Down => entry.tried = None,
        }
    }

    /// Forgets instances that are surely gone.
    pub fn tick(&mut self, now: Instant) {
        for removed in self.removed.values_mut() {
            removed.retain(|at| now.since(*at) < self.guard.window);
        }
        self.removed.retain(|_, removed| !removed.is_empty());
        let suspects = self.suspects();
        let gone: Vec<Key> = self
            .entries
            .iter()
            .filter(|(key, entry)| self.is_gone(now, entry, suspects.contains_key(&key.class)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove(now, &key);
        }
    }

    /// Every instance with its standing.
    pub fn standings(&self, now: Instant) -> Vec<(&Member, Standing)> {
        let suspects = self.suspects();
        let standing = |(key, entry): (&Key, &Entry)| {
            self.standing(now, entry, suspects.contains_key(&key.class))
        };
        self.entries.iter().map(|pair| (&pair.1.member, standing(pair))).collect()
    }

    /// The instances as the rest of the system should see them: live ones take new work, leaving
    /// ones do not.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let state = |standing| match standing {
            Standing::Live | Standing::Doubted => State::Live,
            Standing::Leaving | Standing::Down => State::Leaving,
        };
        let standings = self.standings(now).into_iter();
        standings
            .map(|(member, standing)| Member { state: state(standing), ..member.clone() })
            .collect()
    }

    /// Instances to try now, since what is known of them is in doubt and too old.
    pub fn probes(&self, now: Instant) -> Vec<(Key, SocketAddr)> {
        let suspects = self.suspects();
        let wanted = |(key, entry): &(&Key, &Entry)| {
            let doubted = entry.absent.is_some() && suspects.contains_key(&key.class);
            let stale = entry.tried.is_none_or(|tried| now.since(tried) >= self.guard.fresh);
            (doubted || entry.failures > 0) && stale
        };
        let entries = self.entries.iter().filter(wanted);
        entries.map(|(key, entry)| (key.clone(), entry.member.address)).collect()
    }

    /// Classes of which so many vanished that the list is not believed, with their number.
    ///
    /// An outage of whatever feeds the list shows as many instances vanishing together. To drop
    /// them all would stop work that runs well. What is proved dead or was leaving does not count.
    pub fn suspects(&self) -> BTreeMap<Class, usize> {
        let mut known: BTreeMap<&Class, (usize, usize)> = BTreeMap::new();
        for (key, entry) in &self.entries {
            let (size, vanished) = known.entry(&key.class).or_default();
            *size += 1;
            *vanished += usize::from(entry.absent.is_some() && self.is_surprise(entry));
        }
        known
            .into_iter()
            .filter(|(_, (_, vanished))| *vanished > 0)
            .filter_map(|(class, (size, vanished))| {
                let removed = self.removed.get(class).map_or(0, VecDeque::len);
                let allowed = self.guard.floor.max((size + removed) * self.guard.percent / 100);
                (vanished + removed > allowed).then(|| (class.clone(), vanished))
            })
            .collect()
    }

    /// How long ago the list was last fetched; `None` before it ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.listed.map(|listed| now.since(listed))
    }

    fn note(&mut self, member: &Member) {
        let entry =
            self.entries.entry(Key::from(member)).or_insert_with(|| Entry::new(member.clone()));
        // Another address is another process: what was known of the earlier one is void.
        if entry.member.address != member.address {
            *entry = Entry::new(member.clone());
        }
        entry.absent = None;
        entry.member = member.clone();
    }

    fn standing(&self, now: Instant, entry: &Entry, suspect: bool) -> Standing {
        let told = entry.leaving_until.is_some_and(|until| now < until);
        if self.is_down(entry) {
            return Standing::Down;
        }
        match (entry.absent, entry.member.state) {
            _ if told => Standing::Leaving,
            (_, State::Leaving) => Standing::Leaving,
            (None, State::Live) => Standing::Live,
            (Some(_), State::Live) if suspect => Standing::Doubted,
            (Some(_), State::Live) => Standing::Leaving,
        }
    }

    fn is_down(&self, entry: &Entry) -> bool {
        entry.failures >= self.guard.failures
    }

    /// Whether nothing but its absence from the list says that the instance goes.
    fn is_surprise(&self, entry: &Entry) -> bool {
        entry.member.state == State::Live && !self.is_down(entry)
    }

    fn is_gone(&self, now: Instant, entry: &Entry, suspect: bool) -> bool {
        let Some(absent) = entry.absent else { return false };
        let silent = now.since(entry.answered.unwrap_or(absent).max(absent));
        match (self.is_down(entry), suspect) {
            (true, _) | (false, false) => now.since(absent) >= self.guard.grace,
            (false, true) => silent >= self.guard.silence,
        }
    }

    fn remove(&mut self, now: Instant, key: &Key) {
        let Some(entry) = self.entries.remove(key) else { return };
        if self.is_surprise(&entry) {
            self.removed.entry(key.class.clone()).or_default().push_back(now);
        }
    }
}
