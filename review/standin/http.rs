//! A small HTTP/1.1 server and client over threads, enough for stand-ins on loopback addresses.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a stand-in receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A response that a stand-in sends.
pub struct Response {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self { status, content_type: "application/json", body: body.into_bytes() }
    }

    pub fn raw(body: Vec<u8>) -> Self {
        Self { status: 200, content_type: "application/octet-stream", body }
    }
}

/// Serves every connection on a thread of its own, for as long as the process lives.
pub fn serve(listen: SocketAddr, handle: Arc<dyn Fn(Request) -> Response + Send + Sync>) {
    let listener = TcpListener::bind(listen).unwrap_or_else(|error| {
        eprintln!("cannot listen on {listen}: {error}");
        std::process::exit(2);
    });
    for stream in listener.incoming().flatten() {
        let handle = handle.clone();
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut stream = stream;
            let mut buffer = Vec::new();
            while let Some(request) = read_request(&mut stream, &mut buffer) {
                let response = handle(request);
                let head = format!(
                    "HTTP/1.1 {} X\r\ncontent-type: {}\r\ncontent-length: {}\r\n\r\n",
                    response.status,
                    response.content_type,
                    response.body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&response.body);
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (first, headers, body) = read_message(stream, buffer)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Reads one message: its first line, its headers by lower-case name, and its body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut chunk = [0; 65_536];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buffer.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize =
        headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + 4 + length {
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buffer.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
    let body = buffer[head_end + 4..head_end + 4 + length].to_vec();
    buffer.drain(..head_end + 4 + length);
    Some((first, headers, body))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let hex: Vec<u8> = rest.by_ref().take(2).collect();
                let hex = String::from_utf8_lossy(&hex).into_owned();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own; `None` if no complete response came in time.
pub fn call(
    peer: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&peer, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {target} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("host: {peer}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}
