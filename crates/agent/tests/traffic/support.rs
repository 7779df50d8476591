//! Test harness: an agent, a stand-in for an entry and an HTTP/3 client in one process.

use crate::upstream::{self, UpstreamLog};
use bytes::{Buf, Bytes};
use h3::client::SendRequest;
use http::{HeaderMap, Request, StatusCode};
use quetzalhill_agent::settings::{AgentSection, AgentSettings};
use quetzalhill_agent::shared::{AgentView, SharedState, TrafficEvent};
use quetzalhill_agent::traffic::{self, TrafficHandle};
use quetzalhill_core::catalogue::{LimitSet, ServiceEntry, TrafficClass};
use quetzalhill_core::ids::{id_of, IncarnationNumber};
use quetzalhill_core::member::{EndpointRecord, EndpointState, EntryRecord};
use quetzalhill_node::settings::{LogSettings, NodeSettings};
use quetzalhill_wire::cid::CidContent;
use quetzalhill_wire::key::{ControlKey, KeyRing, TAG_BYTES};
use quetzalhill_wire::packet::{PacketDirection, PacketHeader, DATAGRAM_MAX, HEADER_MAX};
use quinn::crypto::rustls::QuicClientConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::CertificateDer;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub(crate) const SERVICE: u32 = 7;
pub(crate) const INCARNATION: IncarnationNumber = 3;

/// Time limit of one step of a test.
pub(crate) const STEP: Duration = Duration::from_secs(10);

pub(crate) fn ring(number: u8) -> KeyRing {
    KeyRing::new(ControlKey::new(number, &[number; 32]), None)
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    let SocketAddr::V4(address) = address else {
        unreachable!("bound to an IPv4 address");
    };
    address
}

/// Returns an address for UDP and TCP that no other test of this process uses.
///
/// The IP address depends on the low 14 bits of the process ID, so that concurrent test processes rarely have the same
/// one. It is never 127.0.0.1, on which the kernel assigns ephemeral ports to outgoing connections.
pub(crate) fn free_port() -> SocketAddrV4 {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let pid = std::process::id();
    // CAST: The masks leave at most eight bits.
    let (high, low) = (((pid >> 8) & 0x3f) as u8, (pid & 0xff) as u8);
    let ip = Ipv4Addr::new(127, 128 + high, low, 1);
    SocketAddrV4::new(ip, NEXT.fetch_add(1, Ordering::SeqCst))
}

pub(crate) fn service(limits: LimitSet) -> ServiceEntry {
    ServiceEntry {
        number: SERVICE,
        owner: "owner".into(),
        class: TrafficClass::Standard,
        addresses: smallvec::SmallVec::new(),
        path_classes: smallvec::SmallVec::new(),
        limits,
    }
}

/// Writes a self-signed certificate and its key into the target folder and returns the paths of both files.
pub(crate) fn certificate() -> (String, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let name = |kind: &str| {
        let file = format!("{}-{number}-{kind}.pem", std::process::id());
        folder.join(file).to_str().unwrap().to_string()
    };
    let made = rcgen::generate_simple_self_signed(vec!["localhost".into()]).unwrap();
    let (chain, key) = (name("chain"), name("key"));
    std::fs::write(&chain, made.cert.pem()).unwrap();
    std::fs::write(&key, made.signing_key.serialize_pem()).unwrap();
    (chain, key)
}

/// Stand-in for an entry that forwards packets between callers and agents.
pub(crate) struct FakeEntry {
    pub(crate) service_address: SocketAddrV4,
    pub(crate) data: SocketAddrV4,
    stop: Arc<AtomicBool>,
}

impl FakeEntry {
    pub(crate) fn start(agent: SocketAddrV4) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let back = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let entry = Self {
            service_address: v4(front.local_addr().unwrap()),
            data: v4(back.local_addr().unwrap()),
            stop: Arc::new(AtomicBool::new(false)),
        };
        for socket in [&front, &back] {
            let timeout = Some(Duration::from_millis(50));
            socket.set_read_timeout(timeout).unwrap();
        }
        let address = entry.service_address;
        let (stop, from, to) = (entry.stop.clone(), front.clone(), back.clone());
        thread::spawn(move || to_agent(&stop, &from, &to, address, agent));
        let stop = entry.stop.clone();
        thread::spawn(move || to_caller(&stop, &back, &front));
        entry
    }

    pub(crate) fn record(&self) -> EntryRecord {
        EntryRecord {
            id: id_of(self.data),
            incarnation: 1,
            zone: "a".into(),
            data: self.data,
        }
    }
}

