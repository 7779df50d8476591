//! Stand-in for a peer, which sends and receives single frames.

use crate::support::{free_port, record, ring, INCARNATION, SERVICE, STEP};
use bytes::Bytes;
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::dispatch::LoadReport;
use quetzalhill_core::ids::EndpointId;
use quetzalhill_core::member::EndpointRecord;
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::frame::{FrameCodec, FrameSide, KIND_STREAM, NONCE_BYTES};
use quetzalhill_wire::handover::{
    HandoverReply, HandoverRequest, HandoverTarget, RequestBody, RequestHead, RequestOffer,
};
use quetzalhill_wire::key::KeyRing;
use quetzalhill_wire::packet::WIRE_VERSION;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// One end of a connection between agents, with blocking I/O.
pub(crate) struct RawConnection {
    pub(crate) stream: TcpStream,
    pub(crate) encoder: FrameCodec,
    decoder: FrameCodec,
    buffer: Vec<u8>,
}

impl RawConnection {
    pub(crate) fn connect(address: SocketAddrV4, ring: &KeyRing) -> io::Result<Self> {
        Self::set_up(TcpStream::connect(address)?, FrameSide::Client, ring)
    }

    fn set_up(mut stream: TcpStream, side: FrameSide, ring: &KeyRing) -> io::Result<Self> {
        stream.set_read_timeout(Some(STEP))?;
        stream.set_nodelay(true)?;
        let key = ring.current();
        let local_nonce: [u8; NONCE_BYTES] = rand::random();
        let mut preamble = vec![WIRE_VERSION, KIND_STREAM, key.number()];
        preamble.extend_from_slice(&local_nonce);
        stream.write_all(&preamble)?;
        stream.read_exact(&mut preamble)?;
        let remote_nonce: [u8; NONCE_BYTES] = preamble[3..].try_into().unwrap();
        let (client, server, remote_side) = match side {
            FrameSide::Client => (local_nonce, remote_nonce, FrameSide::Server),
            FrameSide::Server => (remote_nonce, local_nonce, FrameSide::Client),
        };
        Ok(Self {
            stream,
            encoder: FrameCodec::new(key.clone(), client, server, side),
            decoder: FrameCodec::new(key.clone(), client, server, remote_side),
            buffer: Vec::new(),
        })
    }

    pub(crate) fn send(&mut self, message: &HandoverRequest) {
        let frame = self.encoder.encode(message).unwrap();
        self.stream.write_all(&frame).unwrap();
    }

    /// Returns the next message, or an error at the end of the connection.
    pub(crate) fn next<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        loop {
            if let Some((message, end)) = self.decoder.decode(&self.buffer).unwrap() {
                self.buffer.drain(..end);
                return Ok(message);
            }
            let mut bytes = [0; 4_096];
            let size = self.stream.read(&mut bytes)?;
            if size == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&bytes[..size]);
        }
    }

    /// Waits until the agent has closed the connection.
    pub(crate) fn wait_closed(mut self) {
        let read = self.stream.read(&mut [0]);
        let closed = match read {
            Ok(size) => size == 0,
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        };
        assert!(closed, "the connection stays open");
    }

    /// Reads the rest of a response and returns its body.
    pub(crate) fn body(&mut self) -> Vec<u8> {
        let mut body = Vec::new();
        loop {
            match self.next::<HandoverReply>().unwrap() {
                HandoverReply::Chunk(chunk) => body.extend_from_slice(&chunk),
                HandoverReply::End => return body,
                _ => {}
            }
        }
    }
}

/// Returns an offer of a `GET` request without a body.
pub(crate) fn offer(from: EndpointId, to: &EndpointRecord, path: &str) -> HandoverRequest {
    HandoverRequest::Offer(Box::new(RequestOffer {
        target: HandoverTarget {
            from,
            to: to.id,
            incarnation: to.incarnation,
            service: SERVICE,
        },
        id: rand::random(),
        class: TrafficClass::Standard,
        owner: "owner".into(),
        work_key: 0,
        age_us: 0,
        remaining_us: 10_000_000,
        head: RequestHead {
            method: "GET".into(),
            path: path.into(),
            authority: Some("localhost".into()),
            fields: vec![("accept".into(), Bytes::from_static(b"*/*"))],
        },
        body: RequestBody::Empty,
    }))
}

/// A peer that reports free slots, but closes the connection without a reply when it receives an offer.
pub(crate) struct FailingPeer {
    pub(crate) record: EndpointRecord,
    pub(crate) offers: Arc<AtomicU32>,
    stop: Arc<AtomicBool>,
}

impl FailingPeer {
    pub(crate) fn start(target: SocketAddrV4) -> Self {
        let peer = Self {
            record: record(free_port(), free_port()),
            offers: Arc::new(AtomicU32::new(0)),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let socket = UdpSocket::bind(peer.record.peer).unwrap();
        let listener = TcpListener::bind(peer.record.peer).unwrap();
        let (stop, id) = (peer.stop.clone(), peer.record.id);
        thread::spawn(move || report_load(&stop, &socket, id, target));
        let offers = peer.offers.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let offers = offers.clone();
                thread::spawn(move || fail_offer(stream, &offers));
            }
        });
        peer
    }
}

impl Drop for FailingPeer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

fn report_load(stop: &AtomicBool, socket: &UdpSocket, from: EndpointId, target: SocketAddrV4) {
    let report = LoadReport {
        free_slots: 4,
        accepting: true,
        ..LoadReport::default()
    };
    let mut sequence = INCARNATION;
    while !stop.load(Ordering::SeqCst) {
        sequence += 1;
        let load = ControlMessage::Load {
            from,
            sequence,
            report,
        };
        let _ = socket.send_to(&load.seal(&ring(1)).unwrap(), target);
        thread::sleep(Duration::from_millis(10));
    }
}

fn fail_offer(stream: TcpStream, offers: &AtomicU32) {
    let connection = RawConnection::set_up(stream, FrameSide::Server, &ring(1));
    let Ok(mut connection) = connection else {
        return;
    };
    if let Ok(HandoverRequest::Offer(_)) = connection.next() {
        offers.fetch_add(1, Ordering::SeqCst);
    }
}
