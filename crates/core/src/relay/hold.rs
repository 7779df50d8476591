//! Holds packets while an entry loads its view, or reads the list of endpoints again before it resets a flow.
//!
//! The expected load is all callers returning at once after a power failure: their packets arrive while entries
//! start, and a dropped packet is retransmitted only after some hundred milliseconds, if at all. An entry loads its
//! view within 100 ms and reads the list within a few milliseconds, so packets wait only briefly, and the wait is
//! bounded.

use crate::relay::view::RelayView;
use std::time::{Duration, Instant};

/// Longest wait of a packet; a caller retransmits a first packet after 200 ms and again after another 400 ms.
const HOLD_TIME: Duration = Duration::from_millis(350);

/// Limit of held packets, which take at most 600 KB.
const PACKETS_MAX: usize = 512;

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
        if self.packets.len() >= PACKETS_MAX {
            return false;
        }
        self.packets.push(HeldPacket {
            bytes: packet.to_vec(),
            reason,
            expires: now + HOLD_TIME,
        });
        true
    }

    /// Returns whether no packet is held.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Removes and returns the packets whose awaited update is in `view`, and those whose time is over.
    pub fn release(&mut self, view: &RelayView, now: Instant) -> ReleasedPackets {
        let mut released = ReleasedPackets::default();
        for packet in std::mem::take(&mut self.packets) {
            if now >= packet.expires {
                released.expired.push(packet.bytes);
                continue;
            }
            match packet.reason.is_resolved(view) {
                true => released.ready.push(packet.bytes),
                false => self.packets.push(packet),
            }
        }
        released
    }
}
