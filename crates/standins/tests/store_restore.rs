//! Following a range and registering endpoints while the store is restored from older copies.

use ntex::rt::{spawn, DefaultRuntime, System};
use prometheus::Registry;
use quetzalhill_agent::relay::registration::keep_registered;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::relay::era::RESTORE_GRACE;
use quetzalhill_core::relay::fleet::ListedEndpoint;
use quetzalhill_core::relay::registration::{LEASE_TTL, RENEW_INTERVAL};
use quetzalhill_node::relay::era::EraCounters;
use quetzalhill_node::relay::follow::{follow, FollowEvent, FollowMode, FollowPlan};
use quetzalhill_node::relay::settings::{RelayCommon, RelayNode, RelayStore, ENDPOINT_PREFIX};
use quetzalhill_node::settings::LogSettings;
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_standins::store::{RestorePolls, StandinMode, StoreApi, StoreStandin};
use quetzalhill_store::api::{CatalogueStore, KeyRange, KeyValue, PutOp, Transaction, WatchEvent};
use quetzalhill_store::polled::PolledStore;
use quetzalhill_wire::relay::record_key;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;
use yare::parameterized;

const KEY: &str = "routes";

const APPLY: Duration = Duration::from_millis(3_000);

const MS: Duration = Duration::from_millis(1);

/// Agents of the largest deployment.
const AGENTS: u16 = 136;

fn start_store() -> StoreStandin {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store = StoreStandin::start_with(StoreApi::Polled, any_port).expect("a store");
    store.set_era(3);
    store
}

fn common(store: &StoreStandin) -> RelayCommon {
    let SocketAddr::V4(address) = store.address() else {
        panic!("not an IPv4 address");
    };
    RelayCommon {
        node: RelayNode {
            name: "node".into(),
            zone: "zone-a".into(),
            metrics: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        },
        log: LogSettings::default(),
        store: RelayStore {
            address,
            poll_ms: 25_000,
        },
    }
}

/// What a follower has received.
#[derive(Clone, Debug, Default)]
struct SeenState {
    values: Vec<Vec<u8>>,
    loads: usize,
}

impl SeenState {
    fn record(&mut self, entries: Vec<KeyValue>) {
        self.values
            .extend(entries.into_iter().map(|entry| entry.value));
    }

    fn last(&self) -> Option<&[u8]> {
        self.values.last().map(Vec::as_slice)
    }
}

fn start_follower(
    store: PolledStore<PlatformCodec>,
    mode: FollowMode,
    settle: Duration,
) -> (Rc<RefCell<SeenState>>, watch::Sender<FollowMode>) {
    let (sender, mode) = watch::channel(mode);
    let plan = FollowPlan {
        name: "test",
        range: KeyRange::Key(KEY.into()),
        apply: APPLY,
        pause: APPLY / 6,
        settle,
        mode,
    };
    let seen = Rc::new(RefCell::new(SeenState::default()));
    let recorded = seen.clone();
    let follows = follow(store, plan, move |event| match event {
        FollowEvent::Loaded { entries, .. } => {
            let mut seen = recorded.borrow_mut();
            seen.loads += 1;
            seen.record(entries);
        }
        FollowEvent::Changed { events, .. } => {
            for event in events {
                if let WatchEvent::Put(entry) = event {
                    recorded.borrow_mut().record(vec![entry]);
                }
            }
        }
        _ => {}
    });
    spawn(follows).detach();
    (seen, sender)
}

async fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        sleep(MS * 5).await;
    }
    holds()
}

