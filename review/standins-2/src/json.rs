//! Raw texts of the members of a JSON object; enough for what the gateway sends.

/// Returns the text of a member's value.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        while bytes.get(at)?.is_ascii_whitespace() || bytes[at] == b',' {
            at += 1;
        }
        if bytes[at] == b'}' {
            return None;
        }
        let end = skip_value(bytes, at)?;
        let key = text[at..end].trim_matches('"');
        at = end;
        while bytes.get(at)?.is_ascii_whitespace() || bytes[at] == b':' {
            at += 1;
        }
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = end;
    }
}

/// Returns a member that is a string without escapes.
pub fn string(text: &str, name: &str) -> Option<String> {
    let value = member(text, name)?;
    Some(value.strip_prefix('"')?.strip_suffix('"')?.to_owned())
}

fn skip_value(bytes: &[u8], mut at: usize) -> Option<usize> {
    if *bytes.get(at)? == b'"' {
        at += 1;
        while *bytes.get(at)? != b'"' {
            at += if bytes[at] == b'\\' { 2 } else { 1 };
        }
        return Some(at + 1);
    }
    let mut depth = 0;
    loop {
        match *bytes.get(at)? {
            b'"' => {
                at = skip_value(bytes, at)?;
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            b',' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
    }
}
