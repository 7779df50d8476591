//! Remembers which cold endpoints are at their limit of first packets, as their agents have told the entry.

use crate::ids::EndpointId;
use crate::relay::place::{EndpointKey, TriedList};
use crate::relay::view::{EndpointStatus, ServiceView};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Limit of remembered endpoints; all are forgotten at the limit, which costs some returned packets.
const CREDITS_MAX: usize = 4_096;

/// Longest time for which an endpoint is left out, whatever its agent says; credits return within about a second.
const WAIT_MAX: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
struct SpentCredit {
    key: EndpointKey,
    until: Instant,
}

/// Endpoints without credit, which get no first packets from this entry for a time.
#[derive(Debug, Default)]
pub struct CreditTable {
    spent: HashMap<EndpointId, SpentCredit>,
}

impl CreditTable {
    /// Remembers that `key` takes no first packet for `wait_ms` milliseconds.
    pub fn spend(&mut self, key: EndpointKey, wait_ms: u32, now: Instant) {
        if self.spent.len() >= CREDITS_MAX {
            self.spent.clear();
        }
        let until = now + Duration::from_millis(wait_ms.into()).min(WAIT_MAX);
        self.spent.insert(key.id, SpentCredit { key, until });
    }

    /// Returns whether `key` is without credit. Another incarnation of the endpoint has credit, and so has one that the
    /// agent knows only now: the agent may have left it out for want of an announcement.
    pub fn is_spent(&self, key: EndpointKey, now: Instant) -> bool {
        let spent = self.spent.get(&key.id);
        spent.is_some_and(|spent| spent.key == key && now < spent.until)
    }

    /// Returns whether no endpoint is without credit.
    pub fn is_empty(&self) -> bool {
        self.spent.is_empty()
    }

    /// Forgets endpoints that have credit again.
    pub fn tick(&mut self, now: Instant) {
        self.spent.retain(|_, spent| now < spent.until);
    }

    /// Adds the endpoints of `service` without credit to those that a flow has tried.
    pub fn exclude(&self, service: &ServiceView, tried: &TriedList, now: Instant) -> TriedList {
        let mut excluded = tried.clone();
        if self.is_empty() {
            return excluded;
        }
        for endpoint in &service.endpoints {
            if self.is_spent(endpoint.key(), now) {
                excluded.push(endpoint.key());
            }
        }
        excluded
    }

    /// Returns whether a ready endpoint of `service` only lacks credit.
    pub fn is_awaited(&self, service: &ServiceView, now: Instant) -> bool {
        let mut endpoints = service.endpoints.iter();
        endpoints.any(|endpoint| {
            let ready = endpoint.status == EndpointStatus::Ready && !endpoint.evacuated;
            ready && self.is_spent(endpoint.key(), now)
        })
    }
}
