//! Traffic threads of an entry of the relay.
//!
//! One thread receives the packets of callers, the other returned packets and reports of agents. Both are plain threads
//! with blocking sockets. The relay chain decides on each packet, and the thread that received it executes the verdict.

mod log;
mod rounds;
mod sockets;
mod text;

pub(super) use sockets::RelaySockets;

use super::counters::verdict_name;
use super::shared::RelayState;
use crate::traffic::{expect_v4, is_idle, ERROR_PAUSE};
use anyhow::Result;
use quetzalhill_core::ids::{address_of, id_of, EndpointId, RevisionNumber, StoreEra};
use quetzalhill_core::relay::chain::{DeliverList, DeliverReason, DeliverTarget, RelayVerdict};
use quetzalhill_core::relay::confirm::{ConfirmClient, ConfirmId};
use quetzalhill_core::relay::era::UNKNOWN_ERA;
use quetzalhill_core::relay::evacuation::OperatorState;
use quetzalhill_core::relay::hold::HoldReason;
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::list::ListState;
use quetzalhill_core::relay::open_flows::OpenFlow;
use quetzalhill_core::relay::packet::PacketHead;
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_core::relay::view::RelayView;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::threads::TrafficThreads;
use quetzalhill_platform::packet::{self, PacketSender};
use quetzalhill_wire::packet::DATAGRAM_MAX;
use quetzalhill_wire::relay::{
    decode_datagram, ListNotice, OpenFlowNotice, PaceNotice, RelayDatagram, RelayHeader,
    RelayNotice, ReportNotice, RELAY_HEADER_MAX,
};
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;
use tokio::sync::mpsc;

/// A report of an agent with the agent's address, for the control thread.
#[derive(Debug)]
pub(super) struct ArrivedReport {
    pub(super) agent: SocketAddrV4,
    pub(super) notice: ReportNotice,
    /// Pace of the upstream, if the agent measures it.
    pub(super) pace: Option<PaceNotice>,
}

/// An event that a traffic thread sends to the control thread.
#[derive(Debug)]
pub(super) enum TrafficEvent {
    /// An agent sent a report.
    Report(ArrivedReport),
    /// Another entry passes on changes of the list of endpoints, made in this era of the store.
    ListChange(StoreEra, ListNotice),
    /// Another entry has told the era of the store.
    StoreEra(StoreEra),
    /// Another entry has told the state of its list.
    ListState(ListState),
    /// Another entry has told which revision of the routes it has in force.
    RoutesState(RevisionNumber),
    /// The same for an entry that follows evacuations too.
    OperatorState(OperatorState),
    /// Another entry requests a read of the list of endpoints.
    ConfirmRequest(ConfirmClient),
    /// Another entry has read the list of endpoints.
    ConfirmAnswer {
        /// Number of the request.
        id: ConfirmId,
        /// Fingerprint of the list that was read.
        list: u64,
    },
    /// An endpoint left the first packet of a flow unanswered.
    Unanswered(EndpointId),
    /// No known endpoint holds a flow. The control thread reads the list of endpoints again, as it may be out of date.
    ConfirmEndpoints,
    /// Another entry of the zone named open flows that pass through it.
    OpenFlows(Vec<OpenFlow>),
    /// No route covers the address of an open flow. The control thread reads the routes again, as they may be out of date.
    ConfirmRoutes,
}

/// Starts the traffic threads.
///
/// # Errors
///
/// A thread cannot be started; the error names it.
pub(super) fn start(
    sockets: &Arc<RelaySockets>,
    state: &Arc<RelayState>,
    events: &mpsc::Sender<TrafficEvent>,
    reset_ended: bool,
) -> Result<TrafficThreads> {
    let mut threads = TrafficThreads::new(Arc::clone(&state.stop));
    let relay = PacketRelay::new(sockets, state, events, reset_ended);
    threads.spawn("callers", move || relay.run_callers())?;
    let relay = PacketRelay::new(sockets, state, events, reset_ended);
    threads.spawn("agents", move || relay.run_agents())?;
    Ok(threads)
}

