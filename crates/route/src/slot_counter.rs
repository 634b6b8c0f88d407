use std::sync::atomic::{AtomicU64, Ordering};

use crate::routing_options::MAX_UPSTREAM_LIMIT;

/// In-flight count and adaptive limit of one upstream.
///
/// All parts are in one word, so a slot is never taken against a limit that was just lowered.
#[derive(Debug)]
pub(crate) struct SlotCounter {
    word: AtomicU64,
    raise_rounds: u16,
}

/// Unpacked value of a slot counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotCount {
    pub(crate) in_flight: u16,
    pub(crate) limit: u16,
    /// Successes since the limit last changed.
    successes: u16,
    /// Number of halvings, wrapping; a permit remembers it to recognise a new round trip.
    pub(crate) generation: u16,
}

impl SlotCount {
    fn pack(self) -> u64 {
        let Self {
            in_flight,
            limit,
            successes,
            generation,
        } = self;
        u64::from(in_flight)
            | u64::from(limit) << 16
            | u64::from(successes) << 32
            | u64::from(generation) << 48
    }

    fn unpack(word: u64) -> Self {
        Self {
            in_flight: word as u16,
            limit: (word >> 16) as u16,
            successes: (word >> 32) as u16,
            generation: (word >> 48) as u16,
        }
    }

    /// Returns whether one more request is within the limit and the connection cap.
    pub(crate) fn has_room(self, cap: u32) -> bool {
        self.in_flight < self.limit && u32::from(self.in_flight) < cap
    }
}

impl SlotCounter {
    pub(crate) fn new(limit: u16, raise_rounds: u16) -> Self {
        let count = SlotCount {
            in_flight: 0,
            limit: limit.clamp(1, MAX_UPSTREAM_LIMIT),
            successes: 0,
            generation: 0,
        };
        Self {
            word: AtomicU64::new(count.pack()),
            raise_rounds: raise_rounds.clamp(1, 64),
        }
    }

    pub(crate) fn load(&self) -> SlotCount {
        SlotCount::unpack(self.word.load(Ordering::Acquire))
    }

    /// Takes a slot when there is room and returns the generation of the limit.
    pub(crate) fn try_take(&self, cap: u32) -> Option<u16> {
        self.update(|count| {
            count.has_room(cap).then(|| SlotCount {
                in_flight: count.in_flight + 1,
                ..count
            })
        })
        .map(|count| count.generation)
    }

    pub(crate) fn release(&self) {
        let previous = self.update(|count| {
            Some(SlotCount {
                in_flight: count.in_flight.checked_sub(1)?,
                ..count
            })
        });
        assert!(previous.is_some(), "a slot was released that was not taken");
    }

    /// Raises the limit by one after `raise_rounds` times as many successes as the limit.
    pub(crate) fn record_success(&self) {
        self.update(|count| {
            let successes = count.successes + 1;
            if successes < count.limit * self.raise_rounds {
                return Some(SlotCount { successes, ..count });
            }
            Some(SlotCount {
                limit: (count.limit + 1).min(MAX_UPSTREAM_LIMIT),
                successes: 0,
                ..count
            })
        });
    }

    /// Halves the limit unless it was halved since the refused request took its slot.
    pub(crate) fn record_refusal(&self, generation: u16) {
        self.update(|count| {
            (count.generation == generation).then(|| SlotCount {
                limit: (count.limit / 2).max(1),
                successes: 0,
                generation: count.generation.wrapping_add(1),
                ..count
            })
        });
    }

    /// Applies `change` atomically and returns the previous value when it made a change.
    fn update<Change>(&self, change: Change) -> Option<SlotCount>
    where
        Change: Fn(SlotCount) -> Option<SlotCount>,
    {
        self.word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                change(SlotCount::unpack(word)).map(SlotCount::pack)
            })
            .ok()
            .map(SlotCount::unpack)
    }
}
