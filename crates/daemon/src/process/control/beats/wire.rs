//! Facts of instances and upstreams as beats carry them.

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

/// Writes what is known of an instance.
pub(super) fn to_summary(
    instance: &InstanceId,
    summary: &Summary,
    known: Option<&Identity>,
) -> InstanceSummary {
    // Places and addresses of listed instances are left out: everyone can read the list.
    let unlisted = known.filter(|_| summary.identity.is_some());
    let place = unlisted.map_or_else(
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
        region: place.0,
        failure_domain: place.1,
    }
}

/// Reads what another daemon knows of an instance.
pub(super) fn from_summary(told: &InstanceSummary) -> Summary {
    let identity = (!told.callers_addr.is_empty()).then(|| Identity {
        instance: told.instance.clone(),
        region: told.region.clone(),
        failure_domain: told.failure_domain.clone(),
        callers_addr: told.callers_addr.clone(),
        peers_addr: told.peers_addr.clone(),
        operator_addr: told.operator_addr.clone(),
    });
    Summary {
        incarnation: told.incarnation,
        version: told.version,
        state: state_of(told.leaving),
        age_ms: told.age_ms,
        identity,
    }
}

pub(super) fn state_of(leaving: bool) -> LeaseState {
    if leaving {
        LeaseState::Leaving
    } else {
        LeaseState::Live
    }
}

pub(super) fn to_leaving(mark: LeavingMark) -> LeavingUpstream {
    LeavingUpstream {
        upstream: mark.upstream,
        age_ms: mark.age_ms,
    }
}
