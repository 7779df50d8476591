//! Load reports and pulls between agents, over UDP on the address for peers.

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

/// Bits of a beat below the incarnation, so that a later life of an agent counts on where none can have been.
const BEAT_BITS: u32 = 20;

/// Last beats of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct SeenBeats {
    load: u64,
    pull: u64,
}

/// Sends and receives what agents tell each other about their load.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    io: UdpSocket,
    own: EndpointId,
    shared: Arc<SharedState>,
    counters: Arc<PeerCounters>,
    beat: Cell<u64>,
    seen: RefCell<HashMap<EndpointId, SeenBeats>>,
}

impl PeerSocket {
    /// Wraps a bound socket.
    pub(crate) fn new(
        io: UdpSocket,
        own: EndpointId,
        shared: Arc<SharedState>,
        counters: Arc<PeerCounters>,
    ) -> Rc<Self> {
        let incarnation = shared.view.load().incarnation;
        Rc::new(Self {
            io,
            own,
            shared,
            counters,
            beat: Cell::new(first_beat(incarnation)),
            seen: RefCell::new(HashMap::new()),
        })
    }

    /// Tells peers the load.
    pub(crate) fn send_load(&self, report: LoadReport, targets: &[EndpointId]) {
        let message = ControlMessage::Load {
            from: self.own,
            sequence: self.next_beat(),
            report,
        };
        self.send(&message, targets);
    }

    /// Asks a peer for waiting work.
    pub(crate) fn send_pull(&self, peer: EndpointId) {
        let message = ControlMessage::Pull {
            from: self.own,
            sequence: self.next_beat(),
        };
        self.send(&message, &[peer]);
    }

    fn next_beat(&self) -> u64 {
        let beat = self.beat.get() + 1;
        self.beat.set(beat);
        beat
    }

    fn send(&self, message: &ControlMessage, targets: &[EndpointId]) {
        let view = self.shared.view.load();
        let Ok(datagram) = message.seal(&self.shared.ring.load()) else {
            return;
        };
        for peer in view.peers.iter().filter(|peer| targets.contains(&peer.id)) {
            // A datagram that can't be sent counts as lost; reports and pulls are repeated.
            let _ = self.io.try_send_to(&datagram, peer.peer.into());
        }
    }

    /// Gives dispatch what peers report; runs until the system stops.
    pub(crate) async fn run(self: Rc<Self>, scheduler: Rc<RequestScheduler>) {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        loop {
            // An ICMP error of an earlier send says nothing about the next datagram.
            let Ok((size, _)) = self.io.recv_from(&mut buffer).await else {
                continue;
            };
            if let Some(event) = self.open(&buffer[..size]) {
                count(&self.counters.reports);
                scheduler.handle(event);
            }
        }
    }

    fn open(&self, datagram: &[u8]) -> Option<DispatchEvent> {
        let message = ControlMessage::open(&self.shared.ring.load(), datagram);
        let Ok(message) = message else {
            count(&self.counters.bad_datagrams);
            return None;
        };
        let (from, beat, is_load) = match &message {
            ControlMessage::Member(_) => {
                count(&self.counters.bad_datagrams);
                return None;
            }
            ControlMessage::Load { from, sequence, .. } => (*from, *sequence, true),
            ControlMessage::Pull { from, sequence } => (*from, *sequence, false),
        };
        if !self.is_new(&self.shared.view.load(), from, beat, is_load) {
            count(&self.counters.stale_datagrams);
            return None;
        }
        match message {
            ControlMessage::Load { report, .. } => Some(DispatchEvent::PeerLoad(from, report)),
            ControlMessage::Pull { .. } => Some(DispatchEvent::PullReceived(from)),
            ControlMessage::Member(_) => None,
        }
    }

    /// Returns whether the sender is a peer and the message is not a late copy.
    fn is_new(&self, view: &AgentView, from: EndpointId, beat: u64, is_load: bool) -> bool {
        if !view.peers.iter().any(|peer| peer.id == from) {
            return false;
        }
        let mut seen = self.seen.borrow_mut();
        if seen.len() > view.peers.len() {
            seen.retain(|known, _| view.peers.iter().any(|peer| peer.id == *known));
        }
        let beats = seen.entry(from).or_default();
        let last = match is_load {
            true => &mut beats.load,
            false => &mut beats.pull,
        };
        if beat <= *last {
            return false;
        }
        *last = beat;
        true
    }
}

fn first_beat(incarnation: IncarnationNumber) -> u64 {
    incarnation << BEAT_BITS
}
