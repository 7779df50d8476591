//! Serves the catalogue to other nodes over TCP.

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

/// Number of catalogue fetches served concurrently.
const FETCHES_MAX: usize = 16;

/// Delay before the next attempt after `accept` has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Answers the catalogue fetches of other nodes, at most [`FETCHES_MAX`] concurrently. Further connections wait in
/// the backlog of the listener.
pub(super) async fn serve_fetches(
    listener: TcpListener,
    shared: Arc<SharedState>,
    state: Rc<RefCell<ControlState>>,
) {
    let permits = Arc::new(Semaphore::new(FETCHES_MAX));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be temporarily out of file descriptors.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let ring = shared.ring.load_full();
        let state = state.clone();
        ntex::rt::spawn(async move {
            let change_for = |request: FetchRequest| {
                let scope = request.service.as_deref();
                state.borrow().catalogue.change_since(request.from, scope)
            };
            // An error needs no handling here: the requesting node retries a failed fetch.
            let _ = fetch::serve(stream, &ring, change_for).await;
            drop(permit);
        });
    }
}
