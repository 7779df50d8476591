//! The admin pages of an entry: health, readiness, status, catalogue and metrics.

use super::state::ControlState;
use crate::shared::SharedState;
use prometheus::Registry;
use quetzalhill_node::admin::{serve, AdminPages};
use quetzalhill_node::event::{emit, EventCode};
use serde::Serialize;
use serde_json::Value;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Serves the admin pages until the control thread ends.
pub(super) async fn serve_pages(
    listener: TcpListener,
    registry: Registry,
    shared: Arc<SharedState>,
    state: Rc<RefCell<ControlState>>,
) {
    let (for_health, for_ready, for_status) = (state.clone(), state.clone(), state.clone());
    let for_table = shared.clone();
    let pages = AdminPages {
        registry,
        healthy: Rc::new(move || for_health.borrow().is_healthy(Instant::now())),
        ready: Rc::new(move || {
            let table = for_table.routes.load();
            for_ready.borrow().is_ready(&table, Instant::now())
        }),
        status: Rc::new(move || {
            let table = shared.routes.load();
            to_page(&for_status.borrow().status(&table, Instant::now()))
        }),
        catalogue: Rc::new(move || to_page(state.borrow().catalogue.snapshot().as_ref())),
    };
    if let Err(error) = serve(listener, pages).await {
        emit(
            EventCode::TaskFailed,
            &[("task", &"admin"), ("error", &error)],
        );
    }
}

/// Encodes the content of a page as JSON. Encoding cannot fail, because all map keys are strings.
fn to_page(content: &impl Serialize) -> Value {
    serde_json::to_value(content).unwrap_or_default()
}