impl Drop for FakeEntry {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

pub(crate) fn header(caller: SocketAddrV4, service_address: SocketAddrV4) -> PacketHeader {
    PacketHeader {
        direction: PacketDirection::ToAgent,
        caller,
        service_address,
        service: SERVICE,
        incarnation: 0,
        second: None,
        hops: 0,
    }
}

pub(crate) fn seal(header: &PacketHeader, ring: &KeyRing, payload: &[u8]) -> Vec<u8> {
    let mut buffer = vec![0; HEADER_MAX + DATAGRAM_MAX + TAG_BYTES];
    buffer[HEADER_MAX..HEADER_MAX + payload.len()].copy_from_slice(payload);
    let range = header.seal(ring, &mut buffer, payload.len()).unwrap();
    buffer[range].to_vec()
}

fn to_agent(
    stop: &AtomicBool,
    front: &UdpSocket,
    back: &UdpSocket,
    address: SocketAddrV4,
    agent: SocketAddrV4,
) {
    let ring = ring(1);
    let mut buffer = [0; DATAGRAM_MAX];
    while !stop.load(Ordering::SeqCst) {
        let Ok((size, caller)) = front.recv_from(&mut buffer) else {
            continue;
        };
        let payload = &buffer[..size];
        let id = match payload[0] & 0x80 {
            0 => payload.get(1..21),
            _ => payload.get(6..26),
        };
        let content = id.and_then(|id| CidContent::open(&ring, id));
        let header = PacketHeader {
            incarnation: content.map_or(0, |content| content.incarnation),
            ..header(v4(caller), address)
        };
        let target = content.map_or(agent, |content| content.address);
        let _ = back.send_to(&seal(&header, &ring, payload), target);
    }
}

fn to_caller(stop: &AtomicBool, back: &UdpSocket, front: &UdpSocket) {
    let ring = ring(1);
    let mut buffer = [0; DATAGRAM_MAX];
    while !stop.load(Ordering::SeqCst) {
        let Ok((size, _)) = back.recv_from(&mut buffer) else {
            continue;
        };
        let Ok((header, payload)) = PacketHeader::open(&ring, &buffer[..size]) else {
            continue;
        };
        assert_eq!(header.direction, PacketDirection::ToCaller);
        let _ = front.send_to(&buffer[payload], header.caller);
    }
}

/// Returns the record of a ready endpoint with these addresses.
pub(crate) fn record(packets: SocketAddrV4, peer: SocketAddrV4) -> EndpointRecord {
    EndpointRecord {
        id: id_of(packets),
        incarnation: INCARNATION,
        sequence: 1,
        service: "feed".into(),
        number: SERVICE,
        zone: "a".into(),
        peer,
        state: EndpointState::Ready,
        slots: 4,
    }
}

/// Waits until a counter has reached `number`.
pub(crate) async fn wait_for(counter: &AtomicU32, number: u32) {
    let end = Instant::now() + STEP;
    while counter.load(Ordering::SeqCst) < number {
        assert!(Instant::now() < end, "the counter is too low");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A running agent with a test upstream and a stand-in for an entry.
pub(crate) struct TestSite {
    pub(crate) entry: FakeEntry,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) events: tokio::sync::mpsc::Receiver<TrafficEvent>,
    pub(crate) traffic: TrafficHandle,
    pub(crate) log: Arc<UpstreamLog>,
    pub(crate) settings: AgentSettings,
}

impl TestSite {
    pub(crate) fn start(slots: u16, limits: LimitSet) -> Self {
        let (upstream, log) = upstream::start();
        Self::with_upstream(slots, limits, upstream, log)
    }

    pub(crate) fn with_upstream(
        slots: u16,
        limits: LimitSet,
        upstream: SocketAddrV4,
        log: Arc<UpstreamLog>,
    ) -> Self {
        let (certificate, private_key) = certificate();
        let packets = free_port();
        let settings = AgentSettings {
            node: NodeSettings {
                zone: "a".into(),
                control: free_port(),
                admin: free_port(),
                control_key: String::new(),
                previous_key: None,
            },
            log: LogSettings::default(),
            agent: AgentSection {
                service: "feed".into(),
                packets,
                peer: free_port(),
                advertise_peer: None,
                upstream,
                health_path: "/health".into(),
                health_interval_ms: 1_000,
                slots,
                entries: vec![free_port()],
                certificate,
                private_key,
                flows: 100,
                policy: Default::default(),
                drain_limit_s: 5,
            },
        };
        let entry = FakeEntry::start(packets);
        let shared = SharedState::new(INCARNATION, ring(1));
        shared.publish(AgentView {
            incarnation: INCARNATION,
            state: EndpointState::Ready,
            revision: 1,
            service: Some(service(limits)),
            peers: Vec::new(),
            other_peers: Vec::new(),
            entries: vec![entry.record()],
        });
        let (sender, events) = tokio::sync::mpsc::channel(16);
        let traffic = traffic::start(&settings, shared.clone(), sender).unwrap();
        Self {
            entry,
            shared,
            events,
            traffic,
            log,
            settings,
        }
    }

    /// Replaces the agent by a new incarnation at the same addresses, as if the old one had failed.
    pub(crate) fn restart(self, incarnation: IncarnationNumber) -> Self {
        let shared = SharedState::new(incarnation, ring(1));
        shared.publish(AgentView {
            incarnation,
            ..AgentView::clone(&self.shared.view.load())
        });
        // The entry drops packets under an unknown key, so that the CONNECTION_CLOSE of the old incarnation does not
        // reach the caller.
        self.shared.ring.store(Arc::new(ring(9)));
        self.traffic.stop();
        let (sender, events) = tokio::sync::mpsc::channel(16);
        let traffic = traffic::start(&self.settings, shared.clone(), sender).unwrap();
        Self {
            shared,
            events,
            traffic,
            ..self
        }
    }

    pub(crate) fn set_state(&self, state: EndpointState) {
        let view = AgentView {
            state,
            ..AgentView::clone(&self.shared.view.load())
        };
        self.shared.publish(view);
    }

    /// Returns the record that the agent announces.
    pub(crate) fn record(&self) -> EndpointRecord {
        let view = self.shared.view.load();
        EndpointRecord {
            incarnation: view.incarnation,
            state: view.state,
            slots: self.settings.agent.slots,
            ..record(self.settings.agent.packets, self.settings.agent.peer)
        }
    }

    /// Publishes a view with these peers to the agent.
    pub(crate) fn set_peers(&self, peers: &[EndpointRecord]) {
        let ready = |peer: &EndpointRecord| peer.state == EndpointState::Ready;
        let (peers, other_peers) = peers.iter().cloned().partition(ready);
        let view = AgentView {
            peers,
            other_peers,
            ..AgentView::clone(&self.shared.view.load())
        };
        self.shared.publish(view);
    }

    /// Connects an HTTP/3 client through the entry.
    pub(crate) async fn connect(&self) -> TestCaller {
        let certificate = &self.settings.agent.certificate;
        TestCaller::connect(self.entry.service_address, certificate).await
    }
}

/// Response that a caller received.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// HTTP/3 client with one connection, which is closed when the client is dropped.
pub(crate) struct TestCaller {
    pub(crate) requests: SendRequest<h3_quinn::OpenStreams, Bytes>,
    pub(crate) connection: quinn::Connection,
    drive: tokio::task::JoinHandle<()>,
    _endpoint: quinn::Endpoint,
}

impl TestCaller {
    /// Connects to a service whose certificate is in a file.
    pub(crate) async fn connect(address: SocketAddrV4, certificate: &str) -> Self {
        let mut roots = rustls::RootCertStore::empty();
        let chain = CertificateDer::from_pem_file(certificate).unwrap();
        roots.add(chain).unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots)
            .with_no_client_auth();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let crypto = Arc::new(QuicClientConfig::try_from(tls).unwrap());
        let mut endpoint = quinn::Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
        endpoint.set_default_client_config(quinn::ClientConfig::new(crypto));
        let target = SocketAddr::V4(address);
        let connecting = endpoint.connect(target, "localhost").unwrap();
        let connection = tokio::time::timeout(STEP, connecting)
            .await
            .unwrap()
            .unwrap();
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut driver, requests) = h3::client::new(transport).await.unwrap();
        let drive = tokio::spawn(async move {
            let _ = std::future::poll_fn(|cx| driver.poll_close(cx)).await;
        });
        TestCaller {
            requests,
            connection,
            drive,
            _endpoint: endpoint,
        }
    }

    /// Sends a request and reads the response; an incomplete response is an error.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &'static [u8],
    ) -> Result<Answer, h3::error::StreamError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("https://localhost{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut requests = self.requests.clone();
        let exchange = async move {
            let mut stream = requests.send_request(request.body(()).unwrap()).await?;
            if !body.is_empty() {
                stream.send_data(Bytes::from_static(body)).await?;
            }
            stream.finish().await?;
            let head = stream.recv_response().await?;
            let mut text = Vec::new();
            while let Some(mut data) = stream.recv_data().await? {
                text.extend_from_slice(&data.copy_to_bytes(data.remaining()));
            }
            Ok(Answer {
                status: head.status(),
                headers: head.headers().clone(),
                body: String::from_utf8(text).unwrap(),
            })
        };
        tokio::time::timeout(STEP, exchange).await.unwrap()
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Answer, h3::error::StreamError> {
        self.send("GET", path, &[], b"").await
    }
}

impl Drop for TestCaller {
    fn drop(&mut self) {
        self.connection.close(0_u32.into(), b"");
        self.drive.abort();
    }
}

/// Runs an asynchronous test on a single-threaded runtime.
pub(crate) fn block_on<F: std::future::Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}
