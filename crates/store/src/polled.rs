//! Client of a store whose watches are long polls over HTTP.

use crate::api::{
    CallEnd, CatalogueStore, CatalogueWatch, KeyRange, LeaseGrant, LeaseId, RangeResult,
    StoreError, StoreRevision, Transaction, TransactionOutcome, WatchBatch,
};
use crate::budget::{BudgetLimits, CallBudget, CallCounts, CallKind};
use crate::codec::{CallMethod, HttpAnswer, HttpCall, ReadFreshness, StoreCodec};
use crate::connect::ProbedConnector;
use crate::http::{
    classify_body_error, classify_error, millis, not_applied, unknown, unknown_to_not_applied,
};
use ntex::client::{Client, ClientRequest, Connector};
use ntex::http::header::CONTENT_TYPE;
use ntex::http::Method;
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::SharedCfg;
use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest response body that is accepted, in bytes; the platform's pages hold at most 1 MB.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// HTTP status by which the store reports that it is unavailable and has not executed the call.
const UNAVAILABLE: u16 = 503;

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct PolledSettings {
    /// Address of the store's HTTP server.
    pub address: SocketAddrV4,
    /// Longest wait for the answer to one call; for a long poll it is added to `poll_timeout`.
    pub call_timeout: Duration,
    /// Time after which the store answers a long poll even without changes. A lost answer is noticed only after this
    /// time plus `call_timeout`: the connection may live and still never bring it.
    pub poll_timeout: Duration,
    /// The same for the polls of [`CatalogueStore::watch_long`].
    pub long_poll_timeout: Duration,
    /// Rate limits on the calls of this instance.
    pub limits: BudgetLimits,
}

/// Client of a store with long polls, for use on one thread. Clones share the connections and the call budget.
#[derive(Clone, Debug)]
pub struct PolledStore<C> {
    settings: PolledSettings,
    codec: C,
    /// HTTP client with the connections for the next calls; replaced when a call gets no answer.
    client: Rc<RefCell<Client>>,
    budget: Rc<RefCell<CallBudget>>,
}

/// Makes an HTTP client without connections.
async fn open_client(settings: &PolledSettings) -> Result<Client, impl Display> {
    Client::builder()
        .connector::<()>(Connector::new().connector(ProbedConnector))
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(ANSWER_MAX_BYTES)
        .response_payload_timeout(millis(settings.call_timeout))
        .build(SharedCfg::default())
        .await
}

impl<C: StoreCodec> PolledStore<C> {
    /// Makes a client on the ntex system of the calling thread. Connections are opened by the first calls.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotApplied`] if the HTTP client cannot be set up.
    pub async fn new(settings: PolledSettings, codec: C) -> Result<Self, StoreError> {
        let client = open_client(&settings).await;
        let client = client.map_err(|error| not_applied(CallEnd::NotMade, error))?;
        let budget = CallBudget::new(settings.limits, Instant::now());
        Ok(Self {
            settings,
            codec,
            client: Rc::new(RefCell::new(client)),
            budget: Rc::new(RefCell::new(budget)),
        })
    }

    /// Returns the counters of the call budget that all clones share.
    pub fn counts(&self) -> CallCounts {
        self.budget.borrow().counts()
    }

    fn request(&self, call: &HttpCall) -> ClientRequest {
        let address = self.settings.address;
        let method = match call.method {
            CallMethod::Get => Method::GET,
            CallMethod::Post => Method::POST,
            CallMethod::Delete => Method::DELETE,
        };
        let url = format!("http://{address}{}", call.path);
        // With an explicit address the client skips name resolution.
        let client = self.client.borrow();
        client.request(method, url).address(address.into())
    }

    /// Sends a call and returns status and body of the answer; does not charge the budget.
    async fn send(&self, call: HttpCall, limit: Duration) -> Result<(u16, Bytes), StoreError> {
        let request = self.request(&call);
        let exchange = async {
            let sent = match call.body {
                Some(body) => {
                    let request = request.header(CONTENT_TYPE, "application/json");
                    request.send_body(body).await
                }
                None => request.send().await,
            };
            let response = sent.map_err(|error| classify_error(&error))?;
            let status = response.status().as_u16();
            let body = response.body().await;
            let body = body.map_err(|error| classify_body_error(&error))?;
            Ok((status, body))
        };
        match timeout(millis(limit), exchange).await {
            Ok(outcome) => outcome,
            Err(()) => Err(self.abandon_connections().await),
        }
    }

    /// Opens new connections for the calls that follow, and returns the error of the call that had no answer.
    ///
    /// What silenced one connection may have silenced the idle ones too, and each of them would cost a later call its
    /// whole timeout. Calls that wait for their answers keep their connections.
    async fn abandon_connections(&self) -> StoreError {
        let cause = match open_client(&self.settings).await {
            Ok(client) => {
                self.client.replace(client);
                String::from("no answer within the timeout")
            }
            Err(error) => format!("no answer within the timeout, and no new connections: {error}"),
        };
        unknown(CallEnd::Unanswered, cause)
    }

