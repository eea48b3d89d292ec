//! HTTP/1.1 of the stand-ins, without libraries.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// A request as it was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as it was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn id(&self) -> &str {
        self.header(ID).unwrap_or("")
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub const ID: &str = "X-Jasminefield-Request-Id";
pub const SEAL: &str = "X-Jasminefield-Response-Seal";

/// One connection and the bytes that were read ahead on it.
pub struct Connection {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; `false` at the end of the connection, on an error or after the read timeout.
    pub fn fill(&mut self) -> bool {
        let mut part = [0; 64 << 10];
        match self.stream.read(&mut part) {
            Ok(read @ 1..) => {
                self.buf.extend_from_slice(&part[..read]);
                true
            }
            _ => false,
        }
    }

    /// Reads the lines of a head.
    fn head(&mut self) -> Option<Vec<String>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|part| part == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return Some(head.split("\r\n").map(str::to_owned).collect());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buf.drain(..length).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads a body by its framing. A message with a transfer coding is framed by it, whatever length it states.
    fn body(&mut self, headers: &[(String, String)]) -> Option<Vec<u8>> {
        let coding = find(headers, "Transfer-Encoding").unwrap_or("");
        if coding.eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let length = line.split(';').next().unwrap_or("").trim();
                let length = usize::from_str_radix(length, 16).ok()?;
                body.extend(self.take(length)?);
                self.line()?;
                if length == 0 {
                    return Some(body);
                }
            }
        }
        let length = find(headers, "Content-Length").unwrap_or("0");
        self.take(length.trim().parse().ok()?)
    }

    /// Reads the head of a request.
    pub fn read_head(&mut self) -> Option<Request> {
        let lines = self.head()?;
        let mut words = lines[0].split(' ');
        Some(Request {
            method: words.next()?.to_owned(),
            path: words.next()?.to_owned(),
            headers: headers(&lines[1..]),
            body: Vec::new(),
        })
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, request: &mut Request) -> bool {
        let headers = request.headers.clone();
        match self.body(&headers) {
            Some(body) => request.body = body,
            None => return false,
        }
        true
    }

    pub fn read_request(&mut self) -> Option<Request> {
        let mut request = self.read_head()?;
        self.read_body(&mut request).then_some(request)
    }

    /// Reads a response by its framing; one without any ends with the connection.
    pub fn read_response(&mut self, limit: Duration) -> Option<Response> {
        let until = Instant::now() + limit;
        self.stream.set_read_timeout(Some(limit)).ok()?;
        loop {
            let lines = self.head()?;
            let status = lines[0].split(' ').nth(1)?.parse().ok()?;
            let headers = headers(&lines[1..]);
            if (100..200).contains(&status) {
                continue;
            }
            let left = until.saturating_duration_since(Instant::now());
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
            let body = self.body(&headers)?;
            return Some(Response { status, headers, body });
        }
    }

    pub fn respond(&mut self, status: u16, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).is_ok()
    }
}

fn headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3F");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= part.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * place) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
