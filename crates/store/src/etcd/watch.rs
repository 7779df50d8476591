//! The streamed response of a watch, which holds one JSON object per line.

use super::message::{StreamLine, WatchAnswer};
use super::ANSWER_MAX_BYTES;
use crate::api::{CallEnd, CatalogueWatch, StoreError, WatchBatch};
use crate::budget::CallBudget;
use crate::http::{classify_body_error, not_applied, unknown_to_not_applied};
use futures_util::StreamExt;
use ntex::client::ClientResponse;
use std::cell::RefCell;
use std::rc::Rc;

/// Holds the place of one watch in the call budget until it is dropped.
#[derive(Debug)]
pub(super) struct WatchGuard {
    budget: Rc<RefCell<CallBudget>>,
}

impl WatchGuard {
    pub(super) fn new(budget: Rc<RefCell<CallBudget>>) -> Self {
        Self { budget }
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.budget.borrow_mut().watch_ended();
    }
}

/// An open watch; dropping it closes its connection and frees its place in the call budget.
#[derive(Debug)]
pub struct EtcdWatch {
    response: ClientResponse,
    buffer: Vec<u8>,
    _guard: WatchGuard,
}

impl EtcdWatch {
    pub(super) fn new(response: ClientResponse, guard: WatchGuard) -> Self {
        Self {
            response,
            buffer: Vec::new(),
            _guard: guard,
        }
    }

    /// Removes and returns the first line of the buffer, if it is complete.
    fn pop_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        let rest = self.buffer.split_off(end + 1);
        Some(std::mem::replace(&mut self.buffer, rest))
    }
}

impl CatalogueWatch for EtcdWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        loop {
            if let Some(line) = self.pop_line() {
                return decode_line(&line);
            }
            if self.buffer.len() > ANSWER_MAX_BYTES {
                return Err(not_applied(
                    CallEnd::Unreadable,
                    "a watch message exceeds the size limit",
                ));
            }
            match self.response.next().await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(error)) => {
                    return Err(unknown_to_not_applied(classify_body_error(&error)))
                }
                None => return Err(not_applied(CallEnd::Cut, "the store closed the watch")),
            }
        }
    }
}

fn decode_line(line: &[u8]) -> Result<WatchBatch, StoreError> {
    let line: StreamLine<WatchAnswer> = serde_json::from_slice(line).map_err(unreadable)?;
    match (line.result, line.error) {
        (Some(answer), _) => answer.decode().map_err(unreadable),
        (None, Some(error)) => Err(not_applied(CallEnd::OtherStatus, error)),
        (None, None) => Err(unreadable(
            "a watch message has neither a result nor an error",
        )),
    }
}

fn unreadable(cause: impl ToString) -> StoreError {
    not_applied(CallEnd::Unreadable, cause)
}
