//! Tests of the registration of an endpoint in the store's list.

use crate::support::{id, FEED};
use quetzalhill_core::relay::fleet::ListedEndpoint;
use quetzalhill_core::relay::registration::{
    RegistrationAction, RegistrationController, RegistrationOutcome, LEASE_TTL,
};
use std::time::{Duration, Instant};

fn endpoint(incarnation: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id(1),
        service: FEED.into(),
        zone: "a".into(),
        incarnation,
        slots: 4,
    }
}

/// Returns a controller whose endpoint is written under lease 9.
fn registered(now: Instant) -> RegistrationController {
    let mut controller = RegistrationController::new();
    controller.set_target(Some(endpoint(1)));
    let grant = controller.next_action(now);
    assert_eq!(grant, RegistrationAction::Grant);
    controller.finish(&grant, RegistrationOutcome::Granted(9), 0.0, now);
    let write = controller.next_action(now);
    assert_eq!(write, RegistrationAction::Write(endpoint(1), 9));
    controller.finish(&write, RegistrationOutcome::Written, 0.0, now);
    controller
}

/// Guards against an idle agent that makes calls other than renewals, since every call has a cost.
#[test]
fn idle_agent_renews_its_lease_three_times_per_lifetime() {
    let start = Instant::now();
    let mut controller = registered(start);
    let mut now = start;
    let mut renewals = 0;
    while now < start + LEASE_TTL * 4 {
        match controller.next_action(now) {
            RegistrationAction::Wait(until) => now = until,
            RegistrationAction::Renew(9) => {
                renewals += 1;
                controller.finish(
                    &RegistrationAction::Renew(9),
                    RegistrationOutcome::Renewed,
                    0.0,
                    now,
                );
            }
            other => panic!("{other:?}"),
        }
    }
    // One renewal per third of the lease's lifetime, the first after one third.
    assert_eq!(renewals, 11);
}

/// Guards against an endpoint that stays unlisted after its lease was lost.
#[test]
fn lost_lease_is_followed_by_a_new_registration() {
    let now = Instant::now();
    let mut controller = registered(now);
    let later = now + LEASE_TTL / 3;
    let renew = controller.next_action(later);
    controller.finish(&renew, RegistrationOutcome::LeaseLost, 0.0, later);
    assert_eq!(controller.next_action(later), RegistrationAction::Grant);
}

/// Guards against retries that overload the store during an outage, and against an endpoint that is listed again
/// later than two seconds after the store's return.
#[test]
fn retry_rate_and_delay_are_bounded() {
    let mut now = Instant::now();
    let mut controller = RegistrationController::new();
    controller.set_target(Some(endpoint(1)));
    let mut calls = 0;
    let end = now + Duration::from_secs(10);
    let mut longest = Duration::ZERO;
    while now < end {
        match controller.next_action(now) {
            RegistrationAction::Wait(until) => {
                longest = longest.max(until - now);
                now = until;
            }
            action => {
                calls += 1;
                controller.finish(&action, RegistrationOutcome::Failed, 1.0, now);
            }
        }
    }
    assert!(longest < Duration::from_secs(1), "{longest:?}");
    assert!(calls <= 20, "{calls} calls in 10 s");
}

/// Guards against a list with an upstream that has ended, or with an earlier incarnation of it.
#[test]
fn changes_are_written_and_removal_revokes_the_lease() {
    let now = Instant::now();
    let mut controller = registered(now);
    controller.set_target(Some(endpoint(2)));
    assert_eq!(
        controller.next_action(now),
        RegistrationAction::Write(endpoint(2), 9)
    );
    controller.set_target(None);
    let revoke = controller.next_action(now);
    assert_eq!(revoke, RegistrationAction::Revoke(9));
    controller.finish(&revoke, RegistrationOutcome::Revoked, 0.0, now);
    assert!(matches!(
        controller.next_action(now),
        RegistrationAction::Wait(_)
    ));
}
