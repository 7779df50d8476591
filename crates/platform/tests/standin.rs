//! Round trips between the product's codec and the stand-ins' codec.

use quetzalhill_core::relay::packet::{FlowAddresses, PacketKind};
use quetzalhill_core::relay::routes::{RouteSet, RouteTarget};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_platform::announcement;
use quetzalhill_platform::manifest;
use quetzalhill_platform::packet::{self, PacketSender, UpstreamPacket};
use quetzalhill_platform::server::{self, ServerCall};
use quetzalhill_platform::standin::call::{self, OutgoingAnnouncement};
use quetzalhill_platform::standin::packet as end_codec;
use quetzalhill_platform::standin::store::{self, StoreCall};
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::{
    KeyRange, KeyValue, PutOp, StoreError, Transaction, TransactionOutcome, WatchBatch, WatchEvent,
};
use quetzalhill_store::codec::{CallMethod, HttpAnswer, HttpCall, ReadFreshness, StoreCodec};
use std::time::{Duration, Instant};

fn decode_store_call(call: &HttpCall) -> StoreCall {
    let method = match call.method {
        CallMethod::Get => "GET",
        CallMethod::Post => "POST",
        CallMethod::Delete => "DELETE",
    };
    let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
    let body = call.body.clone().unwrap_or_default();
    store::decode(method, path, query, &body).expect("a call of the store")
}

fn answer(answer: &store::StoreAnswer) -> HttpAnswer<'_> {
    HttpAnswer {
        era: 0,
        status: answer.status,
        body: answer.body.as_bytes(),
    }
}

fn entry(key: &str) -> KeyValue {
    KeyValue {
        key: key.into(),
        value: vec![0, 255, 7],
        create_revision: 3,
        mod_revision: 9,
    }
}

/// Guards against a stand-in store that decodes requests otherwise than the client encodes them, so that tests pass but
/// the real store fails.
#[test]
fn reads_and_watches_round_trip() {
    let codec = PlatformCodec;
    let range = KeyRange::Prefix("a b/ü".into());
    let call = codec.encode_range(&range, ReadFreshness::Current, Some("a b/ü&1"));
    let StoreCall::Range(seen, after) = decode_store_call(&call) else {
        panic!("{call:?}");
    };
    assert_eq!((seen, after.as_deref()), (range.clone(), Some("a b/ü&1")));
    let page = store::range(&range, &[entry("a b/ü1")], 12);
    let page = codec.decode_range(&range, answer(&page)).expect("a page");
    assert_eq!((page.revision, page.more), (12, false));
    assert_eq!(page.entries, [entry("a b/ü1")]);

    let wait = Duration::from_millis(2_500);
    let StoreCall::Watch {
        prefix,
        after,
        wait: seen,
    } = decode_store_call(&codec.encode_watch(&range, 12, wait))
    else {
        panic!("not a watch");
    };
    assert_eq!((prefix.as_str(), after, seen), ("a b/ü", 12, wait));
    let events = [
        WatchEvent::Put(entry("a b/ü1")),
        WatchEvent::Delete {
            key: "a b/ü2".into(),
            revision: 13,
        },
    ];
    let batch = store::watch(&events, 13);
    let batch = codec.decode_watch(&range, 12, answer(&batch));
    let expected = WatchBatch::Events {
        era: 0,
        revision: 13,
        events: events.to_vec(),
    };
    assert_eq!(batch, Ok(expected));
    let lost = store::compacted();
    let lost = codec.decode_watch(&range, 12, answer(&lost));
    assert_eq!(lost, Ok(WatchBatch::Compacted { revision: 12 }));
}

/// Guards against losing the lease of a write, and against reporting a write that the store did not execute as
/// possibly executed.
#[test]
fn writes_and_leases_round_trip() {
    let codec = PlatformCodec;
    let transaction = Transaction {
        puts: vec![PutOp {
            key: "k".into(),
            value: vec![1, 0, 200],
            lease: Some(41),
        }],
        ..Transaction::default()
    };
    let call = codec.encode_commit(&transaction).expect("a call");
    let StoreCall::Commit(seen) = decode_store_call(&call) else {
        panic!("{call:?}");
    };
    assert_eq!(seen, transaction);
    let done = codec.decode_commit(answer(&store::committed(8)));
    assert_eq!(
        done,
        Ok(TransactionOutcome::Committed {
            era: 0,
            revision: 8
        })
    );
    let refused = codec.decode_commit(answer(&store::unavailable()));
    assert!(matches!(refused, Err(StoreError::NotApplied { .. })));

    let ttl = Duration::from_secs(6);
    assert!(
        matches!(decode_store_call(&codec.encode_grant(ttl)), StoreCall::Grant(seen) if seen == ttl)
    );
    assert!(matches!(
        decode_store_call(&codec.encode_renewal(41)),
        StoreCall::Renew(41)
    ));
    assert!(matches!(
        decode_store_call(&codec.encode_revocation(41)),
        StoreCall::Revoke(41)
    ));
    let grant = codec.decode_grant(None, answer(&store::lease_granted(41, ttl)));
    assert_eq!(grant.map(|grant| (grant.id, grant.ttl)), Ok((41, ttl)));
    let ended = codec.decode_grant(Some(41), answer(&store::lease_not_found()));
    assert_eq!(ended, Err(StoreError::LeaseNotFound { id: 41 }));
}

fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(17, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(*byte))
    })
}

/// Guards against stand-ins that decode a packet otherwise than the relay, and against accepting a packet whose data
/// was modified on the way.
#[test]
fn packets_round_trip() {
    let flow = FlowAddresses {
        caller: "100.64.0.7:40001".parse().expect("address"),
        service: "198.18.0.1:443".parse().expect("address"),
    };
    let data = end_codec::request_head("r-1");
    let outgoing = end_codec::OutgoingPacket {
        sender: PacketSender::Caller,
        flow,
        kind: PacketKind::Established,
        sequence: 7,
        acknowledged: 9,
        data: &data,
    };
    let mut bytes = end_codec::encode(&outgoing, checksum);
    let head = packet::decode(&bytes, PacketSender::Caller).expect("a packet");
    assert_eq!((head.flow, head.kind), (flow, PacketKind::Established));
    assert_eq!((head.acknowledged, head.data_len), (9, data.len()));
    // The checksum does not cover the mark of the relay and the flag of a returned packet.
    packet::set_mark(&mut bytes, 5);
    end_codec::set_returned(&mut bytes);
    let returned = packet::decode_upstream(&bytes).expect("a packet");
    assert!(matches!(returned, UpstreamPacket::Returned { mark: 5, .. }));
    let received = end_codec::decode(&bytes, PacketSender::Caller, checksum).expect("a packet");
    assert!(received.intact && !received.from_relay);
    assert_eq!((received.sequence, received.request_id), (7, Some("r-1")));
    *bytes.last_mut().expect("data") ^= 1;
    let received = end_codec::decode(&bytes, PacketSender::Caller, checksum).expect("a packet");
    assert!(!received.intact);
    let reset = packet::encode_reset(&head);
    let received = end_codec::decode(&reset, PacketSender::Upstream, checksum).expect("a packet");
    assert!(received.from_relay);
    assert_eq!((received.head.flow, received.sequence), (flow, 9));
}

/// Guards against stand-ins that encode announcements, other requests or manifests otherwise than the product decodes
/// them.
#[test]
fn announcements_and_manifests_round_trip() {
    let announcement = OutgoingAnnouncement {
        name: "i-7".into(),
        incarnation: 1_783_371_811_029,
        sequence: 4,
        service: "feed".into(),
        address: "10.1.0.9:8080".parse().expect("address"),
        zone: "a".into(),
        slots: 3,
        draining: true,
    };
    let call = call::announce(&announcement);
    let ServerCall::Announce(name) = server::decode("POST", &call.path) else {
        panic!("{call:?}");
    };
    let body = call.body.expect("a body");
    let decoded = announcement::decode(name, &body, Instant::now()).expect("an announcement");
    assert_eq!((decoded.name.as_str(), decoded.sequence), ("i-7", 4));
    assert_eq!(decoded.incarnation, announcement.incarnation);
    assert_eq!((decoded.slots, decoded.draining), (3, true));
    let deregistration = call::deregister(&announcement.name, announcement.incarnation);
    let body = deregistration.body.as_deref().expect("a body");
    assert_eq!(
        announcement::decode_deregistration(body),
        announcement.incarnation
    );
    assert_eq!(
        server::decode("POST", &deregistration.path),
        ServerCall::Deregister("i-7".into())
    );
    assert_eq!(
        server::decode("GET", &call::ready().path),
        ServerCall::Ready
    );

    let address = "198.18.0.1:443".parse().expect("address");
    let targets = [("feed", 3), ("batch", 1)].map(|(service, weight)| RouteTarget {
        service: service.into(),
        weight,
    });
    let terms = FlowTerms {
        priority: 2,
        target: Duration::from_millis(250),
        timeout: Duration::from_millis(1_500),
    };
    let routes = RouteSet {
        revision: 6,
        by_address: [(address, targets.into_iter().collect())].into(),
        terms: [(address, terms)].into(),
        idle_timeout: Duration::from_secs(15),
        ..RouteSet::default()
    };
    let read = manifest::decode(&call::manifest(&routes)).expect("a manifest");
    assert_eq!(read.revision, 6);
    assert_eq!(read.by_address, routes.by_address);
    assert_eq!(read.terms, routes.terms);
    assert_eq!(read.idle_timeout, routes.idle_timeout);
}
