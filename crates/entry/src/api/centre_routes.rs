use arbutuspick_clients::CallPriority;
use arbutuspick_model::{CentreName, FieldError, OrderNumber, PlatformTime, WriteId};
use arbutuspick_records::{
    CentreOrder, CentreRecord, CommitResolution, OrderError, OrderKind, RowKey, Versioned,
};
use axum::Json;
use axum::extract::{Path, State};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{ApiBody, ApiError, OperatorCaller, SharedContext, StaffCaller};
use crate::config::{CentreView, shortfalls_without};
use crate::owners::pool_racks;
use crate::table::{commit, read_rows};

/// Time limit for committing an order, including retries and read-backs after a lost response.
const COMMIT_TIMEOUT_MS: u64 = 3_000;
/// Longest drain time: one day.
const MAX_DRAIN_MS: u64 = 24 * 60 * 60 * 1000;

/// Body of an order to take a data centre out.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawOutOrder {
    based_on: u64,
    drain_ms: u64,
    #[serde(default)]
    accept_shortfall: bool,
}

/// Body of an order to bring a data centre back.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawInOrder {
    based_on: u64,
}

/// `GET /v1/operator/data-centres`
pub(super) async fn list(State(context): State<SharedContext>, _: StaffCaller) -> Json<Value> {
    let views = context.centres.views();
    let centres: Vec<Value> = views
        .iter()
        .map(|(centre, view)| centre_json(&context, centre, view))
        .collect();
    Json(json!({"data_centres": centres}))
}

/// `GET /v1/operator/data-centres/{dc}`
pub(super) async fn show(
    State(context): State<SharedContext>,
    _: StaffCaller,
    Path(dc): Path<String>,
) -> Result<Json<Value>, ApiError> {
    let centre = known_centre(&context, &dc)?;
    read_record(&context, &centre).await?;
    let view = context.centres.view(&centre).unwrap_or_default();
    Ok(Json(centre_json(&context, &centre, &view)))
}

/// `POST /v1/operator/data-centres/{dc}/out`
pub(super) async fn order_out(
    State(context): State<SharedContext>,
    OperatorCaller(operator): OperatorCaller,
    Path(dc): Path<String>,
    body: ApiBody,
) -> Result<Json<Value>, ApiError> {
    let data_centre = known_centre(&context, &dc)?;
    let RawOutOrder {
        based_on,
        drain_ms,
        accept_shortfall,
    } = body.json()?;
    if drain_ms > MAX_DRAIN_MS {
        return Err(FieldError::new("drain_ms", drain_ms, format!("must be at most {MAX_DRAIN_MS}")).into());
    }
    let row = read_record(&context, &data_centre).await?;
    let now = platform_time(&context)?;
    let order = CentreOrder {
        data_centre,
        kind: OrderKind::Out {
            drain_deadline: now + drain_ms,
        },
        based_on: OrderNumber(based_on),
        operator: operator.as_str().into(),
        now,
    };
    // Checked before the shortfalls, so that a conflict with another order is reported first.
    CentreRecord::order(row.as_ref(), order.clone(), WriteId::generate()).map_err(order_error)?;
    if !accept_shortfall {
        check_shortfalls(&context, &order.data_centre).await?;
    }
    commit_order(&context, row, order).await
}

/// `POST /v1/operator/data-centres/{dc}/in`
pub(super) async fn order_in(
    State(context): State<SharedContext>,
    OperatorCaller(operator): OperatorCaller,
    Path(dc): Path<String>,
    body: ApiBody,
) -> Result<Json<Value>, ApiError> {
    let data_centre = known_centre(&context, &dc)?;
    let RawInOrder { based_on } = body.json()?;
    let row = read_record(&context, &data_centre).await?;
    let order = CentreOrder {
        data_centre,
        kind: OrderKind::In,
        based_on: OrderNumber(based_on),
        operator: operator.as_str().into(),
        now: platform_time(&context)?,
    };
    commit_order(&context, row, order).await
}

fn known_centre(context: &SharedContext, name: &str) -> Result<CentreName, ApiError> {
    let centre = CentreName::try_from(name)?;
    let known = context.centres.view(&centre).map(|_| centre);
    known.ok_or_else(|| ApiError::not_found("data centre"))
}

fn platform_time(context: &SharedContext) -> Result<PlatformTime, ApiError> {
    let time = context.table.platform_time();
    time.ok_or_else(|| ApiError::platform("the order is not recorded"))
}

