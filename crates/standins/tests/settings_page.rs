//! Compares docs/settings.md with the settings that the programs read.

use quetzalhill::cmd::operator::{GuardSection, NodeTargets, OperatorSettings, StoreTarget};
use quetzalhill::settings::{EntrySection, EntrySettings, ListenSettings, StoreSection};
use quetzalhill_agent::settings::{AgentSection, AgentSettings};
use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_node::relay::settings::{RelayNode, RelayStore};
use quetzalhill_node::settings::{LogSettings, NodeSettings};
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

const PAGE: &str = include_str!("../../../docs/settings.md");

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

fn node() -> NodeSettings {
    NodeSettings {
        zone: "a".into(),
        control: ADDRESS,
        admin: ADDRESS,
        control_key: "key".into(),
        previous_key: Some("key".into()),
    }
}

fn entry() -> EntrySettings {
    EntrySettings {
        node: node(),
        log: LogSettings::default(),
        entry: EntrySection {
            listen: vec![ListenSettings {
                bind: ADDRESS,
                address: Some(ADDRESS),
            }],
            data: ADDRESS,
            seeds: vec![ADDRESS],
            threads: 1,
            linger_s: 1,
        },
        store: StoreSection {
            urls: vec!["url".into()],
        },
    }
}

fn agent() -> AgentSettings {
    AgentSettings {
        node: node(),
        log: LogSettings::default(),
        agent: AgentSection {
            service: "feed".into(),
            packets: ADDRESS,
            peer: ADDRESS,
            advertise_peer: Some(ADDRESS),
            upstream: ADDRESS,
            health_path: "/".into(),
            health_interval_ms: 1_000,
            slots: 1,
            entries: vec![ADDRESS],
            certificate: "file".into(),
            private_key: "file".into(),
            flows: 1,
            policy: DispatchPolicy::Pooled,
            drain_limit_s: 1,
        },
    }
}

fn operator() -> OperatorSettings {
    OperatorSettings {
        store: StoreTarget {
            urls: vec!["url".into()],
        },
        nodes: NodeTargets {
            admin: vec![ADDRESS],
        },
        guards: GuardSection::default(),
    }
}

fn relay_node() -> RelayNode {
    RelayNode {
        name: "one".into(),
        zone: "a".into(),
        metrics: ADDRESS,
    }
}

fn relay_store() -> RelayStore {
    RelayStore {
        address: ADDRESS,
        poll_ms: 1,
    }
}

fn relay_entry() -> quetzalhill::relay::settings::RelaySettings {
    quetzalhill::relay::settings::RelaySettings {
        node: relay_node(),
        log: LogSettings::default(),
        store: relay_store(),
        relay: quetzalhill::relay::settings::RelaySection {
            packets: ADDRESS,
            agents: ADDRESS,
            ready: ADDRESS,
            linger_ms: 1,
        },
    }
}

fn relay_agent() -> quetzalhill_agent::relay::settings::RelaySettings {
    quetzalhill_agent::relay::settings::RelaySettings {
        node: relay_node(),
        log: LogSettings::default(),
        store: relay_store(),
        relay: quetzalhill_agent::relay::settings::RelaySection {
            service: "feed".into(),
            upstream: ADDRESS,
            outbound: ADDRESS,
            packets: ADDRESS,
            announcements: ADDRESS,
            ready: ADDRESS,
            entry_port: 1,
            announce_ms: 1,
        },
    }
}

/// Adds the dotted names of all keys below a value.
fn add_keys(value: &toml::Value, prefix: &str, keys: &mut BTreeSet<String>) {
    match value {
        toml::Value::Table(table) => {
            for (name, inner) in table {
                let key = match prefix {
                    "" => name.clone(),
                    prefix => format!("{prefix}.{name}"),
                };
                // A section is not a key of its own.
                if !inner.is_table() {
                    keys.insert(key.clone());
                }
                add_keys(inner, &key, keys);
            }
        }
        toml::Value::Array(items) => {
            for item in items {
                add_keys(item, prefix, keys);
            }
        }
        _ => {}
    }
}

fn keys_of(settings: &impl Serialize, keys: &mut BTreeSet<String>) {
    let value = toml::Value::try_from(settings).expect("settings are a table");
    add_keys(&value, "", keys);
}

/// Guards against a setting that the page does not name, and against one that it names and no program reads.
#[test]
fn page_names_exactly_the_settings_of_the_code() {
    let mut code = BTreeSet::new();
    keys_of(&entry(), &mut code);
    keys_of(&agent(), &mut code);
    keys_of(&operator(), &mut code);
    keys_of(&relay_entry(), &mut code);
    keys_of(&relay_agent(), &mut code);
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let page: BTreeSet<String> = rows
        .filter_map(|row| row.split_once('`'))
        .map(|(key, _)| key.to_string())
        .collect();
    assert_eq!(page, code);
}

/// Guards against a wrong value that a process starts with.
#[test]
fn wrong_relay_settings_are_named() {
    let mut entry = relay_entry();
    entry.store.poll_ms = 30_001;
    let error = quetzalhill::relay::settings::check(&entry).expect_err("too long");
    assert_eq!(error.key, "store.poll_ms");
    let mut agent = relay_agent();
    agent.store.poll_ms = 100;
    agent.relay.service.clear();
    let error = quetzalhill_agent::relay::settings::check(&agent).expect_err("empty");
    assert_eq!(error.key, "relay.service");
}
