//! Builder of the next row: fair by demand, with as few changes as that allows.

use crate::{
    row::{
        amount,
        floor_of,
        max_amounts,
        total,
        Amounts,
        MemberId,
        ResourceId,
        Row,
        RowMember, //
    },
    terms::Terms,
};
use base::Epoch;
use std::collections::BTreeMap;

/// How the next row treats a member.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PlanState {
    /// Gets its fair share.
    Live,
    /// Its short TTL has lapsed; it keeps what it may still be using.
    Lapsed,
    /// Keeps its allotment until it releases it.
    Leaving,
}

/// Input of the builder for one member.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlanMember {
    /// Its highest known lease.
    pub lease_seq: u64,
    /// Highest epoch that it is known to have adopted.
    pub adopted: Epoch,
    /// Tokens that it could use.
    pub demand: u32,
    /// How the row treats it.
    pub state: PlanState,
}

/// Builds the row after `previous`, for `members` and `capacity`.
pub fn plan(
    previous: Option<&Row>,
    capacity: &Amounts,
    members: &BTreeMap<MemberId, PlanMember>,
    terms: &Terms,
) -> Row {
    let old_entry = |id: &MemberId| previous.and_then(|row| row.members.get(id));
    let mut free = capacity.clone();
    let mut allots = BTreeMap::new();
    for (id, member) in members {
        if member.state != PlanState::Live {
            let kept = old_entry(id).map(|old| kept_amounts(previous, old, member, terms));
            allots.insert(
                id.clone(),
                take_within(&kept.unwrap_or_default(), &mut free),
            );
        }
    }
    let targets = fair_targets(members, total(&free));
    for (id, target) in &targets {
        let old = old_entry(id)
            .map(|old| old.allot.clone())
            .unwrap_or_default();
        let trimmed = trim(&old, *target);
        allots.insert(id.clone(), take_within(&trimmed, &mut free));
    }
    fill(&mut allots, &targets, &mut free);
    let epoch = previous.map_or(1, |row| row.epoch + 1);
    let entry = |(id, allot)| {
        let entry = row_member(previous, old_entry(&id), &members[&id], allot, epoch, terms);
        (id, entry)
    };
    Row {
        epoch,
        resources: capacity.clone(),
        members: allots.into_iter().map(entry).collect(),
    }
}

/// Returns what a member that is not live may still be using.
fn kept_amounts(
    previous: Option<&Row>,
    old: &RowMember,
    member: &PlanMember,
    terms: &Terms,
) -> Amounts {
    if member.state == PlanState::Leaving {
        return old.allot.clone();
    }
    earlier_bound(previous, old, member, terms)
}

/// Returns the most that a member without protection may use at the epochs before the next.
fn earlier_bound(
    previous: Option<&Row>,
    old: &RowMember,
    member: &PlanMember,
    terms: &Terms,
) -> Amounts {
    let at_previous = previous.is_some_and(|row| member.adopted >= row.epoch);
    if at_previous {
        floor_of(&old.allot, terms.floor_pct)
    } else {
        old.bound.clone()
    }
}

fn row_member(
    previous: Option<&Row>,
    old: Option<&RowMember>,
    member: &PlanMember,
    allot: Amounts,
    epoch: Epoch,
    terms: &Terms,
) -> RowMember {
    let floor = floor_of(&allot, terms.floor_pct);
    let earlier = old.map(|old| earlier_bound(previous, old, member, terms));
    RowMember {
        bound: max_amounts(&floor, &earlier.unwrap_or_default()),
        lease_seq: member.lease_seq.max(old.map_or(0, |old| old.lease_seq)),
        since: old.map_or(epoch, |old| old.since),
        // A new member holds nothing at the epochs before its first.
        adopted: old.map_or(epoch, |old| old.adopted.max(member.adopted)),
        leaving: member.state == PlanState::Leaving,
        lapsed: member.state == PlanState::Lapsed,
        allot,
    }
}

/// Takes as much of `requested` as `free` has.
fn take_within(requested: &Amounts, free: &mut Amounts) -> Amounts {
    let mut taken = Amounts::new();
    for (resource, n) in requested {
        let remaining = free.entry(resource.clone()).or_default();
        let tokens = (*n).min(*remaining);
        *remaining -= tokens;
        if tokens > 0 {
            taken.insert(resource.clone(), tokens);
        }
    }
    taken
}

/// Returns the tokens for each live member: one each, then up to its demand, then the rest; evenly
/// at each stage.
fn fair_targets(members: &BTreeMap<MemberId, PlanMember>, tokens: u32) -> BTreeMap<MemberId, u32> {
    let live = members
        .iter()
        .filter(|(_, member)| member.state == PlanState::Live);
    let mut targets: BTreeMap<_, _> = live.clone().map(|(id, _)| (id.clone(), 0)).collect();
    let mut remaining = tokens;
    for stage in 0..3 {
        loop {
            let limit = |id: &MemberId| match stage {
                0 => 1,
                1 => members[id].demand,
                _ => u32::MAX,
            };
            let below_limit = targets.iter().filter(|(id, n)| **n < limit(id));
            let Some(lowest) = below_limit.map(|(_, n)| *n).min() else {
                break;
            };
            let before = remaining;
            for (id, n) in &mut targets {
                if remaining > 0 && *n == lowest && *n < limit(id) {
                    *n += 1;
                    remaining -= 1;
                }
            }
            if remaining == 0 || remaining == before {
                break;
            }
        }
    }
    targets
}

/// Reduces `amounts` to `target` tokens, one at a time from the resource with the most.
fn trim(amounts: &Amounts, target: u32) -> Amounts {
    let mut rest = amounts.clone();
    let mut excess = total(&rest).saturating_sub(target);
    while excess > 0 {
        let Some(n) = rest.values_mut().max() else {
            break;
        };
        *n -= 1;
        excess -= 1;
    }
    rest
}

/// Distributes free tokens in turns to members below their targets, from the resource with the
/// most.
fn fill(
    allots: &mut BTreeMap<MemberId, Amounts>,
    targets: &BTreeMap<MemberId, u32>,
    free: &mut Amounts,
) {
    loop {
        let mut distributed = false;
        for (id, target) in targets {
            let Some(allot) = allots.get_mut(id).filter(|allot| total(allot) < *target) else {
                continue;
            };
            if let Some(resource) = best_resource(allot, free) {
                *free.entry(resource.clone()).or_default() -= 1;
                *allot.entry(resource).or_default() += 1;
                distributed = true;
            }
        }
        if !distributed {
            return;
        }
    }
}

/// Returns the resource with the most free tokens; among equals the one of which `allot` has the
/// least.
fn best_resource(allot: &Amounts, free: &Amounts) -> Option<ResourceId> {
    free.iter()
        .filter(|(_, n)| **n > 0)
        .max_by_key(|(resource, n)| (**n, std::cmp::Reverse(amount(allot, resource))))
        .map(|(resource, _)| resource.clone())
}
