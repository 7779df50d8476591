//! Tests the propagation of a catalogue change from the store through readers and gossip to entries and agents.

use quetzalhill::control::ControlHandle;
use quetzalhill::settings::EntrySettings;
use quetzalhill::shared::SharedState;
use quetzalhill_agent::settings::AgentSettings;
use quetzalhill_agent::shared::TrafficEvent;
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_node::status::NodeStatus;
use quetzalhill_standins::operator::write_catalogue;
use quetzalhill_standins::store::StoreStandin;
use quetzalhill_store::catalogue::HEAD_KEY;
use quetzalhill_wire::key::{ControlKey, KeyRing};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Target time within which an accepted change is in force on all nodes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time for which nodes are observed for a change that must not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

fn key_ring() -> KeyRing {
    KeyRing::new(ControlKey::new(1, &[7; 32]), None)
}

/// Returns a loopback address whose port could be bound for UDP and TCP; another process may still take it.
fn free_address() -> SocketAddrV4 {
    for _ in 0..100 {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("bound");
        let listener = std::net::TcpListener::bind(address);
        if let (std::net::SocketAddr::V4(address), Ok(_)) = (address, listener) {
            return address;
        }
    }
    panic!("no port is free for both UDP and TCP");
}

fn services(queue: u32) -> BTreeMap<String, ServiceEntry> {
    let mut service: ServiceEntry =
        serde_json::from_str(r#"{"number": 0, "owner": "bakery", "addresses": ["127.0.0.1:443"]}"#)
            .expect("a service");
    service.limits.queue = queue;
    [("feed".to_string(), service)].into()
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + IN_FORCE_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the HTTP status and the body of a page.
fn get_page(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).expect("connection");
    let head = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answer");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).expect("a status");
    (status.into(), body.into())
}

/// A store and the control threads of some entries that read the catalogue from it.
struct Fleet {
    store: StoreStandin,
    controls: Vec<SocketAddrV4>,
    entries: Vec<(ControlHandle, Arc<SharedState>)>,
}

impl Fleet {
    fn start(entries: usize) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut fleet = Self {
            store: StoreStandin::start(address).expect("store starts"),
            controls: Vec::new(),
            entries: Vec::new(),
        };
        for _ in 0..entries {
            fleet.add_entry();
        }
        fleet
    }

    fn add_entry(&mut self) {
        let control = free_address();
        let seeds: Vec<_> = self.controls.iter().map(ToString::to_string).collect();
        let text = format!(
            "[node]\nzone = \"a\"\ncontrol = \"{control}\"\nadmin = \"127.0.0.1:0\"\n\
             control_key = \"\"\n\
             [entry]\nlisten = [{{bind = \"127.0.0.1:0\"}}]\ndata = \"127.0.0.1:9\"\n\
             seeds = {seeds:?}\n\
             [store]\nurls = [\"{}\"]\n",
            self.store.url()
        );
        let settings: EntrySettings = toml::from_str(&text).expect("settings");
        let shared = SharedState::new(key_ring());
        let handle = quetzalhill::control::start(&settings, shared.clone()).expect("entry starts");
        self.controls.push(control);
        self.entries.push((handle, shared));
    }

    fn write_queue_limit(&self, queue: u32) -> CatalogueSnapshot {
        write_catalogue(&self.store.url(), services(queue)).expect("change accepted")
    }

    fn all_have(&self, expected: &CatalogueSnapshot) -> bool {
        self.entries
            .iter()
            .all(|(_, shared)| **shared.catalogue.load() == *expected)
    }

    /// Panics if an entry has a different catalogue at any time within [`OBSERVATION_TIME`].
    fn assert_all_keep(&self, expected: &CatalogueSnapshot) {
        let end = Instant::now() + OBSERVATION_TIME;
        while Instant::now() < end {
            assert!(
                self.all_have(expected),
                "an entry no longer has revision {}",
                expected.revision
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn stop(self) {
        for (handle, _) in self.entries {
            handle.stop().expect("entry stops");
        }
    }
}

/// Guards against a change that does not reach all entries and agents, and against admin pages that do not show it.
#[test]
fn change_reaches_entries_and_agents_in_time() {
    let fleet = Fleet::start(3);
    let mut agents = Vec::new();
    for incarnation in 1..=2 {
        let text = format!(
            "[node]\nzone = \"a\"\ncontrol = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             control_key = \"\"\n\
             [agent]\nservice = \"feed\"\npackets = \"{}\"\npeer = \"127.0.0.1:9\"\n\
             upstream = \"127.0.0.1:9\"\nslots = 4\nentries = [\"{}\"]\n\
             certificate = \"\"\nprivate_key = \"\"\n",
            free_address(),
            fleet.controls[0]
        );
        let settings: AgentSettings = toml::from_str(&text).expect("settings");
        let shared = quetzalhill_agent::shared::SharedState::new(incarnation, key_ring());
        let (events, receiver) = mpsc::channel(4);
        let handle = quetzalhill_agent::control::start(&settings, shared.clone(), receiver)
            .expect("agent control starts");
        let healthy = TrafficEvent::UpstreamHealth { healthy: true };
        events.try_send(healthy).expect("room for one event");
        agents.push((handle, shared, events));
    }
    let page = fleet.entries[0].0.admin_address();
    assert_eq!(get_page(page, "/healthz").0, "200");
    assert_eq!(get_page(page, "/readyz").0, "503");
    for queue in [10, 11] {
        let expected = fleet.write_queue_limit(queue);
        wait_until("the change is in force on all nodes", || {
            let agents = agents.iter().map(|(_, shared, _)| shared.view.load_full());
            let mut views = agents.map(|view| {
                let service = view.service.as_ref();
                let same = service == expected.services.get("feed");
                same && view.revision == expected.revision
            });
            fleet.all_have(&expected) && views.all(|same| same)
        });
    }
    wait_until("the entry is ready", || {
        get_page(page, "/readyz").0 == "200"
    });
    let status: NodeStatus = serde_json::from_str(&get_page(page, "/status").1).expect("a status");
    assert_eq!((status.revision, status.entries), (2, 3));
    let snapshot = fleet.entries[0].1.catalogue.load_full();
    assert_eq!(status.digest, snapshot.digest());
    let shown: CatalogueSnapshot =
        serde_json::from_str(&get_page(page, "/catalogue").1).expect("a catalogue");
    assert_eq!(shown, *snapshot);
    wait_until("the metrics show the revision", || {
        get_page(page, "/metrics")
            .1
            .contains("quetzalhill_catalogue_revision 2\n")
    });
    for (handle, _, _) in agents {
        handle.stop().expect("agent control stops");
    }
    fleet.stop();
}

/// Guards against a value in the store that cannot be decoded and that replaces the catalogue in force, or prevents the
/// next valid catalogue from coming into force.
#[test]
fn malformed_value_keeps_the_last_good_catalogue() {
    let fleet = Fleet::start(2);
    let good = fleet.write_queue_limit(10);
    wait_until("the catalogue is in force on all entries", || {
        fleet.all_have(&good)
    });
    let before = fleet.store.revision();
    fleet.store.put(HEAD_KEY, b"{\"revision\": 2, ");
    fleet.assert_all_keep(&good);
    fleet.store.roll_back(before);
    let next = fleet.write_queue_limit(11);
    wait_until("the next catalogue is in force on all entries", || {
        fleet.all_have(&next)
    });
    fleet.stop();
}

/// Guards against an entry that gets no catalogue because the store is down when the entry starts.
#[test]
fn starting_entry_gets_the_catalogue_from_a_peer() {
    let mut fleet = Fleet::start(1);
    let good = fleet.write_queue_limit(10);
    wait_until("the catalogue is in force on all entries", || {
        fleet.all_have(&good)
    });
    fleet.store.stop();
    fleet.add_entry();
    wait_until("the new entry has the catalogue", || fleet.all_have(&good));
    fleet.stop();
}

/// Guards against a store restored from an old backup that reverts the fleet to the catalogue in the backup.
#[test]
fn older_store_reverts_nothing() {
    let mut fleet = Fleet::start(2);
    let first = fleet.write_queue_limit(10);
    let backup = fleet.store.revision();
    wait_until("the first catalogue is in force on all entries", || {
        fleet.all_have(&first)
    });
    let second = fleet.write_queue_limit(11);
    wait_until("the second catalogue is in force on all entries", || {
        fleet.all_have(&second)
    });
    fleet.store.stop();
    fleet.store.roll_back(backup);
    fleet.store.restart().expect("store restarts");
    fleet.assert_all_keep(&second);
    // A change based on the restored catalogue gets a revision number that the fleet already has with other content.
    let conflicting = fleet.write_queue_limit(12);
    assert_eq!(conflicting.revision, second.revision);
    fleet.assert_all_keep(&second);
    fleet.stop();
}
