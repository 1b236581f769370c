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
pub struct ViewPolicy {
    /// Share of a class, in percent, that may vanish within `removal_window` and be believed.
    pub removable_percent: usize,
    /// Number that may vanish within `removal_window` and be believed, however small the class is.
    pub removable_minimum: usize,
    /// Span over which vanished instances add up.
    pub removal_window: Duration,
    /// How long a vanished instance is kept as leaving before it is removed.
    pub removal_grace: Duration,
    /// Failed calls in a row after which an instance counts as down.
    pub failure_threshold: u32,
    /// Age up to which an answer is proof that an instance lives.
    pub freshness: Duration,
    /// How long a vanished instance of a suspect class is kept that nobody could reach.
    pub suspect_timeout: Duration,
}

impl Default for ViewPolicy {
    fn default() -> Self {
        Self {
            removable_percent: 20,
            removable_minimum: 2,
            removal_window: Duration::from_secs(300),
            removal_grace: Duration::from_secs(10),
            failure_threshold: 3,
            freshness: Duration::from_secs(1),
            suspect_timeout: Duration::from_secs(60),
        }
    }
}

/// What an instance is good for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Availability {
    /// In use.
    #[display("live")]
    Live,
    /// Takes no new work.
    #[display("leaving")]
    Leaving,
    /// Vanished from the list together with many others; in use until proved dead.
    #[display("doubted")]
    Suspected,
    /// Does not answer; takes no new work.
    #[display("down")]
    Down,
}

/// What a peer says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReport {
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
    missing_since: Option<Instant>,
    /// Until when a peer's word that it leaves holds against a list that lags.
    leaving_until: Option<Instant>,
    failures: u32,
    last_answer: Option<Instant>,
    /// When it was last tried, with or without an answer.
    last_probe: Option<Instant>,
}

impl Entry {
    fn new(member: Member) -> Self {
        Self {
            member,
            missing_since: None,
            leaving_until: None,
            failures: 0,
            last_answer: None,
            last_probe: None,
        }
    }
}

/// The instances known, with what is thought of each.
#[derive(Debug)]
pub struct View {
    policy: ViewPolicy,
    entries: BTreeMap<Key, Entry>,
    /// When instances of a class were removed on the list's word alone.
    removals: BTreeMap<Class, VecDeque<Instant>>,
    last_list: Option<Instant>,
}

impl View {
    /// A view that knows no instance.
    pub fn new(policy: ViewPolicy) -> Self {
        Self { policy, entries: BTreeMap::new(), removals: BTreeMap::new(), last_list: None }
    }

    /// Takes a list that was fetched.
    pub fn apply_list(&mut self, now: Instant, members: &[Member]) {
        self.last_list = Some(now);
        for entry in self.entries.values_mut() {
            entry.missing_since.get_or_insert(now);
        }
        for member in members {
            self.upsert_listed(member);
        }
        self.tick(now);
    }

