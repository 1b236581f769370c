//! Taking in the list of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::Instant;
use crate::domain;
use crate::membership::{Member, Role, State};
use crate::runner::Name;
use crate::runner::router::Router;
use crate::runner::service::{Remote, Service};
use crate::runner::upstream::Upstream;

impl Router {
    pub(super) fn set_runner(&mut self, member: &Member) {
        let Role::Runner { service, slots, connections } = &member.role else { return };
        if member.domain != self.domain {
            return;
        }
        let name = Name::from(member.name.as_str());
        // Each instance opens at most as many connections as it may hold slots in all, so that
        // the instances together stay within the runner's connections whatever their shares are.
        let count = self.shares.position().count.max(1);
        let slots = self.shares.add_runner(&name, (*slots).min(connections / count));
        let service =
            self.services.entry(service.clone()).or_insert_with(|| Service::new(&self.policy));
        if service.runner(&name).is_none() {
            service.runners.push(Upstream::new(name.clone(), slots, member.address));
        }
        if let Some(runner) = service.runner(&name) {
            runner.state = Some(member.state);
            runner.address = member.address;
        }
    }

    pub(super) fn set_remotes(&mut self, members: &[Member]) {
        let mut entries: BTreeMap<&domain::Name, Vec<SocketAddr>> = BTreeMap::new();
        for member in members.iter().filter(|member| member.state == State::Live) {
            if member.role == Role::Entry && member.domain != self.domain {
                entries.entry(&member.domain).or_default().push(member.address);
            }
        }
        for member in members.iter().filter(|member| member.state == State::Live) {
            let Role::Runner { service, .. } = &member.role else { continue };
            let Some(found) = entries.get(&member.domain) else { continue };
            let service =
                self.services.entry(service.clone()).or_insert_with(|| Service::new(&self.policy));
            service.set_remote(&member.domain, found);
        }
    }

    pub(super) fn remove_unlisted(&mut self) {
        for service in self.services.values_mut() {
            for runner in service.runners.iter().filter(|runner| runner.state.is_none()) {
                self.shares.remove_runner(runner.slots);
            }
            let is_needed =
                |runner: &Upstream| runner.state.is_some() || !runner.unanswered.is_empty();
            service.runners.retain(is_needed);
            service.remotes.retain(|remote| !remote.entries.is_empty() || remote.outstanding > 0);
        }
    }
}

impl Service {
    fn set_remote(&mut self, domain: &domain::Name, entries: &[SocketAddr]) {
        if !self.remotes.iter().any(|remote| remote.domain == *domain) {
            self.remotes.push(Remote {
                domain: domain.clone(),
                entries: Vec::new(),
                outstanding: 0,
                blocked_until: Instant::default(),
            });
        }
        if let Some(remote) = self.remotes.iter_mut().find(|remote| remote.domain == *domain) {
            remote.entries = entries.to_vec();
        }
    }
}
