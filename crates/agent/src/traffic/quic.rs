//! Configuration of QUIC: connection IDs, reset tokens, TLS and transport limits.

use crate::settings::AgentSection;
use crate::shared::SharedState;
use anyhow::{Context, Result};
use quetzalhill_wire::cid::{CidContent, CID_BYTES};
use quinn::crypto::rustls::QuicServerConfig;
use quinn::crypto::{CryptoError, HmacKey};
use quinn::{
    ConnectionId, ConnectionIdGenerator, EndpointConfig, IdleTimeout, MtuDiscoveryConfig,
    ServerConfig, TransportConfig, VarInt,
};
use rustls::crypto::ring as provider;
use rustls::crypto::tls13::{Hkdf, OkmBlock};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Largest QUIC packet in bytes; leaves space for the header of the entry in the usual path MTU of 1,500 bytes.
const MTU_MAX: u16 = 1_400;

/// Smallest QUIC packet size in bytes that every path has to support (RFC 9000).
const MTU_MIN: u16 = 1_200;

/// Time without packets after which a connection is lost.
const IDLE_TIMEOUT_MS: u32 = 60_000;

/// Interval of keep-alive packets on idle connections; short enough that one or two lost packets do not cause an idle
/// timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);

/// Most concurrent requests of one connection.
const STREAMS_MAX: u32 = 128;

/// Most unidirectional streams of one connection: control, QPACK and reserved types of HTTP/3.
const UNI_STREAMS_MAX: u32 = 8;

/// Most bytes of one request body that are buffered until the upstream reads them.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Most bytes of all request bodies of a connection that are buffered until the upstream reads them.
const CONNECTION_WINDOW: u32 = 1024 * 1024;

/// Most bytes of all responses of a connection that are buffered until the caller acknowledges them.
const SEND_WINDOW: u64 = 1024 * 1024;

/// Length of an HMAC-SHA-256 tag in bytes.
const SIGNATURE_BYTES: usize = 32;

/// Generates connection IDs that contain the address, service and incarnation of this endpoint.
struct CidIssuer {
    address: SocketAddrV4,
    shared: Arc<SharedState>,
}

impl ConnectionIdGenerator for CidIssuer {
    fn generate_cid(&mut self) -> ConnectionId {
        let view = self.shared.view.load();
        let ring = self.shared.ring.load();
        let service = view.service.as_ref().map_or(0, |entry| entry.number);
        let content = CidContent::new(
            self.address,
            service,
            view.incarnation,
            rand::random::<u32>(),
        );
        ConnectionId::new(&content.seal(&ring))
    }

    fn cid_len(&self) -> usize {
        CID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Derives stateless reset tokens from a secret that all incarnations of an agent share, so that a restarted agent can
/// reset the connections of an earlier incarnation.
struct ResetKey {
    secret: [u8; 16],
    hkdf: &'static dyn Hkdf,
}

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], out: &mut [u8]) {
        let tag = self.hkdf.hmac_sign(&OkmBlock::new(&self.secret), data);
        let bytes = tag.as_ref();
        let length = out.len().min(bytes.len());
        out[..length].copy_from_slice(&bytes[..length]);
    }

    fn signature_len(&self) -> usize {
        SIGNATURE_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let tag = self.hkdf.hmac_sign(&OkmBlock::new(&self.secret), data);
        // The comparison need not take constant time: QUIC only signs with this key and verifies no input of a peer.
        match tag.as_ref() == signature {
            true => Ok(()),
            false => Err(CryptoError),
        }
    }
}

/// Returns the endpoint configuration with the generator of connection IDs and the key of reset tokens.
///
/// # Errors
///
/// Returns an error if the crypto provider lacks the TLS 1.3 cipher suite.
pub(super) fn endpoint_config(
    shared: &Arc<SharedState>,
    packet_address: SocketAddrV4,
) -> Result<EndpointConfig> {
    let suite = provider::cipher_suite::TLS13_AES_128_GCM_SHA256
        .tls13()
        .context("the crypto provider has no TLS 1.3 cipher suite")?;
    let key = ResetKey {
        secret: *shared.ring.load().current().reset_secret(),
        hkdf: suite.hkdf_provider,
    };
    let mut config = EndpointConfig::new(Arc::new(key));
    let shared = shared.clone();
    config.cid_generator(move || {
        Box::new(CidIssuer {
            address: packet_address,
            shared: shared.clone(),
        })
    });
    Ok(config)
}

/// Returns the TLS and transport configuration of callers' connections.
///
/// # Errors
///
/// Returns an error with the certificate or key file that cannot be used.
pub(super) fn server_config(agent: &AgentSection) -> Result<ServerConfig> {
    let chain = CertificateDer::pem_file_iter(&agent.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .with_context(|| format!("cannot read certificate file {}", agent.certificate))?;
    let key = PrivateKeyDer::from_pem_file(&agent.private_key)
        .with_context(|| format!("cannot read private key file {}", agent.private_key))?;
    let mut tls =
        rustls::ServerConfig::builder_with_provider(Arc::new(provider::default_provider()))
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .with_context(|| format!("cannot use certificate file {}", agent.certificate))?;
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicServerConfig::try_from(tls)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

fn transport_config() -> TransportConfig {
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MTU_MAX);
    let mut transport = TransportConfig::default();
    transport
        .initial_mtu(MTU_MIN)
        .min_mtu(MTU_MIN)
        .mtu_discovery_config(Some(discovery))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX))
        .max_concurrent_uni_streams(VarInt::from_u32(UNI_STREAMS_MAX))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .send_window(SEND_WINDOW)
        .datagram_receive_buffer_size(None)
        .enable_segmentation_offload(false);
    transport
}
