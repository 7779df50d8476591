//! One connection of a caller.

use super::answer::AnswerWriter;
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

/// Most bytes of the header fields of a request.
const FIELDS_MAX: u64 = 64 * 1024;

/// Requests that a GOAWAY frame leaves room for. The HTTP/3 library names the last accepted stream plus this
/// number; with 0 the frame would call a request that runs "not processed".
const GOAWAY_ROOM: usize = 1;

/// How long a caller may take to acknowledge the end of an answer.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(30);

type ServerConnection = h3::server::Connection<CallerTransport, Bytes>;

/// Counts the requests of one connection that run or wait.
#[derive(Default)]
struct ActiveRequests {
    count: Cell<u32>,
    ended: Notify,
}

struct ActiveGuard(Rc<ActiveRequests>);

impl ActiveGuard {
    fn new(active: &Rc<ActiveRequests>) -> Self {
        active.count.set(active.count.get() + 1);
        Self(active.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}

/// Counts an open flow.
struct FlowGuard(Rc<TrafficContext>);

impl Drop for FlowGuard {
    fn drop(&mut self) {
        self.0.flows.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a connection until it ends.
pub(crate) async fn serve(context: Rc<TrafficContext>, incoming: quinn::Incoming) {
    context.flows.fetch_add(1, Ordering::Relaxed);
    let _flow = FlowGuard(context.clone());
    let number = context
        .view()
        .service
        .as_ref()
        .map_or(0, |entry| entry.number);
    // A handshake that fails is the caller's to retry.
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
    if !accept_until_drain(&context, &mut server, &slot, &active, number).await {
        return;
    }
    if server.shutdown(GOAWAY_ROOM).await.is_err() {
        return;
    }
    tokio::select! {
        () = reject_requests(&mut server) => {}
        () = quiet(&active) => {}
    }
}

/// Accepts requests; returns true when the drain starts and false when the connection ends.
async fn accept_until_drain(
    context: &Rc<TrafficContext>,
    server: &mut ServerConnection,
    slot: &WatchSlot,
    active: &Rc<ActiveRequests>,
    number: ServiceNumber,
) -> bool {
    let mut draining = context.draining.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = server.accept() => accepted,
            _ = draining.wait_for(|&draining| draining) => return true,
        };
        let Ok(Some(resolver)) = accepted else {
            return false;
        };
        let Some(watch) = slot.take() else {
            return false;
        };
        let guard = ActiveGuard::new(active);
        let context = context.clone();
        ntex::rt::spawn(async move {
            let _guard = guard;
            let Some(request) = resolve(resolver, number).await else {
                return;
            };
            request::serve(context, request, watch.clone()).await;
            // A drain must not close the connection while the end of the answer is on its way.
            let _ = tokio::time::timeout(ACKNOWLEDGE_LIMIT, watch).await;
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
        reader,
        writer: AnswerWriter::new(writer),
        number,
        arrived: Instant::now(),
    })
}

/// Rejects what arrives after GOAWAY; the HTTP/3 library lets the first stream of that range through.
async fn reject_requests(server: &mut ServerConnection) {
    while let Ok(Some(resolver)) = server.accept().await {
        let Some(request) = resolve(resolver, 0).await else {
            continue;
        };
        request.writer.reject();
    }
}

/// Waits until no request is active and the callers have acknowledged all answers.
async fn quiet(active: &ActiveRequests) {
    while active.count.get() > 0 {
        active.ended.notified().await;
    }
}
