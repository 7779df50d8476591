//! One connection of a caller.

use super::answer::AnswerWriter;
use super::context::TrafficContext;
use super::request::{self, CallerRequest};
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

/// A draining connection that has sent no stream data for this long has nothing in flight.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// How often a draining connection is checked for quiet.
const QUIET_CHECK: Duration = Duration::from_millis(250);

type ServerConnection = h3::server::Connection<h3_quinn::Connection, Bytes>;

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
    let transport = h3_quinn::Connection::new(connection.clone());
    let built = h3::server::builder()
        .max_field_section_size(FIELDS_MAX)
        .build(transport)
        .await;
    let Ok(mut server) = built else {
        return;
    };
    let active = Rc::new(ActiveRequests::default());
    if !accept_until_drain(&context, &mut server, &connection, &active, number).await {
        return;
    }
    if server.shutdown(GOAWAY_ROOM).await.is_err() {
        return;
    }
    tokio::select! {
        () = reject_requests(&mut server) => {}
        () = quiet(&connection, &active) => {}
    }
}

/// Accepts requests; returns true when the drain starts and false when the connection ends.
async fn accept_until_drain(
    context: &Rc<TrafficContext>,
    server: &mut ServerConnection,
    connection: &quinn::Connection,
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
        let guard = ActiveGuard::new(active);
        let context = context.clone();
        let connection = connection.clone();
        ntex::rt::spawn(async move {
            let _guard = guard;
            let Some(request) = resolve(resolver, number).await else {
                return;
            };
            request::serve(context, request, connection).await;
        });
    }
}

async fn resolve(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
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

/// Waits until no request is active and QUIC has nothing left to send or repeat.
///
/// Data that a caller has not acknowledged is sent again within the quiet time, so that a steady count of stream
/// frames means that the caller has all answers.
async fn quiet(connection: &quinn::Connection, active: &ActiveRequests) {
    let mut seen = connection.stats().frame_tx;
    let mut since = Instant::now();
    loop {
        while active.count.get() > 0 {
            active.ended.notified().await;
            since = Instant::now();
        }
        tokio::time::sleep(QUIET_CHECK).await;
        let now = connection.stats().frame_tx;
        let steady = now.stream == seen.stream
            && now.stream_data_blocked == seen.stream_data_blocked
            && now.data_blocked == seen.data_blocked;
        seen = now;
        if !steady {
            since = Instant::now();
        }
        if since.elapsed() >= QUIET_TIME.max(connection.rtt() * 4) {
            return;
        }
    }
}
