//! The operators' key, as a client obtains it.

use std::{
    env, fmt, fs,
    path::{
        Path,
        PathBuf, //
    },
};

/// Environment variable that holds the key if no file is given.
pub const KEY_VARIABLE: &str = "JASMINE_KEY";

/// Unusable key. The error never contains the key itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyError {
    origin: PathBuf,
    reason: String,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.origin.display(), self.reason)
    }
}

impl std::error::Error for KeyError {}

/// Reads the key from `file`, or else from [`KEY_VARIABLE`]; `None` if neither is set.
///
/// # Errors
///
/// When the file can't be read, or the content of the file or variable is no valid key.
pub fn read_key(file: Option<&Path>) -> Result<Option<String>, KeyError> {
    let (origin, text) = match file {
        Some(file) => {
            let text = fs::read_to_string(file).map_err(|error| KeyError {
                origin: file.to_owned(),
                reason: error.to_string(),
            })?;
            (file, text)
        }
        None => match env::var(KEY_VARIABLE) {
            Ok(text) if !text.is_empty() => (Path::new(KEY_VARIABLE), text),
            _ => return Ok(None),
        },
    };
    let key = text.trim();
    let is_valid = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        return Ok(Some(key.to_owned()));
    }
    Err(KeyError {
        origin: origin.to_owned(),
        reason: "not a key on one line without spaces".to_owned(),
    })
}
