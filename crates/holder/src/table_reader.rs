use std::sync::Arc;

use arbutuspick_clients::{CallError, CallPriority, TableClient};
use arbutuspick_model::{CentreName, JobId};
use arbutuspick_records::{CentreRecord, InboxRecord, JobRecord, RowKey, ScanQuery, TableRow, Versioned};

/// Maximum number of rows in a scan page and in a read.
const PAGE_ROWS: u32 = 256;

/// Reads all rows whose keys have a prefix, page by page.
pub(crate) async fn scan_all(table: &TableClient, prefix: Arc<str>) -> Result<Vec<TableRow>, CallError> {
    let mut rows: Vec<TableRow> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let query = ScanQuery {
            prefix: prefix.clone(),
            after,
            limit: PAGE_ROWS,
        };
        let page = table.scan(&query, CallPriority::Essential).await?.body;
        let more = page.more && !page.rows.is_empty();
        rows.extend(page.rows);
        if !more {
            return Ok(rows);
        }
    }
}

/// Reads the rows of jobs. Jobs without a row are omitted.
pub(crate) async fn read_jobs(
    table: &TableClient,
    jobs: &[JobId],
) -> Result<Vec<Versioned<JobRecord>>, CallError> {
    let mut records = Vec::with_capacity(jobs.len());
    for chunk in jobs.chunks(PAGE_ROWS as usize) {
        let keys: Vec<Arc<str>> = chunk.iter().map(|job| RowKey::Job(*job).into()).collect();
        let page = table.read(&keys, CallPriority::Essential).await?.body;
        records.extend(page.rows.iter().filter_map(decode_row::<JobRecord>));
    }
    Ok(records)
}

/// Reads the unfinished jobs that the data centre's holders have accepted.
pub(crate) async fn read_placed_jobs(
    table: &TableClient,
    centre: &CentreName,
) -> Result<Vec<Versioned<JobRecord>>, CallError> {
    let rows = scan_all(table, RowKey::placed_prefix(centre)).await?;
    let jobs: Vec<JobId> = rows
        .iter()
        .filter_map(|row| match RowKey::try_from(&*row.key) {
            Ok(RowKey::Placed(_, job)) => Some(job),
            _ => None,
        })
        .collect();
    read_jobs(table, &jobs).await
}

/// An inbox notice with the row of its job.
#[derive(Clone, Debug)]
pub(crate) struct InboxItem {
    pub(crate) notice: Versioned<InboxRecord>,
    pub(crate) row: Versioned<JobRecord>,
}

/// Reads the inbox of a data centre's holder with the rows of the jobs, omitting notices without a job row.
pub(crate) async fn read_inbox(
    table: &TableClient,
    centre: &CentreName,
) -> Result<Vec<InboxItem>, CallError> {
    let rows = scan_all(table, RowKey::inbox_prefix(centre)).await?;
    let notices: Vec<Versioned<InboxRecord>> = rows.iter().filter_map(decode_row).collect();
    let jobs: Vec<JobId> = notices.iter().map(|notice| notice.record.job).collect();
    let records = read_jobs(table, &jobs).await?;
    let find = |job: JobId| records.iter().find(|row| row.record.job == job).cloned();
    Ok(notices
        .into_iter()
        .filter_map(|notice| find(notice.record.job).map(|row| InboxItem { notice, row }))
        .collect())
}

/// Reads the data centre row, which holds the operators' order.
pub(crate) async fn read_centre(
    table: &TableClient,
    centre: &CentreName,
) -> Result<Option<Versioned<CentreRecord>>, CallError> {
    let key: Arc<str> = RowKey::Centre(centre.clone()).into();
    let page = table.read(&[key], CallPriority::Essential).await?.body;
    Ok(page.rows.first().and_then(decode_row))
}

/// Decodes a row; logs and omits a row that cannot be decoded.
pub(crate) fn decode_row<R>(row: &TableRow) -> Option<Versioned<R>>
where
    Versioned<R>: for<'a> TryFrom<&'a TableRow, Error = arbutuspick_records::DecodeError>,
{
    match Versioned::<R>::try_from(row) {
        Ok(row) => Some(row),
        Err(error) => {
            log::error!("[holder] cannot decode row: {error}");
            None
        }
    }
}
