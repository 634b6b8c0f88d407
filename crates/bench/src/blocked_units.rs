use std::sync::Arc;
use std::time::Instant;

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_pool::{
    CoreOptions, JobBody, JobRecord, PoolCore, PoolOrder, ResourceAmount, StartAnswer, StepBody,
    WorkerListing, WorkerReport,
};

use crate::SlopeSeries;
use crate::pool_load::{load_classes, load_policy};

/// Workers of the pool.
const WORKERS: u64 = 540;
/// Workers in one rack.
const RACK_SIZE: u64 = 20;
/// Client accounts that share the pool.
const ACCOUNTS: usize = 24;
/// Numbers of waiting units.
const UNIT_COUNTS: [u64; 3] = [0, 300, 3_000];
/// Decisions measured at each size.
const DECISIONS: u64 = 20;
/// Interval between decisions, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 25;
/// Unix milliseconds at the start.
const WALL_START_MS: u64 = 1_700_000_000_000;

/// A kind of units that cannot start.
struct BlockedKind {
    name: &'static str,
    /// Label of the workers that are in use; `None` if all are idle.
    busy_label: Option<&'static str>,
    queue: &'static str,
    step: fn(u64) -> StepBody,
}

const KINDS: [BlockedKind; 7] = [
    BlockedKind {
        name: "label of no worker, all alike",
        busy_label: None,
        queue: "urgent",
        step: |_| labelled("none".into(), 1),
    },
    BlockedKind {
        name: "label of no worker, all different",
        busy_label: None,
        queue: "urgent",
        step: |number| labelled(format!("none{number}"), 1 + number % 8),
    },
    BlockedKind {
        name: "scarce label in an idle pool, all different",
        busy_label: Some("r0"),
        queue: "urgent",
        step: |number| StepBody {
            memory_mb: 1_000 + number,
            ..labelled("r0".into(), 1 + number % 8)
        },
    },
    BlockedKind {
        name: "full pool, all alike",
        busy_label: Some(""),
        queue: "urgent",
        step: |_| labelled(String::new(), 1),
    },
    BlockedKind {
        name: "full pool, all different",
        busy_label: Some(""),
        queue: "urgent",
        step: |number| StepBody {
            millicores: 1_000 + number,
            ..labelled(String::new(), 1 + number % 8)
        },
    },
    BlockedKind {
        name: "gangs in a full pool, all alike",
        busy_label: Some(""),
        queue: "wide",
        step: |_| gang(12, 26_000),
    },
    BlockedKind {
        name: "gangs in a full pool, all different",
        busy_label: Some(""),
        queue: "wide",
        step: |number| gang(2 + number % 70, 1_000 + number),
    },
];

fn labelled(required_label: String, accelerators: u64) -> StepBody {
    StepBody {
        count: 1,
        millicores: 1_000,
        memory_mb: 1_000,
        accelerators,
        estimate_ms: 2_500,
        required_label,
        ..StepBody::default()
    }
}

fn gang(count: u64, millicores: u64) -> StepBody {
    StepBody {
        count: u32::try_from(count).unwrap_or(u32::MAX),
        millicores,
        gang: true,
        same_rack: true,
        ..labelled(String::new(), 4)
    }
}

struct BlockedPool {
    core: PoolCore,
    now: ClockTime,
}

impl BlockedPool {
    fn new() -> Self {
        let classes = load_classes();
        let mut core = PoolCore::new(CoreOptions::default());
        core.apply_policy(Arc::new(load_policy(&classes, ACCOUNTS, WORKERS * 8)));
        let now = ClockTime(1_000_000);
        for number in 0..WORKERS {
            let rack = number / RACK_SIZE;
            let report = WorkerReport {
                id: format!("w{number}").into(),
                started_at_ms: 1,
                heartbeat: 0,
                address: "127.0.0.1:1".into(),
                service: "maps".into(),
                centre: format!("dc{}", rack % 5).into(),
                labels: vec!["a".into(), format!("r{rack}").into()],
                capacity: ResourceAmount {
                    millicores: 64_000,
                    memory_mb: 262_144,
                    accelerators: 8,
                },
                leaves_at: None,
            };
            let key = core.update_worker(report, now);
            let listing = WorkerListing {
                asked_at: now,
                running: Vec::new(),
                ended: Vec::new(),
                is_complete: true,
            };
            core.apply_listing(key, &listing, now);
        }
        Self { core, now }
    }

    fn wall(&self) -> PlatformTime {
        PlatformTime(WALL_START_MS + self.now.0 - 1_000_000)
    }

    fn submit(&mut self, id: &str, account: u64, queue: &str, step: StepBody) {
        let class = load_classes().into_iter().find(|class| class.name == queue);
        let body = JobBody {
            account: format!("a{}", account % ACCOUNTS as u64),
            queue: queue.into(),
            service: "maps".into(),
            spec: "work".into(),
            steps: vec![step],
            accepted_at_ms: self.wall().0,
            max_attempts: 4,
            stretch: class.map_or(1.0, |class| class.stretch),
            ..JobBody::default()
        };
        let (now, wall) = (self.now, self.wall());
        self.core
            .add_job(&id.into(), body, &JobRecord::default(), now, wall, now);
    }

    /// Decides, lets all starts succeed, and returns the processor time of the decision in microseconds.
    #[allow(clippy::cast_precision_loss)]
    fn decide(&mut self) -> f64 {
        self.now = self.now + DECISION_INTERVAL_MS;
        let (now, wall) = (self.now, self.wall());
        let began = Instant::now();
        self.core.decide(now, wall);
        let micros = began.elapsed().as_nanos() as f64 / 1_000.0;
        for order in self.core.take_orders() {
            if let PoolOrder::Start(start) = order {
                self.core
                    .apply_start_answer(&start.task, start.run, start.worker, StartAnswer::Started, now);
            }
        }
        self.core.take_changes();
        micros
    }
}

/// Measures the processor time of a decision against the number of units that cannot start.
///
/// The first decision, which a new leader makes about all units at once, is a series of its own.
pub fn blocked_unit_slopes() -> Vec<SlopeSeries> {
    let mut all = Vec::new();
    for kind in &KINDS {
        let mut first = SlopeSeries::new("first decision", kind.name, "us");
        let mut later = SlopeSeries::new("decision", kind.name, "us");
        for units in UNIT_COUNTS {
            let mut pool = BlockedPool::new();
            if let Some(label) = kind.busy_label {
                let workers = if label.is_empty() { WORKERS } else { RACK_SIZE };
                for number in 0..workers {
                    let job = format!("f{number}");
                    pool.submit(&job, number, "sweep", labelled(label.into(), 8));
                }
                pool.now = pool.now + 10_000;
                pool.decide();
            }
            for number in 0..units {
                pool.submit(&format!("b{number}"), number, kind.queue, (kind.step)(number));
            }
            first.add(units, [pool.decide()]);
            later.add(units, (0..DECISIONS).map(|_| pool.decide()));
        }
        all.extend([first, later]);
    }
    all
}
