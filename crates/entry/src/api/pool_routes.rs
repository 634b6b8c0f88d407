use axum::Json;
use axum::extract::State;
use serde_json::{Value, json};

use super::{AnyCaller, SharedContext};

/// `GET /v1/pool`: state and last known summary of each data centre.
pub(super) async fn pool(State(context): State<SharedContext>, _: AnyCaller) -> Json<Value> {
    let now = context.clock.now();
    let mut summaries = context.summaries.fresh(now);
    let views = context.centres.views();
    let centres = views.iter().map(|(centre, view)| {
        let summary = summaries.remove(centre).map(|known| {
            // An account may not see the guarantees and queues of the others.
            let mut summary = json!(known.summary);
            if let Some(fields) = summary.as_object_mut() {
                fields.remove("accounts");
            }
            summary["age_ms"] = now.millis_since(known.received_at).into();
            summary
        });
        json!({
            "data_centre": centre,
            "state": view.record.as_ref().map(|row| row.record.state).unwrap_or_default(),
            "summary": summary,
        })
    });
    let centres: Vec<Value> = centres.collect();
    Json(json!({"config_revision": context.config.revision(), "data_centres": centres}))
}
