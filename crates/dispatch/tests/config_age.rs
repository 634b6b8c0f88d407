//! The age of the configuration while the store comes and goes.

mod support;

use std::sync::Arc;

use arbutuspick_dispatch::{BootClock, PolicyBoard, PolicyRows, follow_policy};
use support::{CONFIG_TABLE, StoreMood, pass, store_with};

/// Guards against a configuration that counts as confirmed while the store does not answer, and against a VM
/// that turns callers away for a second after the store is back.
#[tokio::test(start_paused = true)]
async fn store_returns() {
    let store = store_with(0);
    let board = Arc::new(PolicyBoard::new(BootClock::of_runtime()));
    let follow = follow_policy(store.for_process(1), board.clone(), CONFIG_TABLE, |_| {
        PolicyRows::default()
    });
    tokio::spawn(follow);
    pass(1_500).await;
    assert!(board.age_ms() < 2_200);
    store.set_mood(1, StoreMood::Silent);
    pass(6_000).await;
    assert!(board.age_ms() >= 6_000, "confirmed without an answer");
    store.set_mood(1, StoreMood::Fine);
    pass(800).await;
    assert!(
        board.age_ms() < 800,
        "the return of the store was not noticed: {} ms",
        board.age_ms()
    );
}
