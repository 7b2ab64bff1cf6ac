//! Header fields in the order received.

use smol_str::SmolStr;

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
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

/// One header field as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name, in its original case.
    pub name: SmolStr,
    /// The raw value, without surrounding white space.
    pub value: Vec<u8>,
}

/// Header fields in the order in which they were received.
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

    /// Returns whether a comma-separated field contains `token`, ignoring case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns the fields that may be forwarded, without the hop-by-hop fields.
    #[must_use]
    pub fn end_to_end(&self) -> Self {
        let is_listed = |name: &str| self.has_token("connection", name);
        let forwarded = self.0.iter().filter(|header| {
            let name = header.name.as_str();
            !HOP_BY_HOP
                .iter()
                .any(|known| name.eq_ignore_ascii_case(known))
                && !is_listed(name)
        });
        Self(forwarded.cloned().collect())
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

    /// Writes the fields in wire format.
    pub fn write(&self, out: &mut Vec<u8>) {
        for header in &self.0 {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&header.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
