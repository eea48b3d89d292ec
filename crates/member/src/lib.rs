//! Membership: leases, incarnations, the picture of live and leaving instances and its freshness.
//!
//! Three things, apart from each other.
//!
//! The *lease* of an instance is a row of the platform's table. [`Joining`] takes it with the next
//! incarnation, [`Holder`] renews it and counts from before each renewal was sent, [`Observer`]
//! judges by its own clock whether another's has lapsed. What an instance holds under its lease
//! may be taken by others only once it has lapsed for them, and that is after it lapsed for it.
//!
//! The *picture* ([`Picture`]) is what one daemon knows of instances and upstreams, by heartbeats,
//! by summaries passed on, and by the platform's list, which is only a hint. Each fact carries
//! when it was true at its source at worst; its [`Freshness`] narrows what it is used for. Leaving
//! is one-way within an incarnation, whichever sign came first.
//!
//! The *partners* ([`partners()`]) are a choice of those to exchange heartbeats with: all of the own
//! failure domain and few of elsewhere, so that the graph stays connected and small. The daemon adds
//! the rest of its region, since members of one pool have to hear each other.
//!
//! Start with `lease`, then `holder`. Reasons are in `docs/design/member.md`; the searches are in
//! crate `model`.

mod facts;
mod guards;
mod holder;
mod joining;
mod lease;
mod observer;
mod partners;
mod picture;
mod upstreams;

pub use facts::{
    BeatFacts,
    Freshness,
    InstanceFacts,
    ListFacts,
    ListedInstance,
    ListedUpstream,
    PictureTerms,
    Summary,
    UpstreamFacts,
    UpstreamMark, //
};
pub use guards::Guards;
pub use holder::Holder;
pub use joining::{
    Joined,
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
    Observer, //
};
pub use partners::{
    partners,
    Place, //
};
pub use picture::{
    EntryCandidate,
    Picture, //
};
