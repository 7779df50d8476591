//! Limits the first packets that reach a cold upstream in a sliding second.
//!
//! The agent beside the upstream is the only process that sees the first packets of all entries, so it counts them. The
//! limit comes with each first packet, computed by the entry from the operators' routes and its settings, so that the
//! agent needs neither. See docs/design/cold-limit.md.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time in which at most as many first packets as the limit reach a cold upstream. The bound is for any second at the
/// upstream; the rest covers packets that reach it later after their sending than the following ones.
pub const COLD_WINDOW: Duration = Duration::from_millis(1_050);

/// Largest limit, which the header of a packet can hold.
const LIMIT_MAX: u8 = u8::MAX;

/// Factor and addend that turn the rate of a service into a limit; from the settings of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPolicy {
    /// Factor on the rate of the service.
    pub overrun: f64,
    /// First packets a second beyond it.
    pub slack: f64,
}

impl ColdPolicy {
    /// Returns the most first packets in a sliding second for a cold upstream that can handle `rate` requests a second.
    ///
    /// It is at least 1, because an upstream that gets no request never serves one, and at most 255, which is above
    /// what any upstream handles while it is cold.
    pub fn limit(&self, rate: f64) -> u8 {
        let limit = (rate * self.overrun + self.slack).floor();
        // CAST: The value is a number within the range of the target type: `max` and `min` return their other operand for
        // one that is not a number.
        limit.max(1.0).min(f64::from(LIMIT_MAX)) as u8
    }
}

/// Decides which first packets an upstream gets while it is cold.
///
/// One thread checks and records, so no other packet comes between the two. The time of a packet is recorded after it was
/// sent and checked before: a pause of the thread in between makes the recorded distance of two packets shorter than the
/// real one, never longer.
#[derive(Debug)]
pub struct ColdGate {
    /// When the last first packets were sent to the upstream, the oldest first.
    sent: VecDeque<Instant>,
    /// Point in time before which an earlier agent may have sent first packets within the window.
    unseen_until: Instant,
    /// Point in time until which the last announcement counts; `None` if there is none that counts.
    announced_until: Option<Instant>,
    /// End of the warm-up according to the last announcement.
    cold_until: Option<Instant>,
}

impl ColdGate {
    /// Makes the gate of an agent that starts at `now`, beside an upstream that may have been running before.
    pub fn new(now: Instant) -> Self {
        Self {
            sent: VecDeque::new(),
            unseen_until: now + COLD_WINDOW,
            announced_until: None,
            cold_until: None,
        }
    }

    /// Applies an announcement of the upstream, which counts until `announced_until`. `seen` is whether the agent has
    /// been running since the start of the incarnation, so that no earlier agent sent packets to it.
    ///
    /// The packets sent before stay counted even if the incarnation is new: those of the last moments before its first
    /// announcement may have reached it.
    pub fn announce(
        &mut self,
        cold_until: Option<Instant>,
        announced_until: Instant,
        seen: bool,
        now: Instant,
    ) {
        self.cold_until = cold_until;
        self.announced_until = Some(announced_until);
        if seen {
            self.unseen_until = self.unseen_until.min(now);
        }
    }

    /// Discards the last announcement after a sign that the upstream may have restarted since: it counts as cold until
    /// the next one.
    pub fn doubt(&mut self) {
        self.announced_until = None;
    }

    /// Returns whether the upstream counts as cold. It does while no announcement says otherwise, as after a health probe
    /// or a restart of the upstream that the agent has not learned of yet.
    fn is_cold(&self, now: Instant) -> bool {
        let announced = self.announced_until.is_some_and(|until| now < until);
        !announced || self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the time until the upstream may get a further first packet; `None` if it may get one now. `limit` is the
    /// one that came with the packet; without one, there is no restriction.
    pub fn wait(&self, limit: Option<u8>, now: Instant) -> Option<Duration> {
        let limit = limit?;
        if !self.is_cold(now) {
            return None;
        }
        let first = self.sent.len().checked_sub(usize::from(limit.max(1)));
        let credit = first.and_then(|index| self.sent.get(index));
        // A packet exactly one window after another is still in the same window.
        let full_until = credit
            .map(|sent| *sent + COLD_WINDOW)
            .filter(|until| now <= *until);
        let unseen_until = Some(self.unseen_until).filter(|until| now < *until);
        let until = full_until.max(unseen_until)?;
        Some(until.saturating_duration_since(now))
    }

    /// Records a first packet with a limit that has been sent to the upstream, at a time after its sending. Packets are
    /// recorded whether the upstream is cold or not, because it may have restarted without the agent's knowledge.
    pub fn record(&mut self, now: Instant) {
        if self.sent.len() >= usize::from(LIMIT_MAX) {
            self.sent.pop_front();
        }
        // The clock of the caller does not go back, but two callers may be out of order by a moment.
        let last = self.sent.back().copied();
        self.sent.push_back(last.map_or(now, |last| last.max(now)));
    }
}

/// Returns a waiting time in whole milliseconds, rounded up, so that a packet sent after it finds the credit.
pub fn wait_millis(wait: Duration) -> u32 {
    let millis = wait.as_micros() / 1_000 + 1;
    u32::try_from(millis).unwrap_or(u32::MAX)
}
