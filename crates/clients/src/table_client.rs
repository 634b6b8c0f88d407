use std::sync::{Arc, Mutex, PoisonError};

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_records::{CommitResult, ReadQuery, RowPage, ScanQuery, TableResponse, TableTransaction};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call_gate::CallKind;
use crate::gated_caller::GatedCaller;
use crate::json_call::{build_post, decode_body};
use crate::{CallError, CallPriority, ClientOptions, ProcessClock};

#[derive(Clone, Copy, Debug)]
struct TimeSample {
    time: PlatformTime,
    received_at: ClockTime,
}

/// Client of the transactional table. Clones share connections, limits and the time estimate.
///
/// ```no_run
/// # async fn example() -> Result<(), arbutuspick_clients::CallError> {
/// use arbutuspick_clients::{CallPriority, ClientOptions, TableClient};
/// let client = TableClient::new(ClientOptions::new("127.0.0.1:7000".parse().unwrap()));
/// let answer = client.read(&["turn".into()], CallPriority::StatusRead).await?;
/// println!("{} rows at {}", answer.body.rows.len(), answer.time);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct TableClient {
    caller: GatedCaller,
    clock: ProcessClock,
    sample: Arc<Mutex<Option<TimeSample>>>,
}

impl TableClient {
    /// Creates a client; it connects with the first call.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            caller: GatedCaller::new(options),
            clock: ProcessClock::new(),
            sample: Arc::default(),
        }
    }

    /// Commits a transaction when all its checks hold.
    pub async fn transact(
        &self,
        transaction: &TableTransaction,
        priority: CallPriority,
    ) -> Result<TableResponse<CommitResult>, CallError> {
        self.call("/v1/table/transact", transaction, CallKind::Write, priority)
            .await
    }

    /// Reads single rows, at most 256.
    pub async fn read(
        &self,
        keys: &[Arc<str>],
        priority: CallPriority,
    ) -> Result<TableResponse<RowPage>, CallError> {
        let query = ReadQuery { keys: keys.to_vec() };
        self.call("/v1/table/read", &query, CallKind::Read, priority)
            .await
    }

    /// Reads a page of the rows whose keys start with a prefix.
    pub async fn scan(
        &self,
        query: &ScanQuery,
        priority: CallPriority,
    ) -> Result<TableResponse<RowPage>, CallError> {
        self.call("/v1/table/scan", query, CallKind::Read, priority).await
    }

    /// Returns a time that the platform has reached, estimated from the last answer.
    ///
    /// It is behind by the time the answer travelled, and never ahead.
    pub fn platform_time(&self) -> Option<PlatformTime> {
        let sample = *self.sample.lock().unwrap_or_else(PoisonError::into_inner);
        sample.map(|sample| sample.time + self.clock.now().millis_since(sample.received_at))
    }

    async fn call<Q, T>(
        &self,
        path: &str,
        query: &Q,
        kind: CallKind,
        priority: CallPriority,
    ) -> Result<TableResponse<T>, CallError>
    where
        Q: Serialize,
        T: DeserializeOwned,
    {
        let request = build_post(path, query)?;
        let answer = self.caller.call(request, kind, priority).await?;
        // Rounded up, so that the estimate is not ahead by a part of a millisecond.
        let received_at = self.clock.now() + 1;
        let answer: TableResponse<T> = decode_body(&answer.body)?;
        let sample = TimeSample {
            time: answer.time,
            received_at,
        };
        *self.sample.lock().unwrap_or_else(PoisonError::into_inner) = Some(sample);
        Ok(answer)
    }
}
