//! Client and server side of catalogue fetches over TCP.

use quetzalhill_core::ids::{address_of, ServiceName};
use quetzalhill_core::replicate::{CatalogueAction, CatalogueChange};
use quetzalhill_wire::fetch::{FetchReply, FetchRequest};
use quetzalhill_wire::frame::{handshake, ConnectionNonce, FrameError, FrameSide};
use quetzalhill_wire::key::KeyRing;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Time limit of one connection on the server side.
const SERVE_LIMIT: Duration = Duration::from_secs(5);

/// Returns a random nonce for one connection.
fn nonce() -> ConnectionNonce {
    rand::random()
}

/// Starts the fetch that the catalogue controller requests in `action`, if any, on the runtime of the control thread.
///
/// `service` limits the fetch to one service, the only one that an agent needs. The outcome is sent to `fetched`, `None`
/// after a failure.
pub fn start(
    action: Option<CatalogueAction>,
    service: Option<ServiceName>,
    ring: Arc<KeyRing>,
    fetched: mpsc::Sender<Option<CatalogueChange>>,
) {
    let Some(CatalogueAction::Fetch {
        peer,
        from,
        deadline,
    }) = action
    else {
        return;
    };
    ntex::rt::spawn(async move {
        let request = FetchRequest { from, service };
        let change = fetch(address_of(peer), &request, &ring, deadline).await;
        // Sending fails only when the control thread ends.
        let _ = fetched.send(change.ok()).await;
    })
    .detach();
}

/// Fetches the requested changes of the catalogue from a peer.
///
/// # Errors
///
/// The deadline passes, the connection fails or the peer's answer is not valid.
pub async fn fetch(
    peer: SocketAddrV4,
    request: &FetchRequest,
    ring: &KeyRing,
    deadline: Instant,
) -> Result<CatalogueChange, FrameError> {
    match timeout_at(deadline.into(), exchange(peer, request, ring)).await {
        Ok(result) => result,
        Err(_) => Err(FrameError::Io(std::io::ErrorKind::TimedOut.into())),
    }
}

async fn exchange(
    peer: SocketAddrV4,
    request: &FetchRequest,
    ring: &KeyRing,
) -> Result<CatalogueChange, FrameError> {
    let stream = TcpStream::connect(peer).await?;
    let (read, write) = stream.into_split();
    let (mut reader, mut writer) = handshake(read, write, FrameSide::Client, ring, nonce()).await?;
    writer.write(request).await?;
    let mut change = CatalogueChange::default();
    loop {
        match reader.read().await?.ok_or(FrameError::Closed)? {
            FetchReply::Head {
                base,
                revision,
                digest,
            } => {
                change.base = base;
                change.revision = revision;
                change.digest = digest;
            }
            FetchReply::Service(name, entry) => {
                change.services.insert(name, entry.map(|entry| *entry));
            }
            FetchReply::End => return Ok(change),
        }
    }
}

/// Serves one fetch; `change_for` returns the requested changes.
///
/// # Errors
///
/// The connection takes longer than five seconds or fails, or the request is not valid.
pub async fn serve(
    stream: TcpStream,
    ring: &KeyRing,
    change_for: impl FnOnce(FetchRequest) -> CatalogueChange,
) -> Result<(), FrameError> {
    let deadline = Instant::now() + SERVE_LIMIT;
    match timeout_at(deadline.into(), answer(stream, ring, change_for)).await {
        Ok(result) => result,
        Err(_) => Err(FrameError::Io(std::io::ErrorKind::TimedOut.into())),
    }
}

async fn answer(
    stream: TcpStream,
    ring: &KeyRing,
    change_for: impl FnOnce(FetchRequest) -> CatalogueChange,
) -> Result<(), FrameError> {
    let (read, write) = stream.into_split();
    let (mut reader, mut writer) = handshake(read, write, FrameSide::Server, ring, nonce()).await?;
    let Some(request) = reader.read().await? else {
        return Ok(());
    };
    let change = change_for(request);
    let head = FetchReply::Head {
        base: change.base,
        revision: change.revision,
        digest: change.digest,
    };
    writer.write(&head).await?;
    for (name, entry) in change.services {
        let reply = FetchReply::Service(name, entry.map(Box::new));
        writer.write(&reply).await?;
    }
    writer.write(&FetchReply::End).await?;
    writer.close().await
}
