//! What teams use and may use.

use std::collections::HashMap;
use std::rc::Rc;

use super::measure;
use crate::resource::Amount;

/// A team's quota and use.
#[derive(Debug)]
pub(super) struct Team {
    pub(super) name: Rc<str>,
    pub(super) quota: Option<Amount>,
    pub(super) usage: Amount,
}

impl Team {
    /// Whether the team would be above its quota with `demand` in addition.
    pub(super) fn exceeds(&self, demand: &Amount) -> bool {
        self.quota.is_some_and(|quota| !self.usage.saturating_add(demand).fits(&quota))
    }

    /// The largest part of its quota that the team uses in any dimension, in millionths; a team
    /// without a quota is measured against `whole`.
    pub(super) fn share(&self, whole: &Amount) -> u64 {
        measure::share(&self.usage, &self.quota.unwrap_or(*whole))
    }
}

/// All teams that were ever named.
#[derive(Debug, Default)]
pub(super) struct Table {
    teams: Vec<Team>,
    by_name: HashMap<Rc<str>, usize>,
}

impl Table {
    /// The index of a team, which is created when it is new.
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
