//! Lease rows, lease terms, and the steps and events of the state machines that write them.

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

/// Key of the table row that holds the lease of `instance`.
pub fn lease_key(instance: &str) -> ByteString {
    ByteString::from(format!("lease/{instance}"))
}

/// Duration of leases and their renewal interval.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseTerms {
    /// Duration of a lease by an exact clock.
    pub ttl: Duration,
    /// Time between renewals; a third of `ttl` tolerates two failed renewals.
    pub renew_every: Duration,
    /// Maximum deviation of a clock's rate from that of an exact clock, in percent.
    pub drift_pct: u32,
}

impl LeaseTerms {
    /// How long a holder relies on a renewal, by its own clock.
    pub fn held_for(&self) -> Duration {
        self.ttl * (100_u32.saturating_sub(self.drift_pct)) / 100
    }

    /// How long observers wait after they first see a renewal, by their own clocks.
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

/// Name, location and addresses of an instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Identity {
    /// Name.
    pub instance: InstanceId,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Address for callers: IP address and port.
    pub callers_addr: ByteString,
    /// Address for other daemons.
    pub peers_addr: ByteString,
    /// Address for operators.
    pub operator_addr: ByteString,
}

/// Lifecycle state of an incarnation; it only advances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
    /// Has released its lease.
    Left,
}

impl LeaseState {
    /// Text form in rows and reports.
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

/// Lease of an instance as stored in its row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseRow {
    /// Name and location of the holder.
    pub identity: Identity,
    /// Incarnation of the holder; each join takes the next one.
    pub incarnation: Incarnation,
    /// Sequence number, incremented with each renewal that is sent.
    pub seq: u64,
    /// Lifecycle state of the holder.
    pub state: LeaseState,
}

/// One line of fields separated by spaces; no id or address contains a space.
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

/// Error for a text that is not a lease row.
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

/// Lease with the version of its row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VersionedLease {
    /// Version of the last commit that wrote the row.
    pub version: u64,
    /// Content of the row.
    pub row: LeaseRow,
}

/// Outcome of the last step.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LeaseEvent {
    /// The row was read; `None`: absent.
    Read(Option<VersionedLease>),
    /// The write took effect.
    Committed {
        /// Version of the row that was written.
        version: u64,
    },
    /// The write did not take effect, because the row is this one.
    Conflict(Option<VersionedLease>),
    /// The answer was lost: a write may have taken effect or may still do so.
    OutcomeUnknown,
    /// The platform is known not to have executed the step.
    NotExecuted,
}

/// Next action of a state machine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LeaseStep {
    /// Read the row.
    Read,
    /// Write the row; the lease counts from the `now` at which this step was created.
    Commit {
        /// Version that the row must have; `None`: the row must be absent.
        check: Option<u64>,
        /// Text form of the new row.
        value: ByteString,
    },
    /// Do nothing until the next tick.
    Idle,
    /// Another incarnation has the row; this process must stop.
    Superseded,
}
