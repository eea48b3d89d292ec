//! Plain scalars: what their text means, and when text must be quoted.

/// Whether the plain text stands for nothing.
pub(crate) fn is_null(text: &str) -> bool {
    matches!(text, "" | "~" | "null" | "Null" | "NULL")
}

/// Reads a truth value of YAML's core schema.
pub(crate) fn boolean(text: &str) -> Option<bool> {
    match text {
        "true" | "True" | "TRUE" => Some(true),
        "false" | "False" | "FALSE" => Some(false),
        _ => None,
    }
}

/// Reads a decimal integer; `_` may group its digits.
pub(crate) fn integer(text: &str) -> Option<i128> {
    let (sign, digits) = match text.strip_prefix('-') {
        Some(digits) => (-1, digits),
        None => (1, text),
    };
    let grouped = digits.starts_with(|c: char| c.is_ascii_digit())
        && digits.ends_with(|c: char| c.is_ascii_digit())
        && digits.chars().all(|c| c.is_ascii_digit() || c == '_');
    if !grouped {
        return None;
    }
    let magnitude: i128 = digits.replace('_', "").parse().ok()?;
    Some(sign * magnitude)
}

/// Reads a decimal fraction exactly, in units of `10^-decimals`.
///
/// More digits than that are refused instead of being rounded.
pub(crate) fn fixed(text: &str, decimals: usize) -> Option<i128> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let exact = fraction.len() <= decimals && fraction.chars().all(|c| c.is_ascii_digit());
    if !exact || whole.starts_with('-') {
        return None;
    }
    integer(&format!("{whole}{fraction:0<decimals$}"))
}

/// Writes text as a YAML scalar of one line, quoted only where it must be.
pub fn quote(text: &str) -> String {
    let plain = !text.is_empty()
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/'))
        && !is_null(text);
    if plain {
        return text.to_owned();
    }
    let mut quoted = String::from('"');
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            ' '..='~' => quoted.push(c),
            _ => quoted.push_str(&format!("\\U{:08x}", u32::from(c))),
        }
    }
    quoted.push('"');
    quoted
}
