//! HTTP/1.1 over TCP: a client with kept connections, and the messages of a server.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response that was read whole.
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }
}

/// Reads a message; `None` if the connection ends or the read times out before its end.
pub fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        let length = stream.read(&mut buffer).ok()?;
        if length == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..length]);
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).ok()?;
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_string();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = bytes[head_end + 4..].to_vec();
    while body.len() < length {
        let more = stream.read(&mut buffer).ok()?;
        if more == 0 {
            return None;
        }
        body.extend_from_slice(&buffer[..more]);
    }
    Some(Message { start, headers, body: String::from_utf8_lossy(&body[..length]).into() })
}

/// Writes a response with a JSON body.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())
}

/// A client of one address that keeps its connection open.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Status and body of the response; `None` without a complete one in time. The connection is kept
    /// for the next call, and dropped if there was no response.
    pub fn call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.address, timeout).ok()?,
        };
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let response = read(&mut stream)?;
        let status = response.status()?;
        if !response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.stream = Some(stream);
        }
        Some((status, response.body))
    }
}

/// One call over a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    Client::new(address).call(method, host, path, body, timeout)
}
