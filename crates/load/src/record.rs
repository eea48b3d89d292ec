//! Records of the callers' requests and of the upstreams' runs, which the judge compares.
//!
//! Times are microseconds since the Unix epoch. Both sides run on one machine and share its clock.

use crate::scene::FilingMethod;
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

/// Wall-clock time in microseconds since the Unix epoch.
pub type UnixUs = u64;

/// One request of a caller, from its arrival to its result.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallerRecord {
    /// The request's id, which is part of its path to the upstream.
    pub id: ByteString,
    /// Class of work.
    pub class: ClassId,
    /// Region of the caller.
    pub region: RegionId,
    /// How the request is kept from running twice.
    pub filing: FilingMethod,
    /// When it was scheduled to start.
    pub scheduled_us: UnixUs,
    /// When it started.
    pub started_us: UnixUs,
    /// When the caller gave up or had received its final response completely.
    pub finished_us: UnixUs,
    /// Time to its deadline, from its start.
    pub deadline_ms: u64,
    /// Result that the caller knows.
    #[serde(rename = "told")]
    pub result: CallerResult,
    /// Flaw of the final response.
    pub flaw: Option<Flaw>,
    /// All tries, in order.
    pub tries: Vec<Try>,
}

/// Result of a request, as its caller knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerResult {
    /// An upstream's response with a success status.
    Done,
    /// An upstream's response with a failure status, or a response without an outcome.
    Failed,
    /// The request did not run.
    Refused,
    /// It may have run.
    Unknown,
    /// No entry could be reached, and nothing was sent.
    Unreached,
    /// A try was sent and no final response arrived.
    NoAnswer,
}

/// Flaw of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flaw {
    /// Fewer or more bytes than requested.
    Length {
        /// Bytes requested.
        expected: u64,
        /// Bytes received.
        received: u64,
    },
    /// A byte that differs from the expected body.
    Content {
        /// Offset of the part of the body in which it was found.
        at: u64,
    },
    /// The response to another request.
    Crossed {
        /// Start of the received body.
        received: ByteString,
    },
    /// An entry's response without `Jasmine-Outcome`.
    NoOutcome,
}

/// One request as sent to one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Try {
    /// Number from 1, which is part of the path to the upstream. Copies of a filing with the same
    /// ticket or key share a number, since they are the same request.
    pub number: u32,
    /// Address of the entry.
    pub entry: ByteString,
    /// Ticket or key sent with it, truncated.
    pub filing: Option<ByteString>,
    /// When it was sent.
    pub sent_us: UnixUs,
    /// When it ended.
    pub ended_us: UnixUs,
    /// How it ended.
    pub end: TryEnd,
    /// `Jasmine-Request` of the response.
    pub request: Option<ByteString>,
    /// `Jasmine-Instance` of the response.
    pub instance: Option<ByteString>,
    /// Status of the response.
    pub status: Option<u16>,
    /// Start of the body, unless the outcome is `done`.
    pub detail: Option<ByteString>,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TryEnd {
    /// A response with this outcome.
    Answered(RunOutcome),
    /// A response without an outcome.
    Unclaimed,
    /// No connection was made.
    NotConnected,
    /// The connection closed before the final response was complete.
    Cut,
    /// The caller's timeout expired.
    TimedOut,
}

/// One request that reached an upstream, as the upstream recorded it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Caller's id of the request, from the path.
    pub id: ByteString,
    /// Caller's number of the try, from the path.
    pub try_number: u32,
    /// Its `Jasmine-Filing` header.
    pub filing: Option<ByteString>,
    /// When it arrived.
    pub arrived_us: UnixUs,
    /// When it got a slot; none if it never ran.
    pub started_us: Option<UnixUs>,
    /// When it ended; none while it runs.
    pub ended_us: Option<UnixUs>,
    /// How it ended, as the upstream names it.
    pub end: ByteString,
    /// Bytes of its body, and of its response if that was sent completely.
    pub bytes: u64,
}

/// Properties of an upstream: those that the platform lists, and its longest queue.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamFacts {
    /// Its service.
    pub service: ServiceId,
    /// Its region.
    pub region: RegionId,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Longest queue of requests for its slots, by its own record.
    pub max_queued: u64,
}

impl Run {
    /// End of a run whose upstream truncated its response.
    pub const TRUNCATED: &'static str = "truncated";

    /// Time for which it waited for a slot, or until it ended without one.
    pub fn waited_us(&self) -> u64 {
        let until = self.started_us.or(self.ended_us).unwrap_or(UnixUs::MAX);
        until.saturating_sub(self.arrived_us)
    }
}

/// Current wall-clock time.
pub fn unix_us() -> UnixUs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
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
                FilingMethod::None => "",
                FilingMethod::Ticket => " (by ticket)",
                FilingMethod::Key => " (by key)",
            },
            self.scheduled_us,
            self.finished_us.saturating_sub(self.started_us) / 1_000,
            self.deadline_ms,
            self.result,
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
