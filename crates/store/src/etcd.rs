//! Client of the etcd v3 API in its HTTP/JSON form.

mod message;
mod watch;

pub use watch::EtcdWatch;

use crate::api::{
    CallEnd, CatalogueStore, KeyRange, LeaseGrant, LeaseId, RangeResult, StoreError, StoreRevision,
    Transaction, TransactionOutcome,
};
use crate::budget::{BudgetLimits, CallBudget, CallCounts, CallKind};
use crate::http::{
    classify_body_error, classify_error, millis, not_applied, unknown, unknown_to_not_applied,
};
use message::{ErrorAnswer, LeaseAnswer, RangeAnswer, StreamLine, TransactionAnswer};
use ntex::client::{Client, ClientResponse};
use ntex::time::timeout;
use ntex::SharedCfg;
use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest response body and largest watch message that is accepted, in bytes; 12,000 services of 400 bytes take
/// 6.4 MB in base64.
const ANSWER_MAX_BYTES: usize = 32 << 20;

/// Lowest HTTP status of a server error, after which the call may have taken effect.
const SERVER_ERROR: u16 = 500;

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct EtcdSettings {
    /// Base URLs of the store's members, such as `http://10.0.0.5:2379`, in the order in which they are tried.
    pub urls: Vec<String>,
    /// Longest wait for the answer to one call.
    pub call_timeout: Duration,
    /// Rate limits on the calls of this instance.
    pub limits: BudgetLimits,
}

impl EtcdSettings {
    /// Makes settings with a timeout of 2 s and the default limits.
    pub fn new(urls: Vec<String>) -> Self {
        Self {
            urls,
            call_timeout: Duration::from_secs(2),
            limits: BudgetLimits::default(),
        }
    }
}

/// Client of the etcd v3 API, for use on one thread. Clones share the connections and the call budget.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    settings: EtcdSettings,
    client: Client,
    budget: Rc<RefCell<CallBudget>>,
    /// Index of the base URL that the next call tries first: the one that answered last, or the one after it if the
    /// outcome of its last call is unknown.
    preferred: Cell<usize>,
}

impl EtcdStore {
    /// Makes a client on the ntex system of the calling thread. Connections are opened by the first calls.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotApplied`] if there is no base URL or the HTTP client cannot be set up.
    pub async fn new(settings: EtcdSettings) -> Result<Self, StoreError> {
        if settings.urls.is_empty() {
            return Err(not_applied(
                CallEnd::NotMade,
                "no address of the store is set",
            ));
        }
        let client = Client::builder()
            .response_timeout(millis(settings.call_timeout))
            .disable_redirects()
            .response_payload_limit(ANSWER_MAX_BYTES)
            .response_payload_timeout(millis(settings.call_timeout))
            .build(SharedCfg::default())
            .await
            .map_err(|error| not_applied(CallEnd::NotMade, error))?;
        let budget = CallBudget::new(settings.limits, Instant::now());
        Ok(Self {
            settings,
            client,
            budget: Rc::new(RefCell::new(budget)),
            preferred: Cell::new(0),
        })
    }

    /// Returns the counters of the call budget that all clones share.
    pub fn counts(&self) -> CallCounts {
        self.budget.borrow().counts()
    }

    /// Returns the rate limits from the settings, for the metrics.
    pub fn limits(&self) -> BudgetLimits {
        self.settings.limits
    }

