use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arbutuspick_model::{ConfigChange, ConfigRevision, PoolConfig};
use arc_swap::ArcSwap;
use parking_lot::Mutex;

/// The configuration that is in force at this VM; its revision only grows.
///
/// ```
/// use arbutuspick_entry::ConfigStore;
/// use arbutuspick_model::{ConfigRevision, PoolConfig};
/// let store = ConfigStore::default();
/// assert!(store.replace(PoolConfig { revision: ConfigRevision(4), ..PoolConfig::default() }));
/// assert!(!store.replace(PoolConfig { revision: ConfigRevision(3), ..PoolConfig::default() }));
/// ```
#[derive(Debug, Default)]
pub struct ConfigStore {
    current: Arc<ArcSwap<PoolConfig>>,
    ready: AtomicBool,
    write_lock: Mutex<()>,
}

impl ConfigStore {
    /// Returns the configuration in force.
    pub fn load(&self) -> Arc<PoolConfig> {
        self.current.load_full()
    }

    /// Returns a shared reference to the configuration in force, which is kept up to date.
    pub fn shared(&self) -> Arc<ArcSwap<PoolConfig>> {
        Arc::clone(&self.current)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.current.load().revision
    }

    /// Returns whether the configuration was read from the platform or a peer.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Records that the configuration was read from the platform or a peer.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Replaces the configuration if the revision of the given one is higher; returns whether it was.
    pub fn replace(&self, config: PoolConfig) -> bool {
        let _guard = self.write_lock.lock();
        let is_newer = config.revision > self.revision();
        if is_newer {
            self.current.store(Arc::new(config));
        }
        is_newer
    }

    /// Applies the changes that follow the revision in force; returns whether there were any.
    pub fn apply(&self, changes: &[ConfigChange]) -> bool {
        let _guard = self.write_lock.lock();
        let mut config = PoolConfig::clone(&self.current.load());
        let before = config.revision;
        for change in changes {
            config.apply(change);
        }
        let changed = config.revision > before;
        if changed {
            self.current.store(Arc::new(config));
        }
        changed
    }
}
