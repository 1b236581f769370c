//! The workers of the failure domain, by rack.
//!
//! Each rack keeps the widest room of its workers in each dimension, so that a search skips racks
//! without room, and the totals follow every change, so that no decision adds up all workers.

use std::collections::HashMap;

use super::measure;
use super::node::Node;
use crate::resource::Amount;
use crate::worker;

/// Workers that share power and a switch.
#[derive(Debug)]
pub(super) struct Rack {
    name: String,
    pub(super) members: Vec<usize>,
    /// The largest room of any member in each dimension, pledged or not.
    pub(super) widest: Amount,
    /// Members that drain.
    pub(super) draining: usize,
}

/// A sort of worker, told apart by what it has.
#[derive(Debug)]
struct Model {
    capacity: Amount,
    nodes: usize,
}

/// All workers.
#[derive(Debug, Default)]
pub(super) struct Pool {
    nodes: Vec<Node>,
    by_name: HashMap<worker::Name, usize>,
    pub(super) racks: Vec<Rack>,
    models: Vec<Model>,
    counted: Vec<Count>,
    grown: Vec<usize>,
    /// What all open workers have.
    pub(super) capacity: Amount,
    /// What of it is used.
    pub(super) used: Amount,
}

/// What a node last added to the totals.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    capacity: Amount,
    used: Amount,
    room: Amount,
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

    /// The index of a worker, which is created closed and without capacity when it is new.
    pub(super) fn intern(&mut self, name: &worker::Name) -> usize {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.nodes.len();
        let rack = self.rack("");
        self.nodes.push(Node::new(name.clone(), rack));
        self.counted.push(Count::default());
        self.racks[rack].members.push(index);
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Moves a worker to another rack.
    pub(super) fn place(&mut self, index: usize, rack: &str) {
        let to = self.rack(rack);
        let from = self.nodes[index].rack;
        if from == to {
            return;
        }
        self.racks[from].members.retain(|&member| member != index);
        self.racks[to].members.push(index);
        self.racks[to].members.sort_unstable();
        let draining = usize::from(self.counted[index].draining);
        self.racks[from].draining -= draining;
        self.racks[to].draining += draining;
        self.nodes[index].rack = to;
        self.widen(from);
    }

    /// Changes a worker and brings the totals up to date.
    pub(super) fn update<T>(&mut self, index: usize, change: impl FnOnce(&mut Node) -> T) -> T {
        let before = self.nodes[index].capacity;
        let result = change(&mut self.nodes[index]);
        if before != self.nodes[index].capacity {
            self.count_model(before, false);
            self.count_model(self.nodes[index].capacity, true);
        }
        self.recount(index);
        result
    }

    /// Whether some worker has at least `demand` when empty, in any scheduling_state.
    pub(super) fn could_hold(&self, demand: &Amount) -> bool {
        self.models.iter().any(|model| demand.fits(&model.capacity))
    }

    /// Tasks of `demand` that all workers hold when empty.
    pub(super) fn slots(&self, demand: &Amount) -> usize {
        let each =
            |model: &Model| measure::slots(demand, &model.capacity).saturating_mul(model.nodes);
        self.models.iter().map(each).fold(0, usize::saturating_add)
    }

    /// The largest amount of each resource on any worker.
    pub(super) fn largest(&self) -> Amount {
        let widen = |most: Amount, model: &Model| measure::widest(&most, &model.capacity);
        self.models.iter().fold(Amount::ZERO, widen)
    }

    /// Workers whose room grew since the last call.
    pub(super) fn take_grown(&mut self) -> Vec<usize> {
        for &index in &self.grown {
            self.counted[index].grown = false;
        }
        std::mem::take(&mut self.grown)
    }

    /// Notes that a worker may take what it could not take before.
    pub(super) fn mark_grown(&mut self, index: usize) {
        if !self.counted[index].grown {
            self.counted[index].grown = true;
            self.grown.push(index);
        }
    }

    fn rack(&mut self, name: &str) -> usize {
        if let Some(index) = self.racks.iter().position(|rack| rack.name == name) {
            return index;
        }
        let name = name.to_owned();
        self.racks.push(Rack { name, members: Vec::new(), widest: Amount::ZERO, draining: 0 });
        self.racks.len() - 1
    }

    fn count_model(&mut self, capacity: Amount, added: bool) {
        if capacity.is_zero() {
            return;
        }
        let position = self.models.iter().position(|model| model.capacity == capacity);
        match (position, added) {
            (Some(position), true) => self.models[position].nodes += 1,
            (None, true) => self.models.push(Model { capacity, nodes: 1 }),
            (Some(position), false) => {
                self.models[position].nodes -= 1;
                if self.models[position].nodes == 0 {
                    self.models.swap_remove(position);
                }
            }
            (None, false) => {}
        }
    }

    fn recount(&mut self, index: usize) {
        let node = &self.nodes[index];
        let open = if node.is_open() { node.capacity } else { Amount::ZERO };
        let count = Count {
            capacity: open,
            used: measure::narrowest(&node.used(), &open),
            room: node.room(),
            draining: node.scheduling_state == super::SchedulingState::Draining,
            grown: self.counted[index].grown,
        };
        let rack = node.rack;
        let before = std::mem::replace(&mut self.counted[index], count);
        self.capacity = self.capacity.saturating_sub(&before.capacity);
        self.capacity = self.capacity.saturating_add(&count.capacity);
        self.used = self.used.saturating_sub(&before.used).saturating_add(&count.used);
        if before.draining != count.draining {
            self.racks[rack].draining -= usize::from(before.draining);
            self.racks[rack].draining += usize::from(count.draining);
        }
        if !count.room.fits(&before.room) {
            self.mark_grown(index);
        }
        if count.room != before.room {
            self.widen(rack);
        }
    }

    fn widen(&mut self, rack: usize) {
        let rack = &mut self.racks[rack];
        let rooms = rack.members.iter().map(|&member| self.counted[member].room);
        rack.widest = rooms.fold(Amount::ZERO, |most, room| measure::widest(&most, &room));
    }
}
