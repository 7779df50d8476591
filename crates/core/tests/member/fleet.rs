//! Simulation of entries and agents; longer than 500 lines because one event loop drives both kinds of nodes.
//!
//! It runs in virtual time, over a network that loses, delays, duplicates and reorders messages.

use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::ids::{address_of, id_of, EndpointId, EntryId};
use quetzalhill_core::member::announce::AnnounceController;
use quetzalhill_core::member::controller::{MemberAction, MemberController};
use quetzalhill_core::member::message::{
    CatalogueStamp, EntryStatus, MemberMessage, OutgoingMessage, MEMBER_DATAGRAM_MAX,
};
use quetzalhill_core::member::{EndpointRecord, EndpointState, EntryRecord};
use quetzalhill_core::replicate::{CatalogueAction, CatalogueController};
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::key::{ControlKey, KeyRing};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Time after which TCP retransmits a lost segment.
const TCP_RETRANSMIT_TIME: Duration = Duration::from_millis(400);

/// Faults of the simulated network; `loss` and `duplicates` are shares of all messages.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) delay_ms: std::ops::Range<u64>,
    /// Zones that are partitioned from all other zones.
    pub(crate) partitioned: Vec<String>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            delay_ms: 1..3,
            partitioned: Vec::new(),
        }
    }
}

/// One simulated entry.
pub(crate) struct EntryNode {
    pub(crate) member: MemberController,
    pub(crate) catalogue: CatalogueController,
    rng: SmallRng,
}

/// One simulated agent.
pub(crate) struct AgentNode {
    pub(crate) announce: AnnounceController,
    rng: SmallRng,
}

enum Node {
    Entry(Box<EntryNode>),
    Agent(Box<AgentNode>),
}

struct Slot {
    node: Node,
    zone: String,
    wake: Option<Instant>,
    sent: u64,
    received: u64,
}

enum Event {
    Wake(SocketAddrV4),
    Deliver(SocketAddrV4, SocketAddrV4, Vec<u8>),
    Fetch(SocketAddrV4, EntryId, u64),
}

struct Scheduled {
    at: Instant,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// The simulated fleet and its event queue.
pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) network: Network,
    slots: BTreeMap<SocketAddrV4, Slot>,
    queue: BinaryHeap<Scheduled>,
    order: u64,
    rng: SmallRng,
    ring: KeyRing,
}

/// Returns the control address of the entry with this number.
pub(crate) fn entry_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new((0x0a00_0000 + number).into(), 7000)
}

/// Returns the control address of the agent with this number.
pub(crate) fn agent_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new((0x0a10_0000 + number).into(), 7001)
}

/// Returns the identity of the endpoint with this number.
pub(crate) fn endpoint_id(number: u32) -> EndpointId {
    id_of(SocketAddrV4::new((0x0a10_0000 + number).into(), 7002))
}

/// Returns a valid service whose flow limit distinguishes the revisions.
pub(crate) fn service(flows: u32) -> ServiceEntry {
    let text = format!(
        r#"{{"number": 5, "owner": "lucky-slip", "addresses": ["10.9.0.1:443"], "limits": {{"flows": {flows}}}}}"#
    );
    serde_json::from_str(&text).expect("a service")
}

/// Returns a catalogue with one service, which differs in each revision.
pub(crate) fn snapshot(revision: u64) -> CatalogueSnapshot {
    let flows = u32::try_from(revision).expect("small");
    CatalogueSnapshot {
        revision,
        services: [("feed".to_string(), service(flows))].into(),
    }
}

/// Refuses a catalogue whose service has no owner.
fn validate(snapshot: &CatalogueSnapshot) -> Result<(), String> {
    match snapshot
        .services
        .values()
        .any(|entry| entry.owner.is_empty())
    {
        true => Err("a service has no owner".into()),
        false => Ok(()),
    }
}

