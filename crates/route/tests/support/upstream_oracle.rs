use arbutuspick_model::{ClockTime, UpstreamName};
use arbutuspick_route::{AttemptResult, UpstreamEntry, UpstreamReport};

use super::{entry, remote_entry};

/// Number of upstreams in the own data centre; they have the lowest indices.
pub(crate) const LOCAL_UPSTREAMS: usize = 4;
/// Time, in milliseconds, for which the tombstone of a leaving upstream is kept after it is no longer listed.
const TOMBSTONE_RETENTION_MS: u64 = 60_000;

/// Expected state of one upstream, computed independently of the table.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamOracle {
    pub(crate) entry: UpstreamEntry,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) last_heard: Option<u64>,
    /// Number of states that the table has created for this name.
    pub(crate) incarnation: u32,
    pub(crate) in_flight: u32,
    pub(crate) limit: u32,
    successes: u32,
    pub(crate) halvings: u32,
    failures: u32,
    ejected: bool,
    delisted_at: u64,
}

impl UpstreamOracle {
    pub(crate) fn new(index: usize) -> Self {
        Self {
            entry: if index < LOCAL_UPSTREAMS {
                entry(index)
            } else {
                remote_entry(index)
            },
            listed: false,
            leaving: false,
            last_heard: None,
            incarnation: 0,
            in_flight: 0,
            limit: 2,
            successes: 0,
            halvings: 0,
            failures: 0,
            ejected: false,
            delisted_at: 0,
        }
    }

    pub(crate) fn name(&self) -> &UpstreamName {
        &self.entry.name
    }

    /// Adds the upstream to a new list, at a new address if it moved.
    pub(crate) fn add_to_list(&mut self, leaving: bool, moved: bool, now: u64) {
        let mut port = self.entry.address.port();
        if moved {
            port += 100;
        }
        self.entry.address.set_port(port);
        let tombstone_expired = !self.listed && now >= self.delisted_at + TOMBSTONE_RETENTION_MS;
        let still_leaving = self.leaving && !moved && !tombstone_expired;
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

    pub(crate) fn remove_from_list(&mut self, now: u64) {
        if self.listed {
            self.delisted_at = now;
        }
        self.listed = false;
    }

    pub(crate) fn is_live(&self, centre_open: bool, now: u64) -> bool {
        self.listed
            && !self.leaving
            && centre_open
            && self.last_heard.is_some_and(|heard| now < heard + 3_000)
    }

    pub(crate) fn record_result(
        &mut self,
        result: AttemptResult,
        halvings: u32,
        is_probe: bool,
        elapsed_ms: u64,
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
            AttemptResult::Expired if elapsed_ms < 1_000 => {}
            AttemptResult::Failed | AttemptResult::Lost | AttemptResult::NotSent | AttemptResult::Expired => {
                self.failures += u32::from(!is_probe);
            }
            AttemptResult::RefusedNotRun => {}
        }
        if result.is_response() {
            self.last_heard = Some(now);
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

    /// Compares the table's report with the oracle.
    pub(crate) fn check(&mut self, report: &UpstreamReport) {
        assert_eq!(u32::from(report.in_flight), self.in_flight, "in flight");
        assert_eq!(u32::from(report.limit), self.limit, "limit");
        assert_eq!(report.leaving_since.is_some(), self.leaving, "leaving");
        assert_eq!(report.last_heard, self.last_heard.map(ClockTime), "last heard");
        let ejected = report.ejected_until.is_some();
        assert!(
            self.ejected || !ejected || self.failures >= 5,
            "ejected after only {} failures",
            self.failures
        );
        if self.ejected && !ejected {
            self.failures = 0;
        }
        self.ejected = ejected;
    }
}
