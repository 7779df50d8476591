//! Encoding of relay datagrams and of the endpoint records in the store.

use proptest::option;
use proptest::prelude::*;
use quetzalhill_core::ids::{id_of, service_digest};
use quetzalhill_core::relay::digest::FlowDigest;
use quetzalhill_core::relay::fleet::{
    DueKeepalive, EndpointReport, ListChange, ListEffect, ListedEndpoint,
};
use quetzalhill_core::relay::intake::{ReturnReason, UpstreamState};
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_core::relay::subscribe::{DueReport, ReportRate};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_wire::relay::{
    decode_datagram, decode_endpoint, decode_record, encode_endpoint, endpoint_of_key, record_key,
    ClaimNotice, KeepaliveNotice, ListNotice, RelayDatagram, RelayError, RelayHeader, RelayNotice,
    ReportNotice, LIST_CHANGES_MAX, RELAY_HEADER_MAX,
};
use std::sync::Arc;
use std::time::{Duration, Instant};
use yare::parameterized;

fn endpoint() -> ListedEndpoint {
    ListedEndpoint {
        id: id_of("10.1.0.12:8172".parse().expect("address")),
        service: "feed".into(),
        zone: "bc-coast-a".into(),
        incarnation: 1_783_371_811_029,
        slots: 4,
    }
}

fn header() -> impl Strategy<Value = RelayHeader> {
    let reason = prop_oneof![
        Just(ReturnReason::NotHeld),
        Just(ReturnReason::NotReady),
        Just(ReturnReason::WrongService),
        Just(ReturnReason::Failing),
        any::<u32>().prop_map(|requests| ReturnReason::Busy { requests }),
        any::<u32>().prop_map(|wait_ms| ReturnReason::Cold { wait_ms }),
    ];
    // Times are multiples of their units on the wire, 8 ms and 64 ms.
    let terms =
        (0_u8..7, 0_u64..=1_023, 0_u64..=1_023).prop_map(|(priority, target, timeout)| FlowTerms {
            priority,
            target: Duration::from_millis(target * 8),
            timeout: Duration::from_millis(timeout * 64),
        });
    prop_oneof![
        (
            any::<u64>(),
            any::<bool>(),
            option::of(terms),
            option::of(1_u8..),
        )
            .prop_map(
                |(service, forced, terms, cold_limit)| RelayHeader::Deliver {
                    service,
                    forced,
                    terms,
                    cold_limit,
                }
            ),
        (any::<u64>(), reason).prop_map(|(incarnation, reason)| RelayHeader::Return {
            incarnation,
            reason
        }),
    ]
}

proptest! {
    /// Guards against an encoding that loses or changes a field of the header or the packet.
    #[test]
    fn packet_round_trip(header in header(), packet in proptest::collection::vec(any::<u8>(), 0..1300)) {
        let mut buffer = vec![0; RELAY_HEADER_MAX];
        buffer.extend_from_slice(&packet);
        let start = header.prepend_to(&mut buffer).expect("fits");
        let mut expected = packet;
        prop_assert_eq!(
            decode_datagram(&mut buffer[start..]),
            Ok(RelayDatagram::Flow(header, &mut expected))
        );
    }

    /// Guards against a panic on arbitrary datagrams, including those with a valid version and kind.
    #[test]
    fn any_datagram_is_decoded_or_refused(kind in 0_u8..6, mut body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_datagram(&mut body.clone());
        body.splice(0..0, [1, kind]);
        let _ = decode_datagram(&mut body);
        let _ = decode_endpoint(&body);
    }
}

/// Guards against a report with a field that is lost or changed between agent and entry.
#[test]
fn report_round_trip() {
    let now = Instant::now();
    let report = full_report(now);
    let due = due_report(now);
    let notice = RelayNotice::Report(ReportNotice::new(&report, &due, now));
    let mut datagram = notice.encode().expect("encodes");
    let Ok(RelayDatagram::Notice(RelayNotice::Report(received))) = decode_datagram(&mut datagram)
    else {
        panic!("not a report");
    };
    assert_eq!(received.into_report(report.endpoint.id, now, now), report);
}

/// Returns a report in which no field has its default value.
fn full_report(now: Instant) -> EndpointReport {
    EndpointReport {
        endpoint: endpoint(),
        order: (7, 9),
        state: UpstreamState::Draining,
        stopping: true,
        load: LoadCounts { flows: 30, busy: 2 },
        addresses: ["198.18.0.1:443".parse().expect("address")]
            .into_iter()
            .collect(),
        coverage: FlowCoverage::Complete,
        cold_until: Some(now + Duration::from_millis(500)),
        digest: Some(Arc::new(FlowDigest::new(vec![9, 65_535, 256]))),
        keepalive_sent: Some(now + Duration::from_millis(70_000)),
        pace: None,
        expires: now + Duration::from_millis(5_000),
    }
}

