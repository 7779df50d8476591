//! Measures the catalogue controller, which runs on every entry and thus on every catalogue reader.

use crate::fit::Series;
use crate::meter::{allocated, mean_microseconds};
use crate::TARGET_SERVICES;
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::replicate::CatalogueController;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::Instant;

fn service(number: u32, flows: u32) -> ServiceEntry {
    let [_, _, high, low] = number.to_be_bytes();
    let text = format!(
        r#"{{"number": {}, "owner": "owner-{}", "addresses": ["10.9.{high}.{low}:443"], "limits": {{"flows": {flows}}}}}"#,
        number + 1,
        number % 100
    );
    serde_json::from_str(&text).expect("valid JSON of a service")
}

/// Returns a catalogue in which the flow limit of the first service equals the revision, so that exactly one service
/// differs between two revisions.
pub(crate) fn snapshot(revision: u32, services: u32) -> CatalogueSnapshot {
    let flows = |number| match number {
        0 => revision,
        _ => 4_000,
    };
    let entry = |number| (format!("service-{number}"), service(number, flows(number)));
    CatalogueSnapshot {
        revision: revision.into(),
        services: (0..services).map(entry).collect(),
    }
}

fn series(quantity: &'static str) -> Series {
    Series {
        role: "catalogue",
        quantity,
        unit: "services",
        target: TARGET_SERVICES,
        points: Vec::new(),
    }
}

/// Measures all quantities of the catalogue and prints their rows.
pub(crate) fn measure() {
    let mut memory = series("memory of the catalogue, bytes");
    let mut json = series("whole catalogue as JSON, bytes");
    let mut digest = series("time of the digest, us");
    let mut change = series("time to apply one changed service, us");
    let mut answer = series("time to answer a fetch of one change, us");
    let mut whole = series("time to answer a fetch of all services, us");
    for size in [100_u32, 1_000, 3_000, 10_000] {
        let x = f64::from(size);
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let before = allocated();
        let mut source = CatalogueController::new(|_| Ok(()), None, now);
        source.adopt(snapshot(1, size));
        memory.points.push((x, allocated() - before));
        let text =
            serde_json::to_string(&source.snapshot().services).expect("serializable services");
        // CAST: A few megabytes.
        json.points.push((x, text.len() as f64));
        let cost = mean_microseconds(50, |_| {
            std::hint::black_box(source.snapshot().digest());
        });
        digest.points.push((x, cost));
        let mut follower = CatalogueController::new(|_| Ok(()), None, now);
        follower.adopt(snapshot(1, size));
        source.adopt(snapshot(2, size));
        let cost = mean_microseconds(50, |_| {
            std::hint::black_box(source.change_since(1, None));
        });
        answer.points.push((x, cost));
        let cost = mean_microseconds(50, |_| {
            std::hint::black_box(source.change_since(0, None));
        });
        whole.points.push((x, cost));
        let update = source.change_since(1, None);
        let cost = mean_microseconds(1, |_| {
            follower.finish_fetch(Some(update.clone()), now, &mut rng);
        });
        assert_eq!(
            follower.stamp(),
            source.stamp(),
            "the follower did not apply the change"
        );
        change.points.push((x, cost));
    }
    for row in [memory, json, digest, change, answer, whole] {
        row.print();
    }
}
