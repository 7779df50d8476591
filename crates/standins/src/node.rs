//! Stand-in for the admin pages of a node.

use ntex::rt::{DefaultRuntime, System};
use ntex::web::types::State;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde_json::{json, Value};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use tokio::sync::oneshot;

/// What the pages show.
#[derive(Debug)]
struct NodePages {
    status: Value,
    catalogue: Value,
}

type SharedPages = Arc<Mutex<NodePages>>;

/// Admin pages on a thread of their own.
#[derive(Debug)]
pub struct NodeStandin {
    address: SocketAddr,
    pages: SharedPages,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeStandin {
    /// Starts a node that has no catalogue.
    ///
    /// # Errors
    ///
    /// No address can be bound or the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let pages = Arc::new(Mutex::new(NodePages {
            status: json!({}),
            catalogue: json!({ "revision": 0, "services": {} }),
        }));
        let (stop, stopped) = oneshot::channel();
        let shared = pages.clone();
        let thread = thread::Builder::new()
            .name("node-standin".into())
            .spawn(move || {
                let system = System::new("node-standin", DefaultRuntime);
                // The test sees a node that does not answer.
                let _ = system.block_on(run(listener, shared, stopped));
            })?;
        Ok(Self {
            address,
            pages,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the admin address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the page `/status`.
    pub fn set_status(&self, status: Value) {
        with_pages(&self.pages, |pages| pages.status = status);
    }

    /// Sets the page `/catalogue`.
    pub fn set_catalogue(&self, catalogue: Value) {
        with_pages(&self.pages, |pages| pages.catalogue = catalogue);
    }

    /// Stops the node, so that connections are refused.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The thread may have ended already.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for NodeStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

fn with_pages<T>(pages: &SharedPages, call: impl FnOnce(&mut NodePages) -> T) -> T {
    call(&mut pages.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn run(
    listener: TcpListener,
    pages: SharedPages,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(pages.clone())
            .route("/status", web::get().to(status))
            .route("/catalogue", web::get().to(catalogue))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    // A dropped handle counts as a stop.
    let _ = stopped.await;
    server.stop(false).await;
    Ok(())
}

async fn status(pages: State<SharedPages>) -> HttpResponse {
    HttpResponse::Ok().json(&with_pages(&pages, |pages| pages.status.clone()))
}

async fn catalogue(pages: State<SharedPages>) -> HttpResponse {
    HttpResponse::Ok().json(&with_pages(&pages, |pages| pages.catalogue.clone()))
}