/// Receives packets and executes the verdicts of the relay chain; each traffic thread has one.
struct PacketRelay {
    sockets: Arc<RelaySockets>,
    state: Arc<RelayState>,
    events: mpsc::Sender<TrafficEvent>,
    /// Whether flows are remembered so that they can be reset when their upstream restarts.
    reset_ended: bool,
}

impl PacketRelay {
    fn new(
        sockets: &Arc<RelaySockets>,
        state: &Arc<RelayState>,
        events: &mpsc::Sender<TrafficEvent>,
        reset_ended: bool,
    ) -> Self {
        Self {
            sockets: Arc::clone(sockets),
            state: Arc::clone(state),
            events: events.clone(),
            reset_ended,
        }
    }

    /// Sends an event to the control thread. It is dropped if the queue is full: its cause recurs, with the next report or
    /// the caller's retransmission.
    fn send_event(&self, event: TrafficEvent) {
        let _ = self.events.try_send(event);
    }

    fn run_callers(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        while !self.state.stop.load(Ordering::Acquire) {
            match self
                .sockets
                .callers
                .recv_from(&mut buffer[RELAY_HEADER_MAX..])
            {
                Ok((length, _)) => self.handle_packet(&mut buffer[..RELAY_HEADER_MAX + length]),
                Err(error) if is_idle(&error) => {}
                Err(_) => sleep(ERROR_PAUSE),
            }
        }
    }

    fn run_agents(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        while !self.state.stop.load(Ordering::Acquire) {
            let (length, from) = match self
                .sockets
                .agents
                .recv_from(&mut buffer[RELAY_HEADER_MAX..])
            {
                Ok(received) => received,
                Err(error) if is_idle(&error) => {
                    self.release_held(&mut buffer);
                    self.check_rounds(&mut buffer);
                    continue;
                }
                // The error may be an ICMP error of an earlier send, which concerns one agent only.
                Err(_) => continue,
            };
            let Ok(agent) = expect_v4(from) else {
                continue;
            };
            if length > 0 {
                self.handle_datagram(&mut buffer[..RELAY_HEADER_MAX + length], agent);
            }
            self.release_held(&mut buffer);
            self.check_rounds(&mut buffer);
        }
    }

    fn handle_packet(&self, buffer: &mut [u8]) {
        let now = Instant::now();
        let head = match packet::decode(&buffer[RELAY_HEADER_MAX..], PacketSender::Caller) {
            Ok(head) => head,
            Err(error) => return self.count_malformed(&format!("{error:?}")),
        };
        let view = self.state.view.load();
        let (verdict, unanswered, dropped) = {
            let mut chain = self.state.chain();
            let verdict = chain.decide(&head, &view, now);
            (
                verdict,
                chain.take_unanswered(),
                chain.take_dropped_holders(),
            )
        };
        for holder in dropped {
            self.log_dropped_holder(holder);
        }
        self.execute(&head, &verdict, buffer);
        for id in unanswered {
            self.send_event(TrafficEvent::Unanswered(id));
        }
        let elapsed = now.elapsed().as_secs_f64();
        self.state.counters.decision.observe(elapsed);
    }

    /// Decides again on held packets once the newer view has arrived, and logs those that were held for too long.
    fn release_held(&self, buffer: &mut [u8]) {
        if self.state.hold().is_empty() {
            return;
        }
        let view = self.state.view.load();
        let released = self.state.hold().release(&view, Instant::now());
        for packet in &released.expired {
            self.log_expired(packet, &view);
        }
        for packet in released.ready {
            let end = RELAY_HEADER_MAX + packet.len();
            buffer[RELAY_HEADER_MAX..end].copy_from_slice(&packet);
            self.handle_packet(&mut buffer[..end]);
        }
    }

    fn log_expired(&self, packet: &[u8], view: &RelayView) {
        let reason = "hold-expired";
        let packets = &self.state.counters.packets;
        packets.with_label_values(&[reason]).inc();
        let Ok(head) = packet::decode(packet, PacketSender::Caller) else {
            return;
        };
        self.log_undelivered(EventCode::FlowDropped, &head, reason, view);
    }

