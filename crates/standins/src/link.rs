//! Stand-in for the network between two instances: forwards datagrams and TCP connections with a one-way delay.

use crate::delay::{DelayHandle, DelayLine};
use anyhow::{Context, Result};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot};

const DATAGRAM_MAX_BYTES: usize = 65_536;
const CHUNK_BYTES: usize = 16_384;

/// Fault of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// The link forwards everything after its normal delay.
    #[default]
    None,
    /// Datagrams are dropped, and each direction of a connection is closed when data arrives on it.
    Cut,
    /// Data to the target is dropped. A connection that has lost data stays open, but drops all later data of this
    /// direction too, even after the fault.
    DropToTarget,
    /// Data from the target is dropped. A connection that has lost data stays open, but drops all later data of this
    /// direction too, even after the fault.
    DropFromTarget,
    /// Everything arrives later by this time, in addition to the normal delay.
    Slow(Duration),
}

/// A link to one target address. It forwards datagrams only to the target, and TCP connections in both directions.
pub struct LinkStandin {
    address: SocketAddrV4,
    fault: SharedFault,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    _line: DelayLine,
}

type SharedFault = Arc<Mutex<LinkFault>>;

fn current_fault(fault: &SharedFault) -> LinkFault {
    *fault.lock().unwrap_or_else(PoisonError::into_inner)
}

struct LinkState {
    target: SocketAddrV4,
    delay: Duration,
    line: DelayHandle,
    fault: SharedFault,
}

impl LinkState {
    /// Returns when data that arrives now has to be forwarded.
    fn due(&self) -> Instant {
        let extra = match current_fault(&self.fault) {
            LinkFault::Slow(extra) => extra,
            _ => Duration::ZERO,
        };
        Instant::now() + self.delay + extra
    }
}

impl LinkStandin {
    /// Starts a link on `address` (UDP and TCP) to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the runtime of the link cannot be created.
    pub fn start(address: SocketAddrV4, target: SocketAddrV4, delay: Duration) -> Result<Self> {
        let datagrams =
            std::net::UdpSocket::bind(address).with_context(|| format!("link {address}"))?;
        datagrams.set_nonblocking(true)?;
        let listener =
            std::net::TcpListener::bind(address).with_context(|| format!("link {address}"))?;
        listener.set_nonblocking(true)?;
        let line = DelayLine::start();
        let fault = SharedFault::default();
        let state = Arc::new(LinkState {
            target,
            delay,
            line: line.handle(),
            fault: Arc::clone(&fault),
        });
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                let forward = async {
                    tokio::try_join!(
                        forward_datagrams(datagrams, Arc::clone(&state)),
                        accept_connections(listener, Arc::clone(&state)),
                    )
                };
                tokio::select! {
                    result = forward => {
                        if let Err(error) = result {
                            log::error!("link {address}: {error:#}");
                        }
                    }
                    _ = stopped => {}
                }
            });
        });
        Ok(Self {
            address,
            fault,
            stop: Some(stop),
            thread: Some(thread),
            _line: line,
        })
    }

    /// Returns the address that clients use in place of the target's.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Sets [`LinkFault::Cut`], or ends any fault.
    pub fn set_cut(&self, cut: bool) {
        self.set_fault(match cut {
            true => LinkFault::Cut,
            false => LinkFault::None,
        });
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Drop for LinkStandin {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn forward_datagrams(
    listen_socket: std::net::UdpSocket,
    state: Arc<LinkState>,
) -> Result<()> {
    let listen_socket = UdpSocket::from_std(listen_socket)?;
    let target_socket = Arc::new(std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?);
    target_socket.set_nonblocking(true)?;
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, _)) = listen_socket.recv_from(&mut buffer).await else {
            continue;
        };
        if matches!(
            current_fault(&state.fault),
            LinkFault::Cut | LinkFault::DropToTarget
        ) {
            continue;
        }
        let packet = buffer[..length].to_vec();
        let socket = Arc::clone(&target_socket);
        let target: SocketAddr = state.target.into();
        state.line.run_at(state.due(), move || {
            // A full socket buffer drops the datagram, as a network may.
            let _ = socket.send_to(&packet, target);
        });
    }
}

async fn accept_connections(listener: std::net::TcpListener, state: Arc<LinkState>) -> Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(proxy_connection(client, Arc::clone(&state)));
    }
}

async fn proxy_connection(client: TcpStream, state: Arc<LinkState>) {
    let Ok(server) = TcpStream::connect(state.target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy_delayed(client_read, server_write, &state, LinkFault::DropToTarget),
        copy_delayed(server_read, client_write, &state, LinkFault::DropFromTarget),
    );
}

/// Copies one direction of a connection until either side closes it. Chunks keep their order, and each is delayed. Once
/// a chunk is dropped because of `drop_fault`, all later ones are dropped too, since a byte stream cannot have gaps.
async fn copy_delayed(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &LinkState,
    drop_fault: LinkFault,
) {
    let (sender, mut due) = mpsc::unbounded_channel::<Vec<u8>>();
    let read = async {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut dropping = false;
        while let Ok(length) = from.read(&mut buffer).await {
            let fault = current_fault(&state.fault);
            if length == 0 || fault == LinkFault::Cut {
                break;
            }
            dropping |= fault == drop_fault;
            if dropping {
                continue;
            }
            let chunk = buffer[..length].to_vec();
            let sender = sender.clone();
            state.line.run_at(state.due(), move || {
                let _ = sender.send(chunk);
            });
        }
        drop(sender);
    };
    let write = async {
        while let Some(chunk) = due.recv().await {
            if to.write_all(&chunk).await.is_err() {
                break;
            }
        }
        // An error means that the peer has closed the connection already.
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
