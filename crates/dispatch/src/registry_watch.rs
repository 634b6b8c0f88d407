use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

/// Margin by which a removal must precede the earliest expiry of a silent entry, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 400;

/// Last reported change of one registry entry.
#[derive(Clone, Copy, Debug)]
struct EntryChange {
    version: u64,
    /// When the latest read that did not show this version yet was sent.
    after: ClockTime,
}

/// Tells workers that have shut down from workers that are only silent, by reads of the worker registry.
///
/// Load pattern: workers are taken away at short notice while a data centre is cut off. The registry drops an
/// entry when its worker leaves, and also after a time of silence. An entry that is gone sooner after its
/// latest change than silence alone explains was removed by its worker, so its runs have ended.
#[derive(Debug, Default)]
pub struct RegistryWatch {
    entries: HashMap<Arc<str>, EntryChange>,
    /// When the latest complete read was sent.
    read_at: Option<ClockTime>,
    /// Time of silence after which the registry drops an entry, in milliseconds.
    silence_ms: u64,
}

impl RegistryWatch {
    /// Returns a watch of a registry that drops entries after `silence_ms` without a change.
    pub fn new(silence_ms: u64) -> Self {
        Self {
            silence_ms,
            ..Self::default()
        }
    }

    /// Forgets what earlier reads have shown, because a read failed: the registry may have been without news
    /// of its workers in the meantime.
    pub fn reset(&mut self) {
        self.entries.clear();
        self.read_at = None;
    }

    /// Applies a complete read of the registry, as ids and versions; returns the workers that have shut down
    /// since the read before it.
    pub fn observe<'a, I>(&mut self, rows: I, sent_at: ClockTime, received_at: ClockTime) -> Vec<Arc<str>>
    where
        I: Iterator<Item = (&'a Arc<str>, u64)>,
    {
        let mut entries = HashMap::with_capacity(self.entries.len());
        let previous_read = self.read_at.replace(sent_at);
        for (id, version) in rows {
            let known = self.entries.remove(id).filter(|entry| entry.version == version);
            // The age of an entry in the first read is not known, so it counts as silent for long.
            let change = known.unwrap_or(EntryChange {
                version,
                after: previous_read.unwrap_or_default(),
            });
            entries.insert(id.clone(), change);
        }
        let missing = std::mem::replace(&mut self.entries, entries);
        let departed = missing
            .into_iter()
            .filter(|(_, entry)| received_at.millis_since(entry.after) + EXPIRY_MARGIN_MS < self.silence_ms);
        departed.map(|(id, _)| id).collect()
    }
}
