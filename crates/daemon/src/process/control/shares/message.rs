//! What members of a pool tell each other, and when a heartbeat of theirs is news.

use base::{
    Epoch,
    Now, //
};
use peer::Share;
use serde::{
    Deserialize,
    Serialize, //
};
use share::{
    PoolHeartbeat,
    PoolId,
    Row, //
    Transfer,
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Longest that a member's beats to one peer stay away when nothing changed.
const BEAT_UNCHANGED: Duration = Duration::from_secs(2);

/// What members of a pool tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum ShareMessage {
    /// Heartbeat of a member.
    Beat(PoolHeartbeat),
    /// Tokens handed over.
    Give(Transfer),
    /// A row that the receiver may not be able to read.
    Row(Arc<Row>),
}

/// What a member last told one peer of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in crate::process::control) struct Told {
    at: Now,
    epoch: Epoch,
    acked: bool,
    released: bool,
    leaving: bool,
    unlisted: bool,
    demand: u32,
}

impl Told {
    /// What `beat` tells at `at`.
    pub(super) fn of(beat: &PoolHeartbeat, at: Now) -> Self {
        Self {
            at,
            epoch: beat.epoch,
            acked: beat.acked,
            released: beat.released,
            leaving: beat.leaving,
            unlisted: beat.unlisted,
            demand: beat.demand,
        }
    }

    /// Whether the peer should hear of it, having last been told `last`.
    pub(super) fn is_news_after(&self, last: &Self) -> bool {
        let as_before = Self {
            at: last.at,
            ..self.clone()
        };
        as_before != *last || self.at >= last.at + BEAT_UNCHANGED
    }
}

/// The message as it goes to a peer.
pub(super) fn to_share(pool: &PoolId, message: &ShareMessage) -> Option<Share> {
    let payload = peer::to_payload(message).ok()?;
    Some(Share {
        pool: pool.clone(),
        payload,
    })
}