    fn handle_datagram(&self, buffer: &mut [u8], agent: SocketAddrV4) {
        match decode_datagram(&mut buffer[RELAY_HEADER_MAX..]) {
            Ok(RelayDatagram::Flow(
                RelayHeader::Return {
                    incarnation,
                    reason,
                },
                packet,
            )) => {
                let endpoint = EndpointKey {
                    id: id_of(agent),
                    incarnation,
                };
                let length = packet.len();
                // Move the packet back to leave space for a header in front of it.
                let end = buffer.len();
                buffer.copy_within(end - length.., RELAY_HEADER_MAX);
                self.handle_returned(&mut buffer[..RELAY_HEADER_MAX + length], endpoint, reason);
            }
            Ok(RelayDatagram::Notice(RelayNotice::Report(notice))) => {
                self.send_event(TrafficEvent::Report(ArrivedReport {
                    agent,
                    notice,
                    pace: None,
                }));
            }
            Ok(RelayDatagram::Notice(RelayNotice::PacedReport(notice, pace))) => {
                self.send_event(TrafficEvent::Report(ArrivedReport {
                    agent,
                    notice,
                    pace: Some(pace),
                }));
            }
            Ok(RelayDatagram::Notice(RelayNotice::ListChange(notice))) => {
                self.send_event(TrafficEvent::ListChange(UNKNOWN_ERA, notice));
            }
            Ok(RelayDatagram::Notice(RelayNotice::EraListChange(era, notice))) => {
                self.send_event(TrafficEvent::ListChange(era, notice));
            }
            Ok(RelayDatagram::Notice(RelayNotice::StoreEra(era))) => {
                self.send_event(TrafficEvent::StoreEra(era));
            }
            Ok(RelayDatagram::Notice(RelayNotice::ListState {
                revision,
                fingerprint,
            })) => {
                self.send_event(TrafficEvent::ListState(ListState {
                    revision,
                    fingerprint,
                }));
            }
            Ok(RelayDatagram::Notice(RelayNotice::RoutesState(revision))) => {
                self.send_event(TrafficEvent::RoutesState(revision));
            }
            Ok(RelayDatagram::Notice(RelayNotice::OperatorState {
                routes,
                evacuations,
            })) => {
                self.send_event(TrafficEvent::OperatorState(OperatorState {
                    routes,
                    evacuations,
                }));
            }
            Ok(RelayDatagram::Notice(RelayNotice::ConfirmRequest(id))) => {
                self.send_event(TrafficEvent::ConfirmRequest(ConfirmClient {
                    entry: id_of(agent),
                    id,
                    arrived: Instant::now(),
                }));
            }
            Ok(RelayDatagram::Notice(RelayNotice::ConfirmAnswer { id, list })) => {
                self.send_event(TrafficEvent::ConfirmAnswer { id, list });
            }
            Ok(RelayDatagram::Notice(RelayNotice::OpenFlows(flows))) => {
                let flows = flows.into_iter().map(OpenFlowNotice::into_open_flow);
                self.send_event(TrafficEvent::OpenFlows(flows.collect()));
            }
            Ok(RelayDatagram::Notice(RelayNotice::FlowClaim(claim))) => {
                let claimant = EndpointKey {
                    id: id_of(agent),
                    incarnation: claim.incarnation,
                };
                self.state.chain().record_claim(claim.flow(), claimant);
            }
            Ok(RelayDatagram::Notice(RelayNotice::ReadBarrier(sent_us)))
                if self.sockets.is_own(agent) =>
            {
                self.record_barrier(sent_us);
            }
            Ok(RelayDatagram::Flow(RelayHeader::Deliver { .. }, _))
            | Ok(RelayDatagram::Notice(RelayNotice::Keepalive(_) | RelayNotice::ReadBarrier(_))) => {
                self.count_malformed("unexpected")
            }
            Err(error) => self.count_malformed(&format!("{error:?}")),
        }
    }

