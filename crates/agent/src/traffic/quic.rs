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

/// Largest QUIC packet, so that the packet header fits the usual path of 1,500 bytes.
const MTU_MAX: u16 = 1_400;

/// QUIC packets that every path carries.
const MTU_MIN: u16 = 1_200;

/// A connection without packets for this long is lost.
const IDLE_TIMEOUT_MS: u32 = 60_000;

/// Keeps quiet sessions alive; a lost packet or two do not end them.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);

/// Most requests of one connection at the same time.
const STREAMS_MAX: u32 = 128;

/// Streams for control, QPACK and reserved types of HTTP/3.
const UNI_STREAMS_MAX: u32 = 8;

/// Bytes of a request body that are taken before the upstream reads them.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Bytes of all request bodies of a connection that are taken before the upstream reads them.
const CONNECTION_WINDOW: u32 = 1024 * 1024;

/// Bytes of all answers of a connection that wait for the caller's acknowledgement.
const SEND_WINDOW: u64 = 1024 * 1024;

/// Bytes of an HMAC with SHA-256.
const SIGNATURE_BYTES: usize = 32;

/// Issues connection IDs that name this endpoint.
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

/// Makes stateless reset tokens that all lives of an agent share.
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
        // QUIC only signs with this key; nothing that an attacker sends is compared here.
        match tag.as_ref() == signature {
            true => Ok(()),
            false => Err(CryptoError),
        }
    }
}

/// Returns the configuration of the endpoint.
///
/// # Errors
///
/// Returns an error if the provider lacks a TLS 1.3 cipher suite.
pub(super) fn endpoint_config(
    shared: &Arc<SharedState>,
    packet_address: SocketAddrV4,
) -> Result<EndpointConfig> {
    let suite = provider::cipher_suite::TLS13_AES_128_GCM_SHA256
        .tls13()
        .context("no TLS 1.3 cipher suite")?;
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

/// Returns the configuration for callers' connections.
///
/// # Errors
///
/// Names the certificate or key file that can't be used.
pub(super) fn server_config(agent: &AgentSection) -> Result<ServerConfig> {
    let chain = CertificateDer::pem_file_iter(&agent.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .with_context(|| format!("certificate file {}", agent.certificate))?;
    let key = PrivateKeyDer::from_pem_file(&agent.private_key)
        .with_context(|| format!("private key file {}", agent.private_key))?;
    let mut tls =
        rustls::ServerConfig::builder_with_provider(Arc::new(provider::default_provider()))
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .with_context(|| format!("certificate file {}", agent.certificate))?;
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
