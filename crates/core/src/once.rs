//! Runs each keyed request at most once.
//!
//! A caller gives a request that is not safe to retry a key and a session token. The endpoint that issued the
//! token remembers the outcome of each key, and every copy gets that outcome. An endpoint that can't know the
//! outcome says so and never runs the request. See docs/design.md, decision 5.

use crate::ids::{EndpointId, IncarnationNumber};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime};

/// How long a session token is valid, and the least time for which a key is remembered.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(3_600);

/// Most bytes of an idempotency key.
pub const KEY_MAX: usize = 128;

/// Names the endpoint that remembers the outcomes of a caller's keyed requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionToken {
    /// Endpoint that issued the token.
    pub issuer: EndpointId,
    /// Life of that endpoint; a later life remembers nothing.
    pub incarnation: IncarnationNumber,
    /// When the token ends.
    pub expires: SystemTime,
}

/// Identity of a keyed request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OnceKey {
    /// Endpoint that issued the session token.
    pub issuer: EndpointId,
    /// Key that the caller chose.
    pub key: String,
}

/// An answer that is small enough to keep.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in their order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}

/// Why an outcome can't be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownReason {
    /// Another endpoint issued the token, and it can't be asked.
    OtherEndpoint,
    /// An earlier life of this endpoint issued the token.
    OldIncarnation,
    /// The token has expired.
    Expired,
    /// The token can't be read, for example because its control key was retired.
    Unreadable,
    /// The request ran, but its answer was too large to keep.
    AnswerNotKept,
    /// The upstream was lost while the request ran.
    Lost,
}

impl UnknownReason {
    /// Returns the text that the caller is told.
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
    /// Run the request; its outcome has to be reported.
    Run,
    /// A copy of the request is in progress.
    InProgress,
    /// Answer with what the first copy got.
    Stored(StoredAnswer),
    /// The outcome is unknown; don't run the request.
    Unknown(UnknownReason),
    /// The table is full; the request was not run.
    Full,
    /// The key was used for another request; this one was not run.
    Mismatch,
}

/// How a keyed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OnceOutcome {
    /// The upstream answered, and the answer is small.
    Answered(StoredAnswer),
    /// The upstream answered, and the answer is too large to keep.
    AnsweredLarge,
    /// The request may have run.
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

/// Bounds of the table.
#[derive(Clone, Copy, Debug)]
pub struct OnceLimits {
    /// Most keys.
    pub keys: usize,
    /// Most bytes of all stored answers.
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

/// Owns the outcomes of keyed requests of one endpoint.
#[derive(Debug)]
pub struct OnceController {
    endpoint: EndpointId,
    incarnation: IncarnationNumber,
    limits: OnceLimits,
    entries: HashMap<OnceKey, OnceEntry>,
    // All entries live equally long, so that the order of insertion is the order of expiry.
    order: VecDeque<(Instant, OnceKey)>,
    stored_bytes: usize,
}

impl OnceController {
    /// Makes the table of one life of an endpoint.
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

    /// Returns a token for a caller that has none.
    pub fn issue(&self, wall: SystemTime) -> SessionToken {
        SessionToken {
            issuer: self.endpoint,
            incarnation: self.incarnation,
            expires: wall + TOKEN_LIFETIME,
        }
    }

    /// Checks that this life of the endpoint remembers the keys used with a token.
    ///
    /// # Errors
    ///
    /// Returns why the outcome of a request with this token is unknown.
    pub fn check(&self, token: &SessionToken, wall: SystemTime) -> Result<(), UnknownReason> {
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

    /// Decides what to do with a keyed request whose token passed [`OnceController::check`].
    ///
    /// `fingerprint` stands for the request's method and path, so that two requests never share a key.
    pub fn request(&mut self, key: &OnceKey, fingerprint: u64, now: Instant) -> OnceDecision {
        self.forget_expired(now);
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
        let forget_at = now + TOKEN_LIFETIME;
        let entry = OnceEntry {
            fingerprint,
            state: OnceState::InProgress,
        };
        self.entries.insert(key.clone(), entry);
        self.order.push_back((forget_at, key.clone()));
        OnceDecision::Run
    }

    /// Records how a request that was told to run ended.
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

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget_expired(&mut self, now: Instant) {
        while let Some((forget_at, key)) = self.order.front() {
            if *forget_at > now {
                break;
            }
            // A request may run longer than its token is valid; its key stays until the outcome is known.
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
