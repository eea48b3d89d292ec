//! Daemons as operators address them.

use base::InstanceId;
use std::fmt;

/// Checks an operators' address of a daemon, as entered by a person.
///
/// # Errors
///
/// When it is not of the form HOST:PORT.
pub fn parse_addr(text: &str) -> Result<String, String> {
    let is_host = |host: &str| {
        let is_host_char = |c: char| c.is_ascii_alphanumeric() || ".-_:[]".contains(c);
        !host.is_empty() && host.chars().all(is_host_char)
    };
    let parts = text.rsplit_once(':');
    let is_addr = parts.is_some_and(|(host, port)| is_host(host) && port.parse::<u16>().is_ok());
    if is_addr {
        return Ok(text.to_owned());
    }
    Err("not an address of the form HOST:PORT".to_owned())
}

/// A known daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Daemon {
    /// Operators' address.
    pub addr: String,
    /// Its instance, if another daemon reported it.
    pub instance: Option<InstanceId>,
}

impl fmt::Display for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.instance {
            Some(instance) => write!(f, "{instance} ({})", self.addr),
            None => f.write_str(&self.addr),
        }
    }
}
