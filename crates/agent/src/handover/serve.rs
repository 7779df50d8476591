//! Serves the requests that peers offer or forward to this agent.

use super::body::{BodyItem, PeerBody};
use super::connection::{accept, next, PeerConnection, PeerReader};
use super::link::PeerLink;
use super::message::to_parts;
use crate::traffic::answer::AnswerWriter;
use crate::traffic::body::{BodyReader, BodyStart};
use crate::traffic::context::TrafficContext;
use crate::traffic::counters::count;
use crate::traffic::headers;
use crate::traffic::request::{self, CallerRequest};
use crate::traffic::run::{run_at_upstream, StartedRequest};
use crate::traffic::scheduler::{RunDecision, RunTicket};
use crate::traffic::transport::{StreamEnd, StreamWatch};
use futures_util::FutureExt;
use http::request::Parts;
use quetzalhill_core::dispatch::{DispatchEvent, RequestMeta};
use quetzalhill_wire::frame::FrameError;
use quetzalhill_wire::handover::{
    ForwardRequest, HandoverReply, HandoverRequest, HandoverTarget, RequestBody, RequestOffer,
};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

/// Maximum number of connections from peers; further ones are closed at once.
const CONNECTIONS_MAX: u32 = 4_096;

/// Pause after a failed accept, for example because no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections from peers; runs until the runtime stops.
pub(crate) async fn listen(context: Rc<TrafficContext>, listener: TcpListener) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&open) > usize::try_from(CONNECTIONS_MAX).unwrap_or(usize::MAX) {
            continue;
        }
        let guard = open.clone();
        let context = context.clone();
        ntex::rt::spawn(async move {
            let _guard = guard;
            let served = serve_connection(&context, stream).await;
            if served.is_err_and(|error| is_invalid(&error)) {
                count(&context.peer_counters.bad_frames);
            }
        });
    }
}

fn is_invalid(error: &FrameError) -> bool {
    match error {
        FrameError::Io(_) | FrameError::Closed => false,
        FrameError::Hello | FrameError::Long | FrameError::Tag | FrameError::Body => true,
    }
}

/// Serves the requests of one connection in sequence, until the peer closes it or an exchange ends incompletely.
async fn serve_connection(
    context: &Rc<TrafficContext>,
    stream: TcpStream,
) -> Result<(), FrameError> {
    let ring = context.shared.ring.load_full();
    let PeerConnection { mut reader, writer } = accept(stream, &ring).await?;
    let link = PeerLink::new(writer);
    loop {
        let message = next::<HandoverRequest>(&mut reader).await?;
        let _guard = context.peer_request_guard();
        link.begin();
        match message {
            // Left over from a request that has ended meanwhile: the rest of its body or its withdrawal.
            HandoverRequest::Body(_) | HandoverRequest::BodyEnd | HandoverRequest::Withdraw => {
                continue
            }
            HandoverRequest::Cancel => return Ok(()),
            HandoverRequest::Offer(offer) => {
                serve_offer(context, &link, &mut reader, *offer).await?;
            }
            HandoverRequest::Forward(forwarded) => {
                serve_forwarded(context, &link, &mut reader, *forwarded).await?;
            }
        }
        if !link.is_complete() {
            return Ok(());
        }
    }
}

/// Returns the start and the reader of a body, and the sender that fills the reader if the body is streamed.
fn open_body(body: RequestBody) -> (BodyStart, BodyReader, Option<mpsc::Sender<BodyItem>>) {
    match body {
        RequestBody::Empty => (BodyStart::End, BodyReader::Whole(None), None),
        RequestBody::Whole(bytes) => (BodyStart::Unread, BodyReader::Whole(Some(bytes)), None),
        RequestBody::Streamed => {
            let (sender, body) = PeerBody::new();
            (BodyStart::Unread, BodyReader::Peer(body), Some(sender))
        }
    }
}

/// Reads the peer's messages while its request waits or runs, until the peer cancels the request or closes the
/// connection.
async fn read_messages(
    reader: &mut PeerReader,
    mut body: Option<mpsc::Sender<BodyItem>>,
    withdrawn: &Notify,
) -> Result<(), FrameError> {
    loop {
        let item = match next::<HandoverRequest>(reader).await? {
            HandoverRequest::Body(chunk) => BodyItem::Chunk(chunk),
            HandoverRequest::BodyEnd => BodyItem::End,
            HandoverRequest::Withdraw => {
                withdrawn.notify_one();
                continue;
            }
            HandoverRequest::Cancel => return Ok(()),
            HandoverRequest::Offer(_) | HandoverRequest::Forward(_) => {
                return Err(FrameError::Body)
            }
        };
        let Some(sender) = &body else {
            continue;
        };
        // The reader is dropped if the upstream answers before it has read the whole body; the rest is discarded.
        if sender.send(item).await.is_err() {
            body = None;
        }
    }
}

async fn serve_offer(
    context: &Rc<TrafficContext>,
    link: &Rc<PeerLink>,
    reader: &mut PeerReader,
    offer: RequestOffer,
) -> Result<(), FrameError> {
    let RequestOffer { target, body, .. } = &offer;
    if !is_addressed_here(context, target) {
        count(&context.peer_counters.refused);
        return link.finish(HandoverReply::Reject).await;
    }
    let (start, body, sender) = open_body(body.clone());
    let withdrawn = Notify::new();
    tokio::select! {
        served = run_offer(context, link, offer, start, body, &withdrawn) => served,
        // Dropping the other future reports the end of the request to dispatch and closes the upstream connection.
        ended = read_messages(reader, sender, &withdrawn) => ended,
    }
}

