//! Verifier of rows, independent of the builder: collects all errors.

use crate::row::{
    amount,
    floor_of,
    total,
    within,
    MemberId,
    ResourceId,
    Row,
    RowMember, //
};
use std::fmt;

/// An error in a row, and where it is.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Finding {
    /// More tokens are allotted than the resource has.
    OverCapacity {
        /// The resource.
        resource: ResourceId,
        /// Tokens allotted.
        allotted: u32,
        /// Tokens that the resource has.
        capacity: u32,
    },
    /// Tokens of a resource that the row does not list are allotted.
    UnknownResource {
        /// The member.
        member: MemberId,
        /// The resource.
        resource: ResourceId,
    },
    /// A live member got no token although one was available.
    NoTokens {
        /// The member.
        member: MemberId,
    },
    /// The bound is below the floor of the allotment in the same row.
    BoundBelowFloor {
        /// The member.
        member: MemberId,
    },
    /// An epoch of the member is after the row's.
    EpochAhead {
        /// The member.
        member: MemberId,
    },
    /// The row's epoch is not the successor of the previous one.
    EpochGap,
    /// The first epoch of a listed member changed, or a new member's is not that of
    /// the row.
    SinceChanged {
        /// The member.
        member: MemberId,
    },
    /// A value that only grows decreased: the listed lease, or the adopted epoch.
    Regressed {
        /// The member.
        member: MemberId,
    },
    /// The bound is below an earlier floor that the member may still be using.
    BoundBelowEarlierFloor {
        /// The member.
        member: MemberId,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OverCapacity {
                resource,
                allotted,
                capacity,
            } => write!(f, "{resource}: {allotted} tokens allotted of {capacity}"),
            Self::UnknownResource { member, resource } => {
                write!(f, "{member}: tokens of {resource}, which is not listed")
            }
            Self::NoTokens { member } => write!(f, "{member}: no token allotted"),
            Self::BoundBelowFloor { member } => write!(f, "{member}: bound below the floor"),
            Self::EpochAhead { member } => write!(f, "{member}: epoch after the row's"),
            Self::EpochGap => f.write_str("epoch: not the successor of the previous one"),
            Self::SinceChanged { member } => write!(f, "{member}: first epoch changed"),
            Self::Regressed { member } => write!(f, "{member}: lease or epoch went back"),
            Self::BoundBelowEarlierFloor { member } => {
                write!(f, "{member}: bound below an earlier floor")
            }
        }
    }
}

/// Returns all errors of a row by itself.
pub fn verify(row: &Row, floor_pct: u32) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (resource, capacity) in &row.resources {
        let allotted = row
            .members
            .values()
            .map(|entry| amount(&entry.allot, resource));
        let allotted = allotted.sum();
        if allotted > *capacity {
            findings.push(Finding::OverCapacity {
                resource: resource.clone(),
                allotted,
                capacity: *capacity,
            });
        }
    }
    for (member, entry) in &row.members {
        verify_member(row, member, entry, floor_pct, &mut findings);
    }
    findings.extend(members_without_tokens(row));
    findings
}

fn verify_member(
    row: &Row,
    member: &MemberId,
    entry: &RowMember,
    floor_pct: u32,
    findings: &mut Vec<Finding>,
) {
    let unknown = entry
        .allot
        .keys()
        .filter(|resource| !row.resources.contains_key(*resource));
    findings.extend(unknown.map(|resource| Finding::UnknownResource {
        member: member.clone(),
        resource: resource.clone(),
    }));
    if !within(&floor_of(&entry.allot, floor_pct), &entry.bound) {
        let member = member.clone();
        findings.push(Finding::BoundBelowFloor { member });
    }
    if entry.since > row.epoch || entry.adopted > row.epoch {
        let member = member.clone();
        findings.push(Finding::EpochAhead { member });
    }
}

/// Finds live members without a token while tokens are idle or another live member has two.
fn members_without_tokens(row: &Row) -> Vec<Finding> {
    let live = |entry: &RowMember| !entry.leaving && !entry.lapsed;
    let allotted: u32 = row.members.values().map(|entry| total(&entry.allot)).sum();
    let idle = allotted < total(&row.resources);
    let has_spare = |entry: &RowMember| live(entry) && total(&entry.allot) > 1;
    if !idle && !row.members.values().any(has_spare) {
        return Vec::new();
    }
    let empty = |(_, entry): &(&MemberId, &RowMember)| live(entry) && total(&entry.allot) == 0;
    let without_tokens = row.members.iter().filter(empty);
    without_tokens
        .map(|(member, _)| Finding::NoTokens {
            member: member.clone(),
        })
        .collect()
}

/// Returns all errors of `next` as the successor of `previous`.
pub fn verify_step(previous: &Row, next: &Row, floor_pct: u32) -> Vec<Finding> {
    let mut findings = verify(next, floor_pct);
    if next.epoch != previous.epoch + 1 {
        findings.push(Finding::EpochGap);
    }
    for (member, new) in &next.members {
        match previous.members.get(member) {
            Some(old) => verify_successor(previous, (member, old), new, floor_pct, &mut findings),
            None if new.since != next.epoch => findings.push(Finding::SinceChanged {
                member: member.clone(),
            }),
            None => {}
        }
    }
    findings
}

fn verify_successor(
    previous: &Row,
    (member, old): (&MemberId, &RowMember),
    new: &RowMember,
    floor_pct: u32,
    findings: &mut Vec<Finding>,
) {
    let member = member.clone();
    if new.since != old.since {
        findings.push(Finding::SinceChanged {
            member: member.clone(),
        });
    }
    if new.lease_seq < old.lease_seq || new.adopted < old.adopted {
        findings.push(Finding::Regressed {
            member: member.clone(),
        });
    }
    let earlier = if new.adopted >= previous.epoch {
        floor_of(&old.allot, floor_pct)
    } else {
        old.bound.clone()
    };
    if !within(&earlier, &new.bound) {
        findings.push(Finding::BoundBelowEarlierFloor { member });
    }
}
