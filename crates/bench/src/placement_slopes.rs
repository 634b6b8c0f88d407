use std::time::{Duration, Instant};

use arbutuspick_model::GangShape;

use crate::SlopeSeries;
use crate::core_fixture::{CoreFixture, gang_shape};

/// Repetitions of each measurement, each with a new core.
const REPETITIONS: usize = 3;
/// Maximum number of rounds of a repetition.
const MAX_ROUNDS: u32 = 200;
/// No further round of a repetition starts after this time.
const MAX_REPETITION_TIME: Duration = Duration::from_secs(2);
/// Workers in measurements that vary another size: about one data centre of the target scale.
const CENTRE_WORKERS: usize = 800;

/// Mean cost of one event and of one call of `decide`.
struct RoundCost {
    event_us: f64,
    decide_us: f64,
}

/// Measures rounds that queue a job, decide, and then end each placed attempt and decide again.
fn measure_rounds(fixture: &mut CoreFixture, shape: GangShape) -> RoundCost {
    let (mut event_time, mut decide_time) = (Duration::ZERO, Duration::ZERO);
    let (mut event_count, mut decide_count) = (0u32, 0u32);
    let start = Instant::now();
    for _ in 0..MAX_ROUNDS {
        fixture.now = fixture.now + 1;
        let event = fixture.queued_event(shape);
        let before = Instant::now();
        fixture.core.handle(event, fixture.now);
        event_time += before.elapsed();
        event_count += 1;
        let before = Instant::now();
        let actions = fixture.core.decide(fixture.now);
        decide_time += before.elapsed();
        decide_count += 1;
        for action in &actions {
            let arbutuspick_sched::PlacementAction::Place(placement) = action else {
                continue;
            };
            let event = CoreFixture::finished_event(placement);
            let before = Instant::now();
            fixture.core.handle(event, fixture.now);
            event_time += before.elapsed();
            event_count += 1;
            let before = Instant::now();
            fixture.core.decide(fixture.now);
            decide_time += before.elapsed();
            decide_count += 1;
        }
        if start.elapsed() > MAX_REPETITION_TIME {
            break;
        }
    }
    RoundCost {
        event_us: event_time.as_secs_f64() * 1e6 / f64::from(event_count),
        decide_us: decide_time.as_secs_f64() * 1e6 / f64::from(decide_count),
    }
}

/// Measures rounds on the cores that `build` creates for several sizes.
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
        let costs: Vec<RoundCost> = (0..REPETITIONS).map(measure).collect();
        decide.add(*size, costs.iter().map(|cost| cost.decide_us));
        event.add(*size, costs.iter().map(|cost| cost.event_us));
    }
    [decide, event]
}

/// Measures `decide` and events against the number of workers, half of which are busy.
pub fn worker_slopes() -> [SlopeSeries; 2] {
    measure_sizes("workers", &[80, 800, 8_000, 14_000], |workers| {
        let mut fixture = CoreFixture::new(workers as usize);
        fixture.submit(gang_shape(1, 8), workers as usize / 2);
        fixture.run_until_idle();
        (fixture, gang_shape(1, 1))
    })
}

/// Measures `decide` and events against the queue length of a full data centre, before any job has waited
/// long enough for a reservation.
pub fn queue_slopes() -> [SlopeSeries; 2] {
    measure_sizes("queued jobs", &[10, 100, 1_000, 10_000], |queued| {
        (full_centre(queued), gang_shape(1, 1))
    })
}

/// Measures `decide` and events against the queue length of a full data centre, when all queued jobs have
/// waited long enough for a reservation.
pub fn due_queue_slopes() -> [SlopeSeries; 2] {
    measure_sizes(
        "queued jobs due for a reservation",
        &[10, 100, 1_000, 10_000],
        |queued| {
            let mut fixture = full_centre(queued);
            fixture.now = fixture.now + 60_000;
            // A call makes at most 16 reservations; after these calls all reservations that fit exist.
            for _ in 0..queued.min(1_000) / 16 + 1 {
                fixture.core.decide(fixture.now);
            }
            (fixture, gang_shape(1, 1))
        },
    )
}

/// Returns a full data centre with queued jobs of 8 shapes.
fn full_centre(queued: u64) -> CoreFixture {
    let mut fixture = CoreFixture::new(CENTRE_WORKERS);
    fixture.submit(gang_shape(1, 8), CENTRE_WORKERS);
    fixture.run_until_idle();
    for index in 0..queued {
        fixture.submit(gang_shape(1 + (index % 8) as u32, 8), 1);
    }
    fixture.run_until_idle();
    fixture
}

/// Measures `decide` and events against the tasks of a gang that takes a whole idle worker per task.
pub fn gang_slopes() -> [SlopeSeries; 2] {
    measure_sizes("tasks of the gang", &[1, 10, 100, 1_024], |tasks| {
        (CoreFixture::new(1_040), gang_shape(tasks as u32, 8))
    })
}

/// Measures `decide` and events against the running tasks of one accelerator each, on 8,000 workers.
pub fn running_slopes() -> [SlopeSeries; 2] {
    measure_sizes("running tasks", &[52, 520, 5_200, 52_000], |tasks| {
        let mut fixture = CoreFixture::new(8_000);
        fixture.submit(gang_shape(1, 1), tasks as usize);
        fixture.run_until_idle();
        (fixture, gang_shape(1, 1))
    })
}
