//! Generates scenarios with two random faults at once from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A fault with the step that injects it and the step that ends it.
struct PairFault {
    /// Node or component that the fault affects; the two faults of a pair have different targets.
    target: &'static str,
    begin: &'static str,
    /// Empty if the fault ends by itself.
    end: &'static str,
}

const fn fault(target: &'static str, begin: &'static str, end: &'static str) -> PairFault {
    PairFault { target, begin, end }
}

const FAULTS: &[PairFault] = &[
    fault("entry:0", "kill entry:0", "restart entry:0 --no-wait"),
    fault("entry:0", "replace entry:0", ""),
    fault("entry:1", "pause entry:1", "resume entry:1"),
    fault("entry:1", "stop entry:1", "restart entry:1 --no-wait"),
    fault(
        "agent:feed:0",
        "kill agent:feed:0",
        "restart agent:feed:0 --no-wait",
    ),
    fault(
        "agent:feed:0",
        "drain agent:feed:0",
        "restart agent:feed:0 --no-wait",
    ),
    fault("agent:feed:1", "pause agent:feed:1", "resume agent:feed:1"),
    fault("agent:feed:1", "replace agent:feed:1", ""),
    fault(
        "feed:2",
        "upstream feed:2 failing",
        "upstream feed:2 healthy",
    ),
    fault(
        "feed:2",
        "upstream feed:2 hanging",
        "upstream feed:2 healthy",
    ),
    fault(
        "feed:2",
        "upstream feed:2 truncating",
        "upstream feed:2 healthy",
    ),
    fault(
        "fabric",
        "fabric --loss 3% --duplicate 5% --jitter 5ms",
        "fabric --loss 0 --duplicate 0 --jitter 0ms",
    ),
    fault("store", "store down", "store up"),
    fault("store", "store silent", "store up"),
    fault(
        "catalogue",
        "set-limit feed queue=100",
        "set-limit feed queue=200",
    ),
    fault("input", "garbage --count 20", "replay --count 100"),
];

/// Returns the text of the scenario for a seed: two faults under load, then a load of which 99 % must succeed.
pub fn pair_text(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let first = &FAULTS[rng.random_range(0..FAULTS.len())];
    let second = loop {
        let drawn = &FAULTS[rng.random_range(0..FAULTS.len())];
        if drawn.target != first.target {
            break drawn;
        }
    };
    let lines = [
        "# Guards: two faults at once cause no wrong answer, no second run and no false \"not run\".",
        &format!("seed {seed}"),
        "zones a b",
        "entries 3",
        "service feed --endpoints 3",
        "start",
        "load during --service feed --rate 40 --for 3s --keyed --timeout 3s",
        first.begin,
        second.begin,
        "wait 1s",
        first.end,
        second.end,
        "finish",
        "wait 2s",
        "load after --service feed --rate 40 --for 1s",
        "finish",
        "expect wrong == 0",
        "expect duplicates == 0",
        "expect false-not-run == 0",
        "expect ok-share >= 99% --of after",
    ];
    lines.join("\n") + "\n"
}
