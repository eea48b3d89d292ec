//! A scene: who asks for what, how often, and what happens meanwhile.
//!
//! A scene file is YAML. It names no address of the system: daemons, upstreams and targets of
//! events come from the command line, so that one scene runs on any free ports. [`Scene::read`]
//! reads one and reports every wrong value with its place; [`Plan::read`] reads what a file says of
//! the system besides.

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

/// Everything that a run of load does, given a seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Scene {
    /// Seed of the schedule of arrivals.
    pub seed: u64,
    /// Time over which requests arrive.
    pub duration_ms: u64,
    /// Time over its deadline after which a request without a final answer is a violation.
    pub allowance_ms: u64,
    /// Time after which an upstream that began to leave may get no new work.
    pub leaving_bound_ms: u64,
    /// Threads that drive callers.
    pub threads: usize,
    /// Regions in which callers are.
    pub regions: Vec<CallerRegion>,
    /// Classes of work in the mix.
    pub classes: Vec<ClassLoad>,
    /// Intervals of heavier load.
    pub bursts: Vec<Burst>,
    /// What the driver does to the stand-ins and daemons meanwhile.
    pub events: Vec<Event>,
}

/// Callers of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRegion {
    /// The region's name.
    pub name: RegionId,
    /// Block from which the callers' addresses are taken, `a.b.c.d/len`.
    pub block: ByteString,
    /// Callers, each with its own address and cache of look-ups.
    pub callers: u32,
    /// Weight of the region in the load.
    pub share: f64,
    /// Delay between a caller and its entries, each way.
    pub one_way_ms: u64,
}

/// Load of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The class, as the configuration names it.
    pub name: ClassId,
    /// Mean rate over all regions, outside of bursts.
    pub rate_per_s: f64,
    /// Time that a caller gives a request.
    pub deadline_ms: u64,
    /// What is asked of the upstream.
    pub work: Work,
    /// Size of the answer to ask for, or of the body to file.
    pub bytes: u64,
    /// How the request is kept from running twice.
    pub filing: FilingWay,
    /// Tries of one request at most, look-ups not counted.
    pub tries: u32,
    /// Time after which a try of idempotent work without an answer is given up for another entry.
    pub attempt_ms: Option<u64>,
}

/// What a request asks of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// `GET /bytes/<n>`: an answer of known bytes with a declared length.
    Bytes,
    /// `GET /chunked/<n>`: an answer of known bytes in chunks.
    Chunked,
    /// `POST /echo`: an answer that repeats the request's body.
    Echo,
}

/// How a request is kept from running twice.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FilingWay {
    /// Not at all: the work is idempotent.
    #[default]
    None,
    /// By a ticket from a look-up of its own.
    Ticket,
    /// By an `Idempotency-Key` that the caller makes.
    Key,
}

/// Interval of heavier load.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Class that bursts; all when left out.
    pub class: Option<ClassId>,
    /// Region that bursts; all when left out.
    pub region: Option<RegionId>,
    /// Start, from the start of the run.
    pub from_ms: u64,
    /// End, from the start of the run.
    pub to_ms: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// A request of the driver to a stand-in or a daemon's operator port at a set time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, from the start of the run.
    pub at_ms: u64,
    /// Name that the command line binds to an address.
    pub target: ByteString,
    /// Path to post to.
    pub path: ByteString,
    /// JSON body.
    pub body: ByteString,
    /// Upstreams that leave by this event, for the judge.
    pub leaves: Vec<UpstreamId>,
    /// Upstreams that are back by this event, for the judge.
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
        // An odd factor spreads neighbours over the block without repeating within it.
        let offset = u64::from(index).wrapping_mul(2_654_435_761) % hosts;
        let offset = u32::try_from(offset).unwrap_or(0);
        Ipv4Addr::from(u32::from(first).wrapping_add(offset))
    }

    /// First address of the block and how many it has.
    fn first_address(&self) -> Option<(Ipv4Addr, u64)> {
        first_address(&self.block)
    }
}

/// First address of an IPv4 block and how many it has; none if the text is no block.
pub(crate) fn first_address(block: &str) -> Option<(Ipv4Addr, u64)> {
    let (address, length) = block.split_once('/')?;
    let address: Ipv4Addr = address.parse().ok()?;
    let length: u32 = length.parse().ok().filter(|length| *length <= 32)?;
    let hosts = 1_u64 << (32 - length);
    let aligned = u64::from(u32::from(address)) % hosts == 0;
    aligned.then_some((address, hosts))
}