    /// Takes an own call that was answered.
    pub fn record_answer(&mut self, now: Instant, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.failures = 0;
            entry.last_answer = Some(now);
            entry.last_probe = Some(now);
        }
    }

    /// Takes an own call that was not answered.
    pub fn record_failure(&mut self, now: Instant, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.failures = entry.failures.saturating_add(1);
            entry.last_probe = Some(now);
        }
    }

    /// Takes a peer's word.
    ///
    /// A peer may be cut off where this instance is not, so that its word that an instance is down
    /// only asks for an own try. Its word that one leaves is final: nobody takes that back.
    pub fn apply_peer_report(&mut self, now: Instant, key: &Key, report: PeerReport) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match report {
            PeerReport::Answered(age) => {
                let is_recent = age < self.policy.freshness && entry.failures == 0;
                entry.last_answer = if is_recent { Some(now) } else { entry.last_answer };
            }
            PeerReport::Leaving => {
                entry.leaving_until = Some(now.after(self.policy.suspect_timeout))
            }
            PeerReport::Down => entry.last_probe = None,
        }
    }

    /// Forgets instances that are surely gone.
    pub fn tick(&mut self, now: Instant) {
        for times in self.removals.values_mut() {
            times.retain(|at| now.since(*at) < self.policy.removal_window);
        }
        self.removals.retain(|_, times| !times.is_empty());
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
    pub fn availabilities(&self, now: Instant) -> Vec<(&Member, Availability)> {
        let suspects = self.suspects();
        let entry_availability = |(key, entry): (&Key, &Entry)| {
            self.availability(now, entry, suspects.contains_key(&key.class))
        };
        self.entries.iter().map(|pair| (&pair.1.member, entry_availability(pair))).collect()
    }

    /// The instances as the rest of the system should see them: live ones take new work, leaving
    /// ones do not.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let state = |availability| match availability {
            Availability::Live | Availability::Suspected => State::Live,
            Availability::Leaving | Availability::Down => State::Leaving,
        };
        let availabilities = self.availabilities(now).into_iter();
        availabilities
            .map(|(member, availability)| Member { state: state(availability), ..member.clone() })
            .collect()
    }

    /// Instances to try now, since what is known of them is in doubt and too old.
    pub fn probes(&self, now: Instant) -> Vec<(Key, SocketAddr)> {
        let suspects = self.suspects();
        let wanted = |(key, entry): &(&Key, &Entry)| {
            let suspected = entry.missing_since.is_some() && suspects.contains_key(&key.class);
            let stale = entry.last_probe.is_none_or(|at| now.since(at) >= self.policy.freshness);
            (suspected || entry.failures > 0) && stale
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
            *vanished += usize::from(entry.missing_since.is_some() && self.is_unexpected(entry));
        }
        known
            .into_iter()
            .filter(|(_, (_, vanished))| *vanished > 0)
            .filter_map(|(class, (size, vanished))| {
                let recent = self.removals.get(class).map_or(0, VecDeque::len);
                let allowed = self
                    .policy
                    .removable_minimum
                    .max((size + recent) * self.policy.removable_percent / 100);
                (vanished + recent > allowed).then(|| (class.clone(), vanished))
            })
            .collect()
    }

    /// How long ago the list was last fetched; `None` before it ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_list.map(|at| now.since(at))
    }

    fn upsert_listed(&mut self, member: &Member) {
        let entry =
            self.entries.entry(Key::from(member)).or_insert_with(|| Entry::new(member.clone()));
        // Another address is another process: what was known of the earlier one is void.
        if entry.member.address != member.address {
            *entry = Entry::new(member.clone());
        }
        entry.missing_since = None;
        entry.member = member.clone();
    }

    fn availability(&self, now: Instant, entry: &Entry, suspect: bool) -> Availability {
        let is_announced = entry.leaving_until.is_some_and(|until| now < until);
        if self.is_down(entry) {
            return Availability::Down;
        }
        match (entry.missing_since, entry.member.state) {
            _ if is_announced => Availability::Leaving,
            (_, State::Leaving) => Availability::Leaving,
            (None, State::Live) => Availability::Live,
            (Some(_), State::Live) if suspect => Availability::Suspected,
            (Some(_), State::Live) => Availability::Leaving,
        }
    }

    fn is_down(&self, entry: &Entry) -> bool {
        entry.failures >= self.policy.failure_threshold
    }

    /// Whether nothing but its absence from the list says that the instance goes.
    fn is_unexpected(&self, entry: &Entry) -> bool {
        entry.member.state == State::Live && !self.is_down(entry)
    }

    fn is_gone(&self, now: Instant, entry: &Entry, suspect: bool) -> bool {
        let Some(missing) = entry.missing_since else { return false };
        let silent = now.since(entry.last_answer.unwrap_or(missing).max(missing));
        match (self.is_down(entry), suspect) {
            (true, _) | (false, false) => now.since(missing) >= self.policy.removal_grace,
            (false, true) => silent >= self.policy.suspect_timeout,
        }
    }

    fn remove(&mut self, now: Instant, key: &Key) {
        let Some(entry) = self.entries.remove(key) else { return };
        if self.is_unexpected(&entry) {
            self.removals.entry(key.class.clone()).or_default().push_back(now);
        }
    }
}
