//! Stand-in for an upstream: accepts flows, returns packets of flows that it does not hold, answers requests, announces
//! itself, drains and crashes.

use super::fabric::send_call;
use super::ledger::{FlowHolder, SharedLedger};
use super::{checksum, BUFFER_BYTES};
use ntex::client::Client;
use ntex::time::Millis;
use quetzalhill_core::ids::{IncarnationNumber, ServiceName, UpstreamName, ZoneName};
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use quetzalhill_node::calls::{self, CallReply};
use quetzalhill_platform::packet::PacketSender;
use quetzalhill_platform::standin::call::{self, OutgoingAnnouncement};
use quetzalhill_platform::standin::packet::{
    decode, encode, set_returned, OutgoingPacket, ReceivedPacket,
};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Time between two announcements, in milliseconds.
pub const ANNOUNCE_MS: u64 = 500;

/// Time within which an announcement has to be acknowledged (set by the platform).
const ACKNOWLEDGE_TIMEOUT: Millis = Millis(1_000);

/// Requests per slot, running or queued, beyond which more are refused.
const QUEUE_PER_SLOT: usize = 4;

/// Last word of the answer to a request that was run.
pub(super) const RAN: &str = "ran";

/// Last word of the answer to a request that was refused.
pub(super) const NOT_RUN: &str = "not-run";

/// Identity, addresses and capacity of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Instance name; a restarted upstream may keep it.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone that it announces.
    pub zone: ZoneName,
    /// Address at which it receives packets (UDP) and health probes (TCP).
    pub address: SocketAddrV4,
    /// Address of its agent to which it sends packets.
    pub outbound: SocketAddrV4,
    /// Address of its agent to which it sends announcements.
    pub announcements: SocketAddrV4,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time that it takes to run a request.
    pub work: Duration,
    /// Start time by its own clock, in Unix milliseconds; the clock may have been set back.
    pub incarnation: IncarnationNumber,
}

#[derive(Debug)]
enum FlowState {
    /// Accepted, but the caller has not acknowledged that yet.
    HalfOpen { next_sequence: u32 },
    /// Acknowledged by the caller.
    Open {
        /// Sequence number of the next byte that the upstream sends.
        next_sequence: u32,
        /// Sequence number of the last request, and the packet that answers it once it has finished.
        last_request: Option<(u32, Option<Vec<u8>>)>,
    },
}

#[derive(Debug, Default)]
struct UpstreamState {
    flows: HashMap<FlowAddresses, FlowState>,
    closed: HashSet<FlowAddresses>,
    /// For each slot, the time from which it is free.
    slots: Vec<Instant>,
    pending: usize,
    accepted_flows: u32,
    /// When an announcement that it drains was first acknowledged.
    draining_since: Option<Instant>,
}

/// One incarnation of an upstream; dropping it ends it without deregistration, as a crash does.
#[derive(Debug)]
pub struct FlowUpstream {
    plan: UpstreamPlan,
    ledger: SharedLedger,
    draining: watch::Sender<bool>,
    stop: watch::Sender<bool>,
}

struct UpstreamTask {
    plan: UpstreamPlan,
    ledger: SharedLedger,
    state: RefCell<UpstreamState>,
    socket: UdpSocket,
    draining: watch::Receiver<bool>,
}

impl FlowUpstream {
    /// Starts an incarnation, whose tasks run on the current thread.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn start(plan: UpstreamPlan, ledger: SharedLedger, client: Client) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(plan.address)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::bind(plan.address)?;
        let (draining, drain_signal) = watch::channel(false);
        let (stop, stopped) = watch::channel(false);
        let slots = usize::try_from(plan.slots).unwrap_or(1);
        let task = Rc::new(UpstreamTask {
            plan: plan.clone(),
            ledger: ledger.clone(),
            state: RefCell::new(UpstreamState {
                slots: vec![Instant::now(); slots],
                ..UpstreamState::default()
            }),
            socket: UdpSocket::from_std(socket)?,
            draining: drain_signal,
        });
        spawn_until_stopped(&stopped, task.clone().receive(stopped.clone()));
        spawn_until_stopped(&stopped, task.announce(client));
        let healthy = Rc::new(|_| CallReply::text(200, "healthy\n"));
        spawn_until_stopped(&stopped, async move {
            // If the listener fails, the agent sees an upstream that answers no probe.
            let _ = calls::serve(listener, healthy).await;
        });
        Ok(Self {
            plan,
            ledger,
            draining,
            stop,
        })
    }

    /// Makes the upstream announce at once that it drains, and close each flow with its next answer.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns the plan with which the upstream was started.
    pub fn plan(&self) -> &UpstreamPlan {
        &self.plan
    }

    /// Deregisters the upstream at its agent; it runs on until it is dropped.
    pub async fn deregister(&self, client: &Client) {
        let call = call::deregister(&self.plan.name, self.plan.incarnation);
        // The upstream ends even if the deregistration is not acknowledged.
        let _ = send_call(client, self.plan.announcements, call, ACKNOWLEDGE_TIMEOUT).await;
    }
}

