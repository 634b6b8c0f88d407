//! Age of the configuration while the store is unreachable, and after it recovers.

mod support;

use std::sync::Arc;

use arbutuspick_dispatch::{BootClock, PolicyCache, PolicyRows, follow_policy};
use support::{CONFIG_TABLE, StoreMode, sleep_ms, store_with};

/// Guards against a configuration that counts as confirmed while the store does not answer, and against a VM
/// that rejects callers for a second after the store has recovered.
#[tokio::test(start_paused = true)]
async fn store_recovers() {
    let store = store_with(0);
    let cache = Arc::new(PolicyCache::new(BootClock::from_runtime()));
    let follow = follow_policy(store.for_process(1), cache.clone(), CONFIG_TABLE, |_| {
        PolicyRows::default()
    });
    tokio::spawn(follow);
    sleep_ms(1_500).await;
    assert!(cache.age_ms() < 2_200);
    store.set_mode(1, StoreMode::Hang);
    sleep_ms(6_000).await;
    assert!(cache.age_ms() >= 6_000, "confirmed without an answer");
    store.set_mode(1, StoreMode::Normal);
    sleep_ms(800).await;
    assert!(
        cache.age_ms() < 800,
        "the recovery of the store was not noticed: {} ms",
        cache.age_ms()
    );
}