    /// Sends a call to the base URLs in turn. It moves on to the next one only after an error that certainly had no
    /// effect, so that no call is executed twice.
    async fn send(&self, path: &str, body: &Value) -> Result<ClientResponse, StoreError> {
        let count = self.settings.urls.len();
        let mut last_error = not_applied(CallEnd::NotMade, "no address of the store is set");
        for step in 0..count {
            let index = (self.preferred.get() + step) % count;
            let url = format!("{}{path}", self.settings.urls[index].trim_end_matches('/'));
            match self.send_to(&url, body).await {
                Ok(response) => {
                    self.preferred.set(index);
                    return Ok(response);
                }
                Err(error) if error.may_have_applied() => {
                    // The next call starts at another member, since this one may hang.
                    self.preferred.set((index + 1) % count);
                    return Err(error);
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn send_to(&self, url: &str, body: &Value) -> Result<ClientResponse, StoreError> {
        let request = self.client.post(url);
        let limit = millis(self.settings.call_timeout);
        match timeout(limit, request.send_json(body)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify_error(&error)),
            Err(()) => Err(unknown(CallEnd::Unanswered, "no answer within the timeout")),
        }
    }

    async fn call<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T, StoreError> {
        let response = self.send(path, body).await?;
        let status = response.status().as_u16();
        let bytes = response.body().await;
        let bytes = bytes.map_err(|error| classify_body_error(&error))?;
        if response.status().is_success() {
            return serde_json::from_slice(&bytes)
                .map_err(|error| unknown(CallEnd::Unreadable, error));
        }
        Err(error_from_response(status, &bytes))
    }

    fn charge(&self, kind: CallKind) -> Result<(), StoreError> {
        self.budget.borrow_mut().charge(kind, Instant::now())?;
        Ok(())
    }
}

impl CatalogueStore for EtcdStore {
    type Watch = EtcdWatch;

    async fn range(&self, range: &KeyRange) -> Result<RangeResult, StoreError> {
        self.charge(CallKind::Read)?;
        let body = message::range_body(range);
        let answer: RangeAnswer = self
            .call("/v3/kv/range", &body)
            .await
            .map_err(unknown_to_not_applied)?;
        let mut entries = Vec::with_capacity(answer.kvs.len());
        for pair in answer.kvs {
            entries.push(
                pair.decode()
                    .map_err(|error| not_applied(CallEnd::Unreadable, error))?,
            );
        }
        Ok(RangeResult {
            era: 0,
            revision: answer.header.revision,
            entries,
        })
    }

    async fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        self.charge(CallKind::Write)?;
        let body = message::transaction_body(transaction);
        let answer: TransactionAnswer = self.call("/v3/kv/txn", &body).await?;
        let revision = answer.header.revision;
        match answer.succeeded {
            true => Ok(TransactionOutcome::Committed { era: 0, revision }),
            false => Ok(TransactionOutcome::Conflict(revision)),
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        self.charge(CallKind::Write)?;
        let body = json!({ "TTL": ttl.as_secs().max(1).to_string(), "ID": "0" });
        let answer: LeaseAnswer = self.call("/v3/lease/grant", &body).await?;
        Ok(lease_grant(answer.id, answer.ttl))
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<LeaseGrant, StoreError> {
        self.charge(CallKind::Write)?;
        let body = json!({ "ID": id.to_string() });
        let line: StreamLine<LeaseAnswer> = self.call("/v3/lease/keepalive", &body).await?;
        if let Some(error) = line.error {
            return Err(unknown(CallEnd::OtherStatus, error));
        }
        // For a lease that has ended the store answers with a TTL of 0, which the JSON form omits.
        match line.result {
            Some(answer) if answer.ttl > 0 => Ok(lease_grant(id, answer.ttl)),
            _ => Err(StoreError::LeaseNotFound { id }),
        }
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), StoreError> {
        self.charge(CallKind::Write)?;
        let body = json!({ "ID": id.to_string() });
        let _: Value = self.call("/v3/lease/revoke", &body).await?;
        Ok(())
    }

    async fn watch(&self, range: &KeyRange, from: StoreRevision) -> Result<EtcdWatch, StoreError> {
        self.charge(CallKind::Watch)?;
        let guard = watch::WatchGuard::new(self.budget.clone());
        let body = message::watch_body(range, from);
        let response = self
            .send("/v3/watch", &body)
            .await
            .map_err(unknown_to_not_applied)?;
        let status = response.status().as_u16();
        if response.status().is_success() {
            return Ok(EtcdWatch::new(response, guard));
        }
        let bytes = response.body().await;
        let bytes = bytes.map_err(|error| unknown_to_not_applied(classify_body_error(&error)))?;
        Err(unknown_to_not_applied(error_from_response(status, &bytes)))
    }
}

fn lease_grant(id: LeaseId, ttl_s: i64) -> LeaseGrant {
    let ttl = Duration::from_secs(u64::try_from(ttl_s).unwrap_or(0));
    LeaseGrant { id, era: 0, ttl }
}

fn error_from_response(status: u16, body: &[u8]) -> StoreError {
    let message = match serde_json::from_slice::<ErrorAnswer>(body) {
        Ok(answer) => answer.message,
        Err(_) => String::from_utf8_lossy(body).into_owned(),
    };
    match status >= SERVER_ERROR {
        true => unknown(
            CallEnd::of_status(status),
            format!("status {status}: {message}"),
        ),
        false => StoreError::Refused { status, message },
    }
}