impl Drop for FlowUpstream {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        self.ledger
            .borrow_mut()
            .record_upstream_end(self.plan.address);
    }
}

fn spawn_until_stopped(stopped: &watch::Receiver<bool>, task: impl std::future::Future + 'static) {
    let mut stopped = stopped.clone();
    ntex::rt::spawn(async move {
        tokio::select! {
            // A dropped sender also ends the task.
            _ = stopped.changed() => {}
            _ = task => {}
        }
    })
    .detach();
}

impl UpstreamTask {
    async fn receive(self: Rc<Self>, stopped: watch::Receiver<bool>) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                // The error belongs to an earlier send; the next packet may still arrive.
                tokio::task::yield_now().await;
                continue;
            };
            self.handle_packet(&mut buffer[..length], &stopped);
        }
    }

    fn handle_packet(self: &Rc<Self>, bytes: &mut [u8], stopped: &watch::Receiver<bool>) {
        let now = Instant::now();
        let packet = match decode(bytes, PacketSender::Caller, checksum) {
            Ok(packet) if packet.intact => packet,
            other => {
                let details = format!(
                    "{} received a malformed or altered packet: {other:?}",
                    self.plan.address
                );
                return self
                    .ledger
                    .borrow_mut()
                    .record_violation("UNASKED", details, now);
            }
        };
        let head = packet.head;
        let handled = match head.kind {
            PacketKind::Opening { .. } => self.open(&packet, now),
            PacketKind::Accepting => {
                let details = format!(
                    "{} received an accepting packet, which only upstreams send",
                    self.plan.address
                );
                return self
                    .ledger
                    .borrow_mut()
                    .record_violation("UNASKED", details, now);
            }
            PacketKind::Established => self.serve(&packet, now, stopped),
            PacketKind::Ending | PacketKind::Reset => self.close(&head),
        };
        // A packet of a flow that the upstream does not hold goes back to the relay.
        if !handled {
            set_returned(bytes);
            self.send(bytes);
        }
    }

    fn open(&self, packet: &ReceivedPacket<'_>, now: Instant) -> bool {
        let flow = packet.head.flow;
        let mut state = self.state.borrow_mut();
        // The sequence number is the time at which the caller sent the packet; time limits are measured from it.
        let sent = now - millis_since(packet.sequence, now);
        let mut ledger = self.ledger.borrow_mut();
        ledger.check_opening(flow, &self.plan.service, sent, now);
        ledger.check_order(flow, &self.plan.service, now);
        ledger.check_evacuation(flow, &self.plan.zone, sent, now);
        if let Some(draining_since) = state.draining_since {
            ledger.check_draining(flow, draining_since, sent, now);
        }
        if let Some(FlowState::Open { .. }) = state.flows.get(&flow) {
            return true;
        }
        state.accepted_flows += 1;
        let first =
            state.accepted_flows.wrapping_mul(0x9e37_79b1) ^ u32::from(*self.plan.address.ip());
        let next_sequence = first.wrapping_add(1);
        state
            .flows
            .insert(flow, FlowState::HalfOpen { next_sequence });
        drop(state);
        self.send_packet(
            flow,
            PacketKind::Accepting,
            first,
            packet.sequence.wrapping_add(1),
            &[],
        );
        true
    }

    fn serve(
        self: &Rc<Self>,
        packet: &ReceivedPacket<'_>,
        now: Instant,
        stopped: &watch::Receiver<bool>,
    ) -> bool {
        let flow = packet.head.flow;
        let mut state = self.state.borrow_mut();
        if state.closed.contains(&flow) {
            drop(state);
            self.send_packet(flow, PacketKind::Reset, 0, packet.sequence, &[]);
            return true;
        }
        match state.flows.get_mut(&flow) {
            None => return false,
            Some(FlowState::HalfOpen { next_sequence })
                if *next_sequence != packet.head.acknowledged =>
            {
                return false
            }
            Some(FlowState::HalfOpen { next_sequence }) => {
                let next_sequence = *next_sequence;
                state.flows.insert(
                    flow,
                    FlowState::Open {
                        next_sequence,
                        last_request: None,
                    },
                );
                let holder = FlowHolder {
                    upstream: self.plan.address,
                    incarnation: self.plan.incarnation,
                };
                self.ledger.borrow_mut().record_open(flow, holder);
            }
            Some(FlowState::Open { .. }) => {}
        }
        self.ledger.borrow_mut().record_arrival(flow, now);
        let Some(FlowState::Open { last_request, .. }) = state.flows.get_mut(&flow) else {
            return true;
        };
        let Some(request) = packet.request_id.map(String::from) else {
            return true;
        };
        match last_request {
            Some((sequence, Some(answer))) if *sequence == packet.sequence => {
                let answer = answer.clone();
                drop(state);
                self.send(&answer);
                return true;
            }
            Some((sequence, _)) if *sequence >= packet.sequence => return true,
            _ => *last_request = Some((packet.sequence, None)),
        }
        drop(state);
        self.start_request(flow, request, packet, now, stopped);
        true
    }

    /// Queues and runs a request, or refuses it if the queue is full.
    fn start_request(
        self: &Rc<Self>,
        flow: FlowAddresses,
        request: String,
        packet: &ReceivedPacket<'_>,
        now: Instant,
        stopped: &watch::Receiver<bool>,
    ) {
        let sequence = packet.sequence;
        let acknowledged =
            sequence.wrapping_add(u32::try_from(packet.data.len()).unwrap_or_default());
        let mut state = self.state.borrow_mut();
        if state.pending >= state.slots.len() * QUEUE_PER_SLOT {
            drop(state);
            return self.send_response(flow, sequence, acknowledged, &request, NOT_RUN);
        }
        state.pending += 1;
        let Some(free) = state.slots.iter_mut().min() else {
            return;
        };
        let done = (*free).max(now) + self.plan.work;
        *free = done;
        drop(state);
        self.ledger.borrow_mut().record_run(&request, now);
        let task = self.clone();
        spawn_until_stopped(stopped, async move {
            tokio::time::sleep_until(done.into()).await;
            task.state.borrow_mut().pending -= 1;
            task.send_response(flow, sequence, acknowledged, &request, RAN);
        });
    }

    fn send_response(
        &self,
        flow: FlowAddresses,
        sequence: u32,
        acknowledged: u32,
        request: &str,
        outcome: &str,
    ) {
        let is_draining = *self.draining.borrow();
        let data = format!("{request} {} {outcome}", self.plan.service);
        let mut state = self.state.borrow_mut();
        let Some(FlowState::Open {
            next_sequence,
            last_request,
        }) = state.flows.get_mut(&flow)
        else {
            return;
        };
        let first = *next_sequence;
        *next_sequence = next_sequence.wrapping_add(u32::try_from(data.len()).unwrap_or_default());
        let kind = match is_draining {
            true => PacketKind::Ending,
            false => PacketKind::Established,
        };
        let packet = self.build_packet(flow, kind, first, acknowledged, data.as_bytes());
        *last_request = Some((sequence, Some(packet.clone())));
        drop(state);
        self.send(&packet);
    }

    fn close(&self, head: &PacketHead) -> bool {
        let mut state = self.state.borrow_mut();
        if state.closed.contains(&head.flow) {
            return true;
        }
        if state.flows.remove(&head.flow).is_none() {
            return false;
        }
        state.closed.insert(head.flow);
        self.ledger.borrow_mut().record_close(head.flow);
        true
    }

    fn send_packet(
        &self,
        flow: FlowAddresses,
        kind: PacketKind,
        sequence: u32,
        acknowledged: u32,
        data: &[u8],
    ) {
        let packet = self.build_packet(flow, kind, sequence, acknowledged, data);
        self.send(&packet);
    }

    fn build_packet(
        &self,
        flow: FlowAddresses,
        kind: PacketKind,
        sequence: u32,
        acknowledged: u32,
        data: &[u8],
    ) -> Vec<u8> {
        let packet = OutgoingPacket {
            sender: PacketSender::Upstream,
            flow,
            kind,
            sequence,
            acknowledged,
            data,
        };
        encode(&packet, checksum)
    }

    fn send(&self, packet: &[u8]) {
        // A packet that cannot be sent is lost, as in a network.
        let _ = self
            .socket
            .try_send_to(packet, SocketAddr::V4(self.plan.outbound));
    }

    async fn announce(self: Rc<Self>, client: Client) {
        let mut sequence = 0;
        let mut draining = self.draining.clone();
        loop {
            sequence += 1;
            let is_draining = *draining.borrow_and_update();
            let announcement = OutgoingAnnouncement {
                name: self.plan.name.clone(),
                incarnation: self.plan.incarnation,
                sequence,
                service: self.plan.service.clone(),
                address: self.plan.address,
                zone: self.plan.zone.clone(),
                slots: self.plan.slots,
                draining: is_draining,
            };
            let announcements = self.plan.announcements;
            let call = call::announce(&announcement);
            let status = send_call(&client, announcements, call, ACKNOWLEDGE_TIMEOUT).await;
            if is_draining && status == Some(200) {
                self.state
                    .borrow_mut()
                    .draining_since
                    .get_or_insert(Instant::now());
            }
            tokio::select! {
                _ = draining.changed() => {}
                () = tokio::time::sleep(Duration::from_millis(ANNOUNCE_MS)) => {}
            }
        }
    }
}

thread_local! {
    /// Start of the clock whose time is the sequence number of a first packet.
    static CLOCK_START: Instant = Instant::now();
}

/// Returns the sequence number of a first packet that is sent at `now`: milliseconds of a clock that all stand-ins of
/// the thread share.
pub(super) fn sequence_at(now: Instant) -> u32 {
    let start = CLOCK_START.with(|clock| *clock);
    u32::try_from(now.saturating_duration_since(start).as_millis()).unwrap_or(u32::MAX)
}

fn millis_since(sequence: u32, now: Instant) -> Duration {
    Duration::from_millis(u64::from(sequence_at(now).saturating_sub(sequence)))
}
