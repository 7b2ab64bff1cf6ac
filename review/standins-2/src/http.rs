//! Blocking HTTP/1.1 for stand-ins and clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const ID: &str = "X-Almondcroft-Request-Id";
pub const STAMP: &str = "X-Almondcroft-Response-Stamp";
pub const NOT_RUN: &str = "X-Almondcroft-Not-Executed";
pub const EXPECT: &str = "X-Almondcroft-Expect-Instance";

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the connection ended without a status line.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    headers
        .find(|(field, _)| field.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn read_line(socket: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        match socket.read(&mut byte) {
            Ok(1) => line.push(byte[0]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            _ => return None,
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return String::from_utf8(line).ok();
        }
    }
}

fn read_headers(socket: &mut impl Read) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(socket)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(socket: &mut impl Read) -> Option<Request> {
    let first = read_line(socket)?;
    let mut parts = first.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = read_headers(socket)?;
    let mut request = Request {
        method,
        target,
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    request.body = vec![0; length];
    socket.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Sends a whole response.
pub fn respond(
    socket: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    socket.write_all(&[text.as_bytes(), body].concat())
}

/// Sends a request on a new connection and reads its answer; each part of a chunked body is passed on as it arrives.
pub fn call(
    address: SocketAddr,
    text: &str,
    patience: Duration,
    mut on_part: impl FnMut(&[u8]),
) -> Answer {
    let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = socket.set_read_timeout(Some(patience));
    let _ = socket.set_nodelay(true);
    if socket.write_all(text.as_bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut socket, &mut on_part)
}

pub fn read_answer(socket: &mut impl Read, on_part: &mut impl FnMut(&[u8])) -> Answer {
    let mut answer = Answer::default();
    let Some(first) = read_line(socket) else {
        return answer;
    };
    answer.status = first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    let Some(headers) = read_headers(socket) else {
        return answer;
    };
    answer.headers = headers;
    if let Some(length) = answer.header("content-length") {
        answer.body = vec![0; length.parse().unwrap_or_default()];
        answer.complete = socket.read_exact(&mut answer.body).is_ok();
        return answer;
    }
    loop {
        let Some(size) = read_line(socket).and_then(|line| usize::from_str_radix(&line, 16).ok())
        else {
            return answer;
        };
        let mut chunk = vec![0; size + 2];
        if socket.read_exact(&mut chunk).is_err() {
            return answer;
        }
        if size == 0 {
            answer.complete = true;
            return answer;
        }
        on_part(&chunk[..size]);
        answer.body.extend_from_slice(&chunk[..size]);
    }
}
