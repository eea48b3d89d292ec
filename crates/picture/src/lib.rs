//! An entry's view of routes, evacuations and upstreams, merged from the store and from other entries.
//!
//! Start with [`RoutingView`]. It applies single rows of the store's tables, whole tables, and updates from
//! other entries ([`UpstreamUpdate`]), and determines which upstreams get work. Every update carries the
//! version of the row that it is based on, so updates may arrive in any order and from any source.
//! [`ViewVersions`] summarises the versions that a view contains; an entry that learns of a more recent view
//! requests it.
//!
//! A [`Departure`] is learnt from a response of the upstream itself and has no version.
//!
//! Invariants: no clock, socket or randomness; `now` is an argument. A version of the routes is replaced
//! by a higher one only. An upstream whose removal is certain, or that was seen leaving, stays closed
//! until a row of a higher version lists it. Crate `model` searches all orders of rows, outages, messages
//! and restarts of a small deployment with these functions; [`Guards`] disables the safety checks that the
//! search must find to be necessary.

mod departures;
mod update;
mod view;

pub use update::{
    Departure,
    Evacuation,
    ListedUpstream,
    UpstreamUpdate, //
    ViewVersions,
};
pub use view::{
    Applied,
    Guards,
    RoutingView, //
};
