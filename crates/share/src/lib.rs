//! Capacity shares: which entry may use which upstream slot and how much of a link's cap.
//!
//! A *pool* is one service in one region, or the cap of an ordered pair of regions. It has
//! *resources* (upstreams with their slots, or the cap's units) and *members* (instances in one
//! incarnation). Each token of a resource has at most one user at any time: the sum over members of
//! what each may use never exceeds the capacity. That is the invariant of this crate, and `model`
//! searches for runs that break it.
//!
//! How it is kept, in the order to read the modules:
//!
//! - `row`: the allotment, one [`Row`] a pool in the platform's table, replaced by compare-and-set
//!   from epoch e to e+1. `verify` collects what is wrong with one, `plan` builds the next.
//! - `member`: [`Member`], the state machine of one instance in one pool. Adopting a row it keeps
//!   the lesser of what it held and its allotment, and gets the whole allotment only when each other
//!   member has acknowledged the same epoch or has lapsed. Its rules of settling are in `settle`, of
//!   tokens that change hands within an epoch in `handover`, of when to ask for a new row in
//!   `propose`.
//! - `lease`: a holder counts its lease from before the renewal was sent, an observer from its first
//!   sight of it. After the short term only the *floor* is left, after the long term nothing.
//! - `promise`: with the platform out of reach a holder keeps the whole allotment while every other
//!   member promises not to help anybody to take it.
//! - `message`: what members tell each other, and what [`Member::tick`] asks the daemon to do.
//!
//! Why these rules and not simpler ones: docs/design/share.md, with the runs that break the simpler
//! ones. There is no clock, socket or randomness here; `now` is an argument.

mod handover;
mod lease;
mod member;
mod message;
mod plan;
mod promise;
mod propose;
mod row;
mod settle;
mod terms;
mod verify;

pub use member::Member;
pub use message::{
    Action,
    Give,
    Limits,
    PoolBeat, //
};
pub use plan::{
    plan,
    PlanMember,
    PlanState, //
};
pub use row::{
    cap_pool,
    floor_of,
    slots_pool,
    Amounts,
    MemberId,
    MemberIdError,
    PoolId,
    ResourceId,
    Row,
    RowMember, //
};
pub use terms::{
    Guards,
    Terms, //
};
pub use verify::{
    verify,
    verify_step,
    Finding, //
};
