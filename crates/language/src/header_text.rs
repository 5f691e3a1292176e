//! Percent-encoding of UTF-8 text in HTTP header values, which are printable ASCII.

/// Encodes `%` and every byte that is not printable ASCII as `%XX`.
pub fn encode(text: &str) -> String {
    let mut value = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b' '..=b'~' if byte != b'%' => value.push(char::from(byte)),
            other => value.push_str(&format!("%{other:02X}")),
        }
    }
    value
}

/// Decodes the output of [`encode`]. Returns `None` for malformed escapes and invalid UTF-8.
pub fn decode(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(rest.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &rest[2..];
    }
    String::from_utf8(bytes).ok()
}
