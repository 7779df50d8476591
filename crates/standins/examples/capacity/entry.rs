//! Measures the controllers of an entry.

use crate::fit::Series;
use crate::meter::{allocated, elapsed_since, mean_microseconds};
use crate::{TARGET_ENDPOINTS, TARGET_ENTRIES, TARGET_SERVICES, TARGET_ZONES};
use quetzalhill_core::ids::{address_of, id_of, EndpointId};
use quetzalhill_core::member::controller::{MemberAction, MemberController};
use quetzalhill_core::member::message::{
    AnnounceRequest, CatalogueStamp, EntryStatus, GossipHead, MemberMessage, MemberUpdate,
};
use quetzalhill_core::member::routes::build_table;
use quetzalhill_core::member::{EndpointRecord, EndpointState, EntryRecord};
use quetzalhill_core::packet::{FlowStage, PacketContext, PacketController, ParsedPacket};
use quetzalhill_core::route::{RouteTable, ServiceRoute};
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::key::{ControlKey, KeyRing};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Endpoints of a service at the target size, rounded up.
const ENDPOINTS_PER_SERVICE: u32 = 12;

/// Endpoints that announce themselves to one entry at the target size, where each endpoint announces itself to three
/// entries.
const ANNOUNCING_ENDPOINTS: u32 = 23;

/// Virtual time of each run of an entry among its peers.
const RUN_TIME: Duration = Duration::from_secs(60);

const ENDPOINT_COUNTS: [u32; 4] = [100, 1_000, 10_000, 100_000];

const PEER_COUNTS: [u32; 4] = [10, 100, 300, 1_000];

/// Measures all quantities of an entry and prints their rows.
pub(crate) fn measure() {
    measure_records();
    measure_peers();
    measure_packets();
}

pub(crate) fn key_ring() -> KeyRing {
    KeyRing::new(ControlKey::new(1, &[3; 32]), None)
}

pub(crate) fn encoded_bytes(message: MemberMessage) -> f64 {
    let encoded = ControlMessage::Member(Box::new(message)).seal(&key_ring());
    // CAST: A datagram has at most 65,535 bytes.
    encoded.map_or(0.0, |datagram| datagram.len() as f64)
}

fn address(base: u32, number: u32) -> SocketAddrV4 {
    SocketAddrV4::new((base + number).into(), 7000)
}

pub(crate) fn entry_record(number: u32) -> EntryRecord {
    let address = address(0x0a00_0000, number);
    EntryRecord {
        id: id_of(address),
        incarnation: 1_700_000_000_000_000,
        zone: format!("zone-{}", number % TARGET_ZONES),
        data: address,
    }
}

pub(crate) fn endpoint_record(number: u32) -> EndpointRecord {
    let address = address(0x0a80_0000, number);
    EndpointRecord {
        id: id_of(address),
        incarnation: 1_700_000_000_000_000,
        sequence: 1,
        service: format!("service-{}", number / ENDPOINTS_PER_SERVICE),
        number: 1 + number / ENDPOINTS_PER_SERVICE,
        zone: format!("zone-{}", number % TARGET_ZONES),
        peer: address,
        state: EndpointState::Ready,
        slots: 4,
    }
}

fn endpoint_update(number: u32, sequence: u32) -> MemberUpdate {
    let mut record = endpoint_record(number);
    record.sequence = sequence;
    MemberUpdate::Endpoint {
        record,
        remaining_s: 0,
    }
}

fn gossip(updates: Vec<MemberUpdate>) -> MemberMessage {
    MemberMessage::Gossip(GossipHead {
        from: entry_record(TARGET_ZONES).id,
        stamp: CatalogueStamp::default(),
        updates,
    })
}

/// An entry whose simulated peers acknowledge its probes immediately.
struct SimulatedEntry {
    member: MemberController,
    now: Instant,
    rng: SmallRng,
    bytes_sent: f64,
    messages_sent: f64,
}

impl SimulatedEntry {
    fn new(peers: u32) -> Self {
        let now = Instant::now();
        let mut entry = Self {
            member: MemberController::new(entry_record(0), &[], now),
            now,
            rng: SmallRng::seed_from_u64(1),
            bytes_sent: 0.0,
            messages_sent: 0.0,
        };
        for number in 1..=peers {
            let update = MemberUpdate::Entry {
                record: entry_record(number),
                status: EntryStatus::Alive,
                by: entry_record(number).id,
                remaining_s: 0,
            };
            entry.receive(gossip(vec![update]));
        }
        entry
    }

