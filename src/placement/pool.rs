//! The workers of the failure domain, by rack.
//!
//! Each rack stores the largest free capacity of its workers in each dimension, so that a search
//! skips racks without enough of it. Totals are updated on every change, so that no decision has to
//! sum over all workers.

use std::collections::HashMap;

use super::arithmetic;
use super::node::Node;
use crate::resource::Amount;
use crate::worker;

/// Workers that share power and a switch.
#[derive(Debug)]
pub(super) struct Rack {
    name: String,
    pub(super) members: Vec<usize>,
    /// The largest free capacity of any member in each dimension, claimed or not.
    pub(super) max_free: Amount,
    /// Number of draining members.
    pub(super) draining: usize,
}

/// Number of workers with the same capacity.
#[derive(Debug)]
struct CapacityClass {
    capacity: Amount,
    nodes: usize,
}

/// All workers.
#[derive(Debug, Default)]
pub(super) struct Pool {
    nodes: Vec<Node>,
    by_name: HashMap<worker::Name, usize>,
    pub(super) racks: Vec<Rack>,
    capacity_classes: Vec<CapacityClass>,
    contributions: Vec<Contribution>,
    grown: Vec<usize>,
    /// Total capacity of all workers that accept tasks.
    pub(super) capacity: Amount,
    /// The used part of it.
    pub(super) used: Amount,
}

/// What a worker currently contributes to the totals.
#[derive(Clone, Copy, Debug, Default)]
struct Contribution {
    capacity: Amount,
    used: Amount,
    free: Amount,
    draining: bool,
    grown: bool,
}

impl Pool {
    pub(super) fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    pub(super) fn get(&self, index: usize) -> &Node {
        &self.nodes[index]
    }

    pub(super) fn find(&self, name: &worker::Name) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The index of a worker. A new worker is created closed and without capacity.
    pub(super) fn intern(&mut self, name: &worker::Name) -> usize {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.nodes.len();
        let rack = self.intern_rack("");
        self.nodes.push(Node::new(name.clone(), rack));
        self.contributions.push(Contribution::default());
        self.racks[rack].members.push(index);
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Moves a worker to another rack.
    pub(super) fn move_to_rack(&mut self, index: usize, rack: &str) {
        let to = self.intern_rack(rack);
        let from = self.nodes[index].rack;
        if from == to {
            return;
        }
        self.racks[from].members.retain(|&member| member != index);
        self.racks[to].members.push(index);
        self.racks[to].members.sort_unstable();
        let draining = usize::from(self.contributions[index].draining);
        self.racks[from].draining -= draining;
        self.racks[to].draining += draining;
        self.nodes[index].rack = to;
        self.update_max_free(from);
    }

    /// Changes a worker and updates the totals.
    pub(super) fn update<T>(&mut self, index: usize, change: impl FnOnce(&mut Node) -> T) -> T {
        let before = self.nodes[index].capacity;
        let result = change(&mut self.nodes[index]);
        if before != self.nodes[index].capacity {
            self.count_capacity(before, false);
            self.count_capacity(self.nodes[index].capacity, true);
        }
        self.update_totals(index);
        result
    }

    /// Whether any worker, in any scheduling state, has a capacity of at least `demand`.
    pub(super) fn could_hold(&self, demand: &Amount) -> bool {
        self.capacity_classes.iter().any(|class| demand.fits(&class.capacity))
    }

    /// Number of tasks of `demand` that fit on all workers when empty.
    pub(super) fn slots(&self, demand: &Amount) -> usize {
        let each = |class: &CapacityClass| {
            arithmetic::slots(demand, &class.capacity).saturating_mul(class.nodes)
        };
        self.capacity_classes.iter().map(each).fold(0, usize::saturating_add)
    }

    /// The largest capacity of any worker in each dimension.
    pub(super) fn largest(&self) -> Amount {
        let larger =
            |most: Amount, class: &CapacityClass| arithmetic::max_each(&most, &class.capacity);
        self.capacity_classes.iter().fold(Amount::ZERO, larger)
    }

    /// Returns and clears the workers whose free capacity grew since the last call.
    pub(super) fn take_grown(&mut self) -> Vec<usize> {
        for &index in &self.grown {
            self.contributions[index].grown = false;
        }
        std::mem::take(&mut self.grown)
    }

    /// Marks a worker as possibly able to run tasks that did not fit before.
    pub(super) fn mark_grown(&mut self, index: usize) {
        if !self.contributions[index].grown {
            self.contributions[index].grown = true;
            self.grown.push(index);
        }
    }

    fn intern_rack(&mut self, name: &str) -> usize {
        if let Some(index) = self.racks.iter().position(|rack| rack.name == name) {
            return index;
        }
        let name = name.to_owned();
        self.racks.push(Rack { name, members: Vec::new(), max_free: Amount::ZERO, draining: 0 });
        self.racks.len() - 1
    }

    fn count_capacity(&mut self, capacity: Amount, added: bool) {
        if capacity.is_zero() {
            return;
        }
        let position = self.capacity_classes.iter().position(|class| class.capacity == capacity);
        match (position, added) {
            (Some(position), true) => self.capacity_classes[position].nodes += 1,
            (None, true) => self.capacity_classes.push(CapacityClass { capacity, nodes: 1 }),
            (Some(position), false) => {
                self.capacity_classes[position].nodes -= 1;
                if self.capacity_classes[position].nodes == 0 {
                    self.capacity_classes.swap_remove(position);
                }
            }
            (None, false) => {}
        }
    }

    fn update_totals(&mut self, index: usize) {
        let node = &self.nodes[index];
        let open = if node.is_open() { node.capacity } else { Amount::ZERO };
        let contribution = Contribution {
            capacity: open,
            used: arithmetic::min_each(&node.used(), &open),
            free: node.free(),
            draining: node.scheduling_state == super::SchedulingState::Draining,
            grown: self.contributions[index].grown,
        };
        let rack = node.rack;
        let before = std::mem::replace(&mut self.contributions[index], contribution);
        self.capacity = self.capacity.saturating_sub(&before.capacity);
        self.capacity = self.capacity.saturating_add(&contribution.capacity);
        self.used = self.used.saturating_sub(&before.used).saturating_add(&contribution.used);
        if before.draining != contribution.draining {
            self.racks[rack].draining -= usize::from(before.draining);
            self.racks[rack].draining += usize::from(contribution.draining);
        }
        if !contribution.free.fits(&before.free) {
            self.mark_grown(index);
        }
        if contribution.free != before.free {
            self.update_max_free(rack);
        }
    }

    fn update_max_free(&mut self, rack: usize) {
        let rack = &mut self.racks[rack];
        let amounts = rack.members.iter().map(|&member| self.contributions[member].free);
        rack.max_free = amounts.fold(Amount::ZERO, |most, free| arithmetic::max_each(&most, &free));
    }
}
