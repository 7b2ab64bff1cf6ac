//! Parsing of request and response heads.

use super::{BodyKind, Headers};
use smol_str::SmolStr;
use std::fmt;

/// Maximum number of header fields in one head.
const MAX_HEADERS: usize = 96;

/// The reason why a message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes violate the HTTP/1.1 grammar, or two parsers could frame them differently.
    Malformed,
    /// The head is longer than allowed.
    TooLarge,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
        })
    }
}

impl std::error::Error for FrameError {}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: SmolStr,
    /// The request target: path and query as received.
    pub uri: String,
    /// Minor version: 1 for HTTP/1.1, 0 for HTTP/1.0.
    pub minor: u8,
    /// The header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.uri.split('?').next().unwrap_or_default()
    }

    /// Returns how the body is framed.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Malformed`] for conflicting lengths or an unsupported transfer coding.
    pub fn body_kind(&self) -> Result<BodyKind, FrameError> {
        let kind = body_framing(&self.headers, self.minor)?;
        Ok(kind.unwrap_or(BodyKind::Length(0)))
    }

    /// Returns whether the client wants the connection to stay open.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.minor == 1 && !self.headers.has_token("connection", "close")
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// Minor version: 1 for HTTP/1.1, 0 for HTTP/1.0.
    pub minor: u8,
    /// The header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Returns how the body is framed, given the request's method.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Malformed`] for conflicting lengths or an unsupported transfer coding.
    pub fn body_kind(&self, method: &str) -> Result<BodyKind, FrameError> {
        let kind = body_framing(&self.headers, self.minor)?;
        if method == "HEAD" || self.status < 200 || matches!(self.status, 204 | 304) {
            return Ok(BodyKind::Length(0));
        }
        Ok(kind.unwrap_or(BodyKind::CloseDelimited))
    }

    /// Returns whether the connection may carry another request after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.minor == 1 && !self.headers.has_token("connection", "close")
    }
}

/// Parses the head of a request; returns it with its length, or `None` if more bytes are needed.
///
/// # Errors
///
/// Returns [`FrameError`] if the bytes are not a request or the head is longer than `limit` bytes.
pub fn parse_request(
    bytes: &[u8],
    limit: usize,
) -> Result<Option<(RequestHead, usize)>, FrameError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    let used = match request.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used <= limit => used,
        Ok(httparse::Status::Partial) if bytes.len() < limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(FrameError::TooLarge),
        Err(_) => return Err(FrameError::Malformed),
    };
    check_lines(&bytes[..used])?;
    let (Some(method), Some(uri), Some(minor)) = (request.method, request.path, request.version)
    else {
        return Err(FrameError::Malformed);
    };
    let head = RequestHead {
        method: method.into(),
        uri: uri.to_owned(),
        minor,
        headers: to_headers(request.headers),
    };
    let hosts = head.headers.count("host");
    if hosts != 1 || !head.uri.starts_with('/') {
        return Err(FrameError::Malformed);
    }
    Ok(Some((head, used)))
}

/// Parses the head of a response; returns it with its length, or `None` if more bytes are needed.
///
/// # Errors
///
/// Returns [`FrameError`] if the bytes are not a response, the status is none of 100 to 599 or is 101, or the head is longer
/// than `limit` bytes.
pub fn parse_response(
    bytes: &[u8],
    limit: usize,
) -> Result<Option<(ResponseHead, usize)>, FrameError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let used = match response.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used <= limit => used,
        Ok(httparse::Status::Partial) if bytes.len() < limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(FrameError::TooLarge),
        Err(_) => return Err(FrameError::Malformed),
    };
    check_lines(&bytes[..used])?;
    let (Some(status), Some(minor)) = (response.code, response.version) else {
        return Err(FrameError::Malformed);
    };
    if !is_valid_status(status) {
        return Err(FrameError::Malformed);
    }
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        minor,
        headers: to_headers(response.headers),
    };
    Ok(Some((head, used)))
}

/// Returns whether a response may have a status: RFC 9110, section 15, defines the classes 1xx to 5xx.
///
/// 101 answers a request to change the protocol, which is never sent, and what follows it is no HTTP.
const fn is_valid_status(status: u16) -> bool {
    matches!(status, 100 | 102..=599)
}

fn to_headers(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        headers.push(field.name, field.value);
    }
    headers
}

/// Rejects bare line feeds and leading white space, which parsers treat differently.
fn check_lines(head: &[u8]) -> Result<(), FrameError> {
    if head.first().is_some_and(u8::is_ascii_whitespace) {
        return Err(FrameError::Malformed);
    }
    let mut previous = 0;
    for &byte in head {
        if byte == b'\n' && previous != b'\r' {
            return Err(FrameError::Malformed);
        }
        previous = byte;
    }
    Ok(())
}

fn body_framing(headers: &Headers, minor: u8) -> Result<Option<BodyKind>, FrameError> {
    let codings = headers.count("transfer-encoding");
    let lengths = headers.count("content-length");
    if codings > 0 {
        let chunked = headers
            .text("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if codings > 1 || lengths > 0 || !chunked || minor == 0 {
            return Err(FrameError::Malformed);
        }
        return Ok(Some(BodyKind::Chunked));
    }
    match lengths {
        0 => Ok(None),
        1 => {
            let text = headers
                .text("content-length")
                .filter(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()))
                .ok_or(FrameError::Malformed)?;
            let length = text.parse().map_err(|_| FrameError::Malformed)?;
            Ok(Some(BodyKind::Length(length)))
        }
        _ => Err(FrameError::Malformed),
    }
}
