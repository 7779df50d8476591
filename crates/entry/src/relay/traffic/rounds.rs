//! Searches for flows that go on without a further packet of the caller.

use super::{PacketRelay, TrafficEvent};
use quetzalhill_core::relay::chain::{DeliverReason, RelayVerdict, RoundVerdict};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_node::relay::notices::NoticeKind;
use quetzalhill_platform::packet::{self, PacketSender};
use quetzalhill_wire::relay::{RelayNotice, RELAY_HEADER_MAX};
use std::time::{Duration, Instant};

/// Rounds that are checked before the next answers are read.
const ROUNDS_AT_ONCE: usize = 8;

impl PacketRelay {
    /// Keeps a copy of a packet with which a round of a search begins, so that the search goes on if no endpoint answers.
    pub(super) fn record_round(&self, head: &PacketHead, verdict: &RelayVerdict, packet: &[u8]) {
        let is_query = matches!(
            verdict,
            RelayVerdict::Deliver {
                reason: DeliverReason::Queried,
                ..
            }
        );
        let opening = matches!(head.kind, PacketKind::Opening { .. });
        if is_query && !opening {
            self.state.rounds().push(packet, Instant::now());
        }
    }

    /// Goes on with searches whose round is over. Answers are read between the queries of many rounds, so that those which
    /// arrive meanwhile do not overflow the socket.
    pub(super) fn check_rounds(&self, buffer: &mut [u8]) {
        if !self.state.rounds().is_due(Instant::now()) {
            return;
        }
        let answers_read = self.state.chain().answers_read();
        for _ in 0..ROUNDS_AT_ONCE {
            let Some(packet) = self.state.rounds().pop_due(answers_read) else {
                break;
            };
            self.check_round(&packet, buffer);
        }
        let now = Instant::now();
        if self.state.rounds().is_due(now) {
            self.send_barrier(now);
        }
    }

    fn check_round(&self, packet: &[u8], buffer: &mut [u8]) {
        let now = Instant::now();
        let Ok(head) = packet::decode(packet, PacketSender::Caller) else {
            return;
        };
        let view = self.state.view.load();
        let (checked, unanswered) = {
            let mut chain = self.state.chain();
            let checked = chain.check_round(&head, &view, now);
            (checked, chain.take_unanswered())
        };
        match checked {
            RoundVerdict::Over => {}
            RoundVerdict::Open => self.state.rounds().push(packet, now),
            RoundVerdict::Next(verdict) => {
                let end = RELAY_HEADER_MAX + packet.len();
                buffer[RELAY_HEADER_MAX..end].copy_from_slice(packet);
                self.execute(&head, &verdict, &mut buffer[..end]);
            }
        }
        for id in unanswered {
            self.send_event(TrafficEvent::Unanswered(id));
        }
    }

    /// Sends this entry a barrier, unless one was sent a moment ago.
    fn send_barrier(&self, now: Instant) {
        if !self.state.rounds().take_barrier(now) {
            return;
        }
        let sent = now.saturating_duration_since(self.state.started);
        let sent_us = u64::try_from(sent.as_micros()).unwrap_or(u64::MAX);
        let barrier = RelayNotice::ReadBarrier(sent_us);
        let size = self.sockets.send_barrier(&barrier);
        let notices = &self.state.counters.notices;
        notices.count(NoticeKind::ReadBarrier, size);
    }

    /// Records that the answers are read which had arrived before a barrier.
    pub(super) fn record_barrier(&self, sent_us: u64) {
        let sent = self
            .state
            .started
            .checked_add(Duration::from_micros(sent_us));
        if let Some(sent) = sent.filter(|sent| *sent <= Instant::now()) {
            self.state.chain().record_answers_read(sent);
        }
    }
}
