//! Versions: operators who race and repeat, and daemons that adopt what they hear of.

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

/// One thing that happens, in words.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionStep(String);

impl fmt::Display for VersionStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
