//! What every command needs: the client, the author, the key, files.

use crate::{
    args::Global,
    outcome::Failure, //
};
use bytestring::ByteString;
use op::{
    read_key,
    Client, //
};
use route::Routes;
use spec::Config;
use std::{
    env,
    fs,
    path::Path,
    time::Duration, //
};

/// What every command needs.
pub(crate) struct Context {
    pub(crate) global: Global,
    pub(crate) client: Client,
}

impl Context {
    /// Context of a command that talks to daemons.
    ///
    /// # Errors
    ///
    /// When no daemon is named, or the key can't be read.
    pub(crate) fn new(global: Global) -> Result<Self, Failure> {
        if global.daemon.is_empty() {
            return Err(Failure::BadInput(
                "no daemon: name one by --daemon HOST:PORT or the variable JASMINE_DAEMON".into(),
            ));
        }
        let key = read_key(global.key_file.as_deref());
        let key = key.map_err(|error| Failure::BadInput(error.to_string()))?;
        let timeout = Duration::from_secs(global.request_timeout_s);
        let client = Client::new(global.daemon.clone(), key, timeout);
        Ok(Self { global, client })
    }

    /// Operator who is named as author.
    pub(crate) fn author(&self) -> ByteString {
        let user = || env::var("USER").ok();
        let author = self.global.author.clone().or_else(user);
        author.unwrap_or_else(|| "operator".to_owned()).into()
    }
}

/// Reads a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, Failure> {
    let text = fs::read_to_string(path);
    text.map_err(|error| Failure::BadInput(format!("{}: {error}", path.display())))
}

/// Reads and checks a configuration; gives its text too.
pub(crate) fn read_config(path: &Path) -> Result<(String, Config), Failure> {
    let text = read_file(path)?;
    let config = spec::parse(&path.display().to_string(), &text);
    let config = config.map_err(|findings| Failure::BadInput(findings.to_string()))?;
    Ok((text, config))
}

/// Reads and checks routes.
pub(crate) fn read_routes(path: &Path) -> Result<(Routes, String), Failure> {
    let text = read_file(path)?;
    match route::parse(&path.display().to_string(), &text) {
        Ok(routes) => Ok((routes, text)),
        Err(findings) => Err(Failure::BadInput(findings.to_string())),
    }
}

/// Reads and checks a block file; gives its text.
pub(crate) fn read_blocks(path: &Path) -> Result<String, Failure> {
    let text = read_file(path)?;
    let blocks = spec::parse_blocks(&path.display().to_string(), &text);
    match blocks {
        Ok(_) => Ok(text),
        Err(findings) => Err(Failure::BadInput(findings.to_string())),
    }
}
