use std::collections::VecDeque;

use arbutuspick_clients::{VmEntry, VmRole};

/// Past and current versions of the list of VMs, for responses that are out of date.
#[derive(Debug)]
pub(crate) struct VmHistory {
    /// Versions of the list with the time in milliseconds from which each is valid, oldest first.
    lists: VecDeque<(u64, Vec<VmEntry>)>,
}

impl VmHistory {
    /// Creates a history whose initial list is valid from the start.
    pub(crate) fn new(vms: Vec<VmEntry>) -> Self {
        Self {
            lists: VecDeque::from([(0, vms)]),
        }
    }

    /// Returns the list that was valid at a time.
    pub(crate) fn list_at(&self, at_ms: u64) -> &[VmEntry] {
        let list = self.lists.iter().rev().find(|(from, _)| *from <= at_ms);
        list.map_or(&[], |(_, vms)| vms)
    }

    pub(crate) fn add(&mut self, now_ms: u64, entry: VmEntry) {
        self.update(now_ms, |vms| {
            vms.retain(|vm| (vm.role, &vm.name) != (entry.role, &entry.name));
            vms.push(entry);
        });
    }

    pub(crate) fn remove(&mut self, now_ms: u64, role: VmRole, name: &str) {
        self.update(now_ms, |vms| vms.retain(|vm| vm.role != role || vm.name != name));
    }

    pub(crate) fn set_leaving(&mut self, now_ms: u64, role: VmRole, name: &str) {
        self.update(now_ms, |vms| {
            let matching = vms.iter_mut().filter(|vm| vm.role == role && vm.name == name);
            matching.for_each(|vm| vm.leaving = true);
        });
    }

    fn update<F>(&mut self, now_ms: u64, change: F)
    where
        F: FnOnce(&mut Vec<VmEntry>),
    {
        let mut vms = self.lists.back().map(|(_, vms)| vms.clone()).unwrap_or_default();
        change(&mut vms);
        match self.lists.back_mut() {
            Some((from, newest)) if *from == now_ms => *newest = vms,
            _ => self.lists.push_back((now_ms, vms)),
        }
    }

    /// Removes versions that were replaced at a time or before, as later queries ask only for later times.
    pub(crate) fn prune_before(&mut self, at_ms: u64) {
        while self.lists.get(1).is_some_and(|(from, _)| *from <= at_ms) {
            self.lists.pop_front();
        }
    }
}
