//! Client of a store whose watches are long polls over HTTP.

use crate::api::{
    CallEnd, CatalogueStore, CatalogueWatch, KeyRange, LeaseGrant, LeaseId, RangeResult, StoreEra,
    StoreError, StoreRevision, Transaction, TransactionOutcome, WatchBatch,
};
use crate::budget::{BudgetLimits, CallBudget, CallCounts, CallKind};
use crate::codec::{CallMethod, HttpAnswer, HttpCall, ReadFreshness, StoreCodec};
use crate::connect::ProbedConnector;
use crate::http::{
    classify_body_error, classify_error, millis, not_applied, unknown, unknown_to_not_applied,
};
use ntex::client::{Client, ClientRequest, Connector};
use ntex::http::header::{HeaderMap, CONTENT_TYPE};
use ntex::http::Method;
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::SharedCfg;
use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

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

/// Client of a store with long polls, for use on one thread. Clones share the connections, the call budget and the era.
#[derive(Clone, Debug)]
pub struct PolledStore<C> {
    settings: PolledSettings,
    codec: C,
    /// HTTP client with the connections for the next calls; replaced when a call gets no answer.
    client: Rc<RefCell<Client>>,
    budget: Rc<RefCell<CallBudget>>,
    /// Highest era that an answer has shown; 0 while it is not known.
    era: Rc<watch::Sender<StoreEra>>,
}

/// Status, era and body of an answer.
#[derive(Debug)]
struct ReceivedAnswer {
    status: u16,
    era: StoreEra,
    body: Bytes,
}

impl ReceivedAnswer {
    fn encoded(&self) -> HttpAnswer<'_> {
        HttpAnswer {
            status: self.status,
            era: self.era,
            body: &self.body,
        }
    }
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
            era: Rc::new(watch::Sender::new(0)),
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

    /// Records the era of an answer. An answer from before a restore that is known counts as an error, because its
    /// revisions and leases are none of the store that answers now.
    ///
    /// An unavailable store has not executed the call, so that its answer says nothing about the content.
    fn record_era(&self, answer: &ReceivedAnswer) -> Result<(), StoreError> {
        if answer.status == UNAVAILABLE || answer.era == 0 {
            return Ok(());
        }
        let known = *self.era.borrow();
        if answer.era < known {
            let cause = format!("the answer is of era {}, before {known}", answer.era);
            return Err(unknown(CallEnd::OlderEra, cause));
        }
        self.era
            .send_if_modified(|era| std::mem::replace(era, answer.era) != answer.era);
        Ok(())
    }

    /// Returns whether an answer has shown a restore since `era`, if that is known.
    fn is_restored(&self, era: StoreEra) -> bool {
        era != 0 && *self.era.borrow() != era
    }

    fn era_of(&self, headers: &HeaderMap) -> StoreEra {
        let value = self.codec.era_header().and_then(|name| headers.get(name));
        let value = value.and_then(|value| value.to_str().ok());
        value.map_or(0, |value| self.codec.decode_era(value))
    }

    /// Sends a call and returns the answer; does not charge the budget.
    async fn send(&self, call: HttpCall, limit: Duration) -> Result<ReceivedAnswer, StoreError> {
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
            let era = self.era_of(response.headers());
            let body = response.body().await;
            let body = body.map_err(|error| classify_body_error(&error))?;
            Ok::<_, StoreError>(ReceivedAnswer { status, era, body })
        };
        let answer = match timeout(millis(limit), exchange).await {
            Ok(outcome) => outcome?,
            Err(()) => return Err(self.abandon_connections().await),
        };
        self.record_era(&answer)?;
        Ok(answer)
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
            era: *self.era.borrow(),
            after: from.saturating_sub(1),
            poll_timeout,
        }
    }

    async fn call(&self, kind: CallKind, call: HttpCall) -> Result<ReceivedAnswer, StoreError> {
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
            era: 0,
            revision: StoreRevision::MAX,
            entries: Vec::new(),
        };
        let mut after: Option<String> = None;
        loop {
            let call = self.codec.encode_range(range, freshness, after.as_deref());
            let answer = self.call(CallKind::Read, call).await;
            let answer = answer.map_err(unknown_to_not_applied)?;
            let page = self
                .codec
                .decode_range(range, answer.encoded())
                .map_err(unknown_to_not_applied)?;
            if page.era != 0 && result.era != 0 && page.era != result.era {
                let cause = "the store was restored between two pages of the range";
                return Err(not_applied(CallEnd::OlderEra, cause));
            }
            result.era = result.era.max(page.era);
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

    fn era(&self) -> StoreEra {
        *self.era.borrow()
    }

    async fn wait_for_restore(&self, era: StoreEra) {
        let mut eras = self.era.subscribe();
        let mut before = era;
        loop {
            let known = *eras.borrow_and_update();
            match before {
                0 => before = known,
                _ if known > before => return,
                _ => {}
            }
            // The sender lives as long as `self`.
            if eras.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    async fn range(&self, range: &KeyRange) -> Result<RangeResult, StoreError> {
        self.read_pages(range, ReadFreshness::Current).await
    }

    async fn range_stale(&self, range: &KeyRange) -> Result<RangeResult, StoreError> {
        self.read_pages(range, ReadFreshness::Stale).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let call = self.codec.encode_commit(transaction)?;
        let answer = self.call(CallKind::Write, call).await?;
        self.codec.decode_commit(answer.encoded())
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let call = self.codec.encode_grant(ttl);
        let answer = self.call(CallKind::Write, call).await?;
        self.codec.decode_grant(None, answer.encoded())
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<LeaseGrant, StoreError> {
        let call = self.codec.encode_renewal(id);
        let answer = self.call(CallKind::Read, call).await?;
        self.codec.decode_grant(Some(id), answer.encoded())
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), StoreError> {
        let call = self.codec.encode_revocation(id);
        let answer = self.call(CallKind::Write, call).await?;
        match answer.status {
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
    /// Era in which the revisions count; 0 while it is not known.
    era: StoreEra,
    /// Store revision up to which all changes have been received.
    after: StoreRevision,
    /// Time after which the store answers a poll without changes.
    poll_timeout: Duration,
}

impl<C: StoreCodec> CatalogueWatch for PolledWatch<C> {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        let compacted = WatchBatch::Compacted {
            revision: self.after,
        };
        if self.store.is_restored(self.era) {
            return Ok(compacted);
        }
        let codec = &self.store.codec;
        let call = codec.encode_watch(&self.range, self.after, self.poll_timeout);
        self.store
            .budget
            .borrow_mut()
            .charge(CallKind::Read, Instant::now())?;
        let limit = self.poll_timeout + self.store.settings.call_timeout;
        let answer = match self.store.send(call, limit).await {
            Err(error) if error.end() == CallEnd::OlderEra => return Ok(compacted),
            answer => answer.map_err(unknown_to_not_applied)?,
        };
        // The revisions before and after a restore are those of different changes, whether the answer has changes or not.
        if self.store.is_restored(self.era) {
            return Ok(compacted);
        }
        self.era = self.store.era();
        let batch = codec
            .decode_watch(&self.range, self.after, answer.encoded())
            .map_err(unknown_to_not_applied)?;
        if let WatchBatch::Events { revision, .. } = &batch {
            self.after = self.after.max(*revision);
        }
        Ok(batch)
    }
}