/// Guards against a follower that misses what was written just after a restore, because its next poll asks for changes
/// after a revision that the restored store has assigned again: it is between two polls when the store is restored.
#[parameterized(
    between_polls = { FollowMode::Watch, Duration::ZERO },
    between_long_polls = { FollowMode::LongWatch, Duration::ZERO },
    between_read_and_poll = { FollowMode::Watch, Duration::from_millis(700) },
)]
fn change_at_a_revision_that_was_assigned_again_is_seen(mode: FollowMode, settle: Duration) {
    System::new("follow", DefaultRuntime).block_on(async move {
        let store = start_store();
        store.put(KEY, b"first");
        sleep(MS * 300).await;
        let client = common(&store).open_followed_store(APPLY).await;
        let client = client.expect("a client");
        let lost_from = Instant::now();
        if !settle.is_zero() {
            for _ in 0..20 {
                store.put("other", b"lost");
            }
        }
        let (seen, _mode) = start_follower(client.clone(), mode, settle);
        assert!(wait_until(APPLY, || seen.borrow().loads == 1).await);
        let mut age = lost_from.elapsed() + MS * 100;
        if settle.is_zero() {
            sleep(MS * 200).await;
            store.put(KEY, b"second");
            assert!(wait_until(APPLY, || seen.borrow().last() == Some(b"second")).await);
            age = MS * 150;
        }
        store.restore(age, RestorePolls::Open);
        store.put(KEY, b"third");
        for _ in 0..30 {
            store.put("other", b"x");
        }
        if !settle.is_zero() {
            // Another call shows the restore before the first poll is sent.
            let other = KeyRange::Key("other".into());
            client.range(&other).await.expect("an answer");
        }
        if mode == FollowMode::LongWatch {
            // The long poll is sent after the restore; an entry that uses long polls hears of it from one that does not.
            sleep(MS * 1_500).await;
            let other = KeyRange::Key("other".into());
            client.range(&other).await.expect("an answer");
        }
        assert!(
            wait_until(APPLY, || seen.borrow().last() == Some(b"third")).await,
            "{:?}",
            seen.borrow().last()
        );
    });
}

/// Guards against a follower that waits for the end of a long poll, or for a change, although another call of its process
/// has shown that the store was restored.
#[parameterized(
    poll_stays_open = { FollowMode::LongWatch, RestorePolls::Open },
    poll_is_cut = { FollowMode::LongWatch, RestorePolls::Ended },
    short_poll_stays_open = { FollowMode::Watch, RestorePolls::Open },
)]
fn range_is_read_again_once_any_call_shows_the_restore(mode: FollowMode, polls: RestorePolls) {
    System::new("follow", DefaultRuntime).block_on(async move {
        let store = start_store();
        store.put(KEY, b"first");
        let client = common(&store).open_followed_store(APPLY).await;
        let client = client.expect("a client");
        let (seen, _mode) = start_follower(client.clone(), mode, Duration::ZERO);
        assert!(wait_until(APPLY, || seen.borrow().loads == 1).await);
        sleep(MS * 200).await;
        store.restore(Duration::ZERO, polls);
        let other = KeyRange::Key("other".into());
        client.range(&other).await.expect("an answer");
        let limit = MS * 300;
        assert!(wait_until(limit, || seen.borrow().loads >= 2).await);
        // One restore causes one read.
        sleep(limit).await;
        assert_eq!(seen.borrow().loads, 2);
        store.put(KEY, b"second");
        assert!(wait_until(limit, || seen.borrow().last() == Some(b"second")).await);
    });
}

/// Guards against a follower that stays behind for good after restores that come again and again while the range changes
/// and the store is away before some of them.
#[test]
fn last_value_is_seen_after_many_restores() {
    System::new("follow", DefaultRuntime).block_on(async move {
        for seed in 0..3 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let store = start_store();
            store.put(KEY, b"0");
            let client = common(&store).open_followed_store(APPLY).await;
            let (seen, modes) =
                start_follower(client.expect("a client"), FollowMode::Watch, Duration::ZERO);
            let mut value = 0;
            for _ in 0..25 {
                sleep(MS * rng.random_range(5..250)).await;
                match rng.random_range(0..6) {
                    0 | 1 => {
                        value += 1;
                        store.put(KEY, value.to_string().as_bytes());
                    }
                    2 => store.put("other", b"x"),
                    3 => {
                        store.set_mode(StandinMode::Silent);
                        sleep(MS * rng.random_range(20..400)).await;
                        store.restore(MS * rng.random_range(10..800), RestorePolls::Ended);
                        store.set_mode(StandinMode::Normal);
                    }
                    4 => store.restore(MS * rng.random_range(10..800), RestorePolls::Open),
                    _ => {
                        modes.send_replace(match rng.random_ratio(1, 2) {
                            true => FollowMode::Watch,
                            false => FollowMode::LongWatch,
                        });
                    }
                }
            }
            store.restore(MS * 100, RestorePolls::Open);
            store.put(KEY, b"last");
            // An entry reads short polls, or hears of them.
            modes.send_replace(FollowMode::Watch);
            assert!(
                wait_until(APPLY, || seen.borrow().last() == Some(b"last")).await,
                "seed {seed}: {:?}",
                seen.borrow().last()
            );
        }
    });
}