    fn receive(&mut self, message: MemberMessage) {
        let from = entry_record(TARGET_ZONES).address();
        let actions = self.member.receive(from, message, self.now, &mut self.rng);
        self.acknowledge_probes(actions.into_iter().collect());
    }

    fn acknowledge_probes(&mut self, mut actions: VecDeque<MemberAction>) {
        while let Some(action) = actions.pop_front() {
            let MemberAction::Send(outgoing) = action else {
                continue;
            };
            self.messages_sent += 1.0;
            let reply = match &outgoing.message {
                MemberMessage::Ping(number, _) => {
                    let head = GossipHead {
                        from: id_of(outgoing.to),
                        stamp: CatalogueStamp::default(),
                        updates: Vec::new(),
                    };
                    Some(MemberMessage::Ack(*number, id_of(outgoing.to), head))
                }
                _ => None,
            };
            self.bytes_sent += encoded_bytes(outgoing.message);
            let Some(reply) = reply else {
                continue;
            };
            let more = self
                .member
                .receive(outgoing.to, reply, self.now, &mut self.rng);
            actions.extend(more);
        }
    }

    fn announce(&mut self, number: u32, heartbeat: u64) {
        let record = endpoint_record(number);
        let known = self.member.endpoint(record.id).is_some();
        self.receive(MemberMessage::Announce(AnnounceRequest {
            id: record.id,
            version: record.version(),
            heartbeat,
            revision: 1,
            peers: 0,
            refresh: false,
            record: (!known).then_some(record),
        }));
    }

    /// Advances the virtual time by `time`, while `announcing` endpoints of the entry's zone announce themselves every
    /// 500 ms.
    fn run(&mut self, time: Duration, announcing: u32) {
        let end = self.now + time;
        let mut heartbeat = 0;
        let mut next_announcement = self.now;
        while self.now < end {
            self.now = self
                .member
                .next_deadline()
                .max(self.now)
                .min(next_announcement);
            if self.now >= next_announcement {
                next_announcement = self.now + Duration::from_millis(500);
                heartbeat += 1;
                for number in 0..announcing {
                    self.announce(number * TARGET_ZONES, heartbeat);
                }
            }
            let actions = self.member.tick(self.now, &mut self.rng);
            self.acknowledge_probes(actions.into_iter().collect());
        }
    }
}

fn series(quantity: &'static str, unit: &'static str, target: f64) -> Series {
    Series {
        role: "entry",
        quantity,
        unit,
        target,
        points: Vec::new(),
    }
}

fn measure_records() {
    let mut memory = series("memory of records, bytes", "endpoints", TARGET_ENDPOINTS);
    let mut update = series(
        "time of a changed record, us",
        "endpoints",
        TARGET_ENDPOINTS,
    );
    let mut announce = series("time of an announcement, us", "endpoints", TARGET_ENDPOINTS);
    let mut build = series("time to build the table, us", "endpoints", TARGET_ENDPOINTS);
    let mut table_memory = series(
        "memory of the route table, bytes",
        "endpoints",
        TARGET_ENDPOINTS,
    );
    for size in ENDPOINT_COUNTS {
        let x = f64::from(size);
        let before = allocated();
        let mut entry = SimulatedEntry::new(0);
        for number in 0..size {
            entry.receive(gossip(vec![endpoint_update(number, 1)]));
        }
        entry.run(Duration::from_secs(1), 0);
        memory.points.push((x, allocated() - before));
        let calls = size.min(5_000);
        let step = size / calls;
        let cost = mean_microseconds(calls, |call| {
            entry.receive(gossip(vec![endpoint_update(call * step, 2)]));
        });
        update.points.push((x, cost));
        let announcing = (size / TARGET_ZONES).min(ANNOUNCING_ENDPOINTS);
        let cost = mean_microseconds(5_000, |call| {
            entry.announce(call % announcing * TARGET_ZONES, 1 + u64::from(call));
        });
        announce.points.push((x, cost));
        let catalogue = crate::catalogue::snapshot(1, size.div_ceil(ENDPOINTS_PER_SERVICE));
        let before = allocated();
        let mut table = RouteTable::default();
        let cost = mean_microseconds(20, |_| {
            table = build_table(&catalogue, entry.member.endpoints(), &[]);
        });
        build.points.push((x, cost));
        table_memory.points.push((x, allocated() - before));
        drop(table);
    }
    for row in [memory, update, announce, build, table_memory] {
        row.print();
    }
}

