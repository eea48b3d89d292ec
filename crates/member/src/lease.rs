//! Lease rows, their terms and the steps and events of those that write them.

use base::{
    DomainId,
    Incarnation,
    InstanceId,
    RegionId, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

/// Row of the table that holds the lease of `instance`.
pub fn lease_key(instance: &str) -> ByteString {
    ByteString::from(format!("lease/{instance}"))
}

/// How long leases last and how they are kept.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseTerms {
    /// Life of a lease by an exact clock.
    pub ttl: Duration,
    /// Time between renewals; a third of `ttl` leaves room for two that fail.
    pub renew_every: Duration,
    /// How much slower or faster than an exact clock any clock may run, in percent.
    pub drift_pct: u32,
}

impl LeaseTerms {
    /// How long a holder counts on its lease, by its own clock.
    pub fn held_for(&self) -> Duration {
        self.ttl * (100_u32.saturating_sub(self.drift_pct)) / 100
    }

    /// How long others wait from their first sight of a renewal, by their own clocks.
    pub fn lapsed_after(&self) -> Duration {
        self.ttl * (100 + self.drift_pct) / 100
    }
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(9),
            renew_every: Duration::from_secs(3),
            drift_pct: 5,
        }
    }
}

/// Where an instance is and how it is reached.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Identity {
    /// Its name.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Where callers reach it: IP number and port.
    pub callers_addr: ByteString,
    /// Where other daemons reach it.
    pub peers_addr: ByteString,
    /// Where operators reach it.
    pub operator_addr: ByteString,
}

/// How far an incarnation's life is; it only ever grows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
    /// Has finished; holds nothing any more.
    Left,
}

impl LeaseState {
    /// Text in rows and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Left => "left",
        }
    }
}

impl fmt::Display for LeaseState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Lease of one instance, as its row holds it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseRow {
    /// Whose, and where.
    pub identity: Identity,
    /// Life of the holder; each join takes the next.
    pub incarnation: Incarnation,
    /// Grows with each renewal that was sent.
    pub seq: u64,
    /// How far the holder's life is.
    pub state: LeaseState,
}

/// One line; fields separated by spaces, which no id or address has.
impl fmt::Display for LeaseRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = &self.identity;
        write!(
            f,
            "{} {} {} {} {} {} {} {} {}",
            id.instance,
            self.incarnation,
            self.seq,
            self.state,
            id.region,
            id.failure_domain,
            id.callers_addr,
            id.peers_addr,
            id.operator_addr
        )
    }
}

/// Text that is no lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedLease;

impl FromStr for LeaseRow {
    type Err = MalformedLease;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fields: Vec<&str> = text.split(' ').collect();
        let [instance, incarnation, seq, state, region, domain, callers, peers, operator] =
            fields[..]
        else {
            return Err(MalformedLease);
        };
        let state = [LeaseState::Live, LeaseState::Leaving, LeaseState::Left]
            .into_iter()
            .find(|known| known.as_str() == state)
            .ok_or(MalformedLease)?;
        Ok(Self {
            identity: Identity {
                instance: instance.into(),
                region: region.into(),
                failure_domain: domain.into(),
                callers_addr: callers.into(),
                peers_addr: peers.into(),
                operator_addr: operator.into(),
            },
            incarnation: incarnation.parse().map_err(|_| MalformedLease)?,
            seq: seq.parse().map_err(|_| MalformedLease)?,
            state,
        })
    }
}

/// A lease with the version of its row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VersionedLease {
    /// Version of the last commit that wrote the row.
    pub version: u64,
    /// The row.
    pub row: LeaseRow,
}

/// What happened to the last step.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LeaseEvent {
    /// The row, read.
    Read(Option<VersionedLease>),
    /// The write took effect, as this version of the row.
    Committed {
        /// The row's version.
        version: u64,
    },
    /// The write didn't take effect: the row is this one.
    Conflict(Option<VersionedLease>),
    /// The answer was lost: the write may have taken effect, or may yet.
    Lost,
    /// The platform provably did nothing.
    Down,
}

/// What to do next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LeaseStep {
    /// Read the row.
    Read,
    /// Commit this; the lease counts from the `now` at which the step was made.
    Commit {
        /// Version that the row must have; `None`: absent.
        check: Option<u64>,
        /// Text of the new row.
        value: ByteString,
    },
    /// Nothing, until the next tick.
    Idle,
    /// Another incarnation has the row: this process must stop.
    Superseded,
}
