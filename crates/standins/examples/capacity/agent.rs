//! Measures the controllers of an agent.

use crate::entry::{encoded_bytes, endpoint_record, entry_address, entry_record};
use crate::fit::Series;
use crate::meter::{allocated, elapsed_since, mean_microseconds};
use crate::TARGET_ENTRIES;
use quetzalhill_core::catalogue::{LimitSet, TrafficClass};
use quetzalhill_core::dispatch::{DispatchController, DispatchEvent, DispatchPolicy, RequestMeta};
use quetzalhill_core::ids::id_of;
use quetzalhill_core::member::announce::AnnounceController;
use quetzalhill_core::member::message::{AnnounceReply, CatalogueStamp, MemberMessage};
use quetzalhill_core::once::{OnceController, OnceKey, OnceLimits, OnceOutcome, StoredAnswer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::{Duration, Instant};

/// Virtual time for which an agent announces itself.
const RUN_TIME: Duration = Duration::from_secs(60);

fn series(quantity: &'static str, unit: &'static str, target: f64) -> Series {
    Series {
        role: "agent",
        quantity,
        unit,
        target,
        points: Vec::new(),
    }
}

/// Measures all quantities of an agent and prints their rows.
pub(crate) fn measure() {
    measure_announce();
    measure_dispatch();
    measure_once();
}

fn measure_announce() {
    let mut memory = series("memory of contacts, bytes", "entries", TARGET_ENTRIES);
    let mut sent = series("bytes sent a second", "entries", TARGET_ENTRIES);
    let mut time = series("time a second with codec, us", "entries", TARGET_ENTRIES);
    for size in [10_u32, 30, 100, 1_000] {
        let x = f64::from(size);
        let before = allocated();
        let mut now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let seeds = [0, 1].map(entry_address);
        let mut agent = AnnounceController::new(endpoint_record(0), &seeds, now);
        let mut bytes = 0.0;
        let start = Instant::now();
        let end = now + RUN_TIME;
        let mut next = 0;
        while now < end {
            now = agent.next_deadline().max(now);
            for outgoing in agent.tick(now, &mut rng) {
                let MemberMessage::Announce(announcement) = outgoing.message.clone() else {
                    continue;
                };
                bytes += encoded_bytes(outgoing.message);
                let mut entries = Vec::new();
                if announcement.refresh {
                    entries = (0..9)
                        .map(|offset| entry_record((next + offset) % size))
                        .collect();
                    next += 9;
                }
                let reply = AnnounceReply {
                    heartbeat: announcement.heartbeat,
                    stamp: CatalogueStamp::default(),
                    known: Some(announcement.version),
                    entries,
                    peers: None,
                };
                agent.receive(outgoing.to, reply, now);
            }
        }
        memory.points.push((x, allocated() - before));
        let seconds = RUN_TIME.as_secs_f64();
        sent.points.push((x, bytes / seconds));
        time.points.push((x, 1e6 * elapsed_since(start) / seconds));
    }
    for row in [memory, sent, time] {
        row.print();
    }
}

fn measure_dispatch() {
    let mut event = series("time of a dispatch event, us", "waiting requests", 256.0);
    for size in [1_u32, 10, 100, 1_000] {
        let limits = LimitSet {
            queue: 2_000,
            ..LimitSet::default()
        };
        let mut dispatch = DispatchController::new(DispatchPolicy::Local, 4, limits);
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let meta = |id: u64| RequestMeta {
            id: id.into(),
            class: TrafficClass::Standard,
            owner: "owner".into(),
            arrived: now,
            deadline: now + Duration::from_secs(3_600),
            work_key: 0,
        };
        for id in 0..u64::from(size) {
            dispatch.handle(DispatchEvent::Arrived(meta(id)), now, &mut rng);
        }
        let calls = 2_000;
        let cost = mean_microseconds(calls, |call| {
            let id = u64::from(10_000 + call);
            dispatch.handle(DispatchEvent::Arrived(meta(id)), now, &mut rng);
            dispatch.handle(DispatchEvent::Cancelled(id.into()), now, &mut rng);
        });
        event.points.push((f64::from(size), cost / 2.0));
    }
    event.print();
}

fn measure_once() {
    let mut memory = series("memory of keyed outcomes, bytes", "keys", 65_536.0);
    let mut time = series("time of a keyed request, us", "keys", 65_536.0);
    for size in [100_u32, 1_000, 10_000, 100_000] {
        let before = allocated();
        let limits = OnceLimits {
            keys: 100_000,
            ..OnceLimits::default()
        };
        let issuer = id_of(entry_address(0));
        let mut once = OnceController::new(issuer, 1, limits);
        let now = Instant::now();
        let cost = mean_microseconds(size, |call| {
            let key = OnceKey {
                issuer,
                key: format!("request-{call}"),
            };
            once.begin(&key, 1, now);
            let answer = StoredAnswer {
                status: 200,
                headers: Vec::new(),
                body: b"accepted".to_vec(),
            };
            once.finish(&key, OnceOutcome::Answered(answer));
        });
        time.points.push((f64::from(size), cost));
        memory.points.push((f64::from(size), allocated() - before));
    }
    memory.print();
    time.print();
}
