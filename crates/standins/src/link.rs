//! Stand-in for the network between two instances: forwards datagrams and TCP connections with a one-way delay.

use crate::delay::{DelayHandle, DelayLine};
use anyhow::{Context, Result};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch, Notify};

const DATAGRAM_MAX_BYTES: usize = 65_536;
const CHUNK_BYTES: usize = 16_384;

/// Time from a request from which its answer counts as that of a waiting call, since the store answers others at once.
const WAITING_MIN: Duration = Duration::from_millis(50);

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
    /// Data in both directions is dropped. A connection that has lost data stays open, but drops all later data too,
    /// even after the fault.
    Silent,
    /// Answers of calls that have waited, such as long polls, are dropped after the target has executed the calls. Their
    /// connections are closed, or stay open and drop all later data too, even after the fault.
    LoseWaiting {
        /// Whether the connections are closed.
        close: bool,
    },
    /// Connections that are open at the start of the fault, idle ones too, drop all data from then on, even after the
    /// fault. New connections work.
    Freeze,
    /// Open connections are reset at the start of the fault, and new ones as soon as they are accepted.
    Reset,
    /// Open connections are reset at the start of the fault, and new ones are refused.
    Refuse,
    /// HTTP calls that arrive, or whose answers come, get an answer with this status and no body, and their connections
    /// are closed. Calls that arrive have no effect.
    Answer(u16),
}

/// A link to one target address. It forwards datagrams only to the target, and TCP connections in both directions.
pub struct LinkStandin {
    address: SocketAddrV4,
    fault: watch::Sender<LinkFault>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    _line: DelayLine,
}

struct LinkState {
    address: SocketAddrV4,
    target: SocketAddrV4,
    delay: Duration,
    line: DelayHandle,
    fault: watch::Receiver<LinkFault>,
}

impl LinkState {
    fn fault(&self) -> LinkFault {
        *self.fault.borrow()
    }

