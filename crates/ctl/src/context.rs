//! What every command needs: the client, the author, the key, files.

use crate::{
    args::Global,
    outcome::Failure, //
};
use bytestring::ByteString;
use op::{
    Client,
    Instances, //
};
use spec::{
    BlockChange,
    Config, //
};
use std::{
    collections::BTreeSet,
    env,
    fs,
    path::Path,
    time::Duration, //
};

/// Variable that holds the operators' key where no file is named.
const KEY_VARIABLE: &str = "JASMINE_KEY";

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
        let key = read_key(global.key_file.as_deref())?;
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

    /// Operators' addresses of all instances that are known, those on the command line included.
    pub(crate) async fn everyone(&self) -> Result<Vec<String>, Failure> {
        let known: Instances = self.client.get("/op/v1/instances").await?;
        let addrs = known.instances.into_iter().map(|i| i.operator_addr);
        let mut all: BTreeSet<String> = addrs.map(|addr| addr.to_string()).collect();
        all.extend(self.client.daemons().iter().cloned());
        Ok(all.into_iter().collect())
    }
}

fn read_key(file: Option<&Path>) -> Result<Option<String>, Failure> {
    let Some(file) = file else {
        return Ok(env::var(KEY_VARIABLE).ok().filter(|key| !key.is_empty()));
    };
    let key = read_file(file)?.trim().to_owned();
    // The text of the key must not be shown, so neither is what a header can't carry.
    let is_plain = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_plain {
        return Ok(Some(key));
    }
    let name = file.display();
    Err(Failure::BadInput(format!(
        "{name}: not a key on one line without spaces"
    )))
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

/// Reads and checks a block file; gives its text too.
pub(crate) fn read_blocks(path: &Path) -> Result<(String, BlockChange), Failure> {
    let text = read_file(path)?;
    let blocks = spec::parse_blocks(&path.display().to_string(), &text);
    let blocks = blocks.map_err(|findings| Failure::BadInput(findings.to_string()))?;
    Ok((text, blocks))
}
