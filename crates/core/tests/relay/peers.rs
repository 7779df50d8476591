//! Tests of the choice of the entries that follow the list of endpoints.

use quetzalhill_core::relay::peers::{ListRole, PeerController};
use std::time::{Duration, Instant};

/// Time after which an entry knows its peers.
const SETTLED: Duration = Duration::from_secs(3);

/// Makes the controllers of entries 0 to `count`, which all have heard of each other at `now`.
fn zone(count: u64, now: Instant) -> Vec<PeerController> {
    let named: Vec<u64> = (0..count).collect();
    let mut controllers = Vec::new();
    for id in 0..count {
        let mut controller = PeerController::new(id, now);
        controller.record_named(&named, now + SETTLED);
        controllers.push(controller);
    }
    controllers
}

fn readers(controllers: &[PeerController], now: Instant) -> usize {
    let roles = controllers.iter().map(|controller| controller.role(now));
    roles.filter(|role| *role == ListRole::Reader).count()
}

/// Guards against calls to the store that grow with the entries of a zone.
#[test]
fn two_entries_of_a_zone_read_the_list() {
    let start = Instant::now();
    let now = start + SETTLED;
    for count in [2, 10, 300] {
        assert_eq!(readers(&zone(count, start), now), 2, "{count} entries");
    }
    assert_eq!(readers(&zone(1, start), now), 1);
}

/// Guards against an entry that waits for readers which do not exist: it has just started, or all others are gone.
#[test]
fn entry_without_known_peers_reads_the_list() {
    let start = Instant::now();
    let controllers = zone(10, start);
    assert_eq!(
        readers(&controllers, start + Duration::from_millis(100)),
        10
    );
    let mut last = PeerController::new(9, start);
    last.record_named(&[0, 1, 2, 9], start);
    let now = start + SETTLED;
    assert_eq!(
        last.role(start + Duration::from_millis(2_500)),
        ListRole::Follower
    );
    last.tick(now);
    assert_eq!(last.role(now), ListRole::Reader);
}

/// Guards against a zone whose readers are frozen or cut off and are not replaced: agents no longer name them.
#[test]
fn entries_that_are_no_longer_named_are_replaced() {
    let start = Instant::now();
    let mut controllers = zone(10, start);
    let now = start + SETTLED + Duration::from_secs(3);
    for controller in &mut controllers[2..] {
        controller.record_named(&[2, 3, 4, 5, 6, 7, 8, 9], now);
        controller.tick(now);
    }
    assert_eq!(readers(&controllers[2..], now), 2);
    assert_eq!(controllers[9].peers().count(), 7);
}
