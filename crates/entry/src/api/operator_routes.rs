use arbutuspick_clients::VmRole;
use arbutuspick_model::PoolConfig;
use axum::Json;
use axum::extract::State;
use serde_json::{Value, json};

use super::{ApiError, SharedContext, StaffCaller};

/// `GET /v1/operator/workers`: the platform's list, and the holder's view if this VM holds the lease.
pub(super) async fn workers(
    State(context): State<SharedContext>,
    _: StaffCaller,
) -> Result<Json<Value>, ApiError> {
    let list = context.vms.list(VmRole::Worker, None).await;
    let list = list.map_err(|_| ApiError::platform("the list of workers cannot be read"))?;
    let view = context.holder.view();
    let holder = view
        .epoch
        .map(|epoch| json!({"epoch": epoch, "workers": view.workers}));
    Ok(Json(
        json!({"as_of": list.as_of, "workers": list.vms, "holder": holder}),
    ))
}

/// `GET /v1/operator/accounts`
pub(super) async fn accounts(State(context): State<SharedContext>, _: StaffCaller) -> Json<PoolConfig> {
    Json(PoolConfig::clone(&context.config.load()))
}