fn is_addressed_here(context: &TrafficContext, target: &HandoverTarget) -> bool {
    target.to == context.endpoint()
        && target.incarnation == context.view().incarnation
        && target.service == context.service_number()
}

async fn run_offer(
    context: &Rc<TrafficContext>,
    link: &Rc<PeerLink>,
    offer: RequestOffer,
    start: BodyStart,
    reader: BodyReader,
    withdrawn: &Notify,
) -> Result<(), FrameError> {
    let meta = request_meta(&offer);
    let deadline = meta.deadline;
    let head = to_parts(offer.head);
    let submitted = context.scheduler.submit_offer(offer.target.from, meta);
    let (Some(head), Some((run, decisions))) = (head, submitted) else {
        count(&context.peer_counters.refused);
        return link.finish(HandoverReply::Reject).await;
    };
    let Some(run) = wait_for_start(link, run, decisions, withdrawn).await? else {
        count(&context.peer_counters.refused);
        return link.finish(HandoverReply::Reject).await;
    };
    link.send(HandoverReply::Started).await?;
    count(&context.peer_counters.taken);
    let request = StartedRequest {
        run,
        head,
        start,
        reader,
        writer: AnswerWriter::to_peer(link.clone()),
        deadline,
        ticket: None,
    };
    run_at_upstream(context, request).await;
    Ok(())
}

fn request_meta(offer: &RequestOffer) -> RequestMeta {
    let now = Instant::now();
    let age = Duration::from_micros(offer.age_us);
    let remaining = Duration::from_micros(offer.remaining_us);
    RequestMeta {
        id: offer.id,
        class: offer.class,
        owner: offer.owner.clone(),
        arrived: now.checked_sub(age).unwrap_or(now),
        deadline: now.checked_add(remaining).unwrap_or(now),
        work_key: offer.work_key,
    }
}

/// Waits until dispatch starts the request; `None` if dispatch rejects it or the peer withdraws it.
async fn wait_for_start(
    link: &PeerLink,
    run: RunTicket,
    mut decisions: mpsc::UnboundedReceiver<RunDecision>,
    withdrawn: &Notify,
) -> Result<Option<RunTicket>, FrameError> {
    loop {
        let decision = tokio::select! {
            biased;
            decision = decisions.recv() => decision,
            // Dropping the ticket reports the end of the request to dispatch.
            () = withdrawn.notified() => return Ok(None),
        };
        match decision {
            Some(RunDecision::Accept) => link.send(HandoverReply::Accept).await?,
            Some(RunDecision::Start) => return Ok(Some(run)),
            Some(RunDecision::Reject | RunDecision::Refuse(_)) => {
                run.close_refused();
                return Ok(None);
            }
            // An offered request is not offered to a third agent.
            Some(RunDecision::HandOver(peer)) => {
                run.report_offer(DispatchEvent::OfferRejected(run.id(), peer));
            }
            Some(RunDecision::Withdraw) => {}
            None => return Ok(None),
        }
    }
}

async fn serve_forwarded(
    context: &Rc<TrafficContext>,
    link: &Rc<PeerLink>,
    reader: &mut PeerReader,
    forwarded: ForwardRequest,
) -> Result<(), FrameError> {
    let target = &forwarded.target;
    let matches = target.to == context.endpoint() && target.service == context.service_number();
    let (true, Some(mut head)) = (matches, to_parts(forwarded.head)) else {
        // After a rejection the peer answers its caller that the outcome is unknown.
        return link.finish(HandoverReply::Reject).await;
    };
    count(&context.peer_counters.home);
    // The peer may send the body at once; a forwarded request does not wait for a slot first.
    link.send(HandoverReply::Started).await?;
    set_timeout(&mut head, forwarded.remaining_us);
    let (_, body, sender) = open_body(forwarded.body);
    let (cancel, ended) = oneshot::channel();
    let request = CallerRequest {
        head,
        reader: body,
        writer: AnswerWriter::to_peer(link.clone()),
        number: target.service,
        arrived: Instant::now(),
        forwarded: true,
    };
    let serving = request::serve(context.clone(), request, watch_cancel(ended));
    tokio::pin!(serving);
    let withdrawn = Notify::new();
    let ended = tokio::select! {
        () = &mut serving => return Ok(()),
        ended = read_messages(reader, sender, &withdrawn) => ended,
    };
    // Runs the request to its end even if the caller has closed its stream, so that copies get the stored outcome.
    let _ = cancel.send(());
    serving.await;
    ended
}

fn set_timeout(head: &mut Parts, remaining_us: u64) {
    let remaining = remaining_us.div_ceil(1_000);
    head.headers.insert(headers::TIMEOUT_MS, remaining.into());
}

/// Returns a future that completes when the peer cancels the request or closes the connection.
fn watch_cancel(ended: oneshot::Receiver<()>) -> StreamWatch {
    async move {
        match ended.await {
            Ok(()) => StreamEnd::Lost,
            Err(_) => StreamEnd::Acknowledged,
        }
    }
    .boxed_local()
    .shared()
}
