//! Packets that wait while an entry loads its view, or reads the list of endpoints again before it ends a flow.
//!
//! The load meant is that of all callers returning at once after a loss of power: their packets arrive while entries
//! start, and a packet that is dropped is repeated only after some hundred milliseconds, if at all. An entry is loaded
//! within a tenth of a second and reads the list within some milliseconds, so that the wait is short and bounded.

use crate::relay::view::RelayView;
use std::time::{Duration, Instant};

/// Longest wait of a packet; a caller repeats a first packet after 200 ms and again after 400 ms.
const HOLD_TIME: Duration = Duration::from_millis(350);

/// Packets that wait; 600 KB at most.
const PACKETS_MAX: usize = 512;

/// What a packet waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldReason {
    /// The entry has just started.
    Load,
    /// No known endpoint holds the flow of the packet; the list has to be read once more, and endpoints with a digest
    /// have to report once more, from this moment on.
    Confirmation(Instant),
    /// No route leads to the address of an open flow, and the routes have to be read once more from this moment on.
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

/// Packets that leave the queue.
#[derive(Debug, Default)]
pub struct ReleasedPackets {
    /// Their wait is over; a decision on them is due.
    pub ready: Vec<Vec<u8>>,
    /// They have waited for too long; their callers repeat them.
    pub expired: Vec<Vec<u8>>,
}

/// Packets in the order of their arrival.
#[derive(Debug, Default)]
pub struct HoldQueue {
    packets: Vec<HeldPacket>,
}

impl HoldQueue {
    /// Keeps a packet, or returns false if there is no room.
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

    /// Returns whether no packet waits.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Removes and returns the packets whose wait `view` ends, and those that have waited for too long.
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
