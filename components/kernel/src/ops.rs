//! Operator endpoints of each process: `/healthz`, `/readyz` and `/metrics`.

use {
    crate::server::{Reply, Request},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the Prometheus recorder; later calls do nothing.
///
/// # Errors
///
/// The message of the library if another recorder is already installed.
pub fn start_metrics() -> Result<(), String> {
    if RECORDER.get().is_some() {
        return Ok(());
    }
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| e.to_string())?;
    let _ = RECORDER.set(handle);
    Ok(())
}

/// Shared flag that states whether the process accepts work; initially false.
#[derive(Clone, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// A flag in the state "not ready".
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the process accepts work.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// True if the process accepts work.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// Responds to the operator endpoints and returns all other requests to the caller. `is_ready` is
/// evaluated only for `/readyz`.
pub fn route(request: Request, is_ready: impl FnOnce() -> bool) -> Option<Request> {
    let reply = match request.path.as_str() {
        "/healthz" => Reply::text(200, "alive\n"),
        "/readyz" if is_ready() => Reply::text(200, "ready\n"),
        "/readyz" => Reply::text(503, "not ready\n"),
        "/metrics" => {
            let text = RECORDER
                .get()
                .map(PrometheusHandle::render)
                .unwrap_or_default();
            Reply::bytes(200, "text/plain; version=0.0.4", text.into_bytes())
        }
        _ => return Some(request),
    };
    request.respond(reply);
    None
}
