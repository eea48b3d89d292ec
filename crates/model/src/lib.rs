//! Exhaustive search of small instances of the protocols that the daemon runs.
//!
//! Each module wraps the transition functions of one pure crate in a [`Model`]: a few members, a
//! few messages, and every fault that can happen between two steps. [`explore()`] walks all states;
//! the tests print how many, and show for each guard that the search finds the counterexample once
//! that guard is off.
//!
//! Invariants: a model decides nothing itself, it calls the functions that the daemon calls; a search
//! that says `complete` has visited every state that the model can reach. [`AcceptPlatform`] and
//! [`AcceptRunner`] also serve the tests of `spec`.
//!
//! Start with `explore`, then read the model of the protocol you change.

mod claims;
mod explore;
mod filing;
mod member;
mod picture;
mod share;
mod spec;

pub use self::picture::{
    PictureModel,
    PictureState,
    PictureStep, //
};
pub use claims::{
    ClaimModel,
    ClaimModelState,
    ClaimModelStep, //
};
pub use explore::{
    explore,
    Exploration,
    Model,
    Trace, //
};
pub use filing::{
    TicketModel,
    TicketState,
    TicketStep, //
};
pub use member::{
    JoinModel,
    JoinModelState,
    LeaseModel,
    LeaseModelState,
    LeaseModelStep, //
};
pub use share::{
    small_terms,
    ShareModel,
    Step as ShareStep,
    World as ShareWorld, //
};
pub use spec::{
    AcceptModel,
    AcceptPlatform,
    AcceptRequest,
    AcceptRunner,
    AcceptState,
    AdoptModel,
    AdoptState,
    VersionStep, //
};
