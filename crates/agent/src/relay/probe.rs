//! Health probe of the agent's upstream.

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::Client;
use ntex::time::{timeout, Millis};
use quetzalhill_platform::server;
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// Timeout of a probe, long enough for the late answer of an overloaded upstream.
const PROBE_TIMEOUT: Millis = Millis(500);

/// Result of a health probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProbeOutcome {
    /// The upstream answered that it is healthy.
    Healthy,
    /// No process listens at the address.
    Refused,
    /// Neither healthy nor refused, for example a timeout; the state stays until the next probe or announcement.
    Inconclusive,
}

/// Probes the health of the upstream once.
pub(super) async fn probe_once(client: &Client, upstream: SocketAddrV4) -> ProbeOutcome {
    let url = format!("http://{upstream}{}", server::HEALTH_PATH);
    let request = client.get(url).address(upstream.into()).force_close();
    match timeout(PROBE_TIMEOUT, request.send()).await {
        Ok(Ok(response)) if response.status().is_success() => ProbeOutcome::Healthy,
        Ok(Err(ClientError::Connect(ConnectError::Disconnected(Some(error)))))
            if error.kind() == ErrorKind::ConnectionRefused =>
        {
            ProbeOutcome::Refused
        }
        _ => ProbeOutcome::Inconclusive,
    }
}
