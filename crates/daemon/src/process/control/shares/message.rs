//! Messages between pool members, and the rule for when a member heartbeat is sent.

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

/// Maximum interval between member heartbeats to one peer when nothing changed.
const UNCHANGED_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Message between members of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum ShareMessage {
    /// Heartbeat of a member.
    Beat(PoolHeartbeat),
    /// Transfer of tokens.
    Give(Transfer),
    /// A row that the receiver may be unable to read itself.
    Row(Arc<Row>),
}

/// Content of the member heartbeat last sent to one peer for a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in crate::process::control) struct SentHeartbeat {
    at: Now,
    epoch: Epoch,
    acked: bool,
    released: bool,
    leaving: bool,
    unlisted: bool,
    demand: u32,
}

impl SentHeartbeat {
    /// Records the content of `beat` as sent at `at`.
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

    /// Whether it must be sent to a peer that was last sent `last`.
    pub(super) fn is_due_after(&self, last: &Self) -> bool {
        let at_same_time = Self {
            at: last.at,
            ..self.clone()
        };
        at_same_time != *last || self.at >= last.at + UNCHANGED_HEARTBEAT_INTERVAL
    }
}

/// Encodes the message for a peer.
pub(super) fn to_share(pool: &PoolId, message: &ShareMessage) -> Option<Share> {
    let payload = peer::to_payload(message).ok()?;
    Some(Share {
        pool: pool.clone(),
        payload,
    })
}
