//! Stand-in for a node that serves only the admin pages `/status` and `/catalogue`.

use ntex::rt::{DefaultRuntime, System};
use ntex::web::types::State;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde_json::{json, Value};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use tokio::sync::oneshot;

/// Content of the admin pages.
#[derive(Debug)]
struct NodePages {
    status: Value,
    catalogue: Value,
}

type SharedPages = Arc<Mutex<NodePages>>;

/// HTTP server of the admin pages on a separate thread.
#[derive(Debug)]
pub struct NodeStandin {
    address: SocketAddr,
    pages: SharedPages,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeStandin {
    /// Starts the server on a free loopback port with an empty status and catalogue revision 0.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or the thread cannot be started.
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
                // If the server fails, the test sees a node that does not respond.
                let _ = system.block_on(serve(listener, shared, stopped));
            })?;
        Ok(Self {
            address,
            pages,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address on which the admin pages are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the content of the page `/status`.
    pub fn set_status(&self, status: Value) {
        with_pages(&self.pages, |pages| pages.status = status);
    }

    /// Sets the content of the page `/catalogue`.
    pub fn set_catalogue(&self, catalogue: Value) {
        with_pages(&self.pages, |pages| pages.catalogue = catalogue);
    }

    /// Stops the server, after which connections are refused.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails if the thread has already ended.
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

fn with_pages<T>(pages: &SharedPages, access: impl FnOnce(&mut NodePages) -> T) -> T {
    access(&mut pages.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn serve(
    listener: TcpListener,
    pages: SharedPages,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(pages.clone())
            .route("/status", web::get().to(status_page))
            .route("/catalogue", web::get().to(catalogue_page))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    // An error means that the handle was dropped, which also stops the server.
    let _ = stopped.await;
    server.stop(false).await;
    Ok(())
}

async fn status_page(pages: State<SharedPages>) -> HttpResponse {
    HttpResponse::Ok().json(&with_pages(&pages, |pages| pages.status.clone()))
}

async fn catalogue_page(pages: State<SharedPages>) -> HttpResponse {
    HttpResponse::Ok().json(&with_pages(&pages, |pages| pages.catalogue.clone()))
}
