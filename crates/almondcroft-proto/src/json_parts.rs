//! Splits a JSON text into the texts of its parts without reading these.
//!
//! A JSON library refuses a whole list if one value in it is nested too deeply, holds a number that is out of range or
//! bytes that are no UTF-8. A list to which others write is therefore split first, and each part is read on its own.
//!
//! ```
//! use almondcroft_proto::json_parts::elements;
//!
//! assert_eq!(elements(b"[1e400, {\"a\": 1}]"), Some(vec![&b"1e400"[..], b"{\"a\": 1}"]));
//! ```

/// Returns the texts of the elements of an array; `None` if the text is no array.
#[must_use]
pub fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut scanner = Scanner::enter(text, b'[')?;
    let mut elements = Vec::new();
    while !scanner.skip_close(b']')? {
        elements.push(scanner.take_value()?);
    }
    Some(elements)
}

/// Returns the names of the members of an object, as written, with the texts of their values; `None` if the text is
/// no object.
#[must_use]
pub fn members(text: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let mut scanner = Scanner::enter(text, b'{')?;
    let mut members = Vec::new();
    while !scanner.skip_close(b'}')? {
        let name = scanner.take_string()?;
        scanner.skip_spaces();
        scanner.skip(b':')?;
        members.push((name, scanner.take_value()?));
    }
    Some(members)
}

/// Returns the text of the last member of this name.
#[must_use]
pub fn member<'a>(members: &[(&[u8], &'a [u8])], name: &str) -> Option<&'a [u8]> {
    let mut matching = members
        .iter()
        .rev()
        .filter(|(key, _)| key[1..key.len() - 1] == *name.as_bytes());
    matching.next().map(|(_, value)| *value)
}

/// Reads a text from the start.
struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Scanner<'a> {
    /// Starts after the bracket that opens the text.
    fn enter(text: &'a [u8], bracket: u8) -> Option<Self> {
        let mut scanner = Self { text, at: 0 };
        scanner.skip_spaces();
        scanner.skip(bracket)?;
        Some(scanner)
    }

    fn peek(&self) -> Option<u8> {
        self.text.get(self.at).copied()
    }

    fn skip(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn skip_spaces(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    /// Skips a comma; returns whether the closing bracket came instead.
    fn skip_close(&mut self, bracket: u8) -> Option<bool> {
        self.skip_spaces();
        if self.peek()? == b',' {
            self.at += 1;
            self.skip_spaces();
        }
        match self.peek()? {
            byte if byte == bracket => {
                self.at += 1;
                Some(true)
            }
            b']' | b'}' => None,
            _ => Some(false),
        }
    }

    /// Returns a string with its quotes.
    fn take_string(&mut self) -> Option<&'a [u8]> {
        let start = self.at;
        self.skip(b'"')?;
        loop {
            match self.peek()? {
                b'\\' => self.at += 2,
                b'"' => break,
                _ => self.at += 1,
            }
        }
        self.at += 1;
        self.text.get(start..self.at)
    }

    /// Returns a value of any depth; empty if it is missing.
    fn take_value(&mut self) -> Option<&'a [u8]> {
        self.skip_spaces();
        let start = self.at;
        let mut depth = 0_usize;
        loop {
            match self.peek()? {
                b'"' => {
                    self.take_string()?;
                }
                b'[' | b'{' => {
                    depth += 1;
                    self.at += 1;
                }
                b']' | b'}' | b',' if depth == 0 => break,
                b']' | b'}' => {
                    depth -= 1;
                    self.at += 1;
                }
                _ => self.at += 1,
            }
        }
        Some(self.text[start..self.at].trim_ascii_end())
    }
}
