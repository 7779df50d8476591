//! Connections to the store that notice a peer which went silent.
//!
//! A long poll has nothing to send, so that only probes of the transport show that its connection is dead.

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

/// Longest wait for a connection; a lost first packet is repeated after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Idle time before the first probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is closed.
const PROBE_COUNT: u32 = 2;

/// Longest time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Opens connections with keep-alive probes.
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

/// The connector of one client.
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
