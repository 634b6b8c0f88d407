use std::sync::atomic::{AtomicU64, Ordering};

use crate::routing_options::MAX_UPSTREAM_LIMIT;

/// In-flight count and adaptive concurrency limit (AIMD) of one upstream.
///
/// All fields are packed into one atomic word, so a slot is never acquired against an outdated limit.
#[derive(Debug)]
pub(crate) struct SlotCounter {
    packed: AtomicU64,
    rounds_per_raise: u16,
}

/// Unpacked value of a [`SlotCounter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotState {
    pub(crate) in_flight: u16,
    pub(crate) limit: u16,
    /// Successes since the limit last changed.
    successes: u16,
    /// Wrapping count of halvings. A permit keeps the count at which its slot was acquired, so that refusals
    /// of requests that were in flight together halve the limit only once.
    pub(crate) generation: u16,
}

impl SlotState {
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

    fn unpack(packed: u64) -> Self {
        Self {
            in_flight: packed as u16,
            limit: (packed >> 16) as u16,
            successes: (packed >> 32) as u16,
            generation: (packed >> 48) as u16,
        }
    }

    /// Returns whether one more request fits within the limit and the connection cap.
    pub(crate) fn has_room(self, connection_cap: u32) -> bool {
        self.in_flight < self.limit && u32::from(self.in_flight) < connection_cap
    }
}

impl SlotCounter {
    pub(crate) fn new(limit: u16, rounds_per_raise: u16) -> Self {
        let state = SlotState {
            in_flight: 0,
            limit: limit.clamp(1, MAX_UPSTREAM_LIMIT),
            successes: 0,
            generation: 0,
        };
        Self {
            packed: AtomicU64::new(state.pack()),
            rounds_per_raise: rounds_per_raise.clamp(1, 64),
        }
    }

    pub(crate) fn load(&self) -> SlotState {
        SlotState::unpack(self.packed.load(Ordering::Acquire))
    }

    /// Acquires a slot if one is free and returns the generation of the limit.
    pub(crate) fn try_acquire(&self, connection_cap: u32) -> Option<u16> {
        self.update(|state| {
            state.has_room(connection_cap).then(|| SlotState {
                in_flight: state.in_flight + 1,
                ..state
            })
        })
        .map(|state| state.generation)
    }

    pub(crate) fn release(&self) {
        let previous = self.update(|state| {
            Some(SlotState {
                in_flight: state.in_flight.checked_sub(1)?,
                ..state
            })
        });
        assert!(previous.is_some(), "released a slot that was not acquired");
    }

    /// Counts a success; raises the limit by one after `rounds_per_raise` times `limit` successes.
    pub(crate) fn record_success(&self) {
        self.update(|state| {
            let successes = state.successes + 1;
            if successes < state.limit * self.rounds_per_raise {
                return Some(SlotState { successes, ..state });
            }
            Some(SlotState {
                limit: (state.limit + 1).min(MAX_UPSTREAM_LIMIT),
                successes: 0,
                ..state
            })
        });
    }

    /// Halves the limit, unless it was already halved since the refused request acquired its slot.
    pub(crate) fn record_refusal(&self, generation: u16) {
        self.update(|state| {
            (state.generation == generation).then(|| SlotState {
                limit: (state.limit / 2).max(1),
                successes: 0,
                generation: state.generation.wrapping_add(1),
                ..state
            })
        });
    }

    /// Applies `change` atomically; returns the previous value if `change` returned a new one.
    fn update<Change>(&self, change: Change) -> Option<SlotState>
    where
        Change: Fn(SlotState) -> Option<SlotState>,
    {
        self.packed
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |packed| {
                change(SlotState::unpack(packed)).map(SlotState::pack)
            })
            .ok()
            .map(SlotState::unpack)
    }
}
