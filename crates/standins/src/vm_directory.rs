use std::collections::VecDeque;

use arbutuspick_clients::{VmEntry, VmRole};

/// The list of VMs as it was at earlier times.
#[derive(Debug)]
pub(crate) struct VmDirectory {
    /// Lists with the time in milliseconds from which on each was right, oldest first.
    lists: VecDeque<(u64, Vec<VmEntry>)>,
}

impl VmDirectory {
    /// Creates a directory whose first list is visible at once.
    pub(crate) fn new(vms: Vec<VmEntry>) -> Self {
        Self {
            lists: VecDeque::from([(0, vms)]),
        }
    }

    /// Returns the list as it was at a time.
    pub(crate) fn at(&self, millis: u64) -> &[VmEntry] {
        let list = self.lists.iter().rev().find(|(from, _)| *from <= millis);
        list.map_or(&[], |(_, vms)| vms)
    }

    pub(crate) fn add(&mut self, now_ms: u64, entry: VmEntry) {
        self.change(now_ms, |vms| {
            vms.retain(|vm| (vm.role, &vm.name) != (entry.role, &entry.name));
            vms.push(entry);
        });
    }

    pub(crate) fn remove(&mut self, now_ms: u64, role: VmRole, name: &str) {
        self.change(now_ms, |vms| vms.retain(|vm| vm.role != role || vm.name != name));
    }

    pub(crate) fn set_leaving(&mut self, now_ms: u64, role: VmRole, name: &str) {
        self.change(now_ms, |vms| {
            let matching = vms.iter_mut().filter(|vm| vm.role == role && vm.name == name);
            matching.for_each(|vm| vm.leaving = true);
        });
    }

    fn change<F>(&mut self, now_ms: u64, change: F)
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

    /// Forgets lists that no later query can ask for.
    pub(crate) fn forget_before(&mut self, millis: u64) {
        while self.lists.get(1).is_some_and(|(from, _)| *from <= millis) {
            self.lists.pop_front();
        }
    }
}
