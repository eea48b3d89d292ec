//! Control: the one thread that owns every state machine of the process.
//!
//! [`Control`] is an actor. It takes events (answers of the platform, frames of peers, operators'
//! requests, ticks), feeds them to the state machines of the pure crates, carries their actions
//! out, and publishes a new snapshot when the picture changed. Traffic threads never wait for it.
//!
//! Each module has one concern: `list` the platform's list, `config` the accepted configuration,
//! `lease` the incarnation and its lease, `publish` the snapshot.

mod config;
mod lease;
mod list;
mod publish;
mod status;

pub(crate) use self::config::{
    Accept,
    AcceptError,
    Accepted, //
};

pub(crate) use self::status::GetStatus;

use crate::{
    process::{
        metric,
        pool::Pool,
        shared::{
            Note,
            Shared, //
        },
        stop::Stage, //
    },
    version::Entry,
};
use actix::{
    Actor,
    AsyncContext,
    Context,
    StreamHandler, //
};
use base::{
    Now,
    RegionId,
    ServiceId,
    Version, //
};
use blocks::Table;
use plat::HttpPlatform;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use spec::Config;
use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

/// Part of an interval by which it varies, so that daemons don't act in step.
const JITTER: f64 = 0.2;

/// An entry with the region it is in.
#[derive(Clone, Debug)]
struct KnownEntry {
    region: RegionId,
    entry: Entry,
}

/// State of control.
pub(crate) struct Control {
    shared: Arc<Shared>,
    platform: Rc<HttpPlatform>,
    rng: SmallRng,
    stage: Stage,
    /// Configuration in force, with its version.
    config: Option<(Version, Arc<Config>)>,
    blocks: Arc<Table>,
    /// Entries that take work, as far as is known.
    entries: Vec<KnownEntry>,
    pools: BTreeMap<ServiceId, Arc<Pool>>,
    /// When the newest list was true.
    list_as_of_ms: u64,
}

impl Control {
    /// Makes control of a process that has just started.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let settings = &shared.settings;
        let timeout = settings.terms.platform_timeout;
        let platform = HttpPlatform::new(settings.platform_url.to_string(), timeout, timeout);
        Self {
            platform: Rc::new(platform),
            rng: SmallRng::seed_from_u64(rand::random()),
            stage: Stage::Starting,
            config: None,
            blocks: Arc::default(),
            entries: Vec::new(),
            pools: BTreeMap::new(),
            list_as_of_ms: 0,
            shared,
        }
    }

    fn now(&self) -> Now {
        self.shared.now()
    }

    /// `interval`, varied a little.
    fn jittered(&mut self, interval: Duration) -> Duration {
        let factor = 1.0 + JITTER * (self.rng.random::<f64>() - 0.5);
        interval.mul_f64(factor)
    }

    fn note_call(&self, call: &'static str, done: bool) {
        let result = if done { "done" } else { "failed" };
        metrics::counter!(metric::PLATFORM_CALLS, "call" => call, "result" => result).increment(1);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.claim_incarnation(ctx);
    }
}

impl StreamHandler<Note> for Control {
    fn handle(&mut self, note: Note, _ctx: &mut Self::Context) {
        match note {
            Note::Leaving(upstream) => {
                spdlog::info!("upstream leaves", kv: { upstream = upstream.to_string() });
            }
        }
    }
}
