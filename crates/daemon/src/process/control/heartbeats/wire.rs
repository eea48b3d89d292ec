//! Conversions between membership facts and their wire format in heartbeats.

use base::InstanceId;
use bytestring::ByteString;
use member::{
    Identity,
    LeaseState,
    LeavingMark, //
    Summary,
};
use peer::{
    InstanceSummary,
    LeavingUpstream, //
};

/// Converts a summary to the wire format.
pub(super) fn to_summary(
    instance: &InstanceId,
    summary: &Summary,
    known: Option<&Identity>,
) -> InstanceSummary {
    // Location and addresses of listed instances are omitted: every daemon can read the list.
    let unlisted = known.filter(|_| summary.identity.is_some());
    let location = unlisted.map_or_else(
        || (ByteString::new(), ByteString::new()),
        |identity| (identity.region.clone(), identity.failure_domain.clone()),
    );
    let addrs = summary.identity.as_ref().map_or_else(
        || [ByteString::new(), ByteString::new(), ByteString::new()],
        |identity| {
            [
                identity.callers_addr.clone(),
                identity.peers_addr.clone(),
                identity.operator_addr.clone(),
            ]
        },
    );
    let [callers_addr, peers_addr, operator_addr] = addrs;
    InstanceSummary {
        instance: instance.clone(),
        incarnation: summary.incarnation,
        version: summary.version,
        leaving: summary.state != LeaseState::Live,
        age_ms: summary.age_ms,
        callers_addr,
        peers_addr,
        operator_addr,
        region: location.0,
        failure_domain: location.1,
    }
}

/// Converts a summary from the wire format.
pub(super) fn from_summary(received: &InstanceSummary) -> Summary {
    let identity = (!received.callers_addr.is_empty()).then(|| Identity {
        instance: received.instance.clone(),
        region: received.region.clone(),
        failure_domain: received.failure_domain.clone(),
        callers_addr: received.callers_addr.clone(),
        peers_addr: received.peers_addr.clone(),
        operator_addr: received.operator_addr.clone(),
    });
    Summary {
        incarnation: received.incarnation,
        version: received.version,
        state: lease_state(received.leaving),
        age_ms: received.age_ms,
        identity,
    }
}

pub(super) fn lease_state(leaving: bool) -> LeaseState {
    if leaving {
        LeaseState::Leaving
    } else {
        LeaseState::Live
    }
}

pub(super) fn to_leaving_upstream(mark: LeavingMark) -> LeavingUpstream {
    LeavingUpstream {
        upstream: mark.upstream,
        age_ms: mark.age_ms,
    }
}
