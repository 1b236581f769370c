//! Lookup of instances in the latest instance list.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::config::gossip::Peer;
use crate::domain::{self, Instance};
use crate::membership::follow::Roster;
use crate::membership::view::Key;
use crate::membership::{Member, Role, State};

/// The latest instance list, for the tasks that look instances up.
pub struct Directory {
    me: Instance,
    domain: domain::Name,
    /// Failure domains in the settings.
    domains: Vec<domain::Name>,
    roster: RefCell<Rc<Roster>>,
}

impl Directory {
    /// Creates an empty directory for the instance `me` of `domain`.
    pub fn new(me: Instance, domain: domain::Name, domains: Vec<domain::Name>) -> Self {
        Self { me, domain, domains, roster: RefCell::default() }
    }

    /// Replaces the instance list.
    pub fn update(&self, roster: Rc<Roster>) {
        *self.roster.borrow_mut() = roster;
    }

    /// The latest instance list.
    pub fn roster(&self) -> Rc<Roster> {
        self.roster.borrow().clone()
    }

    /// Failure domains other than this instance's own.
    pub fn other_domains(&self) -> BTreeSet<domain::Name> {
        let roster = self.roster();
        let listed = roster.members.iter().map(|member| &member.domain);
        let all = self.domains.iter().chain(listed);
        all.filter(|domain| **domain != self.domain).cloned().collect()
    }

    /// Peer addresses of the live entry instances of a failure domain, without this one.
    pub fn entries_of(&self, domain: &domain::Name) -> Vec<SocketAddr> {
        let roster = self.roster();
        let entries = roster.members.iter().filter(|member| self.is_peer(member));
        let live = entries.filter(|member| member.state == State::Live);
        live.filter(|member| member.domain == *domain).map(|member| member.address).collect()
    }

    /// Entry instances to exchange digests of the settings with.
    pub fn gossip_peers(&self) -> Vec<Peer> {
        let roster = self.roster();
        let entries = roster.members.iter().filter(|member| self.is_peer(member));
        let peer = |member: &Member| Peer {
            name: member.name.clone(),
            domain: member.domain.clone(),
            address: member.address,
        };
        entries.map(peer).collect()
    }

    /// The entry instance at a peer address.
    pub fn entry_at(&self, address: SocketAddr) -> Option<Key> {
        let roster = self.roster();
        let mut members = roster.members.iter();
        members
            .find(|member| member.role == Role::Entry && member.address == address)
            .map(Key::from)
    }

    fn is_peer(&self, member: &Member) -> bool {
        let is_me = member.domain == self.domain && member.name == self.me.name;
        member.role == Role::Entry && !is_me
    }
}
