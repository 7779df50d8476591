//! Following the routes while the store's answers are lost on the way or it is away.

use ntex::rt::{spawn, DefaultRuntime, System};
use quetzalhill_node::relay::follow::{always_watch, follow, FollowEvent, FollowPlan};
use quetzalhill_node::relay::settings::{RelayCommon, RelayNode, RelayStore};
use quetzalhill_node::settings::LogSettings;
use quetzalhill_standins::link::{LinkFault, LinkStandin};
use quetzalhill_standins::store::{StandinMode, StoreApi, StoreStandin};
use quetzalhill_store::api::{KeyRange, KeyValue, WatchEvent};
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use yare::parameterized;

const KEY: &str = "routes";

/// Time within which a change is in force once the store answers again; also the setting `relay.apply_ms` of the platform's
/// smallest sites.
const APPLY: Duration = Duration::from_millis(3_000);

/// One-way delay between the follower and the store.
const DELAY: Duration = Duration::from_millis(1);

/// Time for the first read of the range, after which the follower waits for the answer to a poll.
const START_TIME: Duration = Duration::from_millis(300);

/// Time for which the fault lasts after the change.
const FAULT_TIME: Duration = Duration::from_millis(600);

/// Values that the follower has received, in their order.
type SeenValues = Rc<RefCell<Vec<Vec<u8>>>>;

#[derive(Clone, Copy, Debug)]
enum AnswerLoss {
    /// Connections live, and those that have lost an answer never bring one again.
    Silence,
    /// Connections are closed instead of answered.
    Cut,
    /// The store answers no call until the end of the fault.
    SilentStore,
    /// The store answers every call with 503.
    Unavailable,
    /// The poll is cut, and the history that it would continue from is dropped.
    CutAndCompacted,
}

/// A store, and a link to it that can lose its answers.
struct FaultySite {
    store: StoreStandin,
    link: LinkStandin,
}

impl FaultySite {
    fn start(link_address: SocketAddrV4) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = StoreStandin::start_with(StoreApi::Polled, any_port).expect("a store");
        let SocketAddr::V4(target) = store.address() else {
            panic!("not an IPv4 address");
        };
        let link = LinkStandin::start(link_address, target, DELAY).expect("a link");
        Self { store, link }
    }

    fn begin(&self, loss: AnswerLoss) {
        match loss {
            AnswerLoss::Silence => self.link.set_fault(LinkFault::DropFromTarget),
            AnswerLoss::Cut | AnswerLoss::CutAndCompacted => self.link.set_fault(LinkFault::Cut),
            AnswerLoss::SilentStore => self.store.set_mode(StandinMode::Silent),
            AnswerLoss::Unavailable => self.store.set_mode(StandinMode::Unavailable),
        }
    }

    fn end(&self) {
        self.link.set_fault(LinkFault::None);
        self.store.set_mode(StandinMode::Normal);
    }
}

async fn start_follower(store_address: SocketAddrV4, apply: Duration) -> SeenValues {
    let common = RelayCommon {
        node: RelayNode {
            name: "entry".into(),
            zone: "zone-a".into(),
            metrics: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        },
        log: LogSettings::default(),
        store: RelayStore {
            address: store_address,
            poll_ms: 25_000,
        },
    };
    let store = common.open_followed_store(apply).await.expect("a client");
    let plan = FollowPlan {
        name: "test",
        range: KeyRange::Key(KEY.into()),
        apply,
        pause: apply / 6,
        settle: Duration::ZERO,
        mode: always_watch(),
    };
    let seen = SeenValues::default();
    let recorded = seen.clone();
    let follows = follow(store, plan, move |event| match event {
        FollowEvent::Loaded { entries, .. } => record(&recorded, entries),
        FollowEvent::Changed { events, .. } => {
            for event in events {
                if let WatchEvent::Put(entry) = event {
                    record(&recorded, vec![entry]);
                }
            }
        }
        _ => {}
    });
    spawn(follows).detach();
    seen
}

fn record(seen: &SeenValues, entries: Vec<KeyValue>) {
    let values = entries.into_iter().map(|entry| entry.value);
    seen.borrow_mut().extend(values);
}

/// Guards against an entry that keeps older routes for long after the answer that would have brought the newer ones was lost.
#[parameterized(
    silence = { AnswerLoss::Silence, 1 },
    cut = { AnswerLoss::Cut, 2 },
    silent_store = { AnswerLoss::SilentStore, 3 },
    unavailable = { AnswerLoss::Unavailable, 4 },
    cut_and_compacted = { AnswerLoss::CutAndCompacted, 5 },
)]
fn change_during_lost_answers_is_seen_within_the_bound(loss: AnswerLoss, host: u8) {
    System::new("answers", DefaultRuntime).block_on(async move {
        let site = FaultySite::start(SocketAddrV4::new(Ipv4Addr::new(127, 60, 0, host), 7_100));
        site.store.put(KEY, b"before");
        let seen = start_follower(site.link.address(), APPLY).await;
        sleep(START_TIME).await;
        assert_eq!(*seen.borrow(), [b"before".to_vec()]);
        site.begin(loss);
        site.store.put(KEY, b"after");
        if matches!(loss, AnswerLoss::CutAndCompacted) {
            site.store.compact(site.store.revision());
        }
        sleep(FAULT_TIME).await;
        site.end();
        let deadline = Instant::now() + APPLY;
        while Instant::now() < deadline && !seen.borrow().contains(&b"after".to_vec()) {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(
            seen.borrow().contains(&b"after".to_vec()),
            "not seen {APPLY:?} after {loss:?}"
        );
    });
}

/// Shortest `relay.apply_ms` that the settings allow.
const SHORTEST_APPLY: Duration = Duration::from_millis(600);

/// Guards against pauses after failures that are longer than the time within which a change has to be in force once the
/// store is back. The fault lasts long enough that the follower takes it for an outage, and its end is drawn out over the
/// time between two attempts.
#[parameterized(
    silence = { AnswerLoss::Silence, APPLY, 11 },
    cut = { AnswerLoss::Cut, APPLY, 12 },
    silent_store = { AnswerLoss::SilentStore, APPLY, 13 },
    unavailable = { AnswerLoss::Unavailable, APPLY, 14 },
    cut_with_the_shortest_bound = { AnswerLoss::Cut, SHORTEST_APPLY, 15 },
    unavailable_with_the_shortest_bound = { AnswerLoss::Unavailable, SHORTEST_APPLY, 16 },
)]
fn change_during_an_outage_is_seen_within_the_bound(loss: AnswerLoss, apply: Duration, host: u8) {
    System::new("outages", DefaultRuntime).block_on(async move {
        for round in 0..4_u8 {
            let address = SocketAddrV4::new(Ipv4Addr::new(127, 60, round + 1, host), 7_100);
            let site = FaultySite::start(address);
            site.store.put(KEY, b"before");
            let seen = start_follower(address, apply).await;
            sleep(START_TIME).await;
            assert_eq!(*seen.borrow(), [b"before".to_vec()]);
            site.begin(loss);
            site.store.put(KEY, b"after");
            sleep(Duration::from_millis(4_000 + 350 * u64::from(round))).await;
            site.end();
            let ended = Instant::now();
            let deadline = ended + apply;
            while Instant::now() < deadline && !seen.borrow().contains(&b"after".to_vec()) {
                sleep(Duration::from_millis(10)).await;
            }
            println!("round {round}: {:?} after the end", ended.elapsed());
            assert!(
                seen.borrow().contains(&b"after".to_vec()),
                "not seen {apply:?} after {loss:?}, round {round}"
            );
        }
    });
}
