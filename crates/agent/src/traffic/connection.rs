//! HTTP/3 connections of callers.

use super::answer::AnswerWriter;
use super::body::BodyReader;
use super::context::TrafficContext;
use super::request::{self, CallerRequest};
use super::transport::{CallerTransport, WatchSlot};
use bytes::Bytes;
use h3::server::RequestResolver;
use quetzalhill_core::ids::ServiceNumber;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Most bytes of the header fields of one request.
const FIELDS_MAX: u64 = 64 * 1024;

/// Number of streams after the last accepted one that a GOAWAY frame still permits. The HTTP/3 library sends the ID
/// of the last accepted stream plus this number; with 0 the frame would declare a running request as not processed.
const GOAWAY_STREAM_MARGIN: usize = 1;

/// Time without active requests after which a connection is closed once GOAWAY was sent. It covers a round trip, in
/// which requests arrive that the caller sent before it received GOAWAY.
const GOAWAY_LINGER: Duration = Duration::from_millis(300);

/// Time limit for a caller to acknowledge the end of a response.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(30);

type ServerConnection = h3::server::Connection<CallerTransport, Bytes>;

/// Counts the requests of one connection that are in progress and those that were ever started.
#[derive(Default)]
struct ActiveRequests {
    count: Cell<u32>,
    started: Cell<u64>,
    ended: Notify,
}

struct ActiveGuard(Rc<ActiveRequests>);

impl ActiveGuard {
    fn new(active: &Rc<ActiveRequests>) -> Self {
        active.count.set(active.count.get() + 1);
        active.started.set(active.started.get() + 1);
        Self(active.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}

/// Keeps a connection counted as an open flow until it is dropped.
struct FlowGuard(Rc<TrafficContext>);

impl Drop for FlowGuard {
    fn drop(&mut self) {
        self.0.flows.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a connection until it ends or its drain is complete.
pub(crate) async fn serve(context: Rc<TrafficContext>, incoming: quinn::Incoming) {
    context.flows.fetch_add(1, Ordering::Relaxed);
    let _flow = FlowGuard(context.clone());
    let number = context
        .view()
        .service
        .as_ref()
        .map_or(0, |entry| entry.number);
    // The caller retries a failed handshake.
    let Ok(connection) = incoming.await else {
        return;
    };
    let slot = WatchSlot::default();
    let transport = CallerTransport::new(connection, slot.clone());
    let built = h3::server::builder()
        .max_field_section_size(FIELDS_MAX)
        .build(transport)
        .await;
    let Ok(mut server) = built else {
        return;
    };
    let active = Rc::new(ActiveRequests::default());
    let mut draining = context.draining.subscribe();
    tokio::select! {
        () = accept_requests(&context, &mut server, &slot, &active, number) => return,
        _ = draining.wait_for(|&draining| draining) => {}
    }
    if server.shutdown(GOAWAY_STREAM_MARGIN).await.is_err() {
        return;
    }
    // Requests that the caller sent before it received GOAWAY are still accepted, and dispatch hands them over.
    tokio::select! {
        () = accept_requests(&context, &mut server, &slot, &active, number) => {}
        () = wait_until_idle(&active) => {}
    }
}

/// Accepts requests until the connection ends.
async fn accept_requests(
    context: &Rc<TrafficContext>,
    server: &mut ServerConnection,
    slot: &WatchSlot,
    active: &Rc<ActiveRequests>,
    number: ServiceNumber,
) {
    while let Ok(Some(resolver)) = server.accept().await {
        let Some(watch) = slot.take() else {
            return;
        };
        let guard = ActiveGuard::new(active);
        let context = context.clone();
        ntex::rt::spawn(async move {
            let _guard = guard;
            let Some(request) = resolve(resolver, number).await else {
                return;
            };
            request::serve(context, request, watch.clone()).await;
            // Counts the request as active until the end of the response has arrived, so that a drain does not close
            // the connection before.
            let _ = tokio::time::timeout(ACKNOWLEDGE_TIMEOUT, watch).await;
        });
    }
}

async fn resolve(
    resolver: RequestResolver<CallerTransport, Bytes>,
    number: ServiceNumber,
) -> Option<CallerRequest> {
    let (request, stream) = resolver.resolve_request().await.ok()?;
    let (head, ()) = request.into_parts();
    let (writer, reader) = stream.split();
    Some(CallerRequest {
        head,
        reader: BodyReader::Caller(reader),
        writer: AnswerWriter::new(writer),
        number,
        arrived: Instant::now(),
        forwarded: false,
    })
}

/// Waits until no request is active and none has been started for [`GOAWAY_LINGER`].
async fn wait_until_idle(active: &ActiveRequests) {
    loop {
        while active.count.get() > 0 {
            active.ended.notified().await;
        }
        let started = active.started.get();
        tokio::time::sleep(GOAWAY_LINGER).await;
        if active.started.get() == started {
            return;
        }
    }
}
