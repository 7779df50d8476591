//! Connections to the store with TCP keep-alive, which detects a dead peer.
//!
//! While a long poll waits, nothing is sent on its connection, so only keep-alive probes detect that the peer is gone.

use ntex::connect::{Connect, ConnectError};
use ntex::http::Uri;
use ntex::io::Io;
use ntex::rt::from_tcp_stream;
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::SharedCfg;
use socket2::{SockRef, TcpKeepalive};
use std::convert::Infallible;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a TCP handshake; shorter than the 1 s after which the kernel retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Idle time before the first keep-alive probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection is closed.
const PROBE_COUNT: u32 = 2;

/// Time for which sent bytes may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Factory of [`ProbedService`], for the HTTP client's builder.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbedConnector;

impl ServiceFactory<Connect<Uri>, SharedCfg> for ProbedConnector {
    type Response = Io;
    type Error = ConnectError;
    type Service = ProbedService;
    type InitError = Infallible;

    async fn create(&self, config: SharedCfg) -> Result<ProbedService, Infallible> {
        Ok(ProbedService { config })
    }
}

/// Opens TCP connections with keep-alive probes and a user timeout, for one HTTP client.
#[derive(Debug)]
pub(crate) struct ProbedService {
    config: SharedCfg,
}

impl Service<Connect<Uri>> for ProbedService {
    type Response = Io;
    type Error = ConnectError;

    async fn call(
        &self,
        target: Connect<Uri>,
        _: ServiceCtx<'_, Self>,
    ) -> Result<Io, ConnectError> {
        let address = target.addrs().next().ok_or(ConnectError::Unresolved)?;
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(io::Error::from)??;
        let keepalive = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBE_COUNT);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        stream.set_nodelay(true)?;
        from_tcp_stream(stream.into_std()?, self.config.clone()).map_err(ConnectError::from)
    }
}