fn due_report(now: Instant) -> DueReport {
    DueReport {
        entry: 1,
        clock_ms: 70_000,
        rate: ReportRate::Sparse,
        expires: now + Duration::from_millis(5_000),
    }
}

/// Guards against an agent or entry of an earlier version, which has a truth value in place of the coverage, that takes a
/// part of the addresses for all of them.
#[yare::parameterized(
    partial = { FlowCoverage::Partial, 0 },
    complete = { FlowCoverage::Complete, 1 },
    truncated = { FlowCoverage::Truncated, 2 },
)]
fn coverage_extends_the_former_truth_value(coverage: FlowCoverage, byte: u8) {
    let now = Instant::now();
    let mut notice = ReportNotice::new(&full_report(now), &due_report(now), now);
    let mut complete = RelayNotice::Report(notice.clone())
        .encode()
        .expect("encodes");
    notice = ReportNotice::new(
        &EndpointReport {
            coverage,
            ..full_report(now)
        },
        &due_report(now),
        now,
    );
    let mut datagram = RelayNotice::Report(notice).encode().expect("encodes");
    let changed: Vec<usize> = (0..datagram.len())
        .filter(|index| datagram[*index] != complete[*index])
        .collect();
    match coverage {
        FlowCoverage::Complete => assert!(changed.is_empty()),
        _ => assert_eq!(changed.len(), 1),
    }
    for index in changed {
        assert_eq!((complete[index], datagram[index]), (1, byte));
    }
    for (datagram, sent) in [
        (&mut datagram, coverage),
        (&mut complete, FlowCoverage::Complete),
    ] {
        let Ok(RelayDatagram::Notice(RelayNotice::Report(received))) = decode_datagram(datagram)
        else {
            panic!("not a report");
        };
        let received = received.into_report(endpoint().id, now, now);
        assert_eq!(received.coverage, sent);
    }
}

/// Guards against a record of another version, or one that is cut off, that is decoded as an endpoint.
#[test]
fn truncated_record_or_one_of_another_version_is_refused() {
    let mut value = encode_endpoint(&endpoint()).expect("encodes");
    assert_eq!(decode_endpoint(&value), Ok(endpoint()));
    value.truncate(value.len() - 1);
    assert_eq!(decode_endpoint(&value), Err(RelayError::Body));
    value[0] = 9;
    assert_eq!(decode_endpoint(&value), Err(RelayError::Foreign));
    assert_eq!(decode_endpoint(b""), Err(RelayError::Foreign));
    assert_ne!(service_digest("feed"), service_digest("batch"));
}

/// Guards against a record of another writer that adds an endpoint which does not exist, or replaces the record of an
/// agent at another address.
#[parameterized(
    own_key = { endpoint().id, "p/10.1.0.12:8172", true },
    key_of_another_agent = { endpoint().id, "p/10.1.0.13:8172", false },
    key_without_address = { endpoint().id, "p/odd", false },
    key_empty = { endpoint().id, "", false },
    port_zero = { id_of("10.1.0.12:0".parse().expect("address")), "p/10.1.0.12:0", false },
    address_unspecified = { id_of("0.0.0.0:8172".parse().expect("address")), "p/0.0.0.0:8172", false },
    id_beyond_an_address = { endpoint().id | 1 << 60, "p/10.1.0.12:8172", false },
)]
fn record_names_the_address_of_its_key(id: u64, key: &str, accepted: bool) {
    let listed = ListedEndpoint { id, ..endpoint() };
    let value = encode_endpoint(&listed).expect("encodes");
    let decoded = decode_record("p/", key, &value);
    match accepted {
        true => assert_eq!(decoded, Ok(listed)),
        false => assert_eq!(decoded, Err(RelayError::Address)),
    }
    assert_eq!(record_key("p/", endpoint().id), "p/10.1.0.12:8172");
}

/// Guards against changes of the list that are lost, changed or reordered between two entries, and against a notice
/// that does not fit into a datagram.
#[test]
fn list_changes_round_trip() {
    let mut changes = Vec::new();
    for revision in 0..LIST_CHANGES_MAX as i64 {
        let effect = match revision % 3 {
            0 => ListEffect::Removed(endpoint().id),
            _ => ListEffect::Written(endpoint()),
        };
        changes.push(ListChange {
            era: 0,
            revision,
            effect,
        });
    }
    let notice = RelayNotice::ListChange(ListNotice::new(&changes));
    let mut datagram = notice.encode().expect("encodes");
    assert!(datagram.len() < 1_200, "{} bytes", datagram.len());
    let Ok(RelayDatagram::Notice(RelayNotice::ListChange(received))) =
        decode_datagram(&mut datagram)
    else {
        panic!("not a list of changes");
    };
    assert_eq!(received.into_changes(0), changes);
    // With the era of the store, which may be any number.
    for change in &mut changes {
        change.era = u64::MAX;
    }
    let notice = RelayNotice::EraListChange(u64::MAX, ListNotice::new(&changes));
    let mut datagram = notice.encode().expect("encodes");
    assert!(datagram.len() < 1_200, "{} bytes", datagram.len());
    let Ok(RelayDatagram::Notice(RelayNotice::EraListChange(era, received))) =
        decode_datagram(&mut datagram)
    else {
        panic!("not a list of changes with an era");
    };
    assert_eq!((era, received.into_changes(era)), (u64::MAX, changes));
    assert_eq!(
        endpoint_of_key("p/", "p/10.1.0.12:8172"),
        Some(endpoint().id)
    );
    assert_eq!(endpoint_of_key("p/", "p/odd"), None);
    assert_eq!(endpoint_of_key("p/", "q/10.1.0.12:8172"), None);
}

