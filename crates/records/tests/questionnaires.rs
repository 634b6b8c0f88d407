//! Guards against configurations that guarantee less than was requested, and against invalid answers.

mod support;

use arbutuspick_records::{AccountRequest, Questionnaire};

fn answers() -> Questionnaire {
    Questionnaire {
        account: "copa-viva".into(),
        owner: "cartografia".into(),
        home_data_centre: "recife-a".into(),
        largest_job_accelerators: 20,
        adjacent: true,
        large_jobs_at_once: 2,
        small_jobs_at_once: 3,
        peak_queue: 100,
        importance: "high".into(),
    }
}

/// Expected guarantees are pairs of accelerators per cell and number of cells, largest first.
#[yare::parameterized(
    small_only = { 0, false, 0, 5, &[(1, 5)] },
    none = { 0, false, 0, 0, &[] },
    one_worker = { 3, true, 2, 0, &[(4, 2)] },
    merged_cells = { 1, false, 2, 5, &[(1, 7)] },
    adjacent = { 20, true, 2, 1, &[(32, 2), (1, 1)] },
    scattered = { 20, false, 2, 1, &[(8, 4), (4, 2), (1, 1)] },
    full_rack = { 64, true, 3, 0, &[(64, 3)] },
    wide_gang = { 150, true, 1, 0, &[(64, 2), (32, 1)] },
    largest_gang = { 8192, true, 1024, 16_000, &[(64, 131_072), (1, 16_000)] },
)]
fn guarantees(largest: u32, adjacent: bool, large: u32, small: u32, expected: &[(u32, u32)]) {
    let request = AccountRequest::try_from(Questionnaire {
        largest_job_accelerators: largest,
        adjacent,
        large_jobs_at_once: large,
        small_jobs_at_once: small,
        ..answers()
    });
    let config = request.unwrap().generate_config().check().unwrap();
    let cells = config
        .guarantees
        .iter()
        .map(|cell| (cell.cell.accelerators(), cell.count));
    assert_eq!(cells.collect::<Vec<_>>(), expected);
}

#[yare::parameterized(
    low = { "low", 50 },
    normal = { "normal", 100 },
    unanswered = { "", 100 },
    high = { "high", 200 },
)]
fn weight(importance: &str, weight: u32) {
    let request = AccountRequest::try_from(Questionnaire {
        importance: importance.into(),
        ..answers()
    });
    assert_eq!(request.unwrap().generate_config().weight, weight);
}

#[test]
fn short_queue() {
    let request = AccountRequest::try_from(Questionnaire {
        peak_queue: 1,
        ..answers()
    });
    assert_eq!(request.unwrap().generate_config().max_queued_jobs, 5);
}

#[yare::parameterized(
    account = { Questionnaire { account: "Copa".into(), ..answers() }, "account" },
    owner = { Questionnaire { owner: "".into(), ..answers() }, "owner" },
    home = { Questionnaire { home_data_centre: "a b".into(), ..answers() }, "home_data_centre" },
    size = { Questionnaire { largest_job_accelerators: 8193, ..answers() }, "largest_job_accelerators" },
    no_size = { Questionnaire { largest_job_accelerators: 0, ..answers() }, "largest_job_accelerators" },
    adjacent = { Questionnaire { largest_job_accelerators: 0, large_jobs_at_once: 0, ..answers() }, "adjacent" },
    large = { Questionnaire { large_jobs_at_once: 1025, ..answers() }, "large_jobs_at_once" },
    small = { Questionnaire { small_jobs_at_once: 16_001, ..answers() }, "small_jobs_at_once" },
    no_queue = { Questionnaire { peak_queue: 0, ..answers() }, "peak_queue" },
    queue = { Questionnaire { peak_queue: 106_001, ..answers() }, "peak_queue" },
    importance = { Questionnaire { importance: "top".into(), ..answers() }, "importance" },
)]
fn bad_answer(answers: Questionnaire, field: &str) {
    assert_eq!(AccountRequest::try_from(answers).unwrap_err().field, field);
}
