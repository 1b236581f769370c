//! A small HTTP/1.1 server, one thread a connection, and a client that uses a connection once.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Option<Self> {
        Some(Self { status, body: body.into() })
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = dyn Fn(&Request) -> Option<Response> + Send + Sync;

pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = connection(stream, &*handler);
            });
        }
    });
}

fn connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(&request) else { return Ok(()) };
        let close = request.header("connection").is_some_and(|value| value == "close");
        let mut head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            response.status,
            response.body.len()
        );
        if close {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let query = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let query = query.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    let path = path.to_owned();
    let (headers, length) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<(Vec<(String, String)>, usize)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok((headers, length));
        }
        let (name, value) = line.trim().split_once(':').unwrap_or((line.trim(), ""));
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own; the status is 0 if there was no whole answer.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    try_call(peer, method, path, headers, body, timeout).unwrap_or((0, String::new()))
}

fn try_call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&peer, timeout)?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Connection: close\r\nContent-Length: {}\r\n\r\n", body.len()));
    request.push_str(body);
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let (_, length) = read_headers(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
