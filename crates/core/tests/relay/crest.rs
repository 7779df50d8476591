//! Simulates the crest of the first deployment at agents with and without the scheduler of requests, in virtual time,
//! and checks what callers get.
//!
//! Without it, requests wait in the queue of the upstream, which is first in, first out and refuses beyond 8. Rates,
//! slots, work, targets and timeouts are those of docs/load.md; the worth of an answer is 1 for a stream (0.3 after its
//! target) and 2 for an urgent request (0.6).

mod simulation;

use self::simulation::{CrestPlan, CrestResult, CrestSimulation, TIMEOUT, TRAVEL_TIME};
use std::time::Duration;

/// Results of the same requests without and with the scheduler.
#[derive(Clone, Copy, Debug)]
struct CrestComparison {
    plain: CrestResult,
    scheduled: CrestResult,
}

/// Runs a plan both ways for one upstream and a pool of 16.
fn compare(load: f64, urgent_burst: f64, wave: bool) -> Vec<CrestComparison> {
    let mut comparisons = Vec::new();
    for (upstreams, seed) in [(1, 1), (1, 2), (1, 3), (16, 4)] {
        let plan = CrestPlan {
            upstreams,
            load,
            urgent_burst,
            wave,
            seed,
        };
        let [plain, scheduled] = [false, true].map(|scheduled| {
            let result = CrestSimulation::run(plan, scheduled);
            println!("{plan:?} scheduled {scheduled}: {result}");
            result
        });
        comparisons.push(CrestComparison { plain, scheduled });
    }
    comparisons
}

/// Guards against urgent requests that wait behind streams or are refused at the crest, and against an order that
/// gains this by answers that are worth less in total.
#[yare::parameterized(
    calm = { 0.7, 1.0 },
    calm_burst = { 0.7, 1.9 },
    usual_burst = { 0.8, 1.9 },
    busy_burst = { 0.9, 1.9 },
    full = { 1.0, 1.0 },
    full_burst = { 1.0, 1.9 },
    above = { 1.1, 1.0 },
    above_burst = { 1.1, 1.9 },
    far_above = { 1.2, 1.0 },
    far_above_burst = { 1.2, 1.9 },
)]
fn urgent_requests_meet_their_target_at_the_crest(load: f64, urgent_burst: f64) {
    for CrestComparison { plain, scheduled } in compare(load, urgent_burst, false) {
        assert!(scheduled.urgent.share_in_target() > 0.99, "{scheduled}");
        assert!(
            scheduled.benefit() > plain.benefit() - 0.005,
            "{scheduled}, plain {plain}"
        );
        // The agent's queue replaces that of the upstream, which then has nothing to refuse.
        assert_eq!(scheduled.refusals, 0, "{scheduled}");
        if load * (1.0 + (urgent_burst - 1.0) * 0.3) < 1.2 {
            continue;
        }
        assert!(plain.urgent.share_in_target() < 0.94, "plain {plain}");
        assert!(
            scheduled.benefit() > plain.benefit() + 0.01,
            "{scheduled}, plain {plain}"
        );
    }
}

/// Guards against a class that gets nothing for seconds while another one has priority, and against requests that wait
/// beyond their timeout.
#[yare::parameterized(full = { 1.0 }, above = { 1.1 }, far_above = { 1.2 })]
fn no_class_starves_at_the_crest(load: f64) {
    for CrestComparison { scheduled, .. } in compare(load, 1.9, false) {
        for class in [scheduled.stream, scheduled.urgent] {
            assert!(class.fewest_in_second > 0.1, "{scheduled}");
            assert!(
                class.longest <= TIMEOUT + 2 * TRAVEL_TIME + Duration::from_millis(60),
                "{scheduled}"
            );
        }
    }
}

/// Guards against a wave of returning callers whose late requests keep out those that can still be answered in time.
#[yare::parameterized(calm = { 0.7 }, usual = { 0.8 }, busy = { 0.9 }, full = { 1.0 }, above = { 1.1 })]
fn returning_callers_are_served_in_the_order_of_their_targets(load: f64) {
    for CrestComparison { plain, scheduled } in compare(load, 1.0, true) {
        // The urgent requests of the wave alone are more work than all slots can do within their target.
        assert!(scheduled.urgent.share_in_target() > 0.97, "{scheduled}");
        assert!(
            scheduled.urgent.fewest_in_second > plain.urgent.fewest_in_second + 0.25,
            "{scheduled}, plain {plain}"
        );
        assert!(
            scheduled.urgent.share_in_target() > plain.urgent.share_in_target() + 0.01,
            "{scheduled}, plain {plain}"
        );
        assert!(
            scheduled.benefit() > plain.benefit() + 0.003,
            "{scheduled}, plain {plain}"
        );
    }
}
