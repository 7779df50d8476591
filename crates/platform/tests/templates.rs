//! The deploy templates, checked with the settings code of the programs.

use std::time::Duration;

/// Guards against a deploy template whose settings the programs reject on startup.
#[test]
fn templates_are_valid_settings() {
    let entry = fill(include_str!("../../../deploy/entry.toml.template"));
    let entry: quetzalhill::relay::settings::RelaySettings = toml::from_str(&entry).expect("entry");
    quetzalhill::relay::settings::check(&entry).expect("entry");
    let agent = fill(include_str!("../../../deploy/agent.toml.template"));
    let agent: quetzalhill_agent::relay::settings::RelaySettings =
        toml::from_str(&agent).expect("agent");
    quetzalhill_agent::relay::settings::check(&agent).expect("agent");
    assert_eq!(agent.relay.entry_port, entry.relay.agents.port());
    assert!(entry.relay.evacuations && entry.relay.schedule && agent.relay.schedule);
    assert_eq!(entry.relay.cold_overrun, Some(1.5));
    // Guards against routes and evacuations that follow the longer of their two bounds.
    assert_eq!(entry.relay.apply_time(), Duration::from_millis(2_000));
}

/// Replaces the placeholders of a template as the platform does, with loopback addresses.
fn fill(template: &str) -> String {
    let mut text = template.to_string();
    for (name, value) in [
        ("nodeName", "edge-a-1"),
        ("zone", "a"),
        ("ip", "127.0.0.1"),
        ("portRange.0", "7720"),
        ("portRange.1", "7721"),
        ("platform.address", "127.0.0.1:8169"),
        ("listen.datagramAddr", "127.0.0.1:8172"),
        ("listen.ready", "127.0.0.1:8167"),
        ("listen.control", "127.0.0.1:8166"),
        ("listen.outbound", "127.0.0.1:8162"),
        ("service", "feed"),
        ("app", "127.0.0.1:8165"),
        ("heartbeatMs", "770"),
        ("#bounds.configApplyMs", ""),
        ("bounds.configApplyMs", "3000"),
        ("/bounds.configApplyMs", ""),
        ("#bounds.evacuateMs", ""),
        ("bounds.evacuateMs", "2000"),
        ("/bounds.evacuateMs", ""),
        ("#bounds.coldOverrun", ""),
        ("bounds.coldOverrun", "1.5"),
        ("/bounds.coldOverrun", ""),
        ("#bounds.coldSlack", ""),
        ("bounds.coldSlack", "5"),
        ("/bounds.coldSlack", ""),
    ] {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "{text}");
    text
}
