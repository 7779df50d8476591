//! Tests of the measurement of an upstream's pace, of the window and of pace factors.

use crate::support::*;
use proptest::prelude::*;
use quetzalhill_core::relay::load::LoadMeter;
use quetzalhill_core::relay::pace::{EndpointPace, PaceMeter, ServiceTime};
use quetzalhill_core::relay::pace_factor::compare_paces;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::place::{choose_endpoint, rank, TriedList};
use quetzalhill_core::relay::service_time::{RequestModel, ServiceAverages};
use quetzalhill_core::relay::slow_start::StartWindow;
use quetzalhill_core::relay::view::ViewEndpoint;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use yare::parameterized;

const SLOTS: u32 = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn model(now: Instant) -> RequestModel {
    let mut model = RequestModel::default();
    model.set_slots(SLOTS, now);
    model
}

fn data(number: u16, acknowledged: u32) -> PacketHead {
    PacketHead {
        data_len: 100,
        acknowledged,
        ..established(number)
    }
}

fn measuring(slow_start: bool, now: Instant) -> LoadMeter {
    let mut pace = PaceMeter::new(slow_start, now);
    pace.set_slots(SLOTS, now);
    LoadMeter::with_pace(pace)
}

/// Guards against a busy upstream that looks slow because its requests wait for a slot.
#[test]
fn wait_in_the_queue_is_not_service_time() {
    let now = Instant::now();
    let mut model = model(now);
    for number in 0..5 {
        model.begin(flow(number), now);
    }
    assert_eq!(model.counts(), (4, 1));
    let first = model.end(flow(0), now + ms(40)).expect("it ran");
    assert_eq!((first.service, first.total), (ms(40), ms(40)));
    let last = model.end(flow(4), now + ms(70)).expect("it ran");
    assert_eq!((last.service, last.total), (ms(30), ms(70)));
    assert_eq!(last.ahead, 4);
}

/// Guards against refusals of a full queue that look like a very fast upstream.
#[test]
fn answer_to_a_waiting_request_is_not_measured() {
    let now = Instant::now();
    let mut model = model(now);
    for number in 0..5 {
        model.begin(flow(number), now);
    }
    assert_eq!(model.end(flow(4), now + ms(1)), None);
    assert_eq!(model.counts(), (4, 0));
}

/// Guards against requests that the upstream lost and that take up its slots in the model for ever.
#[test]
fn requests_without_answer_leave_the_model() {
    let now = Instant::now();
    let mut model = model(now);
    for number in 0..6 {
        model.begin(flow(number), now);
    }
    model.remove_overdue(now + ms(5_000));
    assert_eq!(model.counts(), (0, 0));
    model.begin(flow(7), now + ms(5_000));
    let times = model.end(flow(7), now + ms(5_030)).expect("it ran");
    assert_eq!(times.service, ms(30));
}

/// Guards against a retransmitted request that counts as a second one after the answer, and against a second request on a
/// flow that is not counted.
#[test]
fn copy_of_a_request_is_not_a_second_request() {
    let now = Instant::now();
    let mut meter = measuring(true, now);
    meter.record_sent(&packet(1, PacketKind::Accepting), now);
    for at in [0, 20] {
        meter.record_delivered(&data(1, 1), now + ms(at));
    }
    meter.record_sent(&data(1, 1), now + ms(30));
    meter.record_delivered(&data(1, 1), now + ms(31));
    // The window grows by one only after a round of four answers; a phantom answer would complete it.
    for number in 2..4 {
        meter.record_sent(&packet(number, PacketKind::Accepting), now);
        meter.record_delivered(&data(number, 1), now);
        meter.record_sent(&data(number, 1), now + ms(30));
    }
    meter.record_sent(&data(1, 1), now + ms(40));
    let window = |meter: &mut LoadMeter| meter.pace().and_then(|pace| pace.window());
    assert_eq!(window(&mut meter), Some(SLOTS));
    meter.record_delivered(&data(1, 2_001), now + ms(50));
    meter.record_sent(&data(1, 1), now + ms(80));
    assert_eq!(window(&mut meter), Some(SLOTS + 1));
}

