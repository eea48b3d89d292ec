//! What callers were told and what upstreams ran: the two sides that the judge compares.
//!
//! Times are microseconds since the Unix epoch on one machine, so that both sides share a clock.

use crate::scene::FilingWay;
use base::{
    ClassId,
    RegionId,
    RunOutcome,
    ServiceId,
    UpstreamId, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

/// Time of the wall clock in microseconds since the Unix epoch.
pub type UnixUs = u64;

/// One request of a caller, from its arrival to what the caller knows at the end.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallerRecord {
    /// The request's id, which goes in its path to the upstream.
    pub id: ByteString,
    /// Class of work.
    pub class: ClassId,
    /// Region of the caller.
    pub region: RegionId,
    /// How the request is kept from running twice.
    pub filing: FilingWay,
    /// When the schedule wanted it to start.
    pub scheduled_us: UnixUs,
    /// When it started.
    pub started_us: UnixUs,
    /// When the caller gave up or had its final answer whole.
    pub finished_us: UnixUs,
    /// Time that the caller gave it, from its start.
    pub deadline_ms: u64,
    /// What the caller knows at the end.
    pub told: Told,
    /// What is wrong with the final answer.
    pub flaw: Option<Flaw>,
    /// All tries, in order.
    pub tries: Vec<Try>,
}

/// What a caller knows at the end of its request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// An upstream's answer with a status of success.
    Done,
    /// An upstream's answer with a status of failure.
    Failed,
    /// The request was not run.
    Refused,
    /// It may have run.
    Unknown,
    /// No entry could be reached, and nothing was sent.
    Unreached,
    /// Something was sent and no final answer came.
    NoAnswer,
}

/// What is wrong with an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flaw {
    /// Fewer or more bytes than asked for.
    Length {
        /// Bytes asked for.
        expected: u64,
        /// Bytes that came.
        received: u64,
    },
    /// A byte that the upstream can't have sent for this request.
    Content {
        /// Offset of the first such byte.
        at: u64,
    },
    /// The answer to somebody else's request.
    Crossed {
        /// Start of what came.
        received: ByteString,
    },
    /// An answer of an entry without a `Jasmine-Outcome`.
    NoOutcome,
}

/// One request on the wire, to one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Try {
    /// Number that goes in the path to the upstream, from 1; copies of a filing with the same ticket
    /// or key have the same, for they are the same request.
    pub number: u32,
    /// Address of the entry.
    pub entry: ByteString,
    /// Ticket or key sent with it, shortened.
    pub filing: Option<ByteString>,
    /// When it was sent.
    pub sent_us: UnixUs,
    /// When it ended.
    pub ended_us: UnixUs,
    /// How it ended.
    pub end: TryEnd,
    /// `Jasmine-Request` of the answer.
    pub request: Option<ByteString>,
    /// `Jasmine-Instance` of the answer.
    pub instance: Option<ByteString>,
    /// Status of the answer.
    pub status: Option<u16>,
    /// Start of the body of an answer that is not an upstream's.
    pub detail: Option<ByteString>,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TryEnd {
    /// By an answer with a claim.
    Answered(RunOutcome),
    /// By an answer that claims nothing about the request.
    Unclaimed,
    /// No connection was made.
    NotConnected,
    /// The connection closed before the final answer was whole.
    Cut,
    /// The caller stopped waiting.
    TimedOut,
}

/// One request that reached an upstream, in the upstream's own words.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Caller's id of the request, from the path.
    pub id: ByteString,
    /// Caller's number of the try, from the path.
    pub try_number: u32,
    /// `Jasmine-Filing` that came with it.
    pub filing: Option<ByteString>,
    /// When it arrived.
    pub arrived_us: UnixUs,
    /// When it got a slot; none when it never ran.
    pub started_us: Option<UnixUs>,
    /// When it was over; none while it runs.
    pub ended_us: Option<UnixUs>,
    /// Upstream's own word for how it ended.
    pub end: ByteString,
    /// Bytes of its body and of its answer as far as that was handed over whole.
    pub bytes: u64,
}

/// An upstream as the platform's list names it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamFacts {
    /// Service that it is of.
    pub service: ServiceId,
    /// Region that it is in.
    pub region: RegionId,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Most requests that waited for a slot at a time, by its own record.
    pub max_queued: u64,
}

impl Run {
    /// End of a run whose upstream broke off its answer.
    pub const TRUNCATED: &'static str = "truncated";

    /// How long it waited for a slot; forever if it never got one.
    pub fn waited_us(&self) -> u64 {
        let until = self.started_us.or(self.ended_us).unwrap_or(UnixUs::MAX);
        until.saturating_sub(self.arrived_us)
    }
}

/// The wall clock now.
pub fn unix_us() -> UnixUs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

impl fmt::Display for CallerRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "caller {} in {}: {}{} scheduled {} took {} ms of {}: {:?}",
            self.id,
            self.region,
            self.class,
            match self.filing {
                FilingWay::None => "",
                FilingWay::Ticket => " (by ticket)",
                FilingWay::Key => " (by key)",
            },
            self.scheduled_us,
            self.finished_us.saturating_sub(self.started_us) / 1_000,
            self.deadline_ms,
            self.told,
        )?;
        match &self.flaw {
            Some(flaw) => write!(f, ", {flaw:?}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Try {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "  try {} to {} sent {} ended {}: {:?}",
            self.number, self.entry, self.sent_us, self.ended_us, self.end
        )?;
        if let Some(status) = self.status {
            write!(f, " {status}")?;
        }
        if let Some(filing) = &self.filing {
            write!(f, " filing {filing}")?;
        }
        if let Some(instance) = &self.instance {
            write!(f, " by {instance}")?;
        }
        if let Some(request) = &self.request {
            write!(f, " as {request}")?;
        }
        if let Some(detail) = &self.detail {
            write!(f, ": {detail}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "  upstream {}: try {} arrived {}",
            self.upstream, self.try_number, self.arrived_us
        )?;
        if let Some(started) = self.started_us {
            write!(f, " started {started}")?;
        }
        if let Some(ended) = self.ended_us {
            write!(f, " ended {ended}")?;
        }
        if let Some(filing) = &self.filing {
            write!(f, " filing {filing}")?;
        }
        write!(f, ": {}", self.end)
    }
}
