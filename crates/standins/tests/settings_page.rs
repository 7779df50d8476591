//! Tests that docs/settings.md names the settings that the programs read, and that wrong settings are rejected.

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

fn node_settings() -> NodeSettings {
    NodeSettings {
        zone: "a".into(),
        control: ADDRESS,
        admin: ADDRESS,
        control_key: "key".into(),
        previous_key: Some("key".into()),
    }
}

fn entry_settings() -> EntrySettings {
    EntrySettings {
        node: node_settings(),
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

fn agent_settings() -> AgentSettings {
    AgentSettings {
        node: node_settings(),
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

fn operator_settings() -> OperatorSettings {
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

fn relay_entry_settings() -> quetzalhill::relay::settings::RelaySettings {
    quetzalhill::relay::settings::RelaySettings {
        node: relay_node(),
        log: LogSettings::default(),
        store: relay_store(),
        relay: quetzalhill::relay::settings::RelaySection {
            packets: ADDRESS,
            agents: ADDRESS,
            ready: ADDRESS,
            linger_ms: 1,
            apply_ms: 1,
            pace: false,
            schedule: false,
            evacuations: false,
            evacuate_ms: Some(2_000),
            reset_ended: false,
            cold_overrun: Some(1.5),
            cold_slack: 0.0,
        },
    }
}

fn relay_agent_settings() -> quetzalhill_agent::relay::settings::RelaySettings {
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
            pace: false,
            slow_start: false,
            schedule: false,
        },
    }
}

/// Adds the dotted names of all keys below `value`, such as `relay.service`; `prefix` is the name of `value`.
fn add_nested_keys(value: &toml::Value, prefix: &str, keys: &mut BTreeSet<String>) {
    match value {
        toml::Value::Table(table) => {
            for (name, inner) in table {
                let key = match prefix {
                    "" => name.clone(),
                    prefix => format!("{prefix}.{name}"),
                };
                // Only the keys of a section are settings, not its name.
                if !inner.is_table() {
                    keys.insert(key.clone());
                }
                add_nested_keys(inner, &key, keys);
            }
        }
        toml::Value::Array(items) => {
            for item in items {
                add_nested_keys(item, prefix, keys);
            }
        }
        _ => {}
    }
}

fn collect_keys(settings: &impl Serialize, keys: &mut BTreeSet<String>) {
    let value = toml::Value::try_from(settings).expect("settings do not serialize to a table");
    add_nested_keys(&value, "", keys);
}

/// Guards against a setting that was added, renamed or removed in the code but not on the page, or the other way round.
#[test]
fn page_names_exactly_the_settings_of_the_code() {
    let mut code = BTreeSet::new();
    collect_keys(&entry_settings(), &mut code);
    collect_keys(&agent_settings(), &mut code);
    collect_keys(&operator_settings(), &mut code);
    collect_keys(&relay_entry_settings(), &mut code);
    collect_keys(&relay_agent_settings(), &mut code);
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let page: BTreeSet<String> = rows
        .filter_map(|row| row.split_once('`'))
        .map(|(key, _)| key.to_string())
        .collect();
    assert_eq!(page, code);
}

/// Guards against a process that starts with a value out of range or empty; the error has to name its key.
#[test]
fn wrong_relay_settings_are_named() {
    let mut entry = relay_entry_settings();
    entry.store.poll_ms = 30_001;
    let error = quetzalhill::relay::settings::check(&entry)
        .expect_err("a poll time above the limit was accepted");
    assert_eq!(error.key, "store.poll_ms");
    let mut agent = relay_agent_settings();
    agent.store.poll_ms = 100;
    agent.relay.service.clear();
    let error = quetzalhill_agent::relay::settings::check(&agent)
        .expect_err("an empty service name was accepted");
    assert_eq!(error.key, "relay.service");
}
