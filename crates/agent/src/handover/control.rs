//! Load reports and pull requests between agents, over UDP on the peer address.

use crate::shared::{AgentView, SharedState};
use crate::traffic::counters::{count, PeerCounters};
use crate::traffic::scheduler::RequestScheduler;
use quetzalhill_core::dispatch::{DispatchEvent, LoadReport};
use quetzalhill_core::ids::{EndpointId, IncarnationNumber};
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::packet::DATAGRAM_MAX;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Bits of a sequence number below the incarnation, so that the numbers of a later incarnation of an agent are larger
/// than all numbers of an earlier one.
const SEQUENCE_BITS: u32 = 20;

/// Last sequence numbers received from one peer.
#[derive(Clone, Copy, Debug, Default)]
struct LastSequences {
    load: u64,
    pull: u64,
}

/// Sends and receives load reports and pull requests.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    local: EndpointId,
    shared: Arc<SharedState>,
    counters: Arc<PeerCounters>,
    sequence: Cell<u64>,
    last_sequences: RefCell<HashMap<EndpointId, LastSequences>>,
}

impl PeerSocket {
    /// Wraps a bound socket; `local` is the sender of all its messages.
    pub(crate) fn new(
        socket: UdpSocket,
        local: EndpointId,
        shared: Arc<SharedState>,
        counters: Arc<PeerCounters>,
    ) -> Rc<Self> {
        let incarnation = shared.view.load().incarnation;
        Rc::new(Self {
            socket,
            local,
            shared,
            counters,
            sequence: Cell::new(first_sequence(incarnation)),
            last_sequences: RefCell::new(HashMap::new()),
        })
    }

    /// Sends a load report to those `targets` that are in the view.
    pub(crate) fn send_load(&self, report: LoadReport, targets: &[EndpointId]) {
        let message = ControlMessage::Load {
            from: self.local,
            sequence: self.next_sequence(),
            report,
        };
        self.send(&message, targets);
    }

    /// Sends a pull request, which requests waiting work from a peer.
    pub(crate) fn send_pull(&self, peer: EndpointId) {
        let message = ControlMessage::Pull {
            from: self.local,
            sequence: self.next_sequence(),
        };
        self.send(&message, &[peer]);
    }

    fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    fn send(&self, message: &ControlMessage, targets: &[EndpointId]) {
        let view = self.shared.view.load();
        let Ok(datagram) = message.seal(&self.shared.ring.load()) else {
            return;
        };
        for peer in view.peers.iter().filter(|peer| targets.contains(&peer.id)) {
            // A failed send is treated as a lost datagram; reports and pull requests are repeated.
            let _ = self.socket.try_send_to(&datagram, peer.peer.into());
        }
    }

    /// Passes the messages of peers to dispatch; runs until the runtime stops.
    pub(crate) async fn run(self: Rc<Self>, scheduler: Rc<RequestScheduler>) {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        loop {
            // The error comes from an ICMP reply to an earlier send and does not affect later datagrams.
            let Ok((size, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if let Some(event) = self.decode(&buffer[..size]) {
                count(&self.counters.reports);
                scheduler.handle(event);
            }
        }
    }

    fn decode(&self, datagram: &[u8]) -> Option<DispatchEvent> {
        let message = ControlMessage::open(&self.shared.ring.load(), datagram);
        let Ok(message) = message else {
            count(&self.counters.bad_datagrams);
            return None;
        };
        let (from, sequence, is_load) = match &message {
            ControlMessage::Member(_) => {
                count(&self.counters.bad_datagrams);
                return None;
            }
            ControlMessage::Load { from, sequence, .. } => (*from, *sequence, true),
            ControlMessage::Pull { from, sequence } => (*from, *sequence, false),
        };
        if !self.is_new(&self.shared.view.load(), from, sequence, is_load) {
            count(&self.counters.stale_datagrams);
            return None;
        }
        match message {
            ControlMessage::Load { report, .. } => Some(DispatchEvent::PeerLoad(from, report)),
            ControlMessage::Pull { .. } => Some(DispatchEvent::PullReceived(from)),
            ControlMessage::Member(_) => None,
        }
    }

    /// Returns whether the sender is a peer in the view and the sequence number is greater than its last one, which
    /// discards duplicates and reordered messages.
    fn is_new(&self, view: &AgentView, from: EndpointId, sequence: u64, is_load: bool) -> bool {
        if !view.peers.iter().any(|peer| peer.id == from) {
            return false;
        }
        let mut last_sequences = self.last_sequences.borrow_mut();
        if last_sequences.len() > view.peers.len() {
            last_sequences.retain(|id, _| view.peers.iter().any(|peer| peer.id == *id));
        }
        let sequences = last_sequences.entry(from).or_default();
        let last = match is_load {
            true => &mut sequences.load,
            false => &mut sequences.pull,
        };
        if sequence <= *last {
            return false;
        }
        *last = sequence;
        true
    }
}

fn first_sequence(incarnation: IncarnationNumber) -> u64 {
    incarnation << SEQUENCE_BITS
}
