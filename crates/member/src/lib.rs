//! Membership: leases, incarnations, and a view of live and leaving instances with its freshness.
//!
//! The crate has three independent parts.
//!
//! The *lease* of an instance is a row of the platform's table. [`Joining`] takes it with the next
//! incarnation. [`LeaseHolder`] renews it and counts its validity from before each renewal was sent.
//! [`LeaseObserver`] determines by its own clock whether the lease of another instance has lapsed. Other
//! instances may take over what the holder had only once the lease has lapsed for them, which is
//! after it lapsed for the holder.
//!
//! The *view* ([`MembershipView`]) is what one daemon knows of instances and upstreams. Its sources are
//! heartbeats, summaries relayed by other daemons, and the platform's list, which is only a hint.
//! Each record carries a lower bound of the time at which it was true at its source; its
//! [`Freshness`] restricts what it is used for. Leaving is irreversible within an incarnation,
//! whichever source reported it first.
//!
//! The *partners* ([`partners()`]) are the instances that a daemon exchanges heartbeats with: all
//! of its own failure domain and a few outside it, so that the graph stays connected and small. The
//! daemon adds the rest of its region, because members of one pool need direct heartbeats.
//!
//! Start with `lease`, then `holder`. `docs/design/member.md` gives the reasons for the design; the
//! state-space searches are in crate `model`.

mod guards;
mod holder;
mod joining;
mod lease;
mod observer;
mod partners;
mod records;
mod upstreams;
mod view;

pub use guards::Guards;
pub use holder::LeaseHolder;
pub use joining::{
    JoinProgress,
    Joining, //
};
pub use lease::{
    lease_key,
    Identity,
    LeaseEvent,
    LeaseRow,
    LeaseState,
    LeaseStep,
    LeaseTerms,
    MalformedLease,
    VersionedLease, //
};
pub use observer::{
    Lapse,
    LeaseObserver, //
};
pub use partners::{
    partners,
    InstanceLocation, //
};
pub use records::{
    Freshness,
    Heartbeat,
    InstanceRecord,
    LeavingMark,
    ListedInstance,
    ListedUpstream,
    PlatformList,
    Summary,
    UpstreamRecord, //
    ViewTimeouts,
};
pub use view::{
    EntryCandidate,
    MembershipView, //
};
