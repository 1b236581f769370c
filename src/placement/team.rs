//! Usage and quotas of teams.

use std::collections::HashMap;
use std::rc::Rc;

use super::arithmetic;
use crate::resource::{Amount, Limit};

/// A team's quota and usage.
#[derive(Debug)]
pub(super) struct Team {
    pub(super) name: Rc<str>,
    pub(super) quota: Option<Amount>,
    pub(super) usage: Amount,
}

impl Team {
    /// Whether `demand` in addition would exceed the team's quota.
    pub(super) fn exceeds(&self, demand: &Amount) -> bool {
        self.quota.is_some_and(|quota| !Limit::from(quota).admits(&self.usage, demand))
    }

    /// The team's dominant share: the largest share of its quota that it uses in any dimension, in
    /// millionths. For a team without a quota, the share of `whole`.
    pub(super) fn dominant_share(&self, whole: &Amount) -> u64 {
        arithmetic::dominant_share(&self.usage, &self.quota.unwrap_or(*whole))
    }
}

/// All teams that have appeared so far.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    teams: Vec<Team>,
    by_name: HashMap<Rc<str>, usize>,
}

impl TeamTable {
    /// The index of a team; a new team is created.
    pub(super) fn intern(&mut self, name: &str) -> usize {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let name: Rc<str> = name.into();
        self.by_name.insert(Rc::clone(&name), self.teams.len());
        self.teams.push(Team { name, quota: None, usage: Amount::ZERO });
        self.teams.len() - 1
    }

    pub(super) fn get(&self, index: usize) -> &Team {
        &self.teams[index]
    }

    pub(super) fn get_mut(&mut self, index: usize) -> &mut Team {
        &mut self.teams[index]
    }
}
