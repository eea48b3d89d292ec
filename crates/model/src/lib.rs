//! Exhaustive search of small instances of the protocols that the daemon runs.
//!
//! Each module wraps the transition functions of one crate without I/O in a [`Model`]: a few members,
//! a few messages, and every fault that can occur between two steps. [`explore()`] visits all
//! reachable states. The tests print their number, and show for each guard that the search finds a
//! counterexample once that guard is disabled.
//!
//! Invariants: a model contains no protocol logic, it calls the functions that the daemon calls; a
//! search that reports `complete` has visited every state that the model can reach.
//! [`AcceptPlatform`] and [`AcceptRunner`] are also used by the tests of `spec`.
//!
//! Start with `explore`, then read the model of the protocol that you change.

mod claims;
mod explore;
mod filing;
mod member;
mod picture;
mod share;
mod spec;

pub use self::picture::{
    RoutingViewModel,
    RoutingViewState,
    RoutingViewStep, //
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
    ShareState,
    Step as ShareStep, //
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
