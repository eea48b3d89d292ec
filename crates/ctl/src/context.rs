//! State of the commands that talk to daemons, and readers of input files.

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

/// Global options and the client of a command that talks to daemons.
pub(crate) struct Context {
    pub(crate) global: Global,
    pub(crate) client: Client,
}

impl Context {
    /// Creates the client from the global options.
    ///
    /// # Errors
    ///
    /// If no daemon is given, or the key can't be read.
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

    /// Author recorded with a change.
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

/// Reads and checks a configuration; returns its text as well.
pub(crate) fn read_config(path: &Path) -> Result<(String, Config), Failure> {
    let text = read_file(path)?;
    let config = spec::parse(&path.display().to_string(), &text);
    let config = config.map_err(|findings| Failure::BadInput(findings.to_string()))?;
    Ok((text, config))
}

/// Reads and checks routes; returns their text as well.
pub(crate) fn read_routes(path: &Path) -> Result<(Routes, String), Failure> {
    let text = read_file(path)?;
    match route::parse(&path.display().to_string(), &text) {
        Ok(routes) => Ok((routes, text)),
        Err(findings) => Err(Failure::BadInput(findings.to_string())),
    }
}

/// Reads and checks a block file; returns its text.
pub(crate) fn read_blocks(path: &Path) -> Result<String, Failure> {
    let text = read_file(path)?;
    let blocks = spec::parse_blocks(&path.display().to_string(), &text);
    match blocks {
        Ok(_) => Ok(text),
        Err(findings) => Err(Failure::BadInput(findings.to_string())),
    }
}
