//! HTTP/1.1 test upstream whose behaviour depends on the path.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Counters of the upstream, and the health that it reports.
#[derive(Debug)]
pub(crate) struct UpstreamLog {
    /// Status of the response to `/health`.
    pub(crate) health: AtomicU16,
    /// Requests other than `/health` whose head was read.
    pub(crate) requests: AtomicU32,
    /// Connections that the agent closed before the response of `/hold`, `/events` or `/pausing` was complete.
    pub(crate) aborted: AtomicU32,
}

impl Default for UpstreamLog {
    fn default() -> Self {
        Self {
            health: AtomicU16::new(200),
            requests: AtomicU32::new(0),
            aborted: AtomicU32::new(0),
        }
    }
}

fn health(status: u16) -> String {
    format!("HTTP/1.1 {status} Health\r\ncontent-length: 0\r\n\r\n")
}

/// Starts an upstream that runs until the process ends.
pub(crate) fn start() -> (SocketAddrV4, Arc<UpstreamLog>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("bound to an IPv4 address");
    };
    let log = Arc::new(UpstreamLog::default());
    let shared = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let log = shared.clone();
            thread::spawn(move || serve(stream, &log));
        }
    });
    (address, log)
}

struct Head {
    path: String,
    length: usize,
    chunked: bool,
    timeout: String,
}

fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&size| size > 0)?;
    let path = line.split(' ').nth(1)?.to_string();
    let mut head = Head {
        path,
        length: 0,
        chunked: false,
        timeout: String::new(),
    };
    loop {
        let mut field = String::new();
        reader.read_line(&mut field).ok()?;
        let field = field.trim();
        if field.is_empty() {
            return Some(head);
        }
        let (name, value) = field.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => head.length = value.trim().parse().ok()?,
            "transfer-encoding" => head.chunked = true,
            "quetzalhill-timeout-ms" => head.timeout = value.trim().into(),
            _ => {}
        }
    }
}

fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    let mut body = vec![0; head.length];
    if !head.chunked {
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn answer(stream: &mut TcpStream, body: &[u8]) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

fn serve(mut stream: TcpStream, log: &UpstreamLog) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(head) = read_head(&mut reader) {
        if head.path == "/health" {
            let status = log.health.load(Ordering::SeqCst);
            if stream.write_all(health(status).as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let number = log.requests.fetch_add(1, Ordering::SeqCst) + 1;
        if head.path == "/answer-head" {
            let _ = stream.write_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nconnection: close\r\n\r\nhead",
            );
            return;
        }
        let Some(body) = read_body(&mut reader, &head) else {
            return;
        };
        let path = head.path.split('?').next().unwrap_or_default();
        let result = match path {
            "/echo" => answer(&mut stream, &body),
            "/count" => answer(&mut stream, number.to_string().as_bytes()),
            "/timeout" => answer(&mut stream, head.timeout.as_bytes()),
            "/large" => answer(&mut stream, &vec![b'x'; 300_000]),
            "/slow" => {
                thread::sleep(Duration::from_millis(800));
                answer(&mut stream, b"slow")
            }
            "/stream" => stream_parts(&mut stream, Duration::from_millis(20)),
            "/events" => event_stream(&mut stream, &mut reader, log),
            "/pausing" => pausing_stream(&mut stream, &mut reader, log),
            "/long-stream" => stream_parts(&mut stream, Duration::from_millis(700)),
            "/early" => {
                let _ =
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123456789");
                return;
            }
            "/die" => return,
            "/hold" => {
                wait_for_close(&stream, &mut reader, log);
                return;
            }
            _ => answer(&mut stream, b"hello"),
        };
        if result.is_err() {
            return;
        }
    }
}

/// Waits until the agent closes the connection, and counts it.
fn wait_for_close(stream: &TcpStream, reader: &mut impl Read, log: &UpstreamLog) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    if matches!(reader.read(&mut [0]), Ok(0)) {
        log.aborted.fetch_add(1, Ordering::SeqCst);
    }
}

fn event_stream(
    stream: &mut TcpStream,
    reader: &mut impl Read,
    log: &UpstreamLog,
) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n")?;
    stream.write_all(b"transfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n")?;
    wait_for_close(stream, reader, log);
    Err(std::io::ErrorKind::ConnectionAborted.into())
}

fn pausing_stream(
    stream: &mut TcpStream,
    reader: &mut impl Read,
    log: &UpstreamLog,
) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n")?;
    wait_for_close(stream, reader, log);
    Err(std::io::ErrorKind::ConnectionAborted.into())
}

fn stream_parts(stream: &mut TcpStream, pause: Duration) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
    for part in ["one ", "two ", "three"] {
        stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())?;
        thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n")
}
