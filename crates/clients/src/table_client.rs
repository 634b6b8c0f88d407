use std::sync::{Arc, Mutex, PoisonError};

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_records::{CommitResult, ReadQuery, RowPage, ScanQuery, TableResponse, TableTransaction};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call_limiter::CallKind;
use crate::json_call::{build_post, decode_body};
use crate::limited_client::LimitedClient;
use crate::{CallError, CallPriority, ClientOptions, ProcessClock};

#[derive(Clone, Copy, Debug)]
struct TimeSample {
    time: PlatformTime,
    received_at: ClockTime,
}

/// Client of the transactional table. Clones share connections, limits and the platform time estimate.
///
/// ```no_run
/// # async fn example() -> Result<(), arbutuspick_clients::CallError> {
/// use arbutuspick_clients::{CallPriority, ClientOptions, TableClient};
/// let client = TableClient::new(ClientOptions::new("127.0.0.1:7000".parse().unwrap()));
/// let response = client.read(&["turn".into()], CallPriority::StatusRead).await?;
/// println!("{} rows at {}", response.body.rows.len(), response.time);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct TableClient {
    client: LimitedClient,
    clock: ProcessClock,
    sample: Arc<Mutex<Option<TimeSample>>>,
}

impl TableClient {
    /// Creates a client, which connects on the first call.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            client: LimitedClient::new(options),
            clock: ProcessClock::new(),
            sample: Arc::default(),
        }
    }

    /// Commits a transaction if all its checks hold.
    pub async fn transact(
        &self,
        transaction: &TableTransaction,
        priority: CallPriority,
    ) -> Result<TableResponse<CommitResult>, CallError> {
        self.call("/v1/table/transact", transaction, CallKind::Write, priority)
            .await
    }

    /// Reads up to 256 rows by key.
    pub async fn read(
        &self,
        keys: &[Arc<str>],
        priority: CallPriority,
    ) -> Result<TableResponse<RowPage>, CallError> {
        let query = ReadQuery { keys: keys.to_vec() };
        self.call("/v1/table/read", &query, CallKind::Read, priority)
            .await
    }

    /// Reads one page of the rows whose keys start with a prefix.
    pub async fn scan(
        &self,
        query: &ScanQuery,
        priority: CallPriority,
    ) -> Result<TableResponse<RowPage>, CallError> {
        self.call("/v1/table/scan", query, CallKind::Read, priority).await
    }

    /// Returns an estimate of the platform time from the last response, or `None` before the first one.
    ///
    /// The estimate lags by the network delay of that response and is never ahead of the platform.
    pub fn platform_time(&self) -> Option<PlatformTime> {
        let sample = *self.sample.lock().unwrap_or_else(PoisonError::into_inner);
        sample.map(|sample| sample.time + self.clock.now().millis_since(sample.received_at))
    }

    async fn call<B, T>(
        &self,
        path: &str,
        body: &B,
        kind: CallKind,
        priority: CallPriority,
    ) -> Result<TableResponse<T>, CallError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let request = build_post(path, body)?;
        let http_response = self.client.call(request, kind, priority).await?;
        // Rounded up, so that the estimate is not ahead by a fraction of a millisecond.
        let received_at = self.clock.now() + 1;
        let response: TableResponse<T> = decode_body(&http_response.body)?;
        let sample = TimeSample {
            time: response.time,
            received_at,
        };
        *self.sample.lock().unwrap_or_else(PoisonError::into_inner) = Some(sample);
        Ok(response)
    }
}
