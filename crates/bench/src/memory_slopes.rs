use std::fs;

use crate::SlopeSeries;
use crate::core_fixture::{CoreFixture, gang_shape};

/// Repetitions of each measurement, each on a new core.
const REPETITIONS: usize = 3;
/// Size of a memory page on x86-64.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the resident set of this process in KiB.
fn resident_kib() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1024.0
}

/// Measures the growth of the resident set while `grow` runs.
///
/// The fixtures are kept in `kept`: reuse of freed memory would hide the growth.
fn measure_growth<Base, Grow>(
    size_name: &'static str,
    sizes: &[u64],
    kept: &mut Vec<CoreFixture>,
    base: Base,
    grow: Grow,
) -> SlopeSeries
where
    Base: Fn(u64) -> CoreFixture,
    Grow: Fn(&mut CoreFixture, u64),
{
    let mut series = SlopeSeries::new("resident set", size_name, "KiB");
    for size in sizes {
        let mut values = Vec::new();
        for _ in 0..REPETITIONS {
            let mut fixture = base(*size);
            let before = resident_kib();
            grow(&mut fixture, *size);
            values.push(resident_kib() - before);
            kept.push(fixture);
        }
        series.add(*size, values);
    }
    series
}

/// Measures the memory of a placement core per worker, queued job and running task.
pub fn memory_slopes() -> Vec<SlopeSeries> {
    let mut kept = Vec::new();
    let workers = measure_growth(
        "workers",
        &[80, 800, 8_000, 14_000],
        &mut kept,
        |_| CoreFixture::new(0),
        |fixture, workers| *fixture = CoreFixture::new(workers as usize),
    );
    let queued = measure_growth(
        "queued jobs",
        &[100, 1_000, 10_000, 100_000],
        &mut kept,
        |_| {
            let mut fixture = CoreFixture::new(80);
            fixture.submit(gang_shape(1, 8), 80);
            fixture.run_until_idle();
            fixture
        },
        |fixture, jobs| {
            fixture.submit(gang_shape(1, 8), jobs as usize);
            fixture.run_until_idle();
        },
    );
    let running = measure_growth(
        "running tasks of one accelerator",
        &[520, 5_200, 52_000],
        &mut kept,
        |_| CoreFixture::new(8_000),
        |fixture, tasks| {
            fixture.submit(gang_shape(1, 1), tasks as usize);
            fixture.run_until_idle();
        },
    );
    vec![workers, queued, running]
}
