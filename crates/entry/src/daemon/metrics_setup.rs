use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of the process, once, and returns the handle that renders its metrics.
pub(crate) fn metrics_handle() -> PrometheusHandle {
    HANDLE.get_or_init(install).clone()
}

fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("[config] /metrics stays empty: another metrics recorder is installed");
    }
    handle
}
