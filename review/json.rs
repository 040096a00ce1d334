//! Finds fields in the JSON text that the tested program sends.

/// Returns the end of the JSON value that starts at `start`.
fn value_end(text: &[u8], start: usize) -> usize {
    let (mut depth, mut at, mut quoted) = (0, start, false);
    while at < text.len() {
        match text[at] {
            b'\\' if quoted => at += 1,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return at + 1;
                }
            }
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth > 0 => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' | b'}' | b']' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

/// Returns the text of a field of the object `text`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let end = value_end(bytes, at);
                let key = &text[at + 1..end - 1];
                let mut start = end;
                while start < bytes.len()
                    && (bytes[start] == b':' || bytes[start].is_ascii_whitespace())
                {
                    start += 1;
                }
                let stop = value_end(bytes, start);
                if key == name {
                    return Some(text[start..stop].trim());
                }
                at = stop;
            }
            b'}' => return None,
            _ => at += 1,
        }
    }
    None
}

pub fn text(value: &str) -> String {
    value.trim_matches('"').to_owned()
}