/// Guards against a keepalive whose rate or lifetime is lost between entry and agent.
#[test]
fn keepalive_round_trip() {
    let now = Instant::now();
    for (rate, urgent) in [(ReportRate::Sparse, true), (ReportRate::Frequent, false)] {
        let keepalive = DueKeepalive {
            id: 1,
            rate,
            expires: now + Duration::from_secs(12),
            urgent,
        };
        let notice = KeepaliveNotice::new(&keepalive, now - Duration::from_secs(3), now);
        let mut datagram = RelayNotice::Keepalive(notice).encode().expect("encodes");
        let Ok(RelayDatagram::Notice(RelayNotice::Keepalive(received))) =
            decode_datagram(&mut datagram)
        else {
            panic!("not a keepalive");
        };
        let received = received.to_keepalive(now);
        assert_eq!((received.rate, received.urgent), (rate, urgent));
        assert_eq!(
            (received.clock_ms, received.expires),
            (3_000, keepalive.expires)
        );
    }
}

/// Guards against a state of the list that is changed between two entries or grows beyond a small datagram, and against a
/// variant before the others, which would change their encoding.
#[test]
fn list_state_round_trip() {
    for (revision, fingerprint) in [(0, 0), (i64::MAX, u64::MAX)] {
        let notice = RelayNotice::ListState {
            revision,
            fingerprint,
        };
        let mut datagram = notice.encode().expect("encodes");
        assert!(datagram.len() <= 24, "{} bytes", datagram.len());
        assert_eq!(datagram[2], 5);
        let decoded = decode_datagram(&mut datagram);
        assert_eq!(decoded, Ok(RelayDatagram::Notice(notice)));
    }
}

/// Guards against evacuations that are changed between two entries, and against another encoding of the variants before
/// it.
#[test]
fn operator_state_round_trip() {
    for (routes, evacuations) in [(0, 0), (7, u64::MAX), (u64::MAX, 1)] {
        let notice = RelayNotice::OperatorState {
            routes,
            evacuations,
        };
        let mut datagram = notice.encode().expect("encodes");
        assert!(datagram.len() <= 24, "{} bytes", datagram.len());
        assert_eq!(datagram[2], 8);
        let decoded = decode_datagram(&mut datagram);
        assert_eq!(decoded, Ok(RelayDatagram::Notice(notice)));
    }
}

/// Guards against a revision of the routes that is changed between two entries, and against another encoding of the
/// variants before it.
#[test]
fn routes_state_round_trip() {
    for revision in [0, u64::MAX] {
        let notice = RelayNotice::RoutesState(revision);
        let mut datagram = notice.encode().expect("encodes");
        assert!(datagram.len() <= 14, "{} bytes", datagram.len());
        assert_eq!(datagram[2], 6);
        let decoded = decode_datagram(&mut datagram);
        assert_eq!(decoded, Ok(RelayDatagram::Notice(notice)));
    }
}

/// Guards against a claim of another flow than the one that the upstream holds.
#[test]
fn claim_round_trip() {
    let flow = FlowAddresses {
        caller: "100.64.0.7:40001".parse().expect("address"),
        service: "198.18.0.1:443".parse().expect("address"),
    };
    let notice = RelayNotice::FlowClaim(ClaimNotice::new(flow, 1_783_371_811_029));
    let mut datagram = notice.encode().expect("encodes");
    let Ok(RelayDatagram::Notice(RelayNotice::FlowClaim(claim))) = decode_datagram(&mut datagram)
    else {
        panic!("not a claim");
    };
    assert_eq!((claim.flow(), claim.incarnation), (flow, 1_783_371_811_029));
}

/// Guards against a barrier whose time is cut off after some days.
#[test]
fn barrier_round_trip() {
    for sent_us in [0, u64::MAX] {
        let notice = RelayNotice::ReadBarrier(sent_us);
        let mut datagram = notice.encode().expect("encodes");
        let decoded = decode_datagram(&mut datagram);
        assert_eq!(decoded, Ok(RelayDatagram::Notice(notice)));
    }
}