impl Fleet {
    /// Makes an empty fleet.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Instant::now(),
            network: Network::default(),
            slots: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            ring: KeyRing::new(ControlKey::new(1, &[3; 32]), None),
        }
    }

    /// Makes a fleet of entries and of agents with ready endpoints, spread evenly over numbered zones.
    pub(crate) fn with_nodes(seed: u64, entries: u32, agents: u32, zones: u32) -> Self {
        let mut fleet = Self::new(seed);
        for number in 0..entries {
            fleet.add_entry(number, &zone_name(number % zones), 1);
        }
        for number in 0..agents {
            let seeds = [number % entries, (number + 1) % entries].map(entry_address);
            fleet.add_agent(number, &zone_name(number % zones), 1, &seeds);
        }
        fleet
    }

    /// Starts an entry whose seeds are entries 0 to 2.
    pub(crate) fn add_entry(&mut self, number: u32, zone: &str, incarnation: u64) {
        let address = entry_address(number);
        let own = EntryRecord {
            id: id_of(address),
            incarnation,
            zone: zone.into(),
            data: address,
        };
        let seeds = [0, 1, 2].map(entry_address);
        let node = EntryNode {
            member: MemberController::new(own, &seeds, self.now),
            catalogue: CatalogueController::new(validate, None, self.now),
            rng: SmallRng::seed_from_u64(self.rng.random()),
        };
        self.start(address, zone, Node::Entry(Box::new(node)));
    }

    /// Starts an agent whose endpoint is ready at once.
    pub(crate) fn add_agent(
        &mut self,
        number: u32,
        zone: &str,
        incarnation: u64,
        seeds: &[SocketAddrV4],
    ) {
        let record = EndpointRecord {
            id: endpoint_id(number),
            incarnation,
            sequence: 0,
            service: "feed".into(),
            number: 5,
            zone: zone.into(),
            peer: agent_address(number),
            state: EndpointState::Starting,
            slots: 4,
        };
        let mut announce = AnnounceController::new(record, seeds, self.now);
        announce.set_state(EndpointState::Ready, self.now);
        let node = AgentNode {
            announce,
            rng: SmallRng::seed_from_u64(self.rng.random()),
        };
        self.start(agent_address(number), zone, Node::Agent(Box::new(node)));
    }

    fn start(&mut self, address: SocketAddrV4, zone: &str, node: Node) {
        let slot = Slot {
            node,
            zone: zone.into(),
            wake: None,
            sent: 0,
            received: 0,
        };
        self.slots.insert(address, slot);
        // Processes start at different times within the first second.
        let at = self.now + Duration::from_millis(self.rng.random_range(0..1_000));
        self.wake_at(address, at);
    }

    /// Ends a process abruptly; it sends no message.
    pub(crate) fn kill(&mut self, address: SocketAddrV4) {
        self.slots.remove(&address);
    }

    /// Returns a running entry.
    pub(crate) fn entry(&mut self, number: u32) -> &mut EntryNode {
        match self
            .slots
            .get_mut(&entry_address(number))
            .map(|slot| &mut slot.node)
        {
            Some(Node::Entry(node)) => node,
            _ => panic!("entry {number} does not run"),
        }
    }

    /// Returns a running agent.
    pub(crate) fn agent(&mut self, number: u32) -> &mut AgentNode {
        match self
            .slots
            .get_mut(&agent_address(number))
            .map(|slot| &mut slot.node)
        {
            Some(Node::Agent(node)) => node,
            _ => panic!("agent {number} does not run"),
        }
    }

    /// Returns all running entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &EntryNode> {
        self.slots.values().filter_map(|slot| match &slot.node {
            Node::Entry(node) => Some(node.as_ref()),
            Node::Agent(_) => None,
        })
    }

    /// Moves an endpoint to a later state.
    pub(crate) fn set_state(&mut self, number: u32, state: EndpointState) {
        let now = self.now;
        self.agent(number).announce.set_state(state, now);
        self.wake_at(agent_address(number), now);
    }

    /// Hands a snapshot to an entry, as a reader of the store does.
    pub(crate) fn adopt(&mut self, number: u32, snapshot: CatalogueSnapshot) {
        let now = self.now;
        let node = self.entry(number);
        node.catalogue.adopt(snapshot);
        let stamp = node.catalogue.stamp();
        node.member.set_stamp(stamp);
        self.wake_at(entry_address(number), now);
    }

    /// Returns the mean bytes that entries have sent and received.
    pub(crate) fn entry_bytes(&self) -> (f64, f64) {
        let entries = self.slots.values();
        let entries: Vec<_> = entries
            .filter(|slot| matches!(slot.node, Node::Entry(_)))
            .collect();
        let count = u32::try_from(entries.len()).expect("few");
        let mean = |sum: u64| sum as f64 / f64::from(count);
        (
            mean(entries.iter().map(|slot| slot.sent).sum()),
            mean(entries.iter().map(|slot| slot.received).sum()),
        )
    }

    /// Advances the virtual time and handles the events that are due.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let scheduled = self.queue.pop().expect("peeked");
            self.now = self.now.max(scheduled.at);
            self.handle(scheduled.event);
        }
        self.now = end;
    }

    /// Advances the virtual time until the condition holds; returns how long it took, or `None` after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now >= start + limit {
                return None;
            }
            self.run(Duration::from_millis(50));
        }
        Some(self.now - start)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(address) => self.wake(address),
            Event::Deliver(from, to, datagram) => self.deliver(from, to, &datagram),
            Event::Fetch(address, peer, from) => self.fetch(address, peer, from),
        }
    }

    fn wake(&mut self, address: SocketAddrV4) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        if slot.wake.is_none_or(|at| at > now) {
            return;
        }
        slot.wake = None;
        match &mut slot.node {
            Node::Entry(node) => {
                let actions = node.member.tick(now, &mut node.rng);
                self.perform(address, actions);
            }
            Node::Agent(node) => {
                let messages = node.announce.tick(now, &mut node.rng);
                for outgoing in messages {
                    self.send(address, outgoing);
                }
            }
        }
        self.schedule_next(address);
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: &[u8]) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(&to) else {
            return;
        };
        slot.received += datagram.len() as u64;
        let message = ControlMessage::open(&self.ring, datagram).expect("sealed here");
        let ControlMessage::Member(message) = message else {
            return;
        };
        match &mut slot.node {
            Node::Entry(node) => {
                let actions = node.member.receive(from, *message, now, &mut node.rng);
                self.perform(to, actions);
            }
            Node::Agent(node) => {
                if let MemberMessage::AnnounceAck(reply) = *message {
                    node.announce.receive(from, reply, now);
                }
            }
        }
        self.schedule_next(to);
    }

    fn perform(&mut self, address: SocketAddrV4, actions: impl IntoIterator<Item = MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send(outgoing) => self.send(address, outgoing),
                MemberAction::CatalogueSeen(peer, stamp) => self.add_source(address, peer, stamp),
            }
        }
    }

    fn add_source(&mut self, address: SocketAddrV4, peer: EntryId, stamp: CatalogueStamp) {
        if let Some(Node::Entry(node)) = self.slots.get_mut(&address).map(|slot| &mut slot.node) {
            node.catalogue.add_source(peer, stamp);
        }
    }

    /// Starts a fetch that is due and schedules the next wake-up.
    fn schedule_next(&mut self, address: SocketAddrV4) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        let mut fetch = None;
        let wake = match &mut slot.node {
            Node::Entry(node) => {
                fetch = node.catalogue.tick(now, &mut node.rng);
                let catalogue = node.catalogue.next_deadline();
                let member = node.member.next_deadline();
                catalogue.map_or(member, |at| at.min(member))
            }
            Node::Agent(node) => node.announce.next_deadline(),
        };
        if let Some(CatalogueAction::Fetch { peer, from, .. }) = fetch {
            let at = now + self.fetch_time();
            self.schedule(at, Event::Fetch(address, peer, from));
        }
        self.wake_at(address, wake);
    }

    /// Returns the time of four TCP transfers, each of which is retransmitted until it is not lost.
    fn fetch_time(&mut self) -> Duration {
        let mut time = Duration::ZERO;
        for _ in 0..4 {
            while self.rng.random_bool(self.network.loss) {
                time += TCP_RETRANSMIT_TIME;
            }
            let delay = self.rng.random_range(self.network.delay_ms.clone());
            time += Duration::from_millis(delay);
        }
        time
    }

    fn fetch(&mut self, address: SocketAddrV4, peer: EntryId, from: u64) {
        let now = self.now;
        let peer = address_of(peer);
        let lost = self.is_partitioned(address, peer);
        let mut change = None;
        if let Some(Node::Entry(node)) = self.slots.get(&peer).map(|slot| &slot.node) {
            change = Some(node.catalogue.change_since(from, None)).filter(|_| !lost);
        }
        let Some(Node::Entry(node)) = self.slots.get_mut(&address).map(|slot| &mut slot.node)
        else {
            return;
        };
        node.catalogue.finish_fetch(change, now, &mut node.rng);
        let stamp = node.catalogue.stamp();
        node.member.set_stamp(stamp);
        self.schedule_next(address);
    }

    fn send(&mut self, from: SocketAddrV4, outgoing: OutgoingMessage) {
        let message = ControlMessage::Member(Box::new(outgoing.message));
        let datagram = message.seal(&self.ring).expect("fits");
        assert!(
            datagram.len() <= MEMBER_DATAGRAM_MAX,
            "{} bytes: {message:?}",
            datagram.len()
        );
        if let Some(slot) = self.slots.get_mut(&from) {
            slot.sent += datagram.len() as u64;
        }
        let mut copies = 1;
        if self.rng.random_bool(self.network.duplicates) {
            copies = 2;
        }
        for _ in 0..copies {
            if self.is_partitioned(from, outgoing.to) || self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = self.rng.random_range(self.network.delay_ms.clone());
            let at = self.now + Duration::from_millis(delay);
            self.schedule(at, Event::Deliver(from, outgoing.to, datagram.clone()));
        }
    }

    fn is_partitioned(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        let inside = |address| {
            let slot = self.slots.get(&address);
            slot.is_some_and(|slot| self.network.partitioned.contains(&slot.zone))
        };
        inside(from) != inside(to)
    }

    fn wake_at(&mut self, address: SocketAddrV4, at: Instant) {
        let at = at.max(self.now);
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        if slot.wake.is_some_and(|planned| planned <= at) {
            return;
        }
        slot.wake = Some(at);
        self.schedule(at, Event::Wake(address));
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Scheduled { at, order, event });
    }
}

/// Returns the name of a zone.
pub(crate) fn zone_name(number: u32) -> String {
    format!("zone-{number}")
}

/// Returns the state of an endpoint in an entry's view.
pub(crate) fn state_of(node: &EntryNode, number: u32) -> Option<EndpointState> {
    let record = node.member.endpoint(endpoint_id(number));
    record.map(|record| record.state)
}

/// Returns the number of ready endpoints in an entry's view.
pub(crate) fn ready_count(node: &EntryNode) -> usize {
    let ready = |record: &&EndpointRecord| record.state == EndpointState::Ready;
    node.member.endpoints().filter(ready).count()
}

/// Returns the number of other entries in an entry's view that have not left.
pub(crate) fn live_count(node: &EntryNode) -> usize {
    let live = |(_, status): &(&EntryRecord, EntryStatus)| *status != EntryStatus::Left;
    node.member.entries().filter(live).count()
}

/// Returns whether every entry has records of all entries and all ready endpoints.
pub(crate) fn is_complete(fleet: &Fleet, entries: usize, endpoints: usize) -> bool {
    let mut nodes = fleet.entries();
    nodes.all(|node| live_count(node) + 1 == entries && ready_count(node) == endpoints)
}