    fn handle_returned(&self, buffer: &mut [u8], endpoint: EndpointKey, reason: ReturnReason) {
        let head = match packet::decode(&buffer[RELAY_HEADER_MAX..], PacketSender::Caller) {
            Ok(head) => head,
            Err(error) => return self.count_malformed(&format!("{error:?}")),
        };
        let counters = &self.state.counters;
        counters.returned.with_label_values(&[reason.name()]).inc();
        emit(
            EventCode::FlowReturned,
            &[
                ("flow", &head.flow),
                ("endpoint", &address_of(endpoint.id)),
                ("incarnation", &endpoint.incarnation),
                ("reason", &reason.name()),
            ],
        );
        if self.reset_ended {
            self.state.open_flows().remove(head.flow);
        }
        let view = self.state.view.load();
        let now = Instant::now();
        let (verdict, dropped) = {
            let mut chain = self.state.chain();
            let verdict = chain.decide_returned(&head, endpoint, reason, &view, now);
            (verdict, chain.take_dropped_holders())
        };
        for holder in dropped {
            self.log_dropped_holder(holder);
        }
        self.execute(&head, &verdict, buffer);
    }

    /// Executes a verdict on the packet in `buffer`, which starts after [`RELAY_HEADER_MAX`] bytes for a header.
    fn execute(&self, head: &PacketHead, verdict: &RelayVerdict, buffer: &mut [u8]) {
        let name = verdict_name(verdict);
        self.state.counters.packets.with_label_values(&[name]).inc();
        self.log_verdict(head, verdict, name);
        match verdict {
            RelayVerdict::Deliver { targets, reason } => {
                if self.reset_ended {
                    self.record_open_flow(head, targets, *reason);
                }
                self.record_round(head, verdict, &buffer[RELAY_HEADER_MAX..]);
                let terms = self.terms_of(head);
                for target in targets {
                    self.deliver(target, terms, buffer);
                }
            }
            RelayVerdict::Reset(_) => {
                let reset = packet::encode_reset(head);
                let caller = SocketAddrV4::new(*head.flow.caller.ip(), self.sockets.reply_port);
                // If the reset is lost, the caller retransmits its packet and gets another reset.
                let _ = self.sockets.callers.send_to(&reset, caller);
            }
            RelayVerdict::Hold(reason) => {
                let packet = &buffer[RELAY_HEADER_MAX..];
                if !self.state.hold().push(packet, *reason, Instant::now()) {
                    self.count_malformed("hold-full");
                }
                match reason {
                    HoldReason::Load | HoldReason::Ready(_) => {}
                    HoldReason::Confirmation(_) => self.send_event(TrafficEvent::ConfirmEndpoints),
                    HoldReason::Routes(_) => self.send_event(TrafficEvent::ConfirmRoutes),
                }
            }
            RelayVerdict::Drop(_) => {}
        }
    }

    /// Remembers which endpoint holds a flow whose requests must not be repeated.
    fn record_open_flow(&self, head: &PacketHead, targets: &DeliverList, reason: DeliverReason) {
        let view = self.state.view.load();
        if !view.routes.unrepeatable.contains(&head.flow.service) {
            return;
        }
        let mut open_flows = self.state.open_flows();
        match (targets.as_slice(), reason) {
            // Further endpoints may have got the packet in an earlier round of the search.
            (_, DeliverReason::Queried) => open_flows.remove(head.flow),
            ([target], _) => open_flows.record_delivered(head, target.endpoint, Instant::now()),
            (_, _) => open_flows.remove(head.flow),
        }
    }

    /// Returns the terms that agents get with a packet, if requests are scheduled and the route has any.
    fn terms_of(&self, head: &PacketHead) -> Option<FlowTerms> {
        if !self.state.schedule {
            return None;
        }
        let terms = self.state.view.load().routes.terms(head.flow.service);
        (terms != FlowTerms::default()).then_some(terms)
    }

    fn deliver(&self, target: &DeliverTarget, terms: Option<FlowTerms>, buffer: &mut [u8]) {
        let header = RelayHeader::Deliver {
            service: target.service,
            forced: target.forced,
            terms,
            cold_limit: target.cold_limit,
        };
        let Ok(start) = header.prepend_to(buffer) else {
            return self.count_malformed("seal");
        };
        let agent = address_of(target.endpoint.id);
        // A send error is treated like a lost packet, which the caller retransmits.
        let _ = self.sockets.agents.send_to(&buffer[start..], agent);
    }

    fn count_malformed(&self, reason: &str) {
        self.state
            .counters
            .malformed
            .with_label_values(&[reason])
            .inc();
    }
}
