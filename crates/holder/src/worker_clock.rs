use arbutuspick_model::{ClockTime, WorkerTime};

/// A reading of a worker's clock, used to convert deadlines from the clock of this process to the worker's.
///
/// The worker reads its clock before the answer is received, so a converted deadline is never later than the
/// original one.
///
/// ```
/// use arbutuspick_holder::WorkerClock;
/// use arbutuspick_model::{ClockTime, WorkerTime};
/// let clock = WorkerClock { reading: WorkerTime(9_000), received_at: ClockTime(100) };
/// assert_eq!(clock.convert(ClockTime(600)), WorkerTime(9_500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    /// Time on the worker's clock, as stated in the answer.
    pub reading: WorkerTime,
    /// When the answer was received, on the clock of this process.
    pub received_at: ClockTime,
}

impl WorkerClock {
    /// Converts a deadline from the clock of this process to the worker's clock.
    pub fn convert(self, deadline: ClockTime) -> WorkerTime {
        let Self { reading, received_at } = self;
        if deadline >= received_at {
            reading + deadline.millis_since(received_at)
        } else {
            reading - received_at.millis_since(deadline)
        }
    }
}
