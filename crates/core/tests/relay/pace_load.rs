//! Tests of placement by pace and of the window under the second deployment's load; each names the load that it covers.

use crate::pace_site::*;
use std::time::Duration;

const SEEDS: u64 = 3;

/// Time after which the long flows of a run have reached their usual number.
const SETTLE_TIME: Duration = Duration::from_secs(7);

/// Bound on the share of work on slow upstreams relative to their share of the pace (docs/load.md, targets).
const SHARE_TOLERANCE: f64 = 0.10;

fn options(seed: u64) -> PaceOptions {
    PaceOptions {
        factor: true,
        slow_start: true,
        alike: false,
        load: 1.0,
        seed,
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Result of one or several runs.
#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    /// Requests of usual work that were answered late, over all requests.
    late: f64,
    in_time: f64,
    /// Work on slow upstreams over the work of all, relative to their share of the pace.
    slow_share: f64,
}

/// Returns the means over the seeds of runs of one period of the demand.
fn run_steadily(options: PaceOptions) -> RunResult {
    let mut mean = RunResult::default();
    for seed in 0..SEEDS {
        let mut site = PaceSite::new(PaceOptions { seed, ..options });
        site.run(SETTLE_TIME);
        site.take_counts();
        site.take_work();
        site.run(seconds(15.0));
        let counts = site.take_counts();
        let work = site.take_work();
        let slow = (0..ENDPOINTS).filter(|index| is_slow(*index));
        let slow: f64 = slow.map(|index| work[index]).sum();
        let share_of_pace = SLOW_PACE / (SLOW_PACE + 3.0 * FAST_PACE);
        // CAST: The number of seeds is small.
        let seeds = SEEDS as f64;
        mean.late += counts.share_late() / seeds;
        mean.in_time += counts.share_in_time() / seeds;
        mean.slow_share += slow / work.iter().sum::<f64>() / share_of_pace / seeds;
    }
    mean
}

/// Load: the usual one and a peak, with a quarter of slow upstreams. Guards against slow upstreams that get as much work as
/// others, so that their requests are late, and against slow ones that are left idle.
#[test]
fn slow_upstreams_get_their_share_of_the_work() {
    for load in [1.0, 1.3] {
        let options = PaceOptions { load, ..options(0) };
        let with = run_steadily(options);
        let without = run_steadily(PaceOptions {
            factor: false,
            ..options
        });
        println!("load {load}: {with:?}, without factors {without:?}");
        assert!((with.slow_share - 1.0).abs() <= SHARE_TOLERANCE);
        assert!(without.slow_share >= 1.0 + SHARE_TOLERANCE);
        assert!(with.late <= without.late / 2.0);
        assert!(with.in_time >= without.in_time);
    }
}

/// Load: upstreams of the same pace. Guards against placement that follows chance in the averages.
#[test]
fn like_upstreams_have_no_factor() {
    for load in [1.0, 1.6] {
        let (mut unequal, mut samples) = (0, 0);
        for seed in 0..SEEDS {
            let mut site = PaceSite::new(PaceOptions {
                alike: true,
                load,
                ..options(seed)
            });
            site.run(seconds(4.0));
            for _ in 0..30 {
                site.run(seconds(0.5));
                for endpoint in 0..ENDPOINTS {
                    samples += 1;
                    unequal += u32::from(site.factor(endpoint) != Some(1.0));
                }
            }
        }
        println!("load {load}: {unequal} of {samples} differ from 1");
        assert!(unequal * 200 <= samples, "{unequal} of {samples}");
    }
}

/// Load: everything starts at once and is cold. Guards against a pace that is found only when the callers have given up.
#[test]
fn pace_is_found_within_two_seconds_of_a_start() {
    let mut found = 0;
    for seed in 0..SEEDS {
        let mut site = PaceSite::new(options(seed));
        site.run(seconds(2.0));
        for endpoint in 0..ENDPOINTS {
            let factor = site.factor(endpoint).unwrap_or_default();
            found += u64::from(match is_slow(endpoint) {
                true => factor > 1.5,
                false => factor == 1.0,
            });
        }
    }
    let all = SEEDS * u64::try_from(ENDPOINTS).expect("fits");
    println!("{found} of {all} found");
    assert!(found * 10 >= all * 9, "{found} of {all}");
}

/// Load: one upstream starts among busy ones, and is cold for two seconds. Guards against one that is flooded, so that its
/// first requests are late, and against one that is idle after it has become warm.
#[test]
fn started_upstream_is_neither_flooded_nor_idle() {
    let mut late = [0, 0];
    for slow_start in [false, true] {
        for (seed, endpoint) in [(0, 1), (1, 5), (2, 16), (3, 13), (4, 20), (5, 35)] {
            let mut site = PaceSite::new(PaceOptions {
                slow_start,
                ..options(seed)
            });
            site.run(seconds(9.0));
            site.restart(endpoint);
            site.take_work();
            // The callers of long flows come back in the second second, and their requests cannot be refused.
            site.run(seconds(1.0));
            let most = site.upstreams[endpoint].most;
            site.run(seconds(1.0));
            late[usize::from(slow_start)] += site.upstreams[endpoint].late;
            site.run(seconds(2.0));
            site.take_work();
            site.run(seconds(5.0));
            let work = site.take_work();
            let pace: f64 = site.upstreams.iter().map(|upstream| upstream.pace).sum();
            let share_of_pace = site.upstreams[endpoint].pace / pace;
            let share = work[endpoint] / work.iter().sum::<f64>() / share_of_pace;
            let filled = site.upstreams[endpoint].meter.pace();
            let filled = filled.and_then(|pace| pace.take_filled());
            println!("window {slow_start}, upstream {endpoint}: most {most}, share {share:.2}, {filled:?}");
            if slow_start {
                assert!(filled.is_some());
                assert!(most <= 2 * SLOTS, "{most} requests in progress");
                assert!(share >= 0.5, "{share} of its share");
            }
        }
    }
    println!("late without and with a window {late:?}");
    assert!(late[1] * 2 <= late[0], "{late:?}");
}

/// Load: one upstream is slow for four seconds. Guards against a slowdown that entries do not notice, and against an
/// upstream that stays without work after it.
#[test]
fn recovered_upstream_gets_its_share_again() {
    for (seed, endpoint) in [(0, 1), (1, 13), (2, 20)] {
        let mut site = PaceSite::new(options(seed));
        site.run(SETTLE_TIME);
        site.upstreams[endpoint].pace = FAST_PACE / 4.0;
        site.run(seconds(4.0));
        let slowed = site.factor(endpoint).unwrap_or_default();
        site.upstreams[endpoint].pace = FAST_PACE;
        site.run(seconds(3.0));
        let after_3 = site.factor(endpoint).unwrap_or_default();
        site.take_work();
        site.run(seconds(5.0));
        let after_8 = site.factor(endpoint);
        let work = site.take_work();
        let pace: f64 = site.upstreams.iter().map(|upstream| upstream.pace).sum();
        let share = work[endpoint] / work.iter().sum::<f64>() / (FAST_PACE / pace);
        println!("upstream {endpoint}: {slowed:.2}, {after_3:.2}, {after_8:?}, share {share:.2}");
        assert!(slowed >= 2.0, "{slowed}");
        // The address with eight requests a second needs some seconds for the forty answers of its average.
        assert!(after_3 <= 0.8 * slowed, "{after_3}");
        assert_eq!(after_8, Some(1.0));
        assert!(share >= 0.5, "{share} of its share");
    }
}

/// Load: a slow upstream is replaced by one of the usual pace. Guards against an upstream that is judged by the answers of
/// the one before it.
#[test]
fn new_incarnation_forgets_the_pace() {
    let endpoint = 5;
    assert!(is_slow(endpoint));
    let mut site = PaceSite::new(options(0));
    site.run(SETTLE_TIME);
    assert!(site.factor(endpoint).is_some_and(|factor| factor > 1.5));
    site.restart(endpoint);
    site.upstreams[endpoint].pace = FAST_PACE;
    site.run(seconds(0.2));
    assert_eq!(site.factor(endpoint), None);
    site.run(COLD_TIME + seconds(2.0));
    assert_eq!(site.factor(endpoint), Some(1.0));
}
