//! Tests the control threads of one entry and two agents on loopback.

use quetzalhill::settings::EntrySettings;
use quetzalhill_agent::settings::AgentSettings;
use quetzalhill_agent::shared::TrafficEvent;
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::member::EndpointState;
use quetzalhill_wire::key::{ControlKey, KeyRing};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Time within which the entry and the agents have to agree on the members.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

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

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + CONVERGENCE_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn entry_settings(control: SocketAddrV4, seeds: &[SocketAddrV4]) -> EntrySettings {
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "[node]\nzone = \"a\"\ncontrol = \"{control}\"\nadmin = \"127.0.0.1:0\"\ncontrol_key = \"\"\n\
         [entry]\nlisten = [{{bind = \"127.0.0.1:0\"}}]\ndata = \"127.0.0.1:9\"\nseeds = {seeds:?}\n"
    );
    toml::from_str(&text).expect("settings")
}

fn agent_settings(packets: SocketAddrV4, entry: SocketAddrV4) -> AgentSettings {
    let text = format!(
        "[node]\nzone = \"a\"\ncontrol = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\ncontrol_key = \"\"\n\
         [agent]\nservice = \"feed\"\npackets = \"{packets}\"\npeer = \"127.0.0.1:9\"\nupstream = \"127.0.0.1:9\"\n\
         slots = 4\nentries = [\"{entry}\"]\ncertificate = \"\"\nprivate_key = \"\"\n"
    );
    toml::from_str(&text).expect("settings")
}

fn catalogue() -> CatalogueSnapshot {
    let service: ServiceEntry = serde_json::from_str(
        r#"{"number": 5, "owner": "lucky-slip", "addresses": ["127.0.0.1:443"]}"#,
    )
    .expect("a service");
    CatalogueSnapshot {
        revision: 1,
        services: [("feed".to_string(), service)].into(),
    }
}

/// Guards against announcements that do not reach the route table, against replies of an entry that do not reach an
/// agent, and against routing new flows to an endpoint that drains.
#[test]
fn agents_appear_in_the_route_table_and_leave_it() {
    let control = free_address();
    let entry_shared = quetzalhill::shared::SharedState::new(key_ring());
    let entry = quetzalhill::control::start(&entry_settings(control, &[]), entry_shared.clone())
        .expect("entry control starts");
    entry.adopt(catalogue());
    let mut agents = Vec::new();
    for incarnation in 1..=2 {
        let shared = quetzalhill_agent::shared::SharedState::new(incarnation, key_ring());
        let (events, receiver) = mpsc::channel(4);
        let settings = agent_settings(free_address(), control);
        let handle = quetzalhill_agent::control::start(&settings, shared.clone(), receiver)
            .expect("agent control starts");
        let healthy = TrafficEvent::UpstreamHealth { healthy: true };
        events.try_send(healthy).expect("room for one event");
        agents.push((handle, shared, events));
    }
    let ready_count = || {
        let table = entry_shared.routes.load_full();
        table.services.first().map_or(0, |route| route.ready.len())
    };
    wait_until("the entry routes to two endpoints", || ready_count() == 2);
    wait_until("each agent has its peer, the entry and its service", || {
        agents.iter().all(|(_, shared, _)| {
            let view = shared.view.load_full();
            view.peers.len() == 1
                && view.entries.len() == 1
                && view.revision == 1
                && view
                    .service
                    .as_ref()
                    .is_some_and(|service| service.number == 5)
        })
    });
    agents[0].0.drain();
    wait_until("the entry routes to one endpoint", || ready_count() == 1);
    wait_until("the other agent has no peer", || {
        agents[1].1.view.load().peers.is_empty()
    });
    assert_eq!(agents[0].1.view.load().state, EndpointState::Draining);
    for (handle, _, _) in agents {
        handle.stop().expect("agent control stops");
    }
    wait_until("the entry routes to no endpoint", || ready_count() == 0);
    entry.stop().expect("entry control stops");
}
