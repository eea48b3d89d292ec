//! What an entry knows of routes, evacuations and upstreams, by whatever way it learnt it.
//!
//! Start with [`Picture`]. It takes rows of the store's tables, whole tables, and what other entries
//! tell of theirs ([`UpstreamUpdate`]), and says which upstreams get work. Every statement carries
//! the version of the row that it is of, so their order and way don't matter. [`Reach`] is how far a
//! picture reaches; who hears of a farther one asks for it.
//!
//! Invariants: no clock, socket or randomness; `now` is an argument. A version of the routes is replaced
//! by a higher one only. An upstream whose removal is known without doubt, or that was seen leaving, is
//! closed until a row of a higher version lists it. `model` walks every order of rows, outages,
//! messages and restarts of a small instance over these very functions; [`Guards`] turns the guards off
//! that it has to find.

mod picture;
mod update;

pub use picture::{
    Applied,
    Guards,
    Picture, //
};
pub use update::{
    Evacuation,
    ListedUpstream,
    Reach,
    UpstreamUpdate, //
};
