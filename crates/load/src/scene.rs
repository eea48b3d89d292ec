//! A scene: the load of a run, and the events during it.
//!
//! A scene file is YAML. It contains no addresses: those of daemons, upstreams and events' targets
//! come from the command line, so that a scene can run on any free ports. [`Scene::read`] reads the
//! load and the events and reports each wrong value with its position; [`Plan::read`] also reads
//! what the file states about the system under test.

use base::{
    ClassId,
    RegionId,
    UpstreamId, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::Ipv4Addr,
    time::Duration, //
};

mod plan;
mod read;

pub use plan::{
    Kill,
    Plan, //
};

/// The load and the events of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scene {
    /// Seed of the schedule of arrivals.
    pub seed: u64,
    /// Time over which requests arrive.
    pub duration_ms: u64,
    /// Time after its deadline by which a request must have its final response.
    pub allowance_ms: u64,
    /// Time after which an upstream that began to leave must receive no new work.
    pub leaving_bound_ms: u64,
    /// Threads that run callers.
    pub threads: usize,
    /// Regions of the callers.
    pub regions: Vec<CallerRegion>,
    /// Classes of work in the mix.
    pub classes: Vec<ClassLoad>,
    /// Intervals of changed load.
    pub bursts: Vec<Burst>,
    /// Requests of the driver to stand-ins and daemons during the run.
    pub events: Vec<Event>,
}

/// Callers of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRegion {
    /// The region's name.
    pub name: RegionId,
    /// Block of the callers' addresses, `a.b.c.d/len`.
    pub block: ByteString,
    /// Number of callers, each with its own address and look-up cache.
    pub callers: u32,
    /// Relative weight of the region in the load.
    pub share: f64,
    /// One-way delay between a caller and its entries.
    pub one_way_ms: u64,
}

/// Load of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The class, as the configuration names it.
    pub name: ClassId,
    /// Mean rate of all regions together, outside bursts.
    pub rate_per_s: f64,
    /// Time to a request's deadline, from its start.
    pub deadline_ms: u64,
    /// Operation that is requested of the upstream.
    pub work: Work,
    /// Size of the response to request, or of the body to send.
    pub bytes: u64,
    /// How the request is kept from running twice.
    pub filing: FilingMethod,
    /// Maximum number of tries of a request, without look-ups.
    pub tries: u32,
    /// Timeout after which a try of idempotent work is abandoned and retried at another entry.
    pub attempt_ms: Option<u64>,
}

/// Operation of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// `GET /bytes/<n>`: a response of known bytes with a declared length.
    Bytes,
    /// `GET /chunked/<n>`: a response of known bytes in chunks.
    Chunked,
    /// `POST /echo`: a response with the request's path and its body's length and digest.
    Echo,
}

/// How a request is kept from running twice.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FilingMethod {
    /// Not at all: the work is idempotent.
    #[default]
    None,
    /// By a ticket from a separate look-up.
    Ticket,
    /// By an `Idempotency-Key` that the caller generates.
    Key,
}

/// Interval in which a factor applies to the rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Class that the factor applies to; all if omitted.
    pub class: Option<ClassId>,
    /// Region that the factor applies to; all if omitted.
    pub region: Option<RegionId>,
    /// Start, from the start of the run.
    pub from_ms: u64,
    /// End, from the start of the run.
    pub to_ms: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// A request of the driver to a stand-in or a daemon's operator port at a given time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, from the start of the run.
    pub at_ms: u64,
    /// Name of the target, to which the command line assigns an address.
    pub target: ByteString,
    /// Path to post to.
    pub path: ByteString,
    /// JSON body.
    pub body: ByteString,
    /// Upstreams that leave because of this event, for the judge.
    pub leaves: Vec<UpstreamId>,
    /// Upstreams that return because of this event, for the judge.
    pub returns: Vec<UpstreamId>,
}

impl Scene {
    /// Time over which requests arrive.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

impl CallerRegion {
    /// Address of the `index`th caller, within the region's block.
    pub fn address(&self, index: u32) -> Ipv4Addr {
        let (first, hosts) = self.first_address().unwrap_or((Ipv4Addr::LOCALHOST, 1));
        // Block sizes are powers of two, so that an odd factor spreads consecutive callers over the
        // block without duplicates.
        let offset = u64::from(index).wrapping_mul(2_654_435_761) % hosts;
        let offset = u32::try_from(offset).unwrap_or(0);
        Ipv4Addr::from(u32::from(first).wrapping_add(offset))
    }

    /// First address of the block and the number of its addresses.
    fn first_address(&self) -> Option<(Ipv4Addr, u64)> {
        first_address(&self.block)
    }
}

/// First address of an IPv4 block and the number of its addresses; none if the text is no block.
pub(crate) fn first_address(block: &str) -> Option<(Ipv4Addr, u64)> {
    let (address, length) = block.split_once('/')?;
    let address: Ipv4Addr = address.parse().ok()?;
    let length: u32 = length.parse().ok().filter(|length| *length <= 32)?;
    let hosts = 1_u64 << (32 - length);
    let aligned = u64::from(u32::from(address)) % hosts == 0;
    aligned.then_some((address, hosts))
}
