//! The operators' key, as a client gets it.

use std::{
    env, fmt, fs,
    path::{
        Path,
        PathBuf, //
    },
};

/// Variable that holds the key where no file is named.
pub const KEY_VARIABLE: &str = "JASMINE_KEY";

/// A key that can't be used; the text of the key is never shown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyError {
    place: PathBuf,
    why: String,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place.display(), self.why)
    }
}

impl std::error::Error for KeyError {}

/// Reads the key from a file, or from [`KEY_VARIABLE`] if none is named; `None` if there is none.
///
/// # Errors
///
/// When the file can't be read, or what it or the variable holds can't be a key.
pub fn read_key(file: Option<&Path>) -> Result<Option<String>, KeyError> {
    let (place, text) = match file {
        Some(file) => {
            let text = fs::read_to_string(file).map_err(|error| KeyError {
                place: file.to_owned(),
                why: error.to_string(),
            })?;
            (file, text)
        }
        None => match env::var(KEY_VARIABLE) {
            Ok(text) if !text.is_empty() => (Path::new(KEY_VARIABLE), text),
            _ => return Ok(None),
        },
    };
    let key = text.trim();
    let is_plain = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_plain {
        return Ok(Some(key.to_owned()));
    }
    Err(KeyError {
        place: place.to_owned(),
        why: "not a key on one line without spaces".to_owned(),
    })
}