/// Guards against flows that were reset or ended and keep a slot in the model, so that later requests seem to wait.
#[parameterized(
    reset_by_caller = { PacketKind::Reset, true },
    reset_by_upstream = { PacketKind::Reset, false },
    ended_by_upstream = { PacketKind::Ending, false },
)]
fn ended_flow_frees_its_slot(kind: PacketKind, by_caller: bool) {
    let now = Instant::now();
    let mut meter = measuring(false, now);
    for round in 0..10 {
        let at = now + ms(100 * u64::from(round));
        for number in 0..5 {
            let number = round * 5 + number;
            meter.record_sent(&packet(number, PacketKind::Accepting), at);
            meter.record_delivered(&data(number, 1), at);
        }
        for number in 0..4 {
            let ended = packet(round * 5 + number, kind);
            match by_caller {
                true => meter.record_delivered(&ended, at + ms(10)),
                false => {
                    meter.record_sent(&ended, at + ms(10));
                }
            }
        }
        meter.record_sent(&data(round * 5 + 4, 1), at + ms(40));
    }
    let pace = meter.pace().expect("measured").pace(now + ms(1_000));
    assert_eq!(pace.service_times.len(), 1);
    assert_eq!(pace.service_times[0].average, ms(30));
}

/// Guards against an average that a few outliers decide, and against one that follows a slowdown too late.
#[test]
fn average_follows_a_second_of_answers_and_not_the_outliers() {
    let now = Instant::now();
    let mut averages = ServiceAverages::default();
    let average = |averages: &ServiceAverages| averages.times(now)[0].average;
    for number in 0..400 {
        let time = if number % 33 == 20 { 350 } else { 50 };
        averages.record(service_address(), ms(time), now);
    }
    assert!(average(&averages) < ms(60), "{:?}", average(&averages));
    for _ in 0..40 {
        averages.record(service_address(), ms(100), now);
    }
    assert!(average(&averages) > ms(80), "{:?}", average(&averages));
}

/// Guards against an upstream that is avoided for ever because of answers long ago.
#[test]
fn average_without_answers_expires() {
    let now = Instant::now();
    let mut averages = ServiceAverages::default();
    for _ in 0..40 {
        averages.record(service_address(), ms(50), now);
    }
    assert_eq!(averages.times(now + ms(9_000)).len(), 1);
    assert_eq!(averages.times(now + ms(10_000)).len(), 0);
}

/// Guards against an average of another incarnation, and against one that a single answer decides.
#[test]
fn average_needs_some_answers_of_its_incarnation() {
    let now = Instant::now();
    let mut meter = measuring(false, now);
    let mut measured = Vec::new();
    for number in 0..20_u16 {
        if number == 10 {
            meter.pace().expect("measured").reset(now);
        }
        meter.record_sent(&packet(number, PacketKind::Accepting), now);
        meter.record_delivered(&data(number, 1), now);
        meter.record_sent(&data(number, 1), now + ms(30));
        let pace = meter.pace().expect("measured").pace(now + ms(30));
        measured.push(pace.service_times.len());
    }
    assert_eq!(measured[..7], [0; 7]);
    assert_eq!(measured[7..10], [1; 3]);
    assert_eq!(measured[10..17], [0; 7]);
    assert_eq!(measured[17..], [1; 3]);
}

/// Guards against a window that opens before the upstream has shown that it can answer, stays closed, or opens further
/// than two requests for each slot.
#[test]
fn window_grows_with_each_round_of_good_answers() {
    let now = Instant::now();
    let mut window = StartWindow::new(SLOTS, now);
    let mut limits = Vec::new();
    let mut filled = None;
    for _ in 0..40 {
        limits.push(window.limit());
        let reached = window.record(ms(50), Some(ms(50)), now + ms(700));
        assert!(reached.is_none() || filled.is_none());
        filled = filled.or(reached);
    }
    for (limit, answers) in [(4, 0..4), (5, 4..9), (6, 9..15), (7, 15..22), (8, 22..40)] {
        assert!(limits[answers].iter().all(|known| *known == limit));
    }
    let filled = filled.expect("it reached its ceiling");
    assert_eq!(
        (filled.window, filled.elapsed, filled.answers),
        (8, ms(700), 22)
    );
}

