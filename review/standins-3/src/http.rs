//! HTTP/1.1 messages.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.socket.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().into(), value.trim().into()));
            }
        }
    }

    /// Reads the next chunk; empty at the last one, `None` at the end of the connection.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(size) = self.line()? else {
            return Ok(None);
        };
        let size =
            usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let Some(mut data) = self.take(size + 2)? else {
            return Ok(None);
        };
        data.truncate(size);
        Ok(Some(data))
    }

    /// Reads a whole message; `None` if the connection ends before it is complete.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                match self.chunk()? {
                    None => return Ok(None),
                    Some(data) if data.is_empty() => return Ok(Some(message)),
                    Some(data) => message.body.extend_from_slice(&data),
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        match self.take(length.unwrap_or(0))? {
            Some(body) => {
                message.body = body;
                Ok(Some(message))
            }
            None => Ok(None),
        }
    }
}

/// Sends a message with a length.
pub fn send(
    socket: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}
