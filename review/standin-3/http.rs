//! A small HTTP/1.1 server with a thread for each connection, and a blocking client.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request as a server received it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Header fields by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// The answer to a request.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

type Handler = dyn Fn(&Request) -> Response + Send + Sync;

/// A server that can be stopped like a process that is killed: its listener and its connections are
/// closed at once.
pub struct Server {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves requests at `listener` until it is stopped.
    pub fn start(listener: TcpListener, handler: Arc<Handler>) -> io::Result<Self> {
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        listener.set_nonblocking(true)?;
        let (stop, open) = (stopped.clone(), connections.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    open.lock().unwrap().push(clone);
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Self { stopped, connections })
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut input) {
        let response = handler(&request);
        let head = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut message = head.into_bytes();
        message.extend(response.body);
        if output.write_all(&message).is_err() {
            return;
        }
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), parse_query(query));
    let (headers, body) = read_rest(input)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

/// Reads header fields and a body with `Content-Length`.
fn read_rest(input: &mut BufReader<TcpStream>) -> io::Result<(HashMap<String, String>, Vec<u8>)> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok((headers, body))
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A client that keeps one connection open as long as the server does.
pub struct Client {
    to: SocketAddr,
    host: String,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr, host: &str) -> Self {
        Self { to, host: host.to_owned(), connection: None }
    }

    /// Sends a request and returns status and body; `None` without a complete answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let answer = self.try_call(method, path, body, timeout);
        match answer {
            Ok((status, body, keep)) => {
                if !keep {
                    self.connection = None;
                }
                Some((status, body))
            }
            Err(_) => {
                self.connection = None;
                None
            }
        }
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> io::Result<(u16, String, bool)> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, timeout)?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let Some(connection) = self.connection.as_mut() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        connection.get_ref().set_read_timeout(Some(timeout))?;
        let message = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.host,
            timeout.as_millis(),
            body.len()
        );
        connection.get_mut().write_all(message.as_bytes())?;
        let mut line = String::new();
        connection.read_line(&mut line)?;
        let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let (headers, body) = read_rest(connection)?;
        let keep = headers.get("connection").is_none_or(|value| value != "close");
        Ok((status, String::from_utf8_lossy(&body).into_owned(), keep))
    }
}
