//! Bandwidth of the membership protocol.

use crate::fleet::{is_complete, Fleet};
use std::time::Duration;
use yare::parameterized;

/// Most bytes per second that an entry may send or receive, see docs/design.md, section 1.
const RATE_LIMIT: f64 = 16.0 * 1024.0;

const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Guards against control traffic that grows with the fleet. The figures are printed with `--nocapture`.
#[parameterized(
    small = { 3, 3 },
    medium = { 30, 3 },
    large = { 300, 6 },
)]
fn bytes_per_entry_stay_within_the_limit(entries: u32, zones: u32) {
    let agents = 10 * entries;
    let mut fleet = Fleet::with_nodes(1, entries, agents, zones);
    let counts = [entries, agents].map(|count| usize::try_from(count).expect("small"));
    let took = fleet.run_until(Duration::from_secs(180), |fleet| {
        is_complete(fleet, counts[0], counts[1])
    });
    println!("{entries} entries, {agents} agents: complete after {took:?}");
    assert!(took.is_some());
    fleet.run(Duration::from_secs(10));
    let before = fleet.entry_bytes();
    fleet.run(MEASURED_TIME);
    let after = fleet.entry_bytes();
    let seconds = MEASURED_TIME.as_secs_f64();
    let sent = (after.0 - before.0) / seconds;
    let received = (after.1 - before.1) / seconds;
    println!("{entries} entries, {agents} agents: {sent:.0} B/s sent, {received:.0} B/s received");
    assert!(sent < RATE_LIMIT && received < RATE_LIMIT);
}
