//! Percent-encoding of row and object names in URLs.
//!
//! Names contain slashes and other reserved characters; encoded, a name is one path segment.

use std::fmt::Write as _;

/// Percent-encodes a name as one segment of a URL path, all but the unreserved ASCII characters.
///
/// ```
/// assert_eq!(ggs_store::encode_name("documents/head"), "documents%2Fhead");
/// ```
pub fn encode_name(name: &str) -> String {
    let mut encoded = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            write!(encoded, "%{byte:02X}").expect("writing to a string does not fail");
        }
    }
    encoded
}

/// Decodes a segment made by [`encode_name`]; `None` if an escape is malformed or the name is not
/// UTF-8.
///
/// ```
/// assert_eq!(ggs_store::decode_name("documents%2Fhead").as_deref(), Some("documents/head"));
/// assert_eq!(ggs_store::decode_name("documents%2"), None);
/// ```
pub fn decode_name(encoded: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(encoded.len());
    let mut rest = encoded.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        if first != b'%' {
            bytes.push(first);
            rest = tail;
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}
