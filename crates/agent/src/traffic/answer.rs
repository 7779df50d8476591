//! Answers towards callers.

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

/// Text of the outcome header for requests that were not run.
const NOT_RUN: &str = "not-run";

/// Text of the outcome header for requests that may have run.
const UNKNOWN: &str = "unknown";

/// Seconds after which a caller may try again.
const RETRY_AFTER_S: &str = "1";

/// The caller, or the peer that passed its request, is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallerGone;

/// Whom an answer goes to.
enum AnswerPath {
    Caller(Box<RequestStream<CallerSend, Bytes>>),
    Peer(Rc<PeerLink>),
}

/// Sending half of a request.
///
/// QUIC ends a dropped stream as if it were complete, so that an answer that was cut short has to be reset. A peer
/// learns it from the end of the connection.
pub(crate) struct AnswerWriter {
    path: AnswerPath,
    complete: bool,
    outcome: AnswerOutcome,
    meter: Option<RequestMeter>,
}

/// Records how long a request took and how it ended.
pub(crate) struct RequestMeter {
    /// Where it is recorded.
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
    /// Takes over the sending half of a caller's request.
    pub(crate) fn new(stream: RequestStream<CallerSend, Bytes>) -> Self {
        Self {
            path: AnswerPath::Caller(Box::new(stream)),
            complete: false,
            outcome: AnswerOutcome::Answered,
            meter: None,
        }
    }

    /// Answers a request that a peer passed.
    pub(crate) fn to_peer(link: Rc<PeerLink>) -> Self {
        Self {
            path: AnswerPath::Peer(link),
            complete: false,
            outcome: AnswerOutcome::Answered,
            meter: None,
        }
    }

    /// Records the request when its answer ends.
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

    /// Sends status and header fields of an answer with this outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub(crate) async fn head(
        &mut self,
        outcome: AnswerOutcome,
        status: StatusCode,
        fields: HeaderMap,
    ) -> Result<(), CallerGone> {
        self.outcome = outcome;
        let stream = match &mut self.path {
            AnswerPath::Caller(stream) => stream,
            AnswerPath::Peer(link) => {
                let sent = link.head(outcome, status, &fields).await;
                return sent.map_err(|_| CallerGone);
            }
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = fields;
        stream.send_response(response).await.map_err(|_| CallerGone)
    }

    /// Sends bytes of the body, as fast as the caller takes them.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub(crate) async fn data(&mut self, data: Bytes) -> Result<(), CallerGone> {
        match &mut self.path {
            AnswerPath::Caller(stream) => stream.send_data(data).await.map_err(|_| CallerGone),
            AnswerPath::Peer(link) => link.data(data).await.map_err(|_| CallerGone),
        }
    }

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub(crate) async fn finish(mut self) -> Result<(), CallerGone> {
        match &mut self.path {
            AnswerPath::Caller(stream) => stream.finish().await.map_err(|_| CallerGone)?,
            AnswerPath::Peer(link) => link.end().await.map_err(|_| CallerGone)?,
        }
        self.complete = true;
        Ok(())
    }

    /// Sends a whole answer of the upstream; a caller that is gone needs none.
    pub(crate) async fn whole(self, status: StatusCode, fields: HeaderMap, body: Bytes) {
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
        if self.head(outcome, status, fields).await.is_err() {
            return;
        }
        if !body.is_empty() && self.data(body).await.is_err() {
            return;
        }
        let _ = self.finish().await;
    }

    /// Answers that the request was not run.
    pub(crate) async fn not_run(self, status: StatusCode, reason: &str) {
        let fields = [(headers::OUTCOME, NOT_RUN), ("retry-after", RETRY_AFTER_S)];
        self.explain(AnswerOutcome::NotRun, status, &fields, reason)
            .await;
    }

    /// Answers that the request may have run.
    pub(crate) async fn unknown(self, status: StatusCode, reason: &str) {
        let fields = [(headers::OUTCOME, UNKNOWN)];
        self.explain(AnswerOutcome::Unknown, status, &fields, reason)
            .await;
    }

    /// Answers that the request was not run, because it needs this session token.
    pub(crate) async fn session_needed(self, token: &str) {
        let fields = [(headers::OUTCOME, NOT_RUN), (headers::SESSION, token)];
        let reason = "send the request again with the session";
        let status = StatusCode::PRECONDITION_REQUIRED;
        self.explain(AnswerOutcome::NotRun, status, &fields, reason)
            .await;
    }

    async fn explain(
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
        if let AnswerPath::Caller(stream) = &mut self.path {
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
    }
}
