//! Runs each keyed request at most once.
//!
//! A caller sends a request that is not safe to retry with an idempotency key and a session token. The endpoint that
//! issued the token stores the outcome of each key and returns it for every copy of the request. An endpoint that
//! cannot know the outcome responds that it is unknown and never runs the request. See docs/design.md, decision 5.

use crate::ids::{EndpointId, IncarnationNumber};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime};

/// Validity of a session token, and the minimum time for which a key is stored.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum length of an idempotency key, in bytes.
pub const KEY_MAX: usize = 128;

/// Identifies the endpoint that stores the outcomes of a caller's keyed requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionToken {
    /// Endpoint that issued the token and stores the outcomes.
    pub issuer: EndpointId,
    /// Incarnation of that endpoint; a later incarnation has lost the outcomes.
    pub incarnation: IncarnationNumber,
    /// When the token expires; wall time, because the token leaves the process.
    pub expires: SystemTime,
}

/// Identifies a keyed request; all sessions of one issuer share its keys.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OnceKey {
    /// Endpoint that issued the session token.
    pub issuer: EndpointId,
    /// Idempotency key chosen by the caller.
    pub key: String,
}

/// A response that is small enough to store for copies of the request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code of the upstream's response.
    pub status: u16,
    /// Header fields in the order received.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body, collected while the response is sent to the caller.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}

/// Why the outcome of a keyed request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownReason {
    /// Another endpoint issued the token and cannot be reached, or the request was already forwarded once.
    OtherEndpoint,
    /// An earlier incarnation of this endpoint issued the token.
    OldIncarnation,
    /// The token has expired.
    Expired,
    /// The token cannot be parsed or authenticated, for example because its control key was retired.
    Unreadable,
    /// The request ran, but its response was too large, or the table had no space left for it.
    AnswerNotKept,
    /// The request may have run, but the upstream or the peer failed, or the deadline passed, before the response was
    /// complete.
    Lost,
}

impl UnknownReason {
    /// Returns the text of the response body for the caller.
    pub fn text(self) -> &'static str {
        match self {
            UnknownReason::OtherEndpoint => "the session belongs to another endpoint",
            UnknownReason::OldIncarnation => {
                "the session belongs to an earlier run of the endpoint"
            }
            UnknownReason::Expired => "the session has expired",
            UnknownReason::Unreadable => "the session token is not valid",
            UnknownReason::AnswerNotKept => "the request ran and its answer was not kept",
            UnknownReason::Lost => "the upstream was lost while the request ran",
        }
    }
}

/// What to do with a keyed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OnceDecision {
    /// Run the request, then report its outcome with [`OnceController::finish`].
    Run,
    /// A copy of the request is in progress.
    InProgress,
    /// Return the stored response of the first copy.
    Stored(StoredAnswer),
    /// The outcome is unknown; don't run the request.
    Unknown(UnknownReason),
    /// The table is full, and no stored key has expired; the request is not run.
    Full,
    /// The key was used for a request with another fingerprint; this one is not run.
    Mismatch,
}

/// How a keyed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OnceOutcome {
    /// The upstream responded, and the response is small enough to store.
    Answered(StoredAnswer),
    /// The upstream responded, and the response is too large to store.
    AnsweredLarge,
    /// The request may have run, but there is no response.
    Lost,
    /// The request was not run, so a copy may run.
    NotRun,
}

#[derive(Debug)]
enum OnceState {
    InProgress,
    Stored(StoredAnswer),
    Unknown(UnknownReason),
}

#[derive(Debug)]
struct OnceEntry {
    fingerprint: u64,
    state: OnceState,
}

/// Memory limits of the idempotency table.
#[derive(Clone, Copy, Debug)]
pub struct OnceLimits {
    /// Maximum number of keys; further keyed requests are refused, because an unexpired key is never evicted.
    pub keys: usize,
    /// Maximum total size of the stored responses, in bytes; a response beyond it is not stored.
    pub answer_bytes: usize,
}

