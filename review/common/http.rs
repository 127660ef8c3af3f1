//! HTTP/1.1 over TCP, as far as the stand-ins need it, and flat JSON bodies.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a connection of its own. `None` if no whole response came in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let address: SocketAddr = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes()).ok()?;
    writer.write_all(body.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader)?.1;
    Some((status, body))
}

/// A connection that a client keeps open.
pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Session {
    pub fn open(address: &str, timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(Self { writer: stream.try_clone().ok()?, reader: BufReader::new(stream) })
    }

    /// Sends a request with a deadline, and returns the status and body of its response. The error
    /// tells how the connection ended without one.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        body: &str,
        deadline: Duration,
    ) -> Result<(u16, String), String> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            deadline.as_millis(),
            body.len()
        );
        self.writer.write_all(request.as_bytes()).map_err(|error| format!("not sent: {error}"))?;
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => return Err("the connection was closed with no answer".into()),
            Ok(_) => {}
            Err(error) => return Err(format!("no answer: {error}")),
        }
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let response = status.zip(read_body(&mut self.reader));
        response.map(|(status, (_, body))| (status, body)).ok_or("half an answer".into())
    }
}

fn read_body(reader: &mut impl BufRead) -> Option<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Serves requests until the process ends; each connection has a thread.
pub fn serve(address: &str, handle: impl Fn(Request) -> (u16, String) + Clone + Send + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| {
        eprintln!("cannot listen on {address}: {error}");
        std::process::exit(2);
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || connection(stream, handle));
        }
    });
}

fn connection(stream: TcpStream, handle: impl Fn(Request) -> (u16, String)) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return Some(());
        }
        let mut words = line.split_whitespace();
        let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
        let (headers, body) = read_body(&mut reader)?;
        let (status, body) = handle(Request { method, path, headers, body });
        let response = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(response.as_bytes()).ok()?;
    }
}

/// The number in a field of a flat JSON object.
pub fn number(json: &str, key: &str) -> Option<u64> {
    let rest = field(json, key)?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// The string in a field of a flat JSON object; it must hold no escapes.
pub fn text(json: &str, key: &str) -> Option<String> {
    let rest = field(json, key)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_string())
}

fn field<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let key = format!("\"{key}\":");
    Some(json[json.find(&key)? + key.len()..].trim_start())
}