fn measure_peers() {
    let mut memory = series("memory of entry records, bytes", "entries", TARGET_ENTRIES);
    let mut sent = series(
        "bytes sent a second, 23 endpoints announce",
        "entries",
        TARGET_ENTRIES,
    );
    let mut messages = series(
        "messages sent a second, 23 endpoints announce",
        "entries",
        TARGET_ENTRIES,
    );
    let mut time = series("time a second with codec, us", "entries", TARGET_ENTRIES);
    for size in PEER_COUNTS {
        let x = f64::from(size);
        let before = allocated();
        let mut entry = SimulatedEntry::new(size);
        memory.points.push((x, allocated() - before));
        // Not measured: in this run the entry gossips the records that `new` passed to it.
        entry.run(RUN_TIME, ANNOUNCING_ENDPOINTS);
        let start = (entry.bytes_sent, entry.messages_sent, Instant::now());
        entry.run(RUN_TIME, ANNOUNCING_ENDPOINTS);
        let seconds = RUN_TIME.as_secs_f64();
        sent.points
            .push((x, (entry.bytes_sent - start.0) / seconds));
        messages
            .points
            .push((x, (entry.messages_sent - start.1) / seconds));
        time.points
            .push((x, 1e6 * elapsed_since(start.2) / seconds));
    }
    for row in [memory, sent, messages, time] {
        row.print();
    }
}

fn measure_packets() {
    let mut candidates = series("time of candidates, us", "endpoints of the service", 12.0);
    for size in [10_u32, 100, 1_000, 10_000] {
        let route = ServiceRoute {
            ready: (0..size).map(|number| endpoint_record(number).id).collect(),
            ..ServiceRoute::default()
        };
        let cost = mean_microseconds(2_000_000 / size, |call| {
            std::hint::black_box(route.candidates(&call.to_le_bytes()));
        });
        candidates.points.push((f64::from(size), cost));
    }
    candidates.print();
    let mut flow = series(
        "time of a new flow in the chain, us",
        "services",
        TARGET_SERVICES,
    );
    for size in [100_u32, 300, 1_000, 10_000] {
        let cost = new_flow_cost(size);
        flow.points.push((f64::from(size), cost));
    }
    flow.print();
}

fn new_flow_cost(services: u32) -> f64 {
    let mut table = RouteTable::default();
    for number in 0..services {
        let ready: Vec<EndpointId> = (0..ENDPOINTS_PER_SERVICE)
            .map(|offset| endpoint_record(number * ENDPOINTS_PER_SERVICE + offset).id)
            .collect();
        let index = table.services.len();
        table.by_address.insert(address(0x0ac0_0000, number), index);
        table.services.push(ServiceRoute {
            name: format!("service-{number}"),
            number: number + 1,
            new_flows_per_s: u32::MAX,
            ready,
        });
    }
    let mut chain = PacketController::new(1);
    let now = Instant::now();
    let mut forwarded = 0_u32;
    let cost = mean_microseconds(300_000, |call| {
        let key = call.to_le_bytes();
        let verdict = chain.decide(
            &PacketContext {
                parsed: Some(ParsedPacket {
                    stage: FlowStage::Opening,
                    key: &key,
                    embedded: None,
                }),
                service_address: address(0x0ac0_0000, call.wrapping_mul(7) % services),
                now: now + Duration::from_micros(u64::from(call)),
            },
            &table,
        );
        let drops = matches!(verdict, quetzalhill_core::packet::PacketVerdict::Drop(_));
        forwarded += u32::from(!drops);
    });
    assert_eq!(
        forwarded, 300_000,
        "the filter chain dropped packets that open flows"
    );
    cost
}

/// Returns the control address of the entry with this number, to which agents announce themselves.
pub(crate) fn entry_address(number: u32) -> SocketAddrV4 {
    address_of(entry_record(number).id)
}
