//! A few lines of blocking HTTP/1.1, enough for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message: its first line, its headers (names in lower case) and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with a read buffer.
pub struct Peer {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.socket.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a line without its end; `None` at the end of the connection.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    pub fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            line,
            ..Message::default()
        };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }

    /// Reads the next chunk of a chunked body; empty after the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let bytes = self.exact(size)?;
        self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(bytes)
    }

    /// Reads a message with a length or in chunks; `None` if the connection ends before it.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let part = self.chunk()?;
                if part.is_empty() {
                    return Ok(Some(message));
                }
                message.body.extend_from_slice(&part);
            }
        }
        let length = message.header("content-length").unwrap_or("0").parse();
        message.body = self.exact(length.map_err(|_| io::ErrorKind::InvalidData)?)?;
        Ok(Some(message))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }
}

/// Encodes a message with a length.
pub fn encode(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
