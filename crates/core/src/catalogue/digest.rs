//! Digest of a catalogue, equal on all instances that hold the same revision with the same services.

use crate::catalogue::{CatalogueSnapshot, LimitSet, PathClass, ServiceEntry};
use crate::ids::{id_of, DigestValue};
use xxhash_rust::xxh3::Xxh3;

/// Returns the XXH3 hash of the revision and all services; strings and lists are prefixed with their length.
pub(super) fn catalogue_digest(snapshot: &CatalogueSnapshot) -> DigestValue {
    let mut hasher = Xxh3::new();
    hasher.update(&snapshot.revision.to_le_bytes());
    for (name, entry) in &snapshot.services {
        add_text(&mut hasher, name);
        add_entry(&mut hasher, entry);
    }
    hasher.digest()
}

// The patterns list every field, so that a field that is missing from the digest is a compile error.
fn add_entry(hasher: &mut Xxh3, entry: &ServiceEntry) {
    let ServiceEntry {
        number,
        owner,
        class,
        addresses,
        path_classes,
        limits,
    } = entry;
    add_number(hasher, u64::from(*number));
    add_text(hasher, owner);
    add_text(hasher, class.name());
    add_length(hasher, addresses.len());
    for &address in addresses {
        add_number(hasher, id_of(address));
    }
    add_length(hasher, path_classes.len());
    for PathClass { prefix, class } in path_classes {
        add_text(hasher, prefix);
        add_text(hasher, class.name());
    }
    add_limits(hasher, limits);
}

fn add_limits(hasher: &mut Xxh3, limits: &LimitSet) {
    let LimitSet {
        flows,
        new_flows_per_s,
        in_flight,
        queue,
        slot_share,
        retry_budget,
        deadline_ms,
        max_deadline_ms,
    } = limits;
    for count in [flows, new_flows_per_s, in_flight, queue] {
        add_number(hasher, u64::from(*count));
    }
    for share in [slot_share, retry_budget] {
        add_number(hasher, share.to_bits());
    }
    for time in [deadline_ms, max_deadline_ms] {
        add_number(hasher, *time);
    }
}

fn add_text(hasher: &mut Xxh3, text: &str) {
    add_length(hasher, text.len());
    hasher.update(text.as_bytes());
}

fn add_length(hasher: &mut Xxh3, length: usize) {
    // CAST: Lengths fit 64 bits on every supported target.
    add_number(hasher, length as u64);
}

fn add_number(hasher: &mut Xxh3, number: u64) {
    hasher.update(&number.to_le_bytes());
}
