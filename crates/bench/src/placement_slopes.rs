use std::time::{Duration, Instant};

use arbutuspick_model::GangShape;

use crate::SlopeSeries;
use crate::core_fixture::{CoreFixture, gang};

/// Repetitions of each measurement, each on a new core.
const RUNS: usize = 3;
/// Most rounds of a repetition.
const MAX_ROUNDS: u32 = 200;
/// Time after which a repetition ends.
const MAX_RUN: Duration = Duration::from_secs(2);
/// Workers in the measurements that vary something else: about one data centre of the target scale.
const CENTRE_WORKERS: usize = 800;

/// Cost of one call in microseconds, and of one event.
struct RoundCost {
    event_us: f64,
    decide_us: f64,
}

/// Measures rounds of: queue a job, decide, end what was placed, decide.
fn measure_rounds(fixture: &mut CoreFixture, shape: GangShape) -> RoundCost {
    let (mut events, mut decides) = (Duration::ZERO, Duration::ZERO);
    let (mut event_count, mut decide_count) = (0u32, 0u32);
    let start = Instant::now();
    for _ in 0..MAX_ROUNDS {
        fixture.now = fixture.now + 1;
        let event = fixture.submission(shape);
        let before = Instant::now();
        fixture.core.handle(event, fixture.now);
        events += before.elapsed();
        event_count += 1;
        let before = Instant::now();
        let actions = fixture.core.decide(fixture.now);
        decides += before.elapsed();
        decide_count += 1;
        for action in &actions {
            let arbutuspick_sched::PlacementAction::Place(placement) = action else {
                continue;
            };
            let event = CoreFixture::end_of(placement);
            let before = Instant::now();
            fixture.core.handle(event, fixture.now);
            events += before.elapsed();
            event_count += 1;
            let before = Instant::now();
            fixture.core.decide(fixture.now);
            decides += before.elapsed();
            decide_count += 1;
        }
        if start.elapsed() > MAX_RUN {
            break;
        }
    }
    RoundCost {
        event_us: events.as_secs_f64() * 1e6 / f64::from(event_count),
        decide_us: decides.as_secs_f64() * 1e6 / f64::from(decide_count),
    }
}

/// Measures the rounds of several sizes on cores that `build` makes.
fn measure_sizes<Build>(size_name: &'static str, sizes: &[u64], build: Build) -> [SlopeSeries; 2]
where
    Build: Fn(u64) -> (CoreFixture, GangShape),
{
    let mut decide = SlopeSeries::new("one decide", size_name, "us");
    let mut event = SlopeSeries::new("one event", size_name, "us");
    for size in sizes {
        let measure = |_| {
            let (mut fixture, shape) = build(*size);
            measure_rounds(&mut fixture, shape)
        };
        let costs: Vec<RoundCost> = (0..RUNS).map(measure).collect();
        decide.add(*size, costs.iter().map(|cost| cost.decide_us));
        event.add(*size, costs.iter().map(|cost| cost.event_us));
    }
    [decide, event]
}

/// Measures `decide` and events against the workers, half of which are busy.
pub fn worker_slopes() -> [SlopeSeries; 2] {
    measure_sizes("workers", &[80, 800, 8_000, 14_000], |workers| {
        let mut fixture = CoreFixture::new(workers as usize);
        fixture.submit(gang(1, 8), workers as usize / 2);
        fixture.settle();
        (fixture, gang(1, 1))
    })
}

/// Measures against the queue on a full data centre, before any job is due for a reservation.
pub fn queue_slopes() -> [SlopeSeries; 2] {
    measure_sizes("queued jobs", &[10, 100, 1_000, 10_000], |queued| {
        (full_centre(queued), gang(1, 1))
    })
}

/// Measures against the queue when all its jobs have waited long enough for a reservation.
pub fn due_queue_slopes() -> [SlopeSeries; 2] {
    measure_sizes(
        "queued jobs due for a reservation",
        &[10, 100, 1_000, 10_000],
        |queued| {
            let mut fixture = full_centre(queued);
            fixture.now = fixture.now + 60_000;
            // At most 16 reservations are made in a call, so those that fit exist after these calls.
            for _ in 0..queued.min(1_000) / 16 + 1 {
                fixture.core.decide(fixture.now);
            }
            (fixture, gang(1, 1))
        },
    )
}

/// Returns a full data centre with queued jobs of 8 shapes.
fn full_centre(queued: u64) -> CoreFixture {
    let mut fixture = CoreFixture::new(CENTRE_WORKERS);
    fixture.submit(gang(1, 8), CENTRE_WORKERS);
    fixture.settle();
    for index in 0..queued {
        fixture.submit(gang(1 + (index % 8) as u32, 8), 1);
    }
    fixture.settle();
    fixture
}

/// Measures against the tasks of a gang of whole workers on idle workers.
pub fn gang_slopes() -> [SlopeSeries; 2] {
    measure_sizes("tasks of the gang", &[1, 10, 100, 1_024], |tasks| {
        (CoreFixture::new(1_040), gang(tasks as u32, 8))
    })
}

/// Measures against the running tasks of one accelerator each, on 8,000 workers.
pub fn running_slopes() -> [SlopeSeries; 2] {
    measure_sizes("running tasks", &[52, 520, 5_200, 52_000], |tasks| {
        let mut fixture = CoreFixture::new(8_000);
        fixture.submit(gang(1, 1), tasks as usize);
        fixture.settle();
        (fixture, gang(1, 1))
    })
}
