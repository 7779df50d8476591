//! State changes of an upstream's health.

use quetzalhill_core::health::{HealthAction, HealthController, HealthEvent};
use yare::parameterized;

use HealthEvent::{Answered, Ejected, Failed, Serving, Unavailable};

fn actions(events: &[HealthEvent]) -> Vec<HealthAction> {
    let mut health = HealthController::new();
    events
        .iter()
        .filter_map(|&event| health.handle(event))
        .collect()
}

/// Guards against taking an upstream out of service after a single failed check, against keeping a failed one in
/// service, and against draining one that is still starting.
#[parameterized(
    start = { &[Failed, Serving], &[HealthAction::Ready] },
    cold = { &[Unavailable, Unavailable, Unavailable, Unavailable, Serving], &[HealthAction::Ready] },
    single = { &[Serving, Failed, Failed, Serving], &[HealthAction::Ready] },
    gone = {
        &[Serving, Failed, Failed, Failed, Failed, Serving],
        &[HealthAction::Ready, HealthAction::NotReady, HealthAction::Ready],
    },
    misleading = { &[Serving, Failed, Failed, Answered, Failed, Failed], &[HealthAction::Ready] },
    stale = { &[Serving, Unavailable, Unavailable, Serving, Unavailable], &[HealthAction::Ready] },
    leaving = {
        &[Serving, Unavailable, Unavailable, Unavailable, Serving, Failed],
        &[HealthAction::Ready, HealthAction::Drain],
    },
    ejected = {
        &[Serving, Ejected(true), Serving, Answered, Ejected(false)],
        &[HealthAction::Ready, HealthAction::NotReady, HealthAction::Ready],
    },
)]
fn state_changes_follow_health_events(events: &[HealthEvent], expected: &[HealthAction]) {
    assert_eq!(actions(events), expected);
}