/// Guards against an upstream that is given more although it is late, and against a window that one late round closes
/// several times.
#[test]
fn window_halves_once_in_a_late_round_and_starts_again() {
    let now = Instant::now();
    let mut window = StartWindow::new(8, now);
    // Rounds of 8 to 15 answers.
    for _ in 0..92 {
        window.record(ms(50), Some(ms(50)), now);
    }
    assert_eq!(window.limit(), 16);
    window.set_slots(4);
    assert_eq!(window.limit(), 8);
    window.set_slots(2);
    window.set_slots(4);
    assert_eq!(window.limit(), 4);
    window.set_slots(8);
    for _ in 0..92 {
        window.record(ms(50), Some(ms(50)), now);
    }
    for _ in 0..15 {
        window.record(ms(130), Some(ms(50)), now);
        assert_eq!(window.limit(), 16);
    }
    window.record(ms(130), Some(ms(50)), now);
    assert_eq!(window.limit(), 8);
    for _ in 0..8 {
        window.record(ms(50), Some(ms(50)), now);
    }
    assert_eq!(window.limit(), 9);
    assert!(window.restart(now));
    assert_eq!(window.limit(), 8);
    assert!(!window.restart(now));
}

/// Guards against a round that a single outlier makes late.
#[test]
fn one_outlier_does_not_close_the_window() {
    let now = Instant::now();
    let mut window = StartWindow::new(SLOTS, now);
    window.record(ms(700), Some(ms(50)), now);
    for _ in 0..3 {
        window.record(ms(50), Some(ms(50)), now);
    }
    assert_eq!(window.limit(), SLOTS + 1);
}

fn pace(times: &[(u16, u64)]) -> EndpointPace {
    let mut pace = EndpointPace::default();
    for (port, millis) in times {
        pace.service_times.push(ServiceTime {
            address: SocketAddrV4::new(*service_address().ip(), *port),
            average: ms(*millis),
        });
    }
    pace
}

fn factors(paces: &[EndpointPace]) -> Vec<Option<f64>> {
    let paces: Vec<_> = paces.iter().map(Some).collect();
    compare_paces(&paces)
}

/// Guards against factors of endpoints that differ by chance, and against ones that leave an endpoint without flows.
#[parameterized(
    like = { 130, Some(1.0) },
    slow = { 200, Some(2.0) },
    very_slow = { 9_000, Some(8.0) },
    a_little_fast = { 76, Some(1.0) },
    fast = { 50, Some(0.5) },
    very_fast = { 1, Some(0.25) },
)]
fn factor_is_the_time_over_the_median(millis: u64, expected: Option<f64>) {
    let mut paces = vec![pace(&[(1, 100)]); 4];
    paces.push(pace(&[(1, millis)]));
    assert_eq!(factors(&paces)[4], expected);
    assert_eq!(factors(&paces)[0], Some(1.0));
}

/// Guards against an endpoint that looks slow because it gets another kind of requests, and against a comparison of two
/// endpoints.
#[test]
fn times_are_compared_by_address() {
    let mut paces = vec![pace(&[(1, 100)]); 3];
    paces.extend(vec![pace(&[(2, 5)]); 3]);
    paces.push(pace(&[(3, 900)]));
    paces.push(pace(&[(3, 100)]));
    paces.push(EndpointPace::default());
    let mut expected = vec![Some(1.0); 6];
    expected.extend([None; 3]);
    assert_eq!(factors(&paces), expected);
    assert_eq!(compare_paces(&[None, None]), [None, None]);
}

/// Guards against a cold endpoint whose measured pace counts twice, and against one without measurement that is flooded.
#[parameterized(
    measured = { true, 1 },
    not_measured = { false, 2 },
)]
fn measured_pace_takes_the_place_of_the_cold_factor(known: bool, expected: u8) {
    let now = Instant::now();
    let mut service = service([1, 2]);
    service.endpoints[0].cold_until = Some(now + ms(1_000));
    service.endpoints[0].pace_known = known;
    service.endpoints[1].flows = 5;
    for number in 0..50 {
        let tried = TriedList::new();
        let index = choose_endpoint(&service, flow(number), &tried, |_| 0, |_| false, now);
        let chosen = index.map(|index| service.endpoints[index].id);
        assert_eq!(chosen, Some(id(expected)));
    }
}

/// The load of an endpoint by the formula before factors, whose choices must not change while all factors are 1.
fn former_load(endpoint: &ViewEndpoint, pending: u32, now: Instant) -> f64 {
    let flows = f64::from(endpoint.flows.saturating_add(pending));
    let mut requests = 1.0 + f64::from(endpoint.busy) + flows / 10.0;
    let free = endpoint.slots.saturating_sub(endpoint.busy);
    requests += f64::from(pending.saturating_sub(free)) * 4.0;
    let mut load = requests / f64::from(endpoint.slots.max(1));
    if endpoint.cold_until.is_some_and(|until| now < until) {
        load *= 2.0;
    }
    match endpoint.same_zone {
        true => load,
        false => load + 0.75,
    }
}

