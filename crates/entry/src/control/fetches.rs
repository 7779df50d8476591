//! Catalogue fetches of other nodes.

use super::state::ControlState;
use crate::shared::SharedState;
use quetzalhill_node::fetch;
use quetzalhill_wire::fetch::FetchRequest;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Catalogue fetches that are answered at the same time.
const FETCHES_MAX: usize = 16;

/// Time to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers the catalogue fetches of other nodes, a bounded number at the same time.
pub(super) async fn serve_fetches(
    listener: TcpListener,
    shared: Arc<SharedState>,
    state: Rc<RefCell<ControlState>>,
) {
    let slots = Arc::new(Semaphore::new(FETCHES_MAX));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of file descriptors for a while.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let ring = shared.ring.load_full();
        let state = state.clone();
        ntex::rt::spawn(async move {
            let change_for = |request: FetchRequest| {
                let scope = request.service.as_deref();
                state.borrow().catalogue.change_since(request.from, scope)
            };
            // The asking node repeats a fetch that fails.
            let _ = fetch::serve(stream, &ring, change_for).await;
            drop(slot);
        });
    }
}