    fn open_watch(
        &self,
        range: &KeyRange,
        from: StoreRevision,
        poll_timeout: Duration,
    ) -> PolledWatch<C> {
        PolledWatch {
            store: self.clone(),
            range: range.clone(),
            after: from.saturating_sub(1),
            poll_timeout,
        }
    }

    async fn call(&self, kind: CallKind, call: HttpCall) -> Result<(u16, Bytes), StoreError> {
        self.budget.borrow_mut().charge(kind, Instant::now())?;
        let limit = self.settings.call_timeout;
        self.send(call, limit).await
    }

    async fn read_pages(
        &self,
        range: &KeyRange,
        freshness: ReadFreshness,
    ) -> Result<RangeResult, StoreError> {
        let mut result = RangeResult {
            revision: StoreRevision::MAX,
            entries: Vec::new(),
        };
        let mut after: Option<String> = None;
        loop {
            let call = self.codec.encode_range(range, freshness, after.as_deref());
            let answer = self.call(CallKind::Read, call).await;
            let (status, body) = answer.map_err(unknown_to_not_applied)?;
            let answer = HttpAnswer {
                status,
                body: &body,
            };
            let page = self
                .codec
                .decode_range(range, answer)
                .map_err(unknown_to_not_applied)?;
            // The pages are read at different revisions. The lowest is reported, so that a watch from there misses no
            // change to a page that was read earlier.
            result.revision = result.revision.min(page.revision);
            // An item that cannot be decoded may have no key, from which no page can begin.
            let keys = page.entries.iter().map(|entry| &entry.key);
            let next = keys.filter(|key| !key.is_empty()).max().cloned();
            let advances = next > after;
            after = next;
            result.entries.extend(page.entries);
            if !page.more {
                return Ok(result);
            }
            if !advances {
                return Err(not_applied(
                    CallEnd::Unreadable,
                    "a page of the range does not advance",
                ));
            }
        }
    }
}

impl<C: StoreCodec> CatalogueStore for PolledStore<C> {
    type Watch = PolledWatch<C>;

    async fn range(&self, range: &KeyRange) -> Result<RangeResult, StoreError> {
        self.read_pages(range, ReadFreshness::Current).await
    }

    async fn range_stale(&self, range: &KeyRange) -> Result<RangeResult, StoreError> {
        self.read_pages(range, ReadFreshness::Stale).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let call = self.codec.encode_commit(transaction)?;
        let (status, body) = self.call(CallKind::Write, call).await?;
        self.codec.decode_commit(HttpAnswer {
            status,
            body: &body,
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let call = self.codec.encode_grant(ttl);
        let (status, body) = self.call(CallKind::Write, call).await?;
        let answer = HttpAnswer {
            status,
            body: &body,
        };
        self.codec.decode_grant(None, answer)
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<LeaseGrant, StoreError> {
        let call = self.codec.encode_renewal(id);
        let (status, body) = self.call(CallKind::Read, call).await?;
        let answer = HttpAnswer {
            status,
            body: &body,
        };
        self.codec.decode_grant(Some(id), answer)
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), StoreError> {
        let call = self.codec.encode_revocation(id);
        let (status, _) = self.call(CallKind::Write, call).await?;
        match status {
            200..=299 => Ok(()),
            404 => Err(StoreError::LeaseNotFound { id }),
            UNAVAILABLE => Err(not_applied(
                CallEnd::Unavailable,
                "the store is unavailable",
            )),
            status => Err(unknown(
                CallEnd::of_status(status),
                format!("status {status}"),
            )),
        }
    }

    async fn watch(
        &self,
        range: &KeyRange,
        from: StoreRevision,
    ) -> Result<PolledWatch<C>, StoreError> {
        Ok(self.open_watch(range, from, self.settings.poll_timeout))
    }

    async fn watch_long(
        &self,
        range: &KeyRange,
        from: StoreRevision,
    ) -> Result<PolledWatch<C>, StoreError> {
        Ok(self.open_watch(range, from, self.settings.long_poll_timeout))
    }
}

/// A watch in which each message is the answer to one long poll, without events if nothing changed.
#[derive(Debug)]
pub struct PolledWatch<C> {
    store: PolledStore<C>,
    range: KeyRange,
    /// Store revision up to which all changes have been received.
    after: StoreRevision,
    /// Time after which the store answers a poll without changes.
    poll_timeout: Duration,
}

impl<C: StoreCodec> CatalogueWatch for PolledWatch<C> {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        let codec = &self.store.codec;
        let call = codec.encode_watch(&self.range, self.after, self.poll_timeout);
        self.store
            .budget
            .borrow_mut()
            .charge(CallKind::Read, Instant::now())?;
        let limit = self.poll_timeout + self.store.settings.call_timeout;
        let (status, body) = self
            .store
            .send(call, limit)
            .await
            .map_err(unknown_to_not_applied)?;
        let answer = HttpAnswer {
            status,
            body: &body,
        };
        let batch = codec
            .decode_watch(&self.range, self.after, answer)
            .map_err(unknown_to_not_applied)?;
        if let WatchBatch::Events { revision, .. } = &batch {
            self.after = self.after.max(*revision);
        }
        Ok(batch)
    }
}
