//! Answers towards callers.

use super::headers;
use super::transport::CallerSend;
use bytes::Bytes;
use h3::error::{Code, StreamError};
use h3::server::RequestStream;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

/// Text of the outcome header for requests that were not run.
const NOT_RUN: &str = "not-run";

/// Text of the outcome header for requests that may have run.
const UNKNOWN: &str = "unknown";

/// Seconds after which a caller may try again.
const RETRY_AFTER_S: &str = "1";

/// Sending half of a caller's request.
///
/// QUIC ends a dropped stream as if it were complete, so that an answer that was cut short has to be reset.
pub(crate) struct AnswerWriter {
    stream: RequestStream<CallerSend, Bytes>,
    complete: bool,
}

impl AnswerWriter {
    /// Takes over the sending half of a request.
    pub(crate) fn new(stream: RequestStream<CallerSend, Bytes>) -> Self {
        Self {
            stream,
            complete: false,
        }
    }

    /// Sends status and header fields.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub(crate) async fn head(
        &mut self,
        status: StatusCode,
        fields: HeaderMap,
    ) -> Result<(), StreamError> {
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = fields;
        self.stream.send_response(response).await
    }

    /// Sends bytes of the body, as fast as the caller takes them.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub(crate) async fn data(&mut self, data: Bytes) -> Result<(), StreamError> {
        self.stream.send_data(data).await
    }

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub(crate) async fn finish(mut self) -> Result<(), StreamError> {
        self.stream.finish().await?;
        self.complete = true;
        Ok(())
    }

    /// Rejects a request without an answer; it was not run.
    pub(crate) fn reject(mut self) {
        self.stream.stop_stream(Code::H3_REQUEST_REJECTED);
        self.complete = true;
    }

    /// Sends a whole answer; a caller that is gone needs none.
    pub(crate) async fn whole(mut self, status: StatusCode, fields: HeaderMap, body: Bytes) {
        if self.head(status, fields).await.is_err() {
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
        self.explain(status, &fields, reason).await;
    }

    /// Answers that the request may have run.
    pub(crate) async fn unknown(self, status: StatusCode, reason: &str) {
        self.explain(status, &[(headers::OUTCOME, UNKNOWN)], reason)
            .await;
    }

    /// Answers that the request was not run, because it needs this session token.
    pub(crate) async fn session_needed(self, token: &str) {
        let fields = [(headers::OUTCOME, NOT_RUN), (headers::SESSION, token)];
        let reason = "send the request again with the session";
        self.explain(StatusCode::PRECONDITION_REQUIRED, &fields, reason)
            .await;
    }

    async fn explain(self, status: StatusCode, fields: &[(&'static str, &str)], reason: &str) {
        let mut map = HeaderMap::new();
        for (name, value) in fields {
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(HeaderName::from_static(name), value);
            }
        }
        map.insert("content-type", HeaderValue::from_static("text/plain"));
        let body = Bytes::from(format!("{reason}\n"));
        self.whole(status, map, body).await;
    }
}

impl Drop for AnswerWriter {
    fn drop(&mut self) {
        if !self.complete {
            self.stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
    }
}
