//! Changes of the catalogue around planned replacements.

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

/// Guards against a catalogue that no entry reads any more, or that agents do not hear of, after every entry was
/// replaced.
#[test]
fn change_is_in_force_after_all_entries_were_replaced() {
    let plan: DeploymentPlan = toml::from_str(PLAN).expect("valid plan");
    let mut bed = Testbed::start(plan, DispatchPolicy::Pooled, 1).expect("starts");
    bed.wait_all_ready().expect("ready");
    for index in 0..4 {
        bed.replace_entry(index).expect("replaced");
    }
    let edit = bed.edit_catalogue(|snapshot| {
        for entry in snapshot.services.values_mut() {
            entry.limits.queue += 1;
        }
    });
    edit.expect("in force everywhere");
}
