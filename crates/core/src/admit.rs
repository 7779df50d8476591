//! Limits the requests in flight at one agent, by class and owner.

use crate::catalogue::{LimitSet, TrafficClass};
use crate::dispatch::RefusalReason;
use crate::ids::OwnerName;
use std::collections::HashMap;

/// Share of the limit up to which each class is admitted, most urgent first, so that less urgent classes leave capacity
/// for more urgent ones.
const CLASS_SHARE: [f64; 3] = [1.0, 0.9, 0.8];

/// While less than this share of the limit is in use, an owner may exceed its fair share.
const LENDING_SHARE: f64 = 0.5;

/// Counts the requests in flight, in total and by owner, and admits or refuses new ones.
#[derive(Debug)]
pub struct AdmitController {
    limit: u32,
    total: u32,
    by_owner: HashMap<OwnerName, u32>,
}

impl AdmitController {
    /// Creates a controller with the `in_flight` limit of the service.
    pub fn new(limits: &LimitSet) -> Self {
        Self {
            limit: limits.in_flight,
            total: 0,
            by_owner: HashMap::new(),
        }
    }

    /// Changes the limit for later requests; requests already in flight are kept.
    pub fn set_limits(&mut self, limits: &LimitSet) {
        self.limit = limits.in_flight;
    }

    /// Returns the number of admitted requests that have not finished.
    pub fn in_flight(&self) -> u32 {
        self.total
    }

    /// Admits a request and counts it until [`AdmitController::finish`] is called for it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request has to be refused; it is not counted then.
    pub fn admit(&mut self, owner: &str, class: TrafficClass) -> Result<(), RefusalReason> {
        let limit = f64::from(self.limit);
        let total = f64::from(self.total);
        if total >= limit * CLASS_SHARE[class.index()] {
            return Err(RefusalReason::InFlightLimit);
        }
        let held = self.by_owner.get(owner).copied().unwrap_or(0);
        let others = self.by_owner.len() - usize::from(held > 0);
        // CAST: The number of owners is at most `limit`, a u32.
        let fair = limit / (others + 1) as f64;
        if total >= limit * LENDING_SHARE && f64::from(held) >= fair {
            return Err(RefusalReason::OwnerLimit);
        }
        *self.by_owner.entry(owner.to_owned()).or_insert(0) += 1;
        self.total += 1;
        Ok(())
    }

    /// Stops counting an admitted request; must be called once for each.
    pub fn finish(&mut self, owner: &str) {
        let Some(held) = self.by_owner.get_mut(owner) else {
            return;
        };
        *held -= 1;
        self.total -= 1;
        if *held == 0 {
            self.by_owner.remove(owner);
        }
    }
}
