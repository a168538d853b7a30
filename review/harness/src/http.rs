//! HTTP/1.1 over loopback: a server with one thread a connection, and a client with one connection a request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::msgpack::{Value, decode, encode};

pub struct Request {
    pub method: String,
    pub path: String,
    query: String,
    pub body: Value,
}

impl Request {
    /// A parameter of the query, with percent-encoding undone.
    pub fn param(&self, name: &str) -> Option<String> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, v)| unescape(v))
    }
}

pub fn unescape(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let code = text.get(i + 1..i + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| bytes[i] == b'%');
        out.push(code.unwrap_or(bytes[i]));
        i += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A response; none as the whole answer means that the request is never answered.
pub type Answer = Option<(u16, Value)>;

/// Reads headers up to the empty line; returns the first line and the length of the body, none if chunked or absent.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Option<usize>, bool)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut chunked) = (None, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return Some((first.trim().to_owned(), length, chunked));
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok();
        }
        chunked |= line.starts_with("transfer-encoding:") && line.contains("chunked");
    }
}

fn read_body(reader: &mut impl BufRead, length: Option<usize>, chunked: bool) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if !chunked {
        body.resize(length.unwrap_or(0), 0);
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
        body.extend(&chunk[..size]);
    }
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, length, chunked) = read_head(&mut reader)?;
        let body = read_body(&mut reader, length, chunked)?;
        let mut parts = first.split(' ');
        let (method, target) = (parts.next()?.to_owned(), parts.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = decode(&body).unwrap_or(Value::Null);
        let request = Request { method, path: unescape(path), query: query.to_owned(), body };
        let Some((status, value)) = handler(request) else {
            // Never answered: the connection stays open until the caller closes it.
            let _ = reader.read(&mut [0; 1]);
            return None;
        };
        let body = encode(&value);
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(head.as_bytes()).ok()?;
        writer.write_all(&body).ok()?;
    }
}

/// Serves a handler on a free port of the loopback interface, and returns the address.
pub fn serve(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    let handler: Arc<dyn Fn(Request) -> Answer + Send + Sync> = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    addr
}

/// An address on the loopback interface that was free at the time of the call, for a server that is started again at the
/// same address. It is below the ports that the system gives to clients.
pub fn free_addr() -> String {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (std::process::id().wrapping_mul(37) + n.wrapping_mul(101)) % 20_000;
        if let Ok(addr) = TcpListener::bind(("127.0.0.1", port as u16)).and_then(|l| l.local_addr()) {
            return addr.to_string();
        }
    }
}

/// Sends one request. None: no connection, or no complete answer within the timeout.
pub fn call(addr: &str, method: &str, path: &str, body: Option<&Value>, timeout: Duration) -> Option<(u16, Value)> {
    let until = Instant::now() + timeout;
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let body = body.map(encode).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.set_write_timeout(Some(timeout));
    stream.write_all(head.as_bytes()).ok()?;
    // A server may answer and close before it has read the whole body.
    let _ = stream.write_all(&body);
    let mut bytes = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => bytes.extend(&buffer[..n]),
            Err(_) if bytes.is_empty() => return None,
            Err(_) => break,
        }
    }
    let mut reader = BufReader::new(&bytes[..]);
    let (first, length, chunked) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, length, chunked)?;
    Some((status, decode(&body).unwrap_or(Value::Null)))
}
