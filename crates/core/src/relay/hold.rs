//! Holds packets while an entry loads its view, reads the list of endpoints again before it resets a flow, or waits for an
//! endpoint to become ready.
//!
//! The expected load is all callers returning at once after a power failure: their packets arrive while entries
//! start, and a dropped packet is retransmitted only after some hundred milliseconds, if at all. An entry loads its
//! view within 100 ms and reads the list within a few milliseconds, so packets wait only briefly, and the wait is
//! bounded.

use crate::ids::ServiceDigest;
use crate::relay::view::{RelayView, ServiceView};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Longest wait of a packet; a caller retransmits a first packet after 200 ms and again after another 400 ms.
pub const HOLD_TIME: Duration = Duration::from_millis(350);

/// Limit of held packets, which take at most 600 KB.
const PACKETS_MAX: usize = 512;

/// Held packets from which on no first packet is held until an endpoint is ready, so that packets of open flows still find
/// room.
const READY_MAX: usize = PACKETS_MAX / 2;

/// Packets that leave at each change of the ready endpoints of a service that is starting. An upstream has room for about
/// as many, and other entries send it as many.
const STARTING_MAX: usize = 4;

/// Update of the view that a held packet waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldReason {
    /// The entry has just started and has not loaded its view.
    Load,
    /// No known endpoint holds the flow. The list of endpoints has to be read once more, and the endpoints with a
    /// digest have to report once more, both from this point in time on.
    Confirmation(Instant),
    /// The address of an open flow has no route. The routes have to be read once more from this point in time on.
    Routes(Instant),
    /// No endpoint of the service of a new flow is ready, but one may become ready.
    Ready(ReadyWait),
}

/// What a first packet waits for whose service has no ready endpoint for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadyWait {
    /// Service of the flow.
    pub service: ServiceDigest,
    /// Fingerprint of the endpoints that are ready already ([`ServiceView::ready_mark`]).
    pub ready: u64,
    /// End of the hold. A packet that is held again is not held for longer in total.
    pub until: Instant,
}

impl HoldReason {
    fn is_resolved(self, view: &RelayView) -> bool {
        match self {
            HoldReason::Load => view.loaded,
            HoldReason::Confirmation(unresolved_since) => {
                view.endpoints_read >= Some(unresolved_since)
                    && view
                        .oldest_keepalive
                        .is_none_or(|sent| sent >= unresolved_since)
            }
            HoldReason::Ready(_) => false,
            HoldReason::Routes(unresolved_since) => view.routes_read >= Some(unresolved_since),
        }
    }
}

#[derive(Debug)]
struct HeldPacket {
    bytes: Vec<u8>,
    reason: HoldReason,
    expires: Instant,
}

/// Packets that leave the queue at one time.
#[derive(Debug, Default)]
pub struct ReleasedPackets {
    /// Packets whose update has arrived; they are decided again.
    pub ready: Vec<Vec<u8>>,
    /// Packets that were held for too long and are dropped; their callers retransmit them.
    pub expired: Vec<Vec<u8>>,
}

/// Held packets in the order of their arrival.
#[derive(Debug, Default)]
pub struct HoldQueue {
    packets: Vec<HeldPacket>,
}

impl HoldQueue {
    /// Holds a copy of a packet, or returns false if the queue is full.
    pub fn push(&mut self, packet: &[u8], reason: HoldReason, now: Instant) -> bool {
        let (limit, expires) = match reason {
            HoldReason::Ready(wait) => (READY_MAX, wait.until.min(now + HOLD_TIME)),
            HoldReason::Load | HoldReason::Confirmation(_) | HoldReason::Routes(_) => {
                (PACKETS_MAX, now + HOLD_TIME)
            }
        };
        if self.packets.len() >= limit {
            return false;
        }
        self.packets.push(HeldPacket {
            bytes: packet.to_vec(),
            reason,
            expires,
        });
        true
    }

    /// Returns whether no packet is held.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Removes and returns the packets whose awaited update is in `view`, and those whose time is over.
    ///
    /// Of the packets that wait for ready endpoints only a few leave at each new one while most are still to come: all
    /// entries release packets to the same endpoint, which returns what it has no room for.
    pub fn release(&mut self, view: &RelayView, now: Instant) -> ReleasedPackets {
        let mut released = ReleasedPackets::default();
        let mut services = AwaitedServices::new();
        for mut packet in std::mem::take(&mut self.packets) {
            if now >= packet.expires {
                released.expired.push(packet.bytes);
                continue;
            }
            let resolved = match &mut packet.reason {
                HoldReason::Ready(wait) => is_released(wait, view, &mut services),
                reason => reason.is_resolved(view),
            };
            match resolved {
                true => released.ready.push(packet.bytes),
                false => self.packets.push(packet),
            }
        }
        released
    }
}

/// A service whose endpoints become ready, during one release.
#[derive(Clone, Copy, Debug)]
struct AwaitedService {
    digest: ServiceDigest,
    /// Fingerprint of the endpoints that are ready; 0 if there is none.
    ready: u64,
    /// Packets that may still leave.
    budget: usize,
}

/// Services that packets wait for; an entry has a few.
type AwaitedServices = SmallVec<[AwaitedService; 4]>;

impl AwaitedService {
    fn new(digest: ServiceDigest, view: &RelayView) -> Self {
        let service = view.services.values().find(|known| known.digest == digest);
        Self {
            digest,
            ready: service.map_or(0, ServiceView::ready_mark),
            budget: match service.is_some_and(ServiceView::may_become_ready) {
                true => STARTING_MAX,
                false => usize::MAX,
            },
        }
    }
}

/// Returns whether a packet that waits for ready endpoints leaves now. One that stays waits for the next of them.
fn is_released(wait: &mut ReadyWait, view: &RelayView, services: &mut AwaitedServices) -> bool {
    let digest = wait.service;
    let index = match services.iter().position(|known| known.digest == digest) {
        Some(index) => index,
        None => {
            services.push(AwaitedService::new(digest, view));
            services.len() - 1
        }
    };
    let service = &mut services[index];
    if service.ready == wait.ready || service.ready == 0 {
        return false;
    }
    wait.ready = service.ready;
    let released = service.budget > 0;
    service.budget = service.budget.saturating_sub(1);
    released
}