fn endpoint(number: u16) -> ListedEndpoint {
    ListedEndpoint {
        id: id_of(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 2_000 + number)),
        service: "feed".into(),
        zone: "zone-a".into(),
        incarnation: 1,
        slots: 4,
    }
}

fn key(number: u16) -> String {
    record_key(ENDPOINT_PREFIX, endpoint(number).id)
}

/// Targets of agents that keep their endpoints registered; dropping one ends its agent.
type AgentTargets = Vec<watch::Sender<Option<ListedEndpoint>>>;

async fn start_agent(store: &StoreStandin, number: u16) -> watch::Sender<Option<ListedEndpoint>> {
    let client = common(store).open_store().await.expect("a client");
    let (sender, target) = watch::channel(Some(endpoint(number)));
    let counters = EraCounters::new(&Registry::new()).expect("counters");
    spawn(keep_registered(client, target, counters)).detach();
    sender
}

async fn start_agents(store: &StoreStandin, count: u16) -> AgentTargets {
    let mut targets = AgentTargets::new();
    for number in 0..count {
        targets.push(start_agent(store, number).await);
    }
    let listed = || store.keys(ENDPOINT_PREFIX).len() == usize::from(count);
    assert!(wait_until(LEASE_TTL, listed).await);
    targets
}

/// Guards against agents that stay unlisted after a restore which has lost their records and leases, against ones that are
/// back only after the time for which entries keep them, and against writes of all of them at once: the store allows 1,200
/// writes a second for all instances together. All renew at about the same time here.
#[test]
fn agents_register_again_within_the_grace_and_spread() {
    System::new("agents", DefaultRuntime).block_on(async move {
        let store = start_store();
        store.put(KEY, b"first");
        sleep(MS * 100).await;
        let started = Instant::now();
        let _targets = start_agents(&store, AGENTS).await;
        let age = started.elapsed() + MS * 50;
        // Agents that start together renew together; the worst case is a restore just after that.
        sleep(RENEW_INTERVAL + MS * 100).await;
        store.restore(age + RENEW_INTERVAL + MS * 100, RestorePolls::Open);
        assert_eq!(store.keys(ENDPOINT_PREFIX).len(), 0);
        let restored = Instant::now();
        let calls = || store.counts().writes + store.counts().leases;
        let (mut samples, mut listed_after) = (vec![calls()], None);
        while restored.elapsed() < RESTORE_GRACE {
            sleep(MS * 50).await;
            samples.push(calls());
            let count = store.keys(ENDPOINT_PREFIX).len();
            if listed_after.is_none() && count == usize::from(AGENTS) {
                listed_after = Some(restored.elapsed());
            }
        }
        let per_second = samples.windows(20).map(|window| window[19] - window[0]);
        let most = per_second.max().unwrap_or(0);
        let per_tenth = samples.windows(3).map(|window| window[2] - window[0]);
        let densest = per_tenth.max().unwrap_or(0);
        println!("{AGENTS} agents: {most} calls in a second, {densest} in 0.1 s, all listed after {listed_after:?}");
        assert!(listed_after.is_some(), "not all are listed");
        // A renewal, a grant and a write of each agent.
        assert!(most <= 3 * u64::from(AGENTS), "{most} calls in a second");
        // Each of its steps alone would be 136 calls at once.
        assert!(densest <= u64::from(AGENTS) + u64::from(AGENTS) / 3, "{densest} calls in 0.1 s");
        // No record is under a lease that nobody renews.
        sleep(LEASE_TTL + RENEW_INTERVAL).await;
        assert_eq!(store.keys(ENDPOINT_PREFIX).len(), usize::from(AGENTS));
    });
}

