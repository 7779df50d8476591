//! A complete agent behind a complete entry.

use crate::support::{block_on, certificate, free_port, service, TestCaller, STEP};
use crate::upstream;
use quetzalhill::settings::{EntrySection, EntrySettings, ListenSettings, StoreSection};
use quetzalhill_agent::settings::{AgentSection, AgentSettings};
use quetzalhill_core::catalogue::{CatalogueSnapshot, LimitSet};
use quetzalhill_core::member::EndpointState;
use quetzalhill_node::settings::{LogSettings, NodeSettings};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn node(key: &str) -> NodeSettings {
    NodeSettings {
        zone: "a".into(),
        control: free_port(),
        admin: free_port(),
        control_key: key.into(),
        previous_key: None,
    }
}

fn entry_settings(key: &str, listen: SocketAddrV4) -> EntrySettings {
    EntrySettings {
        node: node(key),
        log: LogSettings::default(),
        entry: EntrySection {
            listen: vec![ListenSettings {
                bind: listen,
                address: None,
            }],
            data: free_port(),
            seeds: Vec::new(),
            threads: 1,
            linger_s: 0,
        },
        store: StoreSection::default(),
    }
}

fn agent_settings(key: &str, entry: SocketAddrV4, upstream: SocketAddrV4) -> AgentSettings {
    let (certificate, private_key) = certificate();
    AgentSettings {
        node: node(key),
        log: LogSettings::default(),
        agent: AgentSection {
            service: "feed".into(),
            packets: free_port(),
            peer: free_port(),
            advertise_peer: None,
            upstream,
            health_path: "/health".into(),
            health_interval_ms: 1_000,
            slots: 4,
            entries: vec![entry],
            certificate,
            private_key,
            flows: 100,
            policy: Default::default(),
            drain_limit_s: 5,
        },
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + STEP;
    while !condition() {
        assert!(Instant::now() < end, "not reached in time: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the response of the admin address to `GET path`, including its head.
fn page(admin: SocketAddrV4, path: &str) -> String {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(STEP)).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Guards against an entry and an agent that are incompatible in packets, readiness or the graceful stop.
#[test]
fn request_passes_through_entry_and_agent() {
    let (upstream, log) = upstream::start();
    let (chain, _) = certificate();
    let key = chain.replace("chain", "control");
    std::fs::write(&key, format!("1 {}\n", "5a".repeat(32))).unwrap();
    let listen = free_port();
    let entry_settings = entry_settings(&key, listen);
    let control = entry_settings.node.control;
    let entry = quetzalhill::run::start(entry_settings).unwrap();
    let mut feed = service(LimitSet::default());
    feed.addresses.push(listen);
    entry.catalogue().adopt(CatalogueSnapshot {
        revision: 1,
        services: [("feed".to_string(), feed)].into(),
    });
    let settings = agent_settings(&key, control, upstream);
    let agent = quetzalhill_agent::run::start(settings.clone()).unwrap();
    wait_until("the endpoint is ready", || {
        let view = agent.state().view.load();
        view.state == EndpointState::Ready && view.service.is_some()
    });
    wait_until("the entry routes to it", || {
        let table = entry.state().routes.load();
        table
            .services
            .first()
            .is_some_and(|route| route.ready.len() == 1)
    });
    block_on(async {
        let caller = TestCaller::connect(listen, &settings.agent.certificate).await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
        assert_eq!(caller.get("/large").await.unwrap().body.len(), 300_000);
        let admin = settings.node.admin;
        assert!(page(admin, "/readyz").starts_with("HTTP/1.1 200"));
        let status = page(admin, "/status");
        assert!(status.contains("\"state\":\"Ready\""), "{status}");
        assert!(status.contains("\"delivered\":"), "{status}");
        let metrics = page(admin, "/metrics");
        let count =
            r#"quetzalhill_requests_total{class="standard",outcome="answered",owner="owner"} 2"#;
        assert!(metrics.contains(count), "{metrics}");
        let before = log.requests.load(Ordering::SeqCst);
        let stop = async {
            while log.requests.load(Ordering::SeqCst) == before {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let stopped = std::thread::spawn(move || agent.stop());
            let closed = tokio::time::timeout(STEP, caller.connection.closed()).await;
            assert!(closed.is_ok(), "the connection stays open");
            stopped
        };
        let (answer, stopped) = tokio::join!(caller.get("/slow"), stop);
        assert_eq!(answer.unwrap().body, "slow");
        stopped.join().unwrap().unwrap();
    });
    entry.stop().unwrap();
}