/// Reads the row of a data centre and stores it in the shared state.
async fn read_record(
    context: &SharedContext,
    centre: &CentreName,
) -> Result<Option<Versioned<CentreRecord>>, ApiError> {
    let key = RowKey::Centre(centre.clone());
    let rows = read_rows(
        &context.table,
        std::slice::from_ref(&key),
        CallPriority::Essential,
    )
    .await;
    let rows = rows.map_err(|_| ApiError::platform("the order in force cannot be read"))?;
    let row: Option<Versioned<CentreRecord>> = rows.get(&key).map_err(ApiError::internal)?;
    store_record(context, centre, row.clone(), rows.time);
    Ok(row)
}

fn store_record(
    context: &SharedContext,
    centre: &CentreName,
    record: Option<Versioned<CentreRecord>>,
    time: PlatformTime,
) {
    let view = CentreView {
        record,
        ..CentreView::default()
    };
    context
        .centres
        .update([(centre.clone(), view)], time, context.clock.now());
}

/// Fails with the guarantees that would fall short, if there are any.
async fn check_shortfalls(context: &SharedContext, leaving: &CentreName) -> Result<(), ApiError> {
    let mut open = pool_racks(context).await?;
    let views = context.centres.views();
    open.retain(|centre, _| views.get(centre).is_some_and(CentreView::accepts_work));
    let shortfalls = shortfalls_without(leaving, &context.config.load(), &open);
    if shortfalls.is_empty() {
        return Ok(());
    }
    let message = "guarantees will fall short; repeat the order with accept_shortfall to give it anyway";
    Err(ApiError::conflict("shortfall", message).with_detail("shortfalls", &shortfalls))
}

async fn commit_order(
    context: &SharedContext,
    row: Option<Versioned<CentreRecord>>,
    order: CentreOrder,
) -> Result<Json<Value>, ApiError> {
    let centre = order.data_centre.clone();
    let change = CentreRecord::order(row.as_ref(), order, WriteId::generate()).map_err(order_error)?;
    let deadline = context.clock.now() + COMMIT_TIMEOUT_MS;
    match commit(
        &context.table,
        &change.transaction,
        CallPriority::Essential,
        deadline,
    )
    .await
    {
        CommitResolution::Committed { version } => {
            let time = platform_time(context)?;
            store_record(context, &centre, Some(change.committed(version)), time);
        }
        CommitResolution::Conflict { .. } | CommitResolution::Overwritten => {
            let current = read_record(context, &centre)
                .await?
                .map(|row| row.record)
                .unwrap_or_default();
            // The order may have been committed, and the holder may have recorded progress on it since.
            let CentreRecord {
                order,
                operator,
                ordered_at,
                ..
            } = &change.record;
            if (current.order, &current.operator, current.ordered_at) != (*order, operator, *ordered_at) {
                let current = Box::new(current);
                return Err(order_error(OrderError::Superseded { current }));
            }
        }
        CommitResolution::NotSent => return Err(ApiError::platform("the order is not recorded")),
        CommitResolution::Unresolved => {
            return Err(ApiError::platform(
                "it is not known whether the order is recorded",
            ));
        }
    }
    context.config_sync.wake();
    let view = context.centres.view(&centre).unwrap_or_default();
    let CentreRecord {
        order,
        operator,
        state,
        ..
    } = view
        .record
        .as_ref()
        .map(|row| row.record.clone())
        .unwrap_or_default();
    log::info!(
        "[api] request {}: order {order} of {operator} for {centre} recorded, state {state:?}",
        super::current_request_id()
    );
    let mut body = centre_json(context, &centre, &view);
    body["recorded"] = true.into();
    Ok(Json(body))
}

fn order_error(error: OrderError) -> ApiError {
    let message = error.to_string();
    match error {
        OrderError::Superseded { current } => {
            ApiError::conflict("order_superseded", message).with_detail("current", &current)
        }
        OrderError::Transition { .. } => ApiError::conflict("wrong_state", message),
        OrderError::DeadlinePassed { .. } => FieldError::new("drain_ms", 0, message).into(),
    }
}

fn centre_json(context: &SharedContext, centre: &CentreName, view: &CentreView) -> Value {
    let record = view
        .record
        .as_ref()
        .map(|row| row.record.clone())
        .unwrap_or_default();
    let in_force_at = view.in_force_at();
    let now = context.table.platform_time();
    let in_force = in_force_at.is_none_or(|at| now.is_some_and(|now| now >= at));
    let epoch = view.epoch.as_ref().map(|row| &row.record);
    json!({
        "data_centre": centre,
        "state": record.state,
        "order": record.order,
        "operator": record.operator,
        "drain_deadline": record.drain_deadline,
        "in_force_at": in_force_at,
        "in_force": in_force,
        "epoch": epoch.map(|epoch| epoch.epoch),
        "holder": epoch.map(|epoch| epoch.holder.vm.clone()),
        "read_age_ms": context.centres.read_at().map(|at| context.clock.now().millis_since(at)),
    })
}
