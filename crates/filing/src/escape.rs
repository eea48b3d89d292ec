//! Percent-encoding of arbitrary bytes as ASCII without separators, and decoding.

use std::fmt::Write;

/// Appends `bytes` to `out`; all but letters, digits, `-` and `_` become `%` and two hex digits.
pub(crate) fn escape(bytes: &[u8], out: &mut String) {
    for &byte in bytes {
        if byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_' {
            out.push(char::from(byte));
        } else {
            write!(out, "%{byte:02x}").expect("writing to a String can't fail");
        }
    }
}

/// Decodes an escaped text; `None` if [`escape`] can't have written it.
pub(crate) fn unescape(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => bytes.push(16 * hex_digit(rest.next()?)? + hex_digit(rest.next()?)?),
            b'-' | b'_' => bytes.push(byte),
            _ if byte.is_ascii_alphanumeric() => bytes.push(byte),
            _ => return None,
        }
    }
    Some(bytes)
}

fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
