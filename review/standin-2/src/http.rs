//! A small HTTP/1.1 server and client: one thread per connection, bodies with a length.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::value::Value;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Value,
}

impl Request {
    pub fn param(&self, name: &str) -> String {
        self.query.iter().find(|(k, _)| k == name).map(|(_, v)| v.clone()).unwrap_or_default()
    }
}

/// A response: status and body. None: the request is never answered; the connection stays open until the peer closes.
pub type Answer = Option<(u16, Value)>;

/// Serves requests on a free port of the loopback interface, and returns its address.
pub fn serve(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::Builder::new().stack_size(256 * 1024).spawn(move || drop(connection(stream, &*handler))).ok();
        }
    });
    addr
}

fn connection(stream: TcpStream, handler: &(dyn Fn(Request) -> Answer + Send + Sync)) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let Some((first, headers)) = head(&mut input)? else { return Ok(()) };
        let body = body(&mut input, &headers)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query =
            query.split('&').filter_map(|p| p.split_once('=')).map(|(k, v)| (k.to_owned(), decode(v))).collect();
        let value = Value::unpack(&body).unwrap_or(Value::Null);
        let request = Request { method, path: decode(path), query, body: value };
        let Some((status, answer)) = handler(request) else {
            // Never answered: wait until the other side gives up.
            let mut rest = Vec::new();
            input.read_to_end(&mut rest)?;
            return Ok(());
        };
        let answer = answer.pack();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        out.write_all(&[head.as_bytes(), &answer].concat())?;
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let hex =
            (bytes[i] == b'%').then(|| text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok())).flatten();
        out.push(hex.unwrap_or(bytes[i]));
        i += if hex.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Headers = Vec<(String, String)>;

fn head(input: &mut impl BufRead) -> std::io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
    Ok(Some((first.trim_end().to_owned(), headers)))
}

fn body(input: &mut impl BufRead, headers: &Headers) -> std::io::Result<Vec<u8>> {
    let header = |name: &str| headers.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str());
    let mut out = Vec::new();
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let n = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; n + 2];
            input.read_exact(&mut chunk)?;
            if n == 0 {
                return Ok(out);
            }
            out.extend(&chunk[..n]);
        }
    }
    out.resize(header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0), 0);
    input.read_exact(&mut out)?;
    Ok(out)
}

/// Sends one request on a connection of its own. None: no response within the timeout, or the connection failed.
pub fn call(addr: &str, method: &str, path: &str, body: Option<&Value>, timeout: Duration) -> Option<(u16, Value)> {
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let body = body.map(Value::pack).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    // A server may answer before it has read a large body, and close; the answer is read all the same.
    let _ = stream.write_all(&body);
    let mut input = BufReader::new(stream);
    let (first, headers) = head_of(&mut input)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = self::body(&mut input, &headers).unwrap_or_default();
    Some((status, Value::unpack(&body).unwrap_or(Value::Null)))
}

fn head_of(input: &mut impl BufRead) -> Option<(String, Headers)> {
    head(input).ok().flatten()
}