impl Default for OnceLimits {
    fn default() -> Self {
        Self {
            keys: 65_536,
            answer_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Table of the keyed requests of one endpoint and their outcomes.
#[derive(Debug)]
pub struct OnceController {
    endpoint: EndpointId,
    incarnation: IncarnationNumber,
    limits: OnceLimits,
    entries: HashMap<OnceKey, OnceEntry>,
    // All entries have the same lifetime, so insertion order is expiry order.
    order: VecDeque<(Instant, OnceKey)>,
    stored_bytes: usize,
}

impl OnceController {
    /// Creates the empty table of one incarnation of an endpoint.
    pub fn new(endpoint: EndpointId, incarnation: IncarnationNumber, limits: OnceLimits) -> Self {
        Self {
            endpoint,
            incarnation,
            limits,
            entries: HashMap::new(),
            order: VecDeque::new(),
            stored_bytes: 0,
        }
    }

    /// Issues a session token for a caller that has none; `wall` is the current wall time.
    pub fn issue_token(&self, wall: SystemTime) -> SessionToken {
        SessionToken {
            issuer: self.endpoint,
            incarnation: self.incarnation,
            expires: wall + TOKEN_LIFETIME,
        }
    }

    /// Checks that this incarnation of the endpoint issued the token and the token has not expired.
    ///
    /// # Errors
    ///
    /// Returns why the outcome of a request with this token is unknown.
    pub fn check_token(&self, token: &SessionToken, wall: SystemTime) -> Result<(), UnknownReason> {
        if token.issuer != self.endpoint {
            return Err(UnknownReason::OtherEndpoint);
        }
        if token.incarnation != self.incarnation {
            return Err(UnknownReason::OldIncarnation);
        }
        if token.expires <= wall {
            return Err(UnknownReason::Expired);
        }
        Ok(())
    }

    /// Decides what to do with a keyed request whose token passed [`OnceController::check_token`].
    ///
    /// `fingerprint` is a hash of the request's method, path and query. It detects a key that is reused for another
    /// request.
    pub fn begin(&mut self, key: &OnceKey, fingerprint: u64, now: Instant) -> OnceDecision {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get(key) {
            if entry.fingerprint != fingerprint {
                return OnceDecision::Mismatch;
            }
            return match &entry.state {
                OnceState::InProgress => OnceDecision::InProgress,
                OnceState::Stored(answer) => OnceDecision::Stored(answer.clone()),
                OnceState::Unknown(reason) => OnceDecision::Unknown(*reason),
            };
        }
        if self.order.len() >= self.limits.keys {
            return OnceDecision::Full;
        }
        let expires_at = now + TOKEN_LIFETIME;
        let entry = OnceEntry {
            fingerprint,
            state: OnceState::InProgress,
        };
        self.entries.insert(key.clone(), entry);
        self.order.push_back((expires_at, key.clone()));
        OnceDecision::Run
    }

    /// Records the outcome of a request for which [`OnceDecision::Run`] was returned.
    pub fn finish(&mut self, key: &OnceKey, outcome: OnceOutcome) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.state = match outcome {
            OnceOutcome::NotRun => {
                self.entries.remove(key);
                self.order.retain(|(_, other)| other != key);
                return;
            }
            OnceOutcome::Lost => OnceState::Unknown(UnknownReason::Lost),
            OnceOutcome::AnsweredLarge => OnceState::Unknown(UnknownReason::AnswerNotKept),
            OnceOutcome::Answered(answer) => {
                let size = answer.size();
                if self.stored_bytes + size > self.limits.answer_bytes {
                    OnceState::Unknown(UnknownReason::AnswerNotKept)
                } else {
                    self.stored_bytes += size;
                    OnceState::Stored(answer)
                }
            }
        };
    }

    /// Returns the number of keys in the table, including those of requests in progress.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, key)) = self.order.front() {
            if *expires_at > now {
                break;
            }
            // A request may run for longer than its token is valid; its key is kept until the outcome is known.
            let running = self
                .entries
                .get(key)
                .is_some_and(|entry| matches!(entry.state, OnceState::InProgress));
            let Some((_, key)) = self.order.pop_front() else {
                break;
            };
            if running {
                let later = now + TOKEN_LIFETIME;
                self.order.push_back((later, key));
                continue;
            }
            if let Some(entry) = self.entries.remove(&key) {
                if let OnceState::Stored(answer) = entry.state {
                    self.stored_bytes -= answer.size();
                }
            }
        }
    }
}
