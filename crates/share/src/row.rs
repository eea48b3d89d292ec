//! The allotment of a pool: one row of the platform's table, replaced at each epoch.

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

/// Returns the name of the pool of the slots of `service` in `region`.
pub fn slots_pool(service: &ServiceId, region: &RegionId) -> PoolId {
    format!("slots/{region}/{service}").into()
}

/// Returns the name of the pool of the cap on work that region `from` sends to region `to`.
pub fn cap_pool(from: &RegionId, to: &RegionId) -> PoolId {
    format!("cap/{from}/{to}").into()
}

/// Member of a pool: one incarnation of an instance; `instance#incarnation` as text.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct MemberId {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation; a member whose lease expired comes back with a higher one.
    pub incarnation: Incarnation,
}

/// Error for text that is not of the form `instance#incarnation`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberIdError(String);

impl fmt::Display for MemberIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not of the form instance#incarnation", self.0)
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

/// Entry of one member in a row.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowMember {
    /// Tokens allotted to it.
    pub allot: Amounts,
    /// The most that it may use without protection at any epoch that it may still be at.
    pub bound: Amounts,
    /// Sequence number of its lease as known to the writer; the lapse of an older one is not
    /// conclusive.
    pub lease_seq: u64,
    /// Epoch of the first row that lists it.
    pub since: Epoch,
    /// Highest epoch that it had adopted as far as the writer knew.
    pub adopted: Epoch,
    /// Whether it is stopping and gets no more tokens.
    pub leaving: bool,
    /// Whether the writer saw its short TTL lapse; it keeps what it may still be using.
    pub lapsed: bool,
}

/// Allotment of a pool at one epoch.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Row {
    /// Incremented by each compare-and-set.
    pub epoch: Epoch,
    /// Capacity of each resource, in tokens.
    pub resources: Amounts,
    /// Members and their allotments.
    pub members: BTreeMap<MemberId, RowMember>,
}

impl Row {
    /// Returns the tokens of `resource` allotted to `member`.
    pub fn allotted(&self, member: &MemberId, resource: &ResourceId) -> u32 {
        self.members
            .get(member)
            .map_or(0, |entry| amount(&entry.allot, resource))
    }
}

impl fmt::Display for Row {
    /// Writes a line with the epoch and the capacities, then one line per member.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "epoch {} of {}",
            self.epoch,
            AmountsDisplay(&self.resources)
        )?;
        for (id, entry) in &self.members {
            write!(f, "\n  {id}: {}", AmountsDisplay(&entry.allot))?;
            write!(f, " bound {}", AmountsDisplay(&entry.bound))?;
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

/// Formats amounts as `a=2 b=1`, or `-` for none.
pub(crate) struct AmountsDisplay<'a>(pub(crate) &'a Amounts);

impl fmt::Display for AmountsDisplay<'_> {
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

/// Returns the tokens of `resource` in `amounts`.
pub(crate) fn amount(amounts: &Amounts, resource: &ResourceId) -> u32 {
    amounts.get(resource).copied().unwrap_or(0)
}

/// Returns the sum over all resources.
pub(crate) fn total(amounts: &Amounts) -> u32 {
    amounts.values().sum()
}

/// Returns the lesser of both amounts for each resource.
pub(crate) fn min_amounts(a: &Amounts, b: &Amounts) -> Amounts {
    a.iter()
        .map(|(resource, n)| (resource.clone(), (*n).min(amount(b, resource))))
        .filter(|(_, n)| *n > 0)
        .collect()
}

/// Returns the greater of both amounts for each resource.
pub(crate) fn max_amounts(a: &Amounts, b: &Amounts) -> Amounts {
    let mut all = a.clone();
    for (resource, n) in b {
        let entry = all.entry(resource.clone()).or_default();
        *entry = (*entry).max(*n);
    }
    all
}

/// Returns whether `a` is within `b` for every resource.
pub(crate) fn within(a: &Amounts, b: &Amounts) -> bool {
    a.iter().all(|(resource, n)| *n <= amount(b, resource))
}

/// Returns the part of `allot` that is freed only after the long TTL: `floor_pct` of the whole,
/// rounded up.
///
/// The rounding carries over from one resource to the next. Otherwise a member with one slot on
/// each of three upstreams would have a floor of either nothing or everything.
pub fn floor_of(allot: &Amounts, floor_pct: u32) -> Amounts {
    let mut before = 0_u64;
    let mut floor = Amounts::new();
    let floor_tokens = |n: u64| (n * u64::from(floor_pct)).div_ceil(100);
    for (resource, n) in allot {
        let after = before + u64::from(*n);
        let step = floor_tokens(after) - floor_tokens(before);
        // With `floor_pct` up to 100 the step is at most `n`; a larger setting is limited to `n`.
        let tokens = u32::try_from(step).unwrap_or(*n).min(*n);
        if tokens > 0 {
            floor.insert(resource.clone(), tokens);
        }
        before = after;
    }
    floor
}
