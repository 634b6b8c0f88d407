use arbutuspick_model::{ClockTime, UpstreamName};
use arbutuspick_route::{AttemptResult, UpstreamEntry, UpstreamReport};

use super::{entry, far_entry};

/// Upstreams below this index are in the own data centre.
pub(crate) const OWN: usize = 4;
/// Time for which a departed upstream is remembered.
const DEPARTED_MS: u64 = 60_000;

/// What the test knows about one upstream, kept apart from the table.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamOracle {
    pub(crate) entry: UpstreamEntry,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) heard: Option<u64>,
    /// Counts the states that the table created for this name.
    pub(crate) incarnation: u32,
    pub(crate) in_flight: u32,
    pub(crate) limit: u32,
    successes: u32,
    pub(crate) halvings: u32,
    failures: u32,
    ejected: bool,
    gone_at: u64,
}

impl UpstreamOracle {
    pub(crate) fn new(index: usize) -> Self {
        Self {
            entry: if index < OWN {
                entry(index)
            } else {
                far_entry(index)
            },
            listed: false,
            leaving: false,
            heard: None,
            incarnation: 0,
            in_flight: 0,
            limit: 2,
            successes: 0,
            halvings: 0,
            failures: 0,
            ejected: false,
            gone_at: 0,
        }
    }

    pub(crate) fn name(&self) -> &UpstreamName {
        &self.entry.name
    }

    /// Shows the upstream in a new list, at a new address when it moved.
    pub(crate) fn list(&mut self, leaving: bool, moved: bool, now: u64) {
        let mut port = self.entry.address.port();
        if moved {
            port += 100;
        }
        self.entry.address.set_port(port);
        let forgotten = !self.listed && now >= self.gone_at + DEPARTED_MS;
        let still_leaving = self.leaving && !moved && !forgotten;
        if moved || !self.listed {
            *self = Self {
                entry: self.entry.clone(),
                incarnation: self.incarnation + 1,
                ..Self::new(0)
            };
        }
        self.listed = true;
        self.leaving = leaving || still_leaving;
    }

    pub(crate) fn unlist(&mut self, now: u64) {
        if self.listed {
            self.gone_at = now;
        }
        self.listed = false;
    }

    pub(crate) fn is_live(&self, open: bool, now: u64) -> bool {
        self.listed && !self.leaving && open && self.heard.is_some_and(|heard| now < heard + 3_000)
    }

    pub(crate) fn record(
        &mut self,
        result: AttemptResult,
        halvings: u32,
        probe: bool,
        elapsed: u64,
        now: u64,
    ) {
        match result {
            AttemptResult::Succeeded => self.record_success(),
            AttemptResult::RefusedNotRun if halvings == self.halvings => {
                self.limit = (self.limit / 2).max(1);
                self.successes = 0;
                self.halvings += 1;
            }
            AttemptResult::Leaving => self.leaving = true,
            AttemptResult::Expired if elapsed < 1_000 => {}
            AttemptResult::Failed | AttemptResult::Lost | AttemptResult::NotSent | AttemptResult::Expired => {
                self.failures += u32::from(!probe);
            }
            AttemptResult::RefusedNotRun => {}
        }
        if result.is_answer() {
            self.heard = Some(now);
        }
    }

    fn record_success(&mut self) {
        self.failures = 0;
        self.successes += 1;
        if self.successes >= self.limit {
            self.limit = (self.limit + 1).min(8);
            self.successes = 0;
        }
    }

    /// Compares the table's view with the oracle's.
    pub(crate) fn check(&mut self, report: &UpstreamReport) {
        assert_eq!(u32::from(report.in_flight), self.in_flight, "in flight");
        assert_eq!(u32::from(report.limit), self.limit, "limit");
        assert_eq!(report.leaving_since.is_some(), self.leaving, "leaving");
        assert_eq!(report.last_heard, self.heard.map(ClockTime), "last heard");
        let ejected = report.ejected_until.is_some();
        assert!(
            self.ejected || !ejected || self.failures >= 5,
            "ejected after {} failures",
            self.failures
        );
        if self.ejected && !ejected {
            self.failures = 0;
        }
        self.ejected = ejected;
    }
}
