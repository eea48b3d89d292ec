//! The allotment of a pool: one row of the platform's table, replaced epoch by epoch.

use base::{
    Epoch,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceId, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::BTreeMap,
    fmt,
    str::FromStr, //
};

/// Name of a pool; the row's key is `share/<pool>`.
pub type PoolId = ByteString;
/// Name of a resource in its pool: an upstream, or a unit of a cap.
pub type ResourceId = ByteString;
/// Tokens by resource; a missing resource stands for none.
pub type Amounts = BTreeMap<ResourceId, u32>;

/// Names the pool of the slots of `service` in `region`.
pub fn slots_pool(service: &ServiceId, region: &RegionId) -> PoolId {
    format!("slots/{region}/{service}").into()
}

/// Names the pool of the cap on work that leaves region `from` for region `to`.
pub fn cap_pool(from: &RegionId, to: &RegionId) -> PoolId {
    format!("cap/{from}/{to}").into()
}

/// Member of a pool: an instance in one life; `instance#incarnation` as text.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct MemberId {
    /// The instance.
    pub instance: InstanceId,
    /// Its life; a member that lapsed for good comes back under a higher one.
    pub incarnation: Incarnation,
}

/// Text that is no `instance#incarnation`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberIdError(String);

impl fmt::Display for MemberIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no instance#incarnation", self.0)
    }
}

impl std::error::Error for MemberIdError {}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}

impl FromStr for MemberId {
    type Err = MemberIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || MemberIdError(text.to_owned());
        let (instance, incarnation) = text.rsplit_once('#').ok_or_else(error)?;
        Ok(Self {
            instance: instance.into(),
            incarnation: incarnation.parse().map_err(|_| error())?,
        })
    }
}

impl From<MemberId> for String {
    fn from(member: MemberId) -> Self {
        member.to_string()
    }
}

impl TryFrom<String> for MemberId {
    type Error = MemberIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// What a row says of one member.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowMember {
    /// Tokens allotted to it.
    pub allot: Amounts,
    /// The most it may use without protection at any epoch that it may still be at.
    pub bound: Amounts,
    /// Sequence number of its lease that the writer knew; a lapse of an older one says nothing.
    pub lease_seq: u64,
    /// Epoch of the first row that lists it.
    pub since: Epoch,
    /// Highest epoch that the writer knew it to have adopted.
    pub adopted: Epoch,
    /// Whether it stops: it gets nothing more.
    pub leaving: bool,
    /// Whether the writer saw its short term lapse: it keeps what it may be using.
    pub lapsed: bool,
}

/// Allotment of a pool at one epoch.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Row {
    /// Grows by one with each compare-and-set.
    pub epoch: Epoch,
    /// Capacity of each resource, in tokens.
    pub resources: Amounts,
    /// Members and what each is allotted.
    pub members: BTreeMap<MemberId, RowMember>,
}

impl Row {
    /// Tokens of `resource` allotted to `member`.
    pub fn allotted(&self, member: &MemberId, resource: &ResourceId) -> u32 {
        self.members
            .get(member)
            .map_or(0, |entry| amount(&entry.allot, resource))
    }
}

impl fmt::Display for Row {
    /// Writes one line a member, after a line with the epoch and the capacities.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "epoch {} of {}", self.epoch, Listed(&self.resources))?;
        for (id, entry) in &self.members {
            write!(f, "\n  {id}: {}", Listed(&entry.allot))?;
            write!(f, " bound {}", Listed(&entry.bound))?;
            write!(f, " lease {}", entry.lease_seq)?;
            write!(f, " since {} adopted {}", entry.since, entry.adopted)?;
            if entry.leaving {
                f.write_str(" leaving")?;
            }
            if entry.lapsed {
                f.write_str(" lapsed")?;
            }
        }
        Ok(())
    }
}

/// Amounts as `a=2 b=1`, or `-` for none.
pub(crate) struct Listed<'a>(pub(crate) &'a Amounts);

impl fmt::Display for Listed<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (index, (resource, n)) in self.0.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(f, "{space}{resource}={n}")?;
        }
        Ok(())
    }
}

/// Tokens of `resource` in `amounts`.
pub(crate) fn amount(amounts: &Amounts, resource: &ResourceId) -> u32 {
    amounts.get(resource).copied().unwrap_or(0)
}

/// Sum over all resources.
pub(crate) fn total(amounts: &Amounts) -> u32 {
    amounts.values().sum()
}

/// The lesser of both, resource by resource.
pub(crate) fn least(a: &Amounts, b: &Amounts) -> Amounts {
    a.iter()
        .map(|(resource, n)| (resource.clone(), (*n).min(amount(b, resource))))
        .filter(|(_, n)| *n > 0)
        .collect()
}

/// The greater of both, resource by resource.
pub(crate) fn most(a: &Amounts, b: &Amounts) -> Amounts {
    let mut all = a.clone();
    for (resource, n) in b {
        let entry = all.entry(resource.clone()).or_default();
        *entry = (*entry).max(*n);
    }
    all
}

/// Whether `a` is within `b` for every resource.
pub(crate) fn within(a: &Amounts, b: &Amounts) -> bool {
    a.iter().all(|(resource, n)| *n <= amount(b, resource))
}

/// The part of `allot` that only the long term frees: `floor_pct` of the whole, rounded up.
///
/// The rounding runs over the resources together. A member with one slot on each of three
/// upstreams would otherwise have a floor of either nothing or everything.
pub fn floor_of(allot: &Amounts, floor_pct: u32) -> Amounts {
    let mut before = 0_u64;
    let mut floor = Amounts::new();
    let part = |n: u64| (n * u64::from(floor_pct)).div_ceil(100);
    for (resource, n) in allot {
        let after = before + u64::from(*n);
        let share = part(after) - part(before);
        // With a part of at most 100 % the step is at most `n`; a larger setting is cut to it.
        let tokens = u32::try_from(share).unwrap_or(*n).min(*n);
        if tokens > 0 {
            floor.insert(resource.clone(), tokens);
        }
        before = after;
    }
    floor
}
