//! Capacity shares: which entry may use which upstream slots, and how much of a link's cap.
//!
//! A *pool* is one service in one region, or the cap of an ordered pair of regions. It has
//! *resources* (upstreams with their slots, or the units of the cap) and *members* (instances in
//! one incarnation). The invariant of this crate is that each token of a resource has at most one
//! user at any time: the sum over members of what each may use never exceeds the capacity. The
//! crate `model` searches for runs that break it.
//!
//! The modules, in reading order:
//!
//! - `row`: the allotment, one [`Row`] per pool in the platform's table, replaced by
//!   compare-and-set from epoch e to e+1. `verify` collects the errors of a row, `plan` builds the
//!   next row.
//! - `member`: [`Member`], the state machine of one instance in one pool. When it adopts a row, it
//!   keeps the lesser of its held tokens and its allotment. It holds the whole allotment only when
//!   each other member has acknowledged the same epoch or its lease has lapsed. The rules for
//!   settling an epoch are in `settle`, for transfers of tokens within an epoch in `transfer`, for
//!   proposing a new row in `propose`.
//! - `lease`: a holder counts its lease from before it sent the renewal, an observer from when it
//!   first saw it. After the short TTL only the *floor* remains, after the long TTL nothing.
//! - `promise`: while the platform is unreachable, a holder keeps the whole allotment as long as
//!   every other member promises not to help anyone reclaim it.
//! - `message`: the messages between members, and the actions that [`Member::tick`] returns to the
//!   daemon.
//!
//! docs/design/share.md gives the reasons for these rules, and the runs that break simpler ones.
//! The crate uses no clock, socket or randomness; `now` is an argument.

mod lease;
mod member;
mod message;
mod plan;
mod promise;
mod propose;
mod row;
mod settle;
mod terms;
mod transfer;
mod verify;

pub use member::Member;
pub use message::{
    Action,
    Limits,
    PoolHeartbeat, //
    Transfer,
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
