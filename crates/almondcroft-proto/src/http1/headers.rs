//! Header fields in their order.

use smol_str::SmolStr;

/// Headers that concern one connection only and are never forwarded.
const PER_CONNECTION: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Holds one header field as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name, in the sender's spelling.
    pub name: SmolStr,
    /// The value's bytes, without surrounding blanks.
    pub value: Vec<u8>,
}

/// Holds header fields in the order in which they were received.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Appends a field.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.0.push(Header {
            name: name.into(),
            value: value.to_vec(),
        });
    }

    /// Iterates over all fields.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Iterates over the values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_slice())
    }

    /// Returns the first value of a field as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let header = self
            .0
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok()
    }

    /// Returns the number of fields with this name.
    #[must_use]
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// Returns whether a list-valued field names a token.
    #[must_use]
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns the fields that may be forwarded: all but those of one connection.
    #[must_use]
    pub fn end_to_end(&self) -> Self {
        let named = |name: &str| self.lists("connection", name);
        let kept = self.0.iter().filter(|header| {
            let name = header.name.as_str();
            !PER_CONNECTION
                .iter()
                .any(|known| name.eq_ignore_ascii_case(known))
                && !named(name)
        });
        Self(kept.cloned().collect())
    }

    /// Removes all fields with this name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|header| !header.name.eq_ignore_ascii_case(name));
    }

    /// Replaces all fields with this name by one.
    pub fn set(&mut self, name: &str, value: &[u8]) {
        self.remove(name);
        self.push(name, value);
    }

    /// Writes the fields as they stand on the wire.
    pub fn write(&self, out: &mut Vec<u8>) {
        for header in &self.0 {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&header.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