#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    Begin(u16),
    End(u16),
    Slots(u32),
    Wait(u64),
}

fn model_events() -> impl Strategy<Value = Vec<ModelEvent>> {
    let event = prop_oneof![
        4 => (0..20_u16).prop_map(ModelEvent::Begin),
        4 => (0..20_u16).prop_map(ModelEvent::End),
        1 => (0..6_u32).prop_map(ModelEvent::Slots),
        2 => (0..3_000_u64).prop_map(ModelEvent::Wait),
    ];
    proptest::collection::vec(event, 0..200)
}

proptest! {
    /// Guards against factors that change the placement of a service whose endpoints are alike.
    #[test]
    fn placement_without_factors_is_as_before(
        loads in proptest::collection::vec((0..12_u32, 0..80_u32, 0..9_u32, 0..7_u32, any::<bool>(), any::<bool>()), 1..9),
        number in any::<u16>(),
    ) {
        let now = Instant::now();
        let mut service = service(1..=u8::try_from(loads.len()).expect("fits"));
        for (endpoint, load) in service.endpoints.iter_mut().zip(&loads) {
            (endpoint.busy, endpoint.flows, endpoint.slots) = (load.0, load.1, load.2);
            endpoint.same_zone = load.4;
            endpoint.cold_until = load.5.then_some(now + ms(1_000));
        }
        let pending = |id| {
            let index = service.endpoints.iter().position(|known| known.id == id);
            loads[index.expect("known")].3
        };
        let tried = TriedList::new();
        let chosen = choose_endpoint(&service, flow(number), &tried, pending, |_| false, now);
        let mut best: Option<(f64, usize)> = None;
        for index in rank(&service, flow(number)).into_iter().take(5) {
            let load = former_load(&service.endpoints[index], loads[index].3, now);
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, index));
            }
        }
        prop_assert_eq!(chosen, best.map(|(_, index)| index));
    }

    /// Guards against a model that counts a request twice, runs more than the upstream has slots, leaves slots idle while
    /// requests wait, or keeps a request for ever.
    #[test]
    fn model_counts_each_request_once_and_for_a_bounded_time(events in model_events()) {
        let mut now = Instant::now();
        let mut model = model(now);
        let mut open = std::collections::HashSet::new();
        for event in events {
            match event {
                ModelEvent::Begin(number) => {
                    model.begin(flow(number), now);
                    open.insert(number);
                }
                ModelEvent::End(number) => {
                    let times = model.end(flow(number), now);
                    let is_open = open.remove(&number);
                    prop_assert!(is_open || times.is_none());
                    if let Some(times) = times {
                        prop_assert!(times.service <= times.total);
                        prop_assert!(times.service < ms(5_000));
                    }
                }
                ModelEvent::Slots(slots) => model.set_slots(slots, now),
                ModelEvent::Wait(millis) => now += ms(millis),
            }
            let (running, waiting) = model.counts();
            prop_assert!(running + waiting <= open.len());
            let slots = usize::try_from(model.slots()).expect("fits");
            prop_assert!(waiting == 0 || running >= slots);
        }
        model.remove_overdue(now + ms(5_000));
        model.remove_overdue(now + ms(10_000));
        prop_assert_eq!(model.counts(), (0, 0));
    }

    /// Guards against a window that leaves its bounds of one and two requests for each slot.
    #[test]
    fn window_stays_within_its_bounds(
        slots in 1..20_u32,
        answers in proptest::collection::vec((0..400_u64, proptest::option::of(0..100_u64), 0..100_u32), 0..400),
    ) {
        let now = Instant::now();
        let mut window = StartWindow::new(slots, now);
        let mut slots = slots;
        for (taken, expected, chance) in answers {
            let before = window.limit();
            match chance {
                0 => {
                    window.restart(now);
                }
                1..=5 => {
                    slots = chance;
                    window.set_slots(slots);
                }
                _ => {
                    window.record(ms(taken), expected.map(ms), now);
                    prop_assert!(window.limit() <= before + 1);
                    prop_assert!(window.limit() >= before / 2);
                }
            }
            prop_assert!((slots..=2 * slots).contains(&window.limit()));
        }
    }
}
