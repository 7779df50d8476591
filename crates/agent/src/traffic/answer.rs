//! Sending of responses to callers and peers.

use super::headers;
use super::transport::CallerSend;
use crate::handover::PeerLink;
use crate::shared::SharedState;
use bytes::Bytes;
use h3::error::Code;
use h3::server::RequestStream;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::ids::OwnerName;
use quetzalhill_node::metrics::OutcomeLabel;
use quetzalhill_wire::handover::AnswerOutcome;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Value of the outcome header of a request that was not run.
const NOT_RUN: &str = "not-run";

/// Value of the outcome header of a request that may have run.
const UNKNOWN: &str = "unknown";

/// Seconds after which a caller may retry a request that was not run.
const RETRY_AFTER_S: &str = "1";

/// Error of sending to a caller, or to the peer that sent the request, whose stream or connection has closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallerGone;

/// Destination of a response.
enum AnswerTarget {
    Caller(Box<RequestStream<CallerSend, Bytes>>),
    Peer(Rc<PeerLink>),
}

/// Sending half of a request.
///
/// A dropped QUIC stream looks as if it had ended normally, so dropping an incomplete response resets the stream. For
/// a peer the connection ends instead.
pub(crate) struct AnswerWriter {
    target: AnswerTarget,
    complete: bool,
    outcome: AnswerOutcome,
    meter: Option<RequestMeter>,
}

/// Records how long a request took and how it ended.
pub(crate) struct RequestMeter {
    /// State with the request metrics.
    pub(crate) shared: Arc<SharedState>,
    /// Class of the request.
    pub(crate) class: TrafficClass,
    /// Owner of the service.
    pub(crate) owner: OwnerName,
    /// When the head was read.
    pub(crate) arrived: Instant,
}

impl RequestMeter {
    fn record(&self, outcome: OutcomeLabel) {
        let latency = self.arrived.elapsed();
        let metrics = &self.shared.requests;
        metrics.observe(self.class, &self.owner, outcome, latency);
    }
}

impl AnswerWriter {
    /// Creates the writer of a response to a caller.
    pub(crate) fn new(stream: RequestStream<CallerSend, Bytes>) -> Self {
        Self {
            target: AnswerTarget::Caller(Box::new(stream)),
            complete: false,
            outcome: AnswerOutcome::Answered,
            meter: None,
        }
    }

    /// Creates the writer of a response to a request that a peer handed over or forwarded.
    pub(crate) fn to_peer(link: Rc<PeerLink>) -> Self {
        Self {
            target: AnswerTarget::Peer(link),
            complete: false,
            outcome: AnswerOutcome::Answered,
            meter: None,
        }
    }

    /// Sets the meter that records the request when this writer is dropped.
    pub(crate) fn set_meter(&mut self, meter: RequestMeter) {
        self.meter = Some(meter);
    }

    fn label(&self) -> OutcomeLabel {
        match (self.complete, self.outcome) {
            (false, _) => OutcomeLabel::Cancelled,
            (true, AnswerOutcome::Answered) => OutcomeLabel::Answered,
            (true, AnswerOutcome::NotRun) => OutcomeLabel::NotRun,
            (true, AnswerOutcome::Unknown) => OutcomeLabel::Unknown,
        }
    }

    /// Sends the status and header fields; `outcome` is reported to a peer and in the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or connection has closed.
    pub(crate) async fn send_head(
        &mut self,
        outcome: AnswerOutcome,
        status: StatusCode,
        fields: HeaderMap,
    ) -> Result<(), CallerGone> {
        self.outcome = outcome;
        let stream = match &mut self.target {
            AnswerTarget::Caller(stream) => stream,
            AnswerTarget::Peer(link) => {
                let sent = link.head(outcome, status, &fields).await;
                return sent.map_err(|_| CallerGone);
            }
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = fields;
        stream.send_response(response).await.map_err(|_| CallerGone)
    }

    /// Sends a chunk of the body and waits for flow control.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or connection has closed.
    pub(crate) async fn send_data(&mut self, data: Bytes) -> Result<(), CallerGone> {
        match &mut self.target {
            AnswerTarget::Caller(stream) => stream.send_data(data).await.map_err(|_| CallerGone),
            AnswerTarget::Peer(link) => link.data(data).await.map_err(|_| CallerGone),
        }
    }

    /// Marks the response as complete and ends it.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or connection has closed.
    pub(crate) async fn finish(mut self) -> Result<(), CallerGone> {
        match &mut self.target {
            AnswerTarget::Caller(stream) => stream.finish().await.map_err(|_| CallerGone)?,
            AnswerTarget::Peer(link) => link.end().await.map_err(|_| CallerGone)?,
        }
        self.complete = true;
        Ok(())
    }

    /// Sends a stored response of the upstream and ignores a closed stream.
    pub(crate) async fn send_answer(self, status: StatusCode, fields: HeaderMap, body: Bytes) {
        self.send_whole(AnswerOutcome::Answered, status, fields, body)
            .await;
    }

    async fn send_whole(
        mut self,
        outcome: AnswerOutcome,
        status: StatusCode,
        fields: HeaderMap,
        body: Bytes,
    ) {
        if self.send_head(outcome, status, fields).await.is_err() {
            return;
        }
        if !body.is_empty() && self.send_data(body).await.is_err() {
            return;
        }
        let _ = self.finish().await;
    }

    /// Responds that the request was not run.
    pub(crate) async fn send_not_run(self, status: StatusCode, reason: &str) {
        let fields = [(headers::OUTCOME, NOT_RUN), ("retry-after", RETRY_AFTER_S)];
        self.send_reason(AnswerOutcome::NotRun, status, &fields, reason)
            .await;
    }

    /// Responds that the request may have run.
    pub(crate) async fn send_unknown(self, status: StatusCode, reason: &str) {
        let fields = [(headers::OUTCOME, UNKNOWN)];
        self.send_reason(AnswerOutcome::Unknown, status, &fields, reason)
            .await;
    }

    /// Responds that the request was not run, because it has to be sent again with this session token.
    pub(crate) async fn send_session_needed(self, token: &str) {
        let fields = [(headers::OUTCOME, NOT_RUN), (headers::SESSION, token)];
        let reason = "send the request again with the session";
        let status = StatusCode::PRECONDITION_REQUIRED;
        self.send_reason(AnswerOutcome::NotRun, status, &fields, reason)
            .await;
    }

    async fn send_reason(
        self,
        outcome: AnswerOutcome,
        status: StatusCode,
        fields: &[(&'static str, &str)],
        reason: &str,
    ) {
        let mut map = HeaderMap::new();
        for (name, value) in fields {
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(HeaderName::from_static(name), value);
            }
        }
        map.insert("content-type", HeaderValue::from_static("text/plain"));
        let body = Bytes::from(format!("{reason}\n"));
        self.send_whole(outcome, status, map, body).await;
    }
}

impl Drop for AnswerWriter {
    fn drop(&mut self) {
        if let Some(meter) = &self.meter {
            meter.record(self.label());
        }
        if self.complete {
            return;
        }
        if let AnswerTarget::Caller(stream) = &mut self.target {
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
    }
}
