//! Tests catalogue changes after planned replacements of entries.

use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_standins::deployment::DeploymentPlan;
use quetzalhill_standins::testbed::Testbed;

const PLAN: &str = r#"
name = "replacement"
zones = ["a", "b", "c", "d"]
entries = 4

[service.feed]
owner = "bakery"
class = "urgent"
endpoints = 7
slots = 4
"#;

/// Guards against a catalogue change that no entry reads from the store, or that does not reach the agents, after every
/// entry has been replaced.
#[test]
fn change_is_in_force_after_all_entries_were_replaced() {
    let plan: DeploymentPlan = toml::from_str(PLAN).expect("valid plan");
    let mut testbed = Testbed::start(plan, DispatchPolicy::Pooled, 1).expect("testbed starts");
    testbed.wait_all_ready().expect("nodes ready");
    for index in 0..4 {
        testbed.replace_entry(index).expect("entry replaced");
    }
    let edit = testbed.edit_catalogue(|snapshot| {
        for entry in snapshot.services.values_mut() {
            entry.limits.queue += 1;
        }
    });
    edit.expect("change in force on all nodes");
}
