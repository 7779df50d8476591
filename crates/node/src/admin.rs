//! Metrics, health and status over HTTP on the admin address.
//!
//! The server runs on the thread that calls [`serve`], which is the control thread, so that the callbacks can read
//! control state without locks.

use crate::calls::ConnectionGuard;
use ntex::http::{HttpService, StatusCode};
use ntex::rt::{from_tcp_stream, spawn};
use ntex::web::types::State;
use ntex::web::{self, App, HttpResponse, ServiceConfig};
use ntex::{ServiceFactory, SharedCfg};
use prometheus::{Encoder, Registry, TextEncoder};
use serde_json::Value;
use std::cell::Cell;
use std::fmt::{Debug, Formatter, Result as FormatResult};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// Connections served at the same time. Further ones are closed, so that a scraper in a loop cannot use up the
/// descriptors and memory of the process.
const CONNECTIONS_MAX: u32 = 32;

/// Sources of the pages; the callbacks run on the control thread.
#[derive(Clone)]
pub struct AdminPages {
    /// Registry whose metrics `/metrics` shows.
    pub registry: Registry,
    /// Returns for `/healthz` whether the control loop still runs.
    pub healthy: Rc<dyn Fn() -> bool>,
    /// Returns for `/readyz` whether the node accepts new flows.
    pub ready: Rc<dyn Fn() -> bool>,
    /// Returns for `/status` the node's [`NodeStatus`](crate::status::NodeStatus) as JSON, to which an agent adds fields.
    pub status: Rc<dyn Fn() -> Value>,
    /// Returns for `/catalogue` the snapshot in force, which `quetzalhill catalogue restore` can write back to the store.
    pub catalogue: Rc<dyn Fn() -> Value>,
}

impl Debug for AdminPages {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("AdminPages").finish_non_exhaustive()
    }
}

/// Serves the pages until the future is dropped.
///
/// # Errors
///
/// The listener cannot be used. A connection that fails is closed and does not end the server.
pub async fn serve(listener: TcpListener, pages: AdminPages) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let app = App::new().state(pages).configure(configure);
    let service = HttpService::new(app)
        .pipeline(SharedCfg::default())
        .await
        .map_err(|()| io::Error::other("the admin pages cannot be set up"))?;
    let open = Rc::new(Cell::new(0));
    loop {
        let (stream, _) = listener.accept().await?;
        let Some(guard) = ConnectionGuard::new(&open, CONNECTIONS_MAX) else {
            continue;
        };
        let Ok(io) = stream
            .into_std()
            .and_then(|stream| from_tcp_stream(stream, SharedCfg::default()))
        else {
            continue;
        };
        let service = service.clone();
        spawn(async move {
            // The client sees the failure, so it is not logged here.
            let _ = service.call(io).await;
            drop(guard);
        })
        .detach();
    }
}

fn configure(config: &mut ServiceConfig) {
    config
        .route("/metrics", web::get().to(metrics))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/status", web::get().to(status))
        .route("/catalogue", web::get().to(catalogue));
}

async fn metrics(pages: State<AdminPages>) -> HttpResponse {
    let mut text = Vec::new();
    let encoder = TextEncoder::new();
    match encoder.encode(&pages.registry.gather(), &mut text) {
        Ok(()) => HttpResponse::Ok()
            .content_type(encoder.format_type())
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn health(pages: State<AdminPages>) -> HttpResponse {
    match (pages.healthy)() {
        true => HttpResponse::Ok().body("ok\n"),
        false => HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).body("not ok\n"),
    }
}

async fn ready(pages: State<AdminPages>) -> HttpResponse {
    match (pages.ready)() {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n"),
    }
}

async fn status(pages: State<AdminPages>) -> HttpResponse {
    HttpResponse::Ok().json(&(pages.status)())
}

async fn catalogue(pages: State<AdminPages>) -> HttpResponse {
    HttpResponse::Ok().json(&(pages.catalogue)())
}
