//! Handover messages in frames, with valid, modified, repeated and random input.

use bytes::Bytes;
use proptest::prelude::*;
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_wire::frame::{FrameCodec, FrameError, FrameSide, FRAME_MAX};
use quetzalhill_wire::handover::{
    AnswerOutcome, HandoverReply, HandoverRequest, HandoverTarget, RequestBody, RequestHead,
    RequestOffer,
};
use quetzalhill_wire::key::ControlKey;

/// Returns the codec with which the client encodes frames and the one with which the server decodes them; `client`
/// and `server` fill the nonces.
fn codec_pair(client: u8, server: u8) -> (FrameCodec, FrameCodec) {
    let codec = || {
        let key = ControlKey::new(1, &[1; 32]);
        FrameCodec::new(key, [client; 16], [server; 16], FrameSide::Client)
    };
    (codec(), codec())
}

fn decode(decoder: &mut FrameCodec, frame: &[u8]) -> Result<HandoverRequest, FrameError> {
    let decoded = decoder.decode(frame)?;
    let (message, end) = decoded.expect("a whole frame");
    assert_eq!(end, frame.len());
    Ok(message)
}

fn bytes() -> impl Strategy<Value = Bytes> {
    proptest::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from)
}

fn head() -> impl Strategy<Value = RequestHead> {
    let fields = proptest::collection::vec(("[a-z-]{1,12}", bytes()), 0..4);
    ("[A-Z]{3,7}", "/[a-z/]{0,20}", any::<Option<bool>>(), fields).prop_map(
        |(method, path, authority, fields)| RequestHead {
            method,
            path,
            authority: authority.map(|_| "localhost".into()),
            fields,
        },
    )
}

fn request() -> impl Strategy<Value = HandoverRequest> {
    let offer = (head(), any::<u128>(), any::<[u64; 6]>(), bytes()).prop_map(
        |(head, id, numbers, body)| {
            HandoverRequest::Offer(Box::new(RequestOffer {
                target: HandoverTarget {
                    from: numbers[0],
                    to: numbers[1],
                    incarnation: numbers[2],
                    service: 7,
                },
                id,
                class: TrafficClass::Bulk,
                owner: "owner".into(),
                work_key: numbers[3],
                age_us: numbers[4],
                remaining_us: numbers[5],
                head,
                body: RequestBody::Whole(body),
            }))
        },
    );
    prop_oneof![
        offer,
        bytes().prop_map(HandoverRequest::Body),
        Just(HandoverRequest::BodyEnd),
        Just(HandoverRequest::Cancel),
    ]
}

proptest! {
    /// Guards against an encoding that loses or changes a field, and against a decoder that accepts an incomplete
    /// frame.
    #[test]
    fn messages_round_trip(messages in proptest::collection::vec(request(), 1..6)) {
        let (mut encoder, mut decoder) = codec_pair(1, 2);
        for message in messages {
            let frame = encoder.encode(&message).expect("fits");
            for end in [0, 3, frame.len() - 1] {
                let part = decoder.decode::<HandoverRequest>(&frame[..end]);
                prop_assert!(matches!(part, Ok(None)));
            }
            prop_assert_eq!(decode(&mut decoder, &frame).expect("valid"), message);
        }
    }

    /// Guards against accepting a frame that was modified in transit.
    #[test]
    fn changed_frame_is_refused(message in request(), at in any::<prop::sample::Index>(), bit in 0..8_u32) {
        let (mut encoder, mut decoder) = codec_pair(1, 2);
        let mut frame = encoder.encode(&message).expect("fits");
        // The first four bytes are the length, which is left intact: a modified length makes the frame incomplete
        // or too long instead of failing the tag check.
        let index = 4 + at.index(frame.len() - 4);
        frame[index] ^= 1 << bit;
        prop_assert!(matches!(decode(&mut decoder, &frame), Err(FrameError::Tag)));
    }

    /// Guards against a panic on bytes of unauthenticated senders, and against accepting a frame from them.
    #[test]
    fn random_frame_is_refused(frame in proptest::collection::vec(any::<u8>(), 0..300)) {
        let (_, mut decoder) = codec_pair(1, 2);
        let decoded = decoder.decode::<HandoverRequest>(&frame);
        prop_assert!(matches!(decoded, Ok(None) | Err(_)));
        let _ = postcard::from_bytes::<HandoverRequest>(&frame);
        let _ = postcard::from_bytes::<HandoverReply>(&frame);
    }
}

fn is_refused(decoder: &mut FrameCodec, frame: &[u8]) -> bool {
    matches!(decode(decoder, frame), Err(FrameError::Tag))
}

/// Guards against a frame that is accepted twice, out of order, on another connection, in the other direction or
/// under another key.
#[test]
fn repeated_frame_is_refused() {
    let (mut encoder, mut decoder) = codec_pair(1, 2);
    let first = encoder.encode(&HandoverRequest::BodyEnd).expect("fits");
    let second = encoder.encode(&HandoverRequest::BodyEnd).expect("fits");
    assert!(decode(&mut decoder, &first).is_ok());
    assert!(is_refused(&mut decoder, &first));
    assert!(is_refused(&mut codec_pair(1, 2).1, &second));
    assert!(is_refused(&mut codec_pair(1, 3).1, &first));
    assert!(is_refused(&mut codec_pair(3, 2).1, &first));
    let key = ControlKey::new(1, &[1; 32]);
    let mut reverse = FrameCodec::new(key, [1; 16], [2; 16], FrameSide::Server);
    assert!(is_refused(&mut reverse, &first));
    let other_key = ControlKey::new(1, &[2; 32]);
    let mut other = FrameCodec::new(other_key, [1; 16], [2; 16], FrameSide::Client);
    assert!(is_refused(&mut other, &first));
}

/// Guards against a length prefix that makes a process reserve memory for an unauthenticated sender, and against
/// sending a frame that the receiver would refuse as too long.
#[test]
fn frame_above_the_maximum_length_is_refused() {
    for length in [FRAME_MAX + 1, 0xffff_ffff] {
        let prefix = u32::try_from(length).expect("32 bits").to_le_bytes();
        let decoded = codec_pair(1, 2).1.decode::<HandoverRequest>(&prefix);
        assert!(matches!(decoded, Err(FrameError::Long)));
    }
    let reply = HandoverReply::Head {
        outcome: AnswerOutcome::Answered,
        status: 200,
        fields: vec![("a".into(), Bytes::from(vec![0; FRAME_MAX]))],
    };
    let encoded = codec_pair(1, 2).0.encode(&reply);
    assert!(matches!(encoded, Err(FrameError::Long)));
}
