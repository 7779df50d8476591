//! Log lines of the decisions on packets.

use super::text::{age_ms, EndpointList, KeyList, KeyText, ServiceList};
use super::PacketRelay;
use quetzalhill_core::relay::chain::{DeliverReason, DroppedHolder, RelayDrop, RelayVerdict};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::view::RelayView;
use quetzalhill_node::event::{emit, EventCode};
use std::fmt::Display;

impl PacketRelay {
    pub(super) fn log_verdict(&self, head: &PacketHead, verdict: &RelayVerdict, name: &str) {
        let view = self.state.view.load();
        let revision = view.routes.revision;
        match verdict {
            RelayVerdict::Deliver {
                reason: DeliverReason::TableHit,
                ..
            } => {}
            RelayVerdict::Deliver { targets, reason } => {
                let code = match reason {
                    DeliverReason::Placed | DeliverReason::Spilled => EventCode::FlowPlaced,
                    _ => EventCode::FlowQueried,
                };
                let copies = match head.kind {
                    PacketKind::Opening { copies } => copies,
                    _ => 0,
                };
                let fields: [(&str, &dyn Display); 6] = [
                    ("flow", &head.flow),
                    ("endpoints", &EndpointList(targets)),
                    ("copies", &copies),
                    ("revision", &revision),
                    ("routes_age_ms", &age_ms(view.routes_confirmed)),
                    ("reason", &name),
                ];
                // The reason is given only if it is not the usual one.
                let count = match reason {
                    DeliverReason::Spilled => fields.len(),
                    DeliverReason::Placed | DeliverReason::TableHit | DeliverReason::Queried => {
                        fields.len() - 1
                    }
                };
                emit(code, &fields[..count]);
            }
            RelayVerdict::Reset(_) => {
                self.log_undelivered(EventCode::FlowReset, head, name, &view);
            }
            RelayVerdict::Hold(_) => self.log_undelivered(EventCode::FlowHeld, head, name, &view),
            RelayVerdict::Drop(RelayDrop::Duplicate) => {}
            RelayVerdict::Drop(_) => {
                self.log_undelivered(EventCode::FlowDropped, head, name, &view);
            }
        }
    }

    /// Logs a packet that was not delivered, with the revision of the routes, the age of the list of endpoints that the
    /// decision used, the services that may hold the flow, as routes and reports name them and as reports do not rule them
    /// out, and the endpoints that were ruled out because they returned a packet of the flow.
    pub(super) fn log_undelivered(
        &self,
        code: EventCode,
        head: &PacketHead,
        reason: &str,
        view: &RelayView,
    ) {
        let ruled_out = self.state.chain().ruled_out(head.flow);
        emit(
            code,
            &[
                ("flow", &head.flow),
                ("reason", &reason),
                ("revision", &view.routes.revision),
                ("routes_age_ms", &age_ms(view.routes_confirmed)),
                ("synced", &view.synced),
                ("list_age_ms", &age_ms(view.endpoints_read)),
                ("services", &ServiceList(view.holder_services(head.flow))),
                ("unnamed", &ServiceList(view.unnamed_services(head.flow))),
                ("ruled_out", &KeyList(ruled_out)),
            ],
        );
    }

    pub(super) fn log_dropped_holder(&self, dropped: DroppedHolder) {
        let (state, incarnation) = match dropped.current {
            Some(current) => ("replaced", current.incarnation),
            None => ("absent", 0),
        };
        let counter = &self.state.counters.dropped_holders;
        counter.with_label_values(&[state]).inc();
        emit(
            EventCode::HolderDropped,
            &[
                ("flow", &dropped.flow),
                ("holder", &KeyText(dropped.holder)),
                ("state", &state),
                ("incarnation", &incarnation),
            ],
        );
    }
}
