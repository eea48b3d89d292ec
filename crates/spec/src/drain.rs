//! The target of a drain, with its textual form and its JSON form on the operators' port.

use base::{
    DomainId,
    RegionId,
    UpstreamId, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    error::Error,
    fmt,
    str::FromStr, //
};

/// Part of the fleet that gets no new work while a drain is in force.
///
/// Textual form: `upstream:ID`, `failure-domain:REGION/ID` or `region:ID`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "Wire", try_from = "Wire")]
pub enum DrainTarget {
    /// One upstream of any service.
    Upstream(UpstreamId),
    /// All upstreams and instances of a failure domain.
    FailureDomain(RegionId, DomainId),
    /// All upstreams and instances of a region.
    Region(RegionId),
}

/// Kind of a drain target; both forms use the same names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    /// One upstream.
    Upstream,
    /// A failure domain of a region.
    FailureDomain,
    /// A region.
    Region,
}

impl Kind {
    /// Names in the textual form, which stand before the colon.
    const NAMES: [(Self, &'static str); 3] = [
        (Self::Upstream, "upstream"),
        (Self::FailureDomain, "failure-domain"),
        (Self::Region, "region"),
    ];
}

/// JSON form on the operators' port.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Wire {
    /// Kind of the target.
    kind: Kind,
    /// Region, only for a failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    region: Option<RegionId>,
    /// Name of the target.
    id: ByteString,
}

/// Error for a text or a JSON value that is not a drain target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedDrainTarget;

impl fmt::Display for MalformedDrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not `upstream:ID`, `failure-domain:REGION/ID` or `region:ID`")
    }
}

impl Error for MalformedDrainTarget {}

impl From<DrainTarget> for Wire {
    fn from(target: DrainTarget) -> Self {
        let (kind, region, id) = match target {
            DrainTarget::Upstream(id) => (Kind::Upstream, None, id),
            DrainTarget::FailureDomain(region, id) => (Kind::FailureDomain, Some(region), id),
            DrainTarget::Region(id) => (Kind::Region, None, id),
        };
        Self { kind, region, id }
    }
}

impl TryFrom<Wire> for DrainTarget {
    type Error = MalformedDrainTarget;

    fn try_from(wire: Wire) -> Result<Self, Self::Error> {
        if wire.id.is_empty() {
            return Err(MalformedDrainTarget);
        }
        match (wire.kind, wire.region) {
            (Kind::Upstream, None) => Ok(Self::Upstream(wire.id)),
            (Kind::FailureDomain, Some(region)) => Ok(Self::FailureDomain(region, wire.id)),
            (Kind::Region, None) => Ok(Self::Region(wire.id)),
            _ => Err(MalformedDrainTarget),
        }
    }
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream(id) => write!(f, "upstream:{id}"),
            Self::FailureDomain(region, id) => write!(f, "failure-domain:{region}/{id}"),
            Self::Region(id) => write!(f, "region:{id}"),
        }
    }
}

impl FromStr for DrainTarget {
    type Err = MalformedDrainTarget;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind_name, id) = text.split_once(':').ok_or(MalformedDrainTarget)?;
        let (kind, _) = Kind::NAMES
            .into_iter()
            .find(|(_, name)| *name == kind_name)
            .ok_or(MalformedDrainTarget)?;
        let (region, id) = match kind {
            Kind::FailureDomain => {
                let (region, id) = id.split_once('/').ok_or(MalformedDrainTarget)?;
                (Some(region.into()), id)
            }
            Kind::Upstream | Kind::Region => (None, id),
        };
        Wire {
            kind,
            region,
            id: id.into(),
        }
        .try_into()
    }
}
