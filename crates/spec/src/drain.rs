//! What a drain names, with its textual form and its form on the operators' port.

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

/// What gets no new work while a drain is in force.
///
/// Text: `upstream:ID`, `failure-domain:REGION/ID` or `region:ID`.
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

/// Kind of a target, as the text and the operators' port name it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    /// One upstream.
    Upstream,
    /// A failure domain, which needs its region.
    FailureDomain,
    /// A region.
    Region,
}

impl Kind {
    /// Text before the colon.
    const NAMES: [(Self, &'static str); 3] = [
        (Self::Upstream, "upstream"),
        (Self::FailureDomain, "failure-domain"),
        (Self::Region, "region"),
    ];
}

/// Form on the operators' port.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Wire {
    /// Which of the three.
    kind: Kind,
    /// Region of a failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    region: Option<RegionId>,
    /// Name of the target.
    id: ByteString,
}

/// Text or message that names no target of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownTarget;

impl fmt::Display for UnknownTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not `upstream:ID`, `failure-domain:REGION/ID` or `region:ID`")
    }
}

impl Error for UnknownTarget {}

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
    type Error = UnknownTarget;

    fn try_from(wire: Wire) -> Result<Self, Self::Error> {
        if wire.id.is_empty() {
            return Err(UnknownTarget);
        }
        match (wire.kind, wire.region) {
            (Kind::Upstream, None) => Ok(Self::Upstream(wire.id)),
            (Kind::FailureDomain, Some(region)) => Ok(Self::FailureDomain(region, wire.id)),
            (Kind::Region, None) => Ok(Self::Region(wire.id)),
            _ => Err(UnknownTarget),
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
    type Err = UnknownTarget;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, id) = text.split_once(':').ok_or(UnknownTarget)?;
        let (kind, _) = Kind::NAMES
            .into_iter()
            .find(|(_, known)| *known == name)
            .ok_or(UnknownTarget)?;
        let (region, id) = match kind {
            Kind::FailureDomain => {
                let (region, id) = id.split_once('/').ok_or(UnknownTarget)?;
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
