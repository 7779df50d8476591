//! Control threads of one entry and two agents on loopback addresses.

use quetzalhill::settings::EntrySettings;
use quetzalhill_agent::settings::AgentSettings;
use quetzalhill_agent::shared::TrafficEvent;
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::member::EndpointState;
use quetzalhill_wire::key::{ControlKey, KeyRing};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

fn ring() -> KeyRing {
    KeyRing::new(ControlKey::new(1, &[7; 32]), None)
}

/// Returns a loopback address whose port was free a moment ago for datagrams and connections.
fn free_address() -> SocketAddrV4 {
    for _ in 0..100 {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("bound");
        let listener = std::net::TcpListener::bind(address);
        if let (std::net::SocketAddr::V4(address), Ok(_)) = (address, listener) {
            return address;
        }
    }
    panic!("no port is free for datagrams and connections");
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + CONVERGENCE_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "not reached in time: {what}");
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

/// Guards against a path from announcement to route table or from entry to agent that is not connected, and
/// against routing new flows to an endpoint that drains.
#[test]
fn agents_appear_in_the_route_table_and_leave_it() {
    let control = free_address();
    let entry_shared = quetzalhill::shared::SharedState::new(ring());
    let entry = quetzalhill::control::start(&entry_settings(control, &[]), entry_shared.clone())
        .expect("entry control");
    entry.adopt(catalogue());
    let mut agents = Vec::new();
    for life in 1..=2 {
        let shared = quetzalhill_agent::shared::SharedState::new(life, ring());
        let (events, receiver) = mpsc::channel(4);
        let settings = agent_settings(free_address(), control);
        let handle = quetzalhill_agent::control::start(&settings, shared.clone(), receiver)
            .expect("agent control");
        let healthy = TrafficEvent::UpstreamHealth { healthy: true };
        events.try_send(healthy).expect("room for one event");
        agents.push((handle, shared, events));
    }
    let ready = || {
        let table = entry_shared.routes.load_full();
        table.services.first().map_or(0, |route| route.ready.len())
    };
    wait_until("two ready endpoints", || ready() == 2);
    wait_until("agents know peer, entry and service", || {
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
    wait_until("one ready endpoint", || ready() == 1);
    wait_until("the peer knows", || {
        agents[1].1.view.load().peers.is_empty()
    });
    assert_eq!(agents[0].1.view.load().state, EndpointState::Draining);
    for (handle, _, _) in agents {
        handle.stop().expect("agent control ends");
    }
    wait_until("no ready endpoint", || ready() == 0);
    entry.stop().expect("entry control ends");
}