    /// Returns when data that arrives now has to be forwarded.
    fn due(&self) -> Instant {
        let extra = match self.fault() {
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
        let (fault, current_fault) = watch::channel(LinkFault::None);
        let state = Arc::new(LinkState {
            address,
            target,
            delay,
            line: line.handle(),
            fault: current_fault,
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
        self.fault.send_replace(fault);
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
            state.fault(),
            LinkFault::Cut | LinkFault::DropToTarget | LinkFault::Silent
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
    let mut fault = state.fault.clone();
    let mut listener = TcpListener::from_std(listener)?;
    loop {
        if *fault.borrow_and_update() == LinkFault::Refuse {
            drop(listener);
            while *fault.borrow_and_update() == LinkFault::Refuse {
                fault.changed().await?;
            }
            listener = TcpListener::bind(state.address).await?;
        }
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else {
                    continue;
                };
                tokio::spawn(proxy_connection(client, Arc::clone(&state)));
            }
            changed = fault.changed() => changed?,
        }
    }
}

/// State that both directions of a connection share.
struct LinkConnection {
    state: Arc<LinkState>,
    /// Whether the connection stays open but drops all data.
    dead: AtomicBool,
    /// When the client sent data last.
    asked: Mutex<Instant>,
}

/// What happens to a chunk that has arrived.
enum ChunkFate {
    Forward,
    /// This chunk and all later ones of this direction are dropped.
    Drop,
    /// The direction is closed.
    Close,
    /// The client gets an answer with this status, and its connection is closed.
    Answer(u16),
}

impl LinkConnection {
    fn fate_to_target(&self) -> ChunkFate {
        *self.asked.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        match self.state.fault() {
            LinkFault::Cut => ChunkFate::Close,
            LinkFault::Answer(status) => ChunkFate::Answer(status),
            LinkFault::Silent => self.die(),
            LinkFault::DropToTarget => ChunkFate::Drop,
            _ => ChunkFate::Forward,
        }
    }

    fn fate_from_target(&self) -> ChunkFate {
        let asked = *self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        match self.state.fault() {
            LinkFault::Cut => ChunkFate::Close,
            LinkFault::Answer(status) => ChunkFate::Answer(status),
            LinkFault::Silent => self.die(),
            LinkFault::DropFromTarget => ChunkFate::Drop,
            LinkFault::LoseWaiting { close } if asked.elapsed() >= WAITING_MIN => match close {
                true => ChunkFate::Close,
                false => self.die(),
            },
            _ => ChunkFate::Forward,
        }
    }

    fn die(&self) -> ChunkFate {
        self.dead.store(true, Ordering::Relaxed);
        ChunkFate::Drop
    }

    /// Applies faults that concern open connections when they start, and returns when the connection has to be reset.
    async fn await_reset(&self, mut fault: watch::Receiver<LinkFault>) {
        while fault.changed().await.is_ok() {
            match *fault.borrow_and_update() {
                LinkFault::Freeze => self.dead.store(true, Ordering::Relaxed),
                LinkFault::Reset | LinkFault::Refuse => return,
                _ => {}
            }
        }
    }
}

async fn proxy_connection(mut client: TcpStream, state: Arc<LinkState>) {
    let mut fault = state.fault.clone();
    if matches!(
        *fault.borrow_and_update(),
        LinkFault::Reset | LinkFault::Refuse
    ) {
        // An error means that the peer has closed the connection already.
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(mut server) = TcpStream::connect(state.target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let connection = LinkConnection {
        state,
        dead: AtomicBool::new(false),
        asked: Mutex::new(Instant::now()),
    };
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let (to_server, server_due) = mpsc::unbounded_channel();
    let (to_client, client_due) = mpsc::unbounded_channel();
    let answers = to_client.downgrade();
    let client_closed = Notify::new();
    let copy = async {
        tokio::join!(
            async {
                let fate = || connection.fate_to_target();
                read_delayed(client_read, to_server, answers, &connection, fate).await;
                client_closed.notify_one();
            },
            async {
                let (answers, fate) = (to_client.downgrade(), || connection.fate_from_target());
                let to = to_client.clone();
                read_delayed(server_read, to, answers, &connection, fate).await;
                // The target closes idle connections, of which a client of a dead connection must learn nothing.
                if connection.dead.load(Ordering::Relaxed) {
                    client_closed.notified().await;
                }
                drop(to_client);
            },
            write_due(server_write, server_due),
            write_due(client_write, client_due),
        );
    };
    tokio::select! {
        () = copy => {}
        () = connection.await_reset(fault) => {
            let _ = client.set_zero_linger();
        }
    }
}

/// Reads one direction of a connection until either side closes it. Chunks keep their order, and each is delayed. Once
/// a chunk is dropped, all later ones are dropped too, since a byte stream cannot have gaps.
async fn read_delayed(
    mut from: ReadHalf<'_>,
    to: mpsc::UnboundedSender<Vec<u8>>,
    answers: mpsc::WeakUnboundedSender<Vec<u8>>,
    connection: &LinkConnection,
    fate: impl Fn() -> ChunkFate,
) {
    let state = &connection.state;
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut dropping = false;
    let mut last_due = Instant::now();
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let fate = fate();
        if dropping || connection.dead.load(Ordering::Relaxed) {
            continue;
        }
        match fate {
            ChunkFate::Forward => {}
            ChunkFate::Close => return,
            ChunkFate::Drop => {
                dropping = true;
                continue;
            }
            ChunkFate::Answer(status) => {
                let head = format!(
                    "HTTP/1.1 {status} Fault\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
                );
                if let Some(answers) = answers.upgrade() {
                    // The writer has ended if the client has closed the connection.
                    let _ = answers.send(head.into_bytes());
                }
                return;
            }
        }
        last_due = last_due.max(state.due());
        let (chunk, to) = (buffer[..length].to_vec(), to.clone());
        state.line.run_at(last_due, move || {
            let _ = to.send(chunk);
        });
    }
}

/// Writes the chunks of one direction until no more can come, and closes it.
async fn write_due(mut to: WriteHalf<'_>, mut due: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(chunk) = due.recv().await {
        if to.write_all(&chunk).await.is_err() {
            break;
        }
    }
    // An error means that the peer has closed the connection already.
    let _ = to.shutdown().await;
}
