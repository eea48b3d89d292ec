//! Edits of the configuration in force: drains and targets.

use actix::Message;
use base::ClassId;
use bytestring::ByteString;
use op::{
    Accepted,
    DrainAction,
    DrainRequest,
    Refusal,
    TargetRequest, //
};
use spec::{
    Config,
    DrainTarget,
    TargetUpdate, //
};

/// An operator's request to change one aspect of the configuration in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Accepted, Refusal>")]
pub(crate) struct Edit {
    pub(super) accept_id: String,
    pub(super) author: ByteString,
    pub(super) change: EditChange,
}

/// The change made by an edit.
#[derive(Clone, Debug)]
pub(super) enum EditChange {
    Drain(DrainAction, DrainTarget),
    Target(ClassId, TargetUpdate),
}

impl From<DrainRequest> for Edit {
    fn from(request: DrainRequest) -> Self {
        Self {
            accept_id: request.accept_id,
            author: request.author,
            change: EditChange::Drain(request.action, request.target),
        }
    }
}

impl From<TargetRequest> for Edit {
    fn from(request: TargetRequest) -> Self {
        let target = request.target();
        Self {
            accept_id: request.accept_id,
            author: request.author,
            change: EditChange::Target(request.class, target),
        }
    }
}

impl EditChange {
    /// Applies the edit to `config`.
    ///
    /// # Errors
    ///
    /// When the edited configuration is not valid.
    pub(super) fn apply(&self, config: &Config) -> Result<Config, Refusal> {
        let edited = match self {
            Self::Drain(DrainAction::Start, target) => config.with_drain(target),
            Self::Drain(DrainAction::Stop, target) => config.without_drain(target),
            Self::Target(class, target) => config.with_target(class, target),
        };
        edited.map_err(|faults| Refusal::Findings {
            findings: faults.iter().map(ToString::to_string).collect(),
        })
    }

    /// Whether the edit leaves `config` unchanged.
    pub(super) fn is_satisfied_by(&self, config: &Config) -> bool {
        self.apply(config).is_ok_and(|edited| edited == *config)
    }
}
