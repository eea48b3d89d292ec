//! Models of configuration versions: operators that accept them, and daemons that adopt them.

mod accept;
mod adopt;
mod platform;

pub use accept::{
    AcceptModel,
    AcceptRequest,
    AcceptState, //
};
pub use adopt::{
    AdoptModel,
    AdoptState, //
};
pub use platform::{
    AcceptPlatform,
    AcceptRunner, //
};

use std::fmt;

/// Transition, as the line of a trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionStep(String);

impl fmt::Display for VersionStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
