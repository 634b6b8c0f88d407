//! Age of the configuration while the store is unreachable, and after it recovers.

mod support;

use std::sync::Arc;

use arbutuspick_dispatch::{BootClock, PolicyBoard, PolicyRows, follow_policy};
use support::{CONFIG_TABLE, StoreMode, sleep_ms, store_with};

/// Guards against a configuration that counts as confirmed while the store does not answer, and against a VM
/// that rejects callers for a second after the store has recovered.
#[tokio::test(start_paused = true)]
async fn store_recovers() {
    let store = store_with(0);
    let board = Arc::new(PolicyBoard::new(BootClock::of_runtime()));
    let follow = follow_policy(store.for_process(1), board.clone(), CONFIG_TABLE, |_| {
        PolicyRows::default()
    });
    tokio::spawn(follow);
    sleep_ms(1_500).await;
    assert!(board.age_ms() < 2_200);
    store.set_mode(1, StoreMode::Hang);
    sleep_ms(6_000).await;
    assert!(board.age_ms() >= 6_000, "confirmed without an answer");
    store.set_mode(1, StoreMode::Normal);
    sleep_ms(800).await;
    assert!(
        board.age_ms() < 800,
        "the recovery of the store was not noticed: {} ms",
        board.age_ms()
    );
}
