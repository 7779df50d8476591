//! The whole path of a catalogue change: store, reader, gossip, agents.

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

/// Target for an accepted change to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// How long nodes are watched for a change that must not come.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

fn ring() -> KeyRing {
    KeyRing::new(ControlKey::new(1, &[7; 32]), None)
}

/// Returns a loopback address whose port was free a moment ago.
fn free_address() -> SocketAddrV4 {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    match socket.local_addr().expect("bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
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
        assert!(Instant::now() < deadline, "not reached in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns status and body of a page.
fn get(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).expect("connection");
    let head = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answer");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).expect("a status");
    (status.into(), body.into())
}

/// Control threads of some entries beside a store.
struct Fleet {
    store: StoreStandin,
    controls: Vec<SocketAddrV4>,
    entries: Vec<(ControlHandle, Arc<SharedState>)>,
}

impl Fleet {
    fn start(entries: usize) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut fleet = Self {
            store: StoreStandin::start(address).expect("store"),
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
        let shared = SharedState::new(ring());
        let handle = quetzalhill::control::start(&settings, shared.clone()).expect("entry");
        self.controls.push(control);
        self.entries.push((handle, shared));
    }

    fn write(&self, queue: u32) -> CatalogueSnapshot {
        write_catalogue(&self.store.url(), services(queue)).expect("an accepted change")
    }

    fn has(&self, wanted: &CatalogueSnapshot) -> bool {
        self.entries
            .iter()
            .all(|(_, shared)| **shared.catalogue.load() == *wanted)
    }

    /// Fails if a node leaves the catalogue within [`QUIET_TIME`].
    fn keeps(&self, wanted: &CatalogueSnapshot) {
        let end = Instant::now() + QUIET_TIME;
        while Instant::now() < end {
            assert!(self.has(wanted), "a node left revision {}", wanted.revision);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn stop(self) {
        for (handle, _) in self.entries {
            handle.stop().expect("entry ends");
        }
    }
}

/// Guards against a break anywhere between the store and the last agent, and against pages that do not show it.
#[test]
fn change_reaches_entries_and_agents_in_time() {
    let fleet = Fleet::start(3);
    let mut agents = Vec::new();
    for life in 1..=2 {
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
        let shared = quetzalhill_agent::shared::SharedState::new(life, ring());
        let (events, receiver) = mpsc::channel(4);
        let handle = quetzalhill_agent::control::start(&settings, shared.clone(), receiver)
            .expect("agent control");
        let healthy = TrafficEvent::UpstreamHealth { healthy: true };
        events.try_send(healthy).expect("room for one event");
        agents.push((handle, shared, events));
    }
    let page = fleet.entries[0].0.admin_address();
    assert_eq!(get(page, "/healthz").0, "200");
    assert_eq!(get(page, "/readyz").0, "503");
    for queue in [10, 11] {
        let wanted = fleet.write(queue);
        wait_until("the change is in force", || {
            let agents = agents.iter().map(|(_, shared, _)| shared.view.load_full());
            let mut views = agents.map(|view| {
                let service = view.service.as_ref();
                let same = service == wanted.services.get("feed");
                same && view.revision == wanted.revision
            });
            fleet.has(&wanted) && views.all(|same| same)
        });
    }
    wait_until("the entry is ready", || get(page, "/readyz").0 == "200");
    let status: NodeStatus = serde_json::from_str(&get(page, "/status").1).expect("a status");
    assert_eq!((status.revision, status.entries), (2, 3));
    let snapshot = fleet.entries[0].1.catalogue.load_full();
    assert_eq!(status.digest, snapshot.digest());
    let shown: CatalogueSnapshot =
        serde_json::from_str(&get(page, "/catalogue").1).expect("a catalogue");
    assert_eq!(shown, *snapshot);
    wait_until("the metrics show the revision", || {
        get(page, "/metrics")
            .1
            .contains("quetzalhill_catalogue_revision 2\n")
    });
    for (handle, _, _) in agents {
        handle.stop().expect("agent control ends");
    }
    fleet.stop();
}

/// Guards against a value in the store that nobody can read and that takes the good catalogue out of force or
/// keeps the next good one from coming into force.
#[test]
fn malformed_value_keeps_the_last_good_catalogue() {
    let fleet = Fleet::start(2);
    let good = fleet.write(10);
    wait_until("the catalogue is in force", || fleet.has(&good));
    let before = fleet.store.revision();
    fleet.store.put(HEAD_KEY, b"{\"revision\": 2, ");
    fleet.keeps(&good);
    fleet.store.roll_back(before);
    let next = fleet.write(11);
    wait_until("the next catalogue is in force", || fleet.has(&next));
    fleet.stop();
}

/// Guards against an entry that cannot start while the store is down.
#[test]
fn starting_entry_gets_the_catalogue_from_a_peer() {
    let mut fleet = Fleet::start(1);
    let good = fleet.write(10);
    wait_until("the catalogue is in force", || fleet.has(&good));
    fleet.store.stop();
    fleet.add_entry();
    wait_until("the new entry has the catalogue", || fleet.has(&good));
    fleet.stop();
}

/// Guards against a store restored from an old copy that takes the fleet back to it.
#[test]
fn older_store_reverts_nothing() {
    let mut fleet = Fleet::start(2);
    let first = fleet.write(10);
    let copy = fleet.store.revision();
    wait_until("the first catalogue is in force", || fleet.has(&first));
    let second = fleet.write(11);
    wait_until("the second catalogue is in force", || fleet.has(&second));
    fleet.store.stop();
    fleet.store.roll_back(copy);
    fleet.store.restart().expect("the store starts again");
    fleet.keeps(&second);
    // A change that an operator bases on the old copy has a revision that the fleet has seen already.
    let conflicting = fleet.write(12);
    assert_eq!(conflicting.revision, second.revision);
    fleet.keeps(&second);
    fleet.stop();
}
