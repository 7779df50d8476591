//! Searches for flows that go on without a further packet of the caller.

use super::{PacketRelay, TrafficEvent};
use quetzalhill_core::relay::chain::{DeliverReason, RelayVerdict, RoundVerdict};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_platform::packet::{self, PacketSender};
use quetzalhill_wire::relay::RELAY_HEADER_MAX;
use std::time::Instant;

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

    /// Goes on with the searches whose round is over.
    pub(super) fn check_rounds(&self, buffer: &mut [u8]) {
        loop {
            let now = Instant::now();
            let Some(packet) = self.state.rounds().pop_due(now) else {
                return;
            };
            let Ok(head) = packet::decode(&packet, PacketSender::Caller) else {
                continue;
            };
            let view = self.state.view.load();
            let (checked, unanswered) = {
                let mut chain = self.state.chain();
                let checked = chain.check_round(&head, &view, now);
                (checked, chain.take_unanswered())
            };
            match checked {
                RoundVerdict::Over => {}
                RoundVerdict::Open => self.state.rounds().push(&packet, now),
                RoundVerdict::Next(verdict) => {
                    let end = RELAY_HEADER_MAX + packet.len();
                    buffer[RELAY_HEADER_MAX..end].copy_from_slice(&packet);
                    self.execute(&head, &verdict, &mut buffer[..end]);
                }
            }
            for id in unanswered {
                self.send_event(TrafficEvent::Unanswered(id));
            }
        }
    }
}