/// Guards against an agent that renews or revokes a lease whose number the restored store has granted to another owner:
/// the other's record would end with the agent's, or stay after the other has ended.
#[test]
fn lease_number_of_another_owner_is_left_alone() {
    System::new("agents", DefaultRuntime).block_on(async move {
        let store = start_store();
        sleep(MS * 100).await;
        let started = Instant::now();
        let targets = start_agents(&store, 4).await;
        store.restore(started.elapsed() + MS * 50, RestorePolls::Open);
        // Another owner gets the numbers of the agents' leases, and keeps them until the agents know of the restore.
        let other = common(&store).open_store().await.expect("a client");
        let mut leases = Vec::new();
        for number in 0..4 {
            let grant = other.grant(LEASE_TTL).await.expect("a lease");
            leases.push(grant.id);
            let put = PutOp {
                key: format!("other/{number}"),
                value: b"x".to_vec(),
                lease: Some(grant.id),
            };
            let transaction = Transaction {
                puts: vec![put],
                ..Transaction::default()
            };
            other.commit(&transaction).await.expect("a write");
        }
        // Two agents end before they can have noticed the restore, two register again.
        targets[0].send_replace(None);
        targets[1].send_replace(None);
        let restored = Instant::now();
        while restored.elapsed() < RESTORE_GRACE {
            for lease in &leases {
                other.keep_alive(*lease).await.expect("the lease lives");
            }
            sleep(MS * 250).await;
        }
        assert_eq!(store.keys("other/").len(), 4);
        let mut expected = vec![key(2), key(3)];
        expected.sort();
        assert_eq!(store.keys(ENDPOINT_PREFIX), expected);
        // The other owner ends; nobody renews its leases any more, and the agents' records do not depend on them.
        sleep(LEASE_TTL + RENEW_INTERVAL).await;
        assert_eq!(store.keys("other/").len(), 0);
        assert_eq!(store.keys(ENDPOINT_PREFIX), expected);
    });
}

/// Guards against records that are lost for good after restores which come again and again while leases lapse, agents
/// restart, answers are lost and operators write.
#[test]
fn endpoints_are_listed_after_many_restores() {
    System::new("agents", DefaultRuntime).block_on(async move {
        let mut rng = SmallRng::seed_from_u64(11);
        let store = start_store();
        let mut targets = start_agents(&store, 12).await;
        let started = Instant::now();
        let mut version = 0;
        while started.elapsed() < Duration::from_secs(12) {
            sleep(MS * rng.random_range(20..500)).await;
            match rng.random_range(0..8) {
                0 => {
                    store.set_mode(StandinMode::Silent);
                    sleep(MS * rng.random_range(50..1_500)).await;
                    store.restore(MS * rng.random_range(50..5_000), RestorePolls::Ended);
                    store.set_mode(StandinMode::Normal);
                }
                1 => store.restore(MS * rng.random_range(50..5_000), RestorePolls::Open),
                2 => store.revoke_leases(|key| key.len() % 2 == 0 || key.ends_with('1')),
                3 => store.lose_next_answer(),
                4 => {
                    let number = rng.random_range(0..12_u16);
                    targets[usize::from(number)] = start_agent(&store, number).await;
                }
                5 => {
                    let number = rng.random_range(0..12_u16);
                    let target = &targets[usize::from(number)];
                    target.send_replace(None);
                    sleep(MS * rng.random_range(0..300)).await;
                    target.send_replace(Some(endpoint(number)));
                }
                _ => {
                    version += 1;
                    store.put(KEY, version.to_string().as_bytes());
                }
            }
        }
        // A write without an answer is repeated after the lifetime of a lease.
        sleep(RESTORE_GRACE + LEASE_TTL * 2).await;
        let deadline = Instant::now() + LEASE_TTL + RENEW_INTERVAL;
        while Instant::now() < deadline {
            assert_eq!(store.keys(ENDPOINT_PREFIX).len(), 12);
            sleep(MS * 100).await;
        }
    });
}
