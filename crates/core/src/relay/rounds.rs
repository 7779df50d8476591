//! Decides when the search for the holder of a flow goes on without the endpoints that have not answered.
//!
//! An endpoint that does not hold a flow returns its packets, and the holder answers the caller directly, past the entry.
//! The holder's agent claims the flow at the entry if it has seen the flow before. An agent that has just started has not, so
//! the entry also goes by the caller, who gets on if it is served. It gets on for a while if it is not: with what was under
//! way when the flow moved to the entry, and with what the upstream sends again. So progress counts only if the holder alone
//! can have caused it, and every wait for an endpoint ends.
//!
//! An overloaded entry reads answers late, and further queries would delay them more. So a round that no packet of the
//! caller ends is over only once all answers are read that had arrived by its end, which a barrier shows: a datagram that
//! the entry sends to its own socket for answers. See docs/relay.md.

use crate::relay::packet::{bytes_after, PacketHead, PacketKind};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after which a search goes on without the endpoints that have not answered, with the caller's next packet. It is
/// many round trips, and shorter than the first retransmission of caller and upstream after 200 ms.
const ROUND_TIME: Duration = Duration::from_millis(150);

/// The same once the caller is served, from its last progress on, so that a slow response does not start queries to endpoints
/// that do not hold the flow.
const SERVED_TIME: Duration = Duration::from_secs(1);

/// Rounds in a row that begin without a packet of the caller. A holder whose agent has just started cannot claim its flows,
/// so that each such round may be needless.
const TIMED_ROUNDS_MAX: u8 = 2;

/// Shortest time between two barriers. Rounds are due all the time at an overloaded entry, whose socket must not fill with
/// barriers.
const BARRIER_INTERVAL: Duration = Duration::from_millis(5);

/// Limit of packets whose round is checked later, at about 1 KB each. Flows beyond it wait for the caller's next packet.
const PACKETS_MAX: usize = 512;

/// Most bytes that an upstream has under way to a caller: 16 packets of 1,200 bytes.
const UNDER_WAY_MAX: u32 = 16 * 1_200;

/// What is known of a round of a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundOutcome {
    /// The queried endpoints may still answer, or one of them serves the caller.
    Waiting,
    /// None of the queried endpoints seems to hold the flow, so that the search goes on.
    Overdue,
}

/// Round of a search that waits for the queried endpoints.
#[derive(Clone, Copy, Debug)]
pub struct RoundRecord {
    /// Point in time from which the round is overdue, unless progress of the caller puts it off.
    ends: Instant,
    /// Number of the byte after the last one that the caller has sent.
    sent: u32,
    /// Bytes that the caller has received.
    received: u32,
    /// The same when the round began.
    received_before: u32,
    /// Whether the caller has sent data since the search began, which only the holder can answer.
    asked: bool,
    /// Whether the caller has received data that the upstream cannot have sent before the round began.
    served: bool,
    /// Rounds since the last one that a packet of the caller began.
    timed: u8,
}

impl RoundRecord {
    /// Begins a round with the packet that the endpoints get.
    pub fn new(head: &PacketHead, now: Instant) -> Self {
        Self {
            ends: now + ROUND_TIME,
            sent: sent_by(head),
            received: head.acknowledged,
            received_before: head.acknowledged,
            asked: head.data_len > 0,
            served: false,
            timed: 0,
        }
    }

    /// Begins the round that follows this one.
    pub fn next(&self, now: Instant) -> Self {
        Self {
            ends: now + ROUND_TIME,
            received_before: self.received,
            served: false,
            timed: 0,
            ..*self
        }
    }

    /// Begins the round that follows this one without a packet of the caller.
    pub fn next_timed(&self, now: Instant) -> Self {
        Self {
            timed: self.timed + 1,
            ..self.next(now)
        }
    }

    /// Returns whether the round is not over, although the caller is not served so far. `answers_read` is the point in time
    /// up to which all answers that have arrived are read.
    pub fn is_open(&self, answers_read: Instant) -> bool {
        !self.served && answers_read < self.ends
    }

    /// Returns whether the next round begins without a packet of the caller.
    pub fn check(&self, answers_read: Instant) -> RoundOutcome {
        let may_follow = !self.served && self.timed < TIMED_ROUNDS_MAX;
        match may_follow && self.ends <= answers_read {
            true => RoundOutcome::Overdue,
            false => RoundOutcome::Waiting,
        }
    }

    /// Records a further packet of the caller.
    pub fn observe(&mut self, head: &PacketHead, now: Instant) -> RoundOutcome {
        let sent = sent_by(head);
        let has_received = is_after(head.acknowledged, self.received);
        let has_sent = is_after(sent, self.sent);
        if has_received {
            let in_round = bytes_after(head.acknowledged, self.received_before).unwrap_or(0);
            self.served |= self.asked || in_round > UNDER_WAY_MAX;
            self.received = head.acknowledged;
        }
        if has_sent {
            self.asked |= head.data_len > 0;
            self.sent = sent;
        }
        let extended = match (self.served, has_sent, has_received) {
            (true, true, _) | (true, _, true) => now + SERVED_TIME,
            // The upstream has yet to answer what the caller sends now.
            (false, true, _) => now + ROUND_TIME,
            (false, false, _) | (true, false, false) => self.ends,
        };
        self.ends = self.ends.max(extended);
        match self.ends <= now {
            true => RoundOutcome::Overdue,
            false => RoundOutcome::Waiting,
        }
    }
}

/// Packets of rounds that have begun, each until its round is over. A caller may send nothing for seconds after the packets
/// that started the search.
#[derive(Debug, Default)]
pub struct RoundQueue {
    /// In the order in which the packets are due.
    packets: VecDeque<RoundPacket>,
    /// Point in time from which another barrier may be sent.
    next_barrier: Option<Instant>,
}

#[derive(Debug)]
struct RoundPacket {
    bytes: Vec<u8>,
    due: Instant,
}

impl RoundQueue {
    /// Adds a copy of a packet whose round begins at `now`, unless the queue is full.
    pub fn push(&mut self, packet: &[u8], now: Instant) {
        if self.packets.len() >= PACKETS_MAX {
            return;
        }
        self.packets.push_back(RoundPacket {
            bytes: packet.to_vec(),
            due: now + ROUND_TIME,
        });
    }

    /// Returns whether the round of a packet should be over at `now`.
    pub fn is_due(&self, now: Instant) -> bool {
        let next = self.packets.front();
        next.is_some_and(|packet| packet.due <= now)
    }

    /// Removes and returns the next packet whose round should be over, if all answers are read that had arrived by then.
    pub fn pop_due(&mut self, answers_read: Instant) -> Option<Vec<u8>> {
        self.packets
            .pop_front_if(|packet| packet.due <= answers_read)
            .map(|packet| packet.bytes)
    }

    /// Returns whether a barrier is to be sent at `now`. One that is lost is followed by another.
    pub fn take_barrier(&mut self, now: Instant) -> bool {
        if self.next_barrier.is_some_and(|next| now < next) {
            return false;
        }
        self.next_barrier = Some(now + BARRIER_INTERVAL);
        true
    }
}

/// Returns the number of the byte after the packet's last one; the end of the caller's data counts as a byte.
fn sent_by(head: &PacketHead) -> u32 {
    let ending = head.kind == PacketKind::Ending;
    head.end().wrapping_add(u32::from(ending))
}

fn is_after(position: u32, other: u32) -> bool {
    bytes_after(position, other).is_some_and(|distance| distance > 0)
}
