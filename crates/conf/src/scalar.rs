//! Interpretation of plain scalars, and quoting of text.

/// Whether a plain scalar is null in YAML's core schema.
pub(crate) fn is_null(text: &str) -> bool {
    matches!(text, "" | "~" | "null" | "Null" | "NULL")
}

/// Parses a boolean of YAML's core schema.
pub(crate) fn boolean(text: &str) -> Option<bool> {
    match text {
        "true" | "True" | "TRUE" => Some(true),
        "false" | "False" | "FALSE" => Some(false),
        _ => None,
    }
}

/// Parses a decimal integer; `_` may separate groups of digits.
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

/// Parses a non-negative decimal fraction exactly, in units of `10^-decimals`.
///
/// More than `decimals` fractional digits are rejected rather than rounded.
pub(crate) fn fixed_point(text: &str, decimals: usize) -> Option<i128> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let exact = fraction.len() <= decimals && fraction.chars().all(|c| c.is_ascii_digit());
    if !exact || whole.starts_with('-') {
        return None;
    }
    integer(&format!("{whole}{fraction:0<decimals$}"))
}

/// Formats text as a single-line YAML scalar, quoted only if necessary.
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
