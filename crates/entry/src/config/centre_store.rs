use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arbutuspick_model::{CentreName, ClockTime, PlatformTime, VmName};
use arbutuspick_records::{CentreRecord, EpochRecord, Versioned, in_force_at};
use arc_swap::ArcSwap;
use parking_lot::Mutex;

/// Last read rows of one data centre.
#[derive(Clone, Debug, Default)]
pub struct CentreView {
    /// Row `dc/{dc}`, if it exists.
    pub record: Option<Versioned<CentreRecord>>,
    /// Row `epoch/{dc}`, if it exists.
    pub epoch: Option<Versioned<EpochRecord>>,
    /// Platform time of the response that first contained this order; its commit was not later.
    pub order_seen_at: PlatformTime,
}

impl CentreView {
    /// Returns whether new work may be assigned to the data centre. Without a row its state is "in".
    pub fn accepts_work(&self) -> bool {
        self.record.as_ref().is_none_or(|row| row.record.permits_start())
    }

    /// Returns the time from which on the last order is in force at all VMs.
    pub fn in_force_at(&self) -> Option<PlatformTime> {
        self.record.as_ref().map(|_| in_force_at(self.order_seen_at))
    }

    /// Returns the VM that holds the placement lease, if known.
    pub fn holder(&self) -> Option<&VmName> {
        self.epoch.as_ref().map(|row| &row.record.holder.vm)
    }
}

/// Last read rows of all data centres.
#[derive(Debug)]
pub struct CentreStore {
    local: CentreName,
    views: Mutex<BTreeMap<CentreName, CentreView>>,
    closed: Arc<ArcSwap<BTreeSet<CentreName>>>,
    read_at: Mutex<Option<ClockTime>>,
}

impl CentreStore {
    /// Creates a store for these data centres, whose rows are not read yet.
    pub fn new(local: CentreName, centres: Vec<CentreName>) -> Self {
        let views = centres.into_iter().map(|centre| (centre, CentreView::default()));
        Self {
            local,
            views: Mutex::new(views.collect()),
            closed: Arc::default(),
            read_at: Mutex::default(),
        }
    }

    /// Returns the names of all data centres.
    pub fn names(&self) -> Vec<CentreName> {
        self.views.lock().keys().cloned().collect()
    }

    /// Returns the rows of a data centre, if it exists.
    pub fn view(&self, centre: &CentreName) -> Option<CentreView> {
        self.views.lock().get(centre).cloned()
    }

    /// Returns the rows of all data centres.
    pub fn views(&self) -> BTreeMap<CentreName, CentreView> {
        self.views.lock().clone()
    }

    /// Returns a shared set of the other data centres that accept no new work, which is kept up to date.
    pub fn closed_others(&self) -> Arc<ArcSwap<BTreeSet<CentreName>>> {
        Arc::clone(&self.closed)
    }

    /// Returns the time at which the rows were last read.
    pub fn read_at(&self) -> Option<ClockTime> {
        *self.read_at.lock()
    }

    /// Stores rows that were read; a row with a lower version than the known one is ignored.
    ///
    /// `time` is the platform time of the response that contained the rows.
    pub fn update<Rows>(&self, rows: Rows, time: PlatformTime, now: ClockTime)
    where
        Rows: IntoIterator<Item = (CentreName, CentreView)>,
    {
        let mut views = self.views.lock();
        for (centre, CentreView { record, epoch, .. }) in rows {
            if let Some(view) = views.get_mut(&centre) {
                let order =
                    |record: &Option<Versioned<CentreRecord>>| record.as_ref().map(|row| row.record.order);
                let known_order = order(&view.record);
                keep_newer(&mut view.record, record);
                // The holder's progress on an order changes the row, but not the time of the order.
                if order(&view.record) != known_order {
                    view.order_seen_at = time;
                }
                keep_newer(&mut view.epoch, epoch);
            }
        }
        let closed = views
            .iter()
            .filter(|(centre, view)| **centre != self.local && !view.accepts_work());
        self.closed
            .store(Arc::new(closed.map(|(centre, _)| centre.clone()).collect()));
        *self.read_at.lock() = Some(now);
    }
}

/// Keeps the row with the higher version.
fn keep_newer<R>(known: &mut Option<Versioned<R>>, read: Option<Versioned<R>>) {
    if Versioned::version_of(read.as_ref()) > Versioned::version_of(known.as_ref()) {
        *known = read;
    }
}
