//! Control: the one thread that owns every state machine of the process.
//!
//! [`Control`] is an actor. It takes events (answers of the platform, frames of peers, operators'
//! requests, ticks), feeds them to the state machines of the pure crates, carries their actions
//! out, and publishes a new snapshot when the picture changed. Traffic threads never wait for it.
//!
//! Each module has one concern:
//!
//! - `lease`: the incarnation and its lease in the table.
//! - `list`: the platform's list of instances and upstreams.
//! - `beats`: sessions to other daemons and the heartbeats on them.
//! - `shares`: this instance's part of slots and caps.
//! - `steering`: slow start, suspicion, and what other regions say of themselves.
//! - `claims`: callers' keys, claimed in the table for traffic threads.
//! - `config`: the accepted configuration.
//! - `outcomes`: what came of tickets, written to the table for when this process is gone.
//! - `publish`: the snapshot for traffic threads.
//! - `handover`: filings at a planned stop.
//! - `stopping`: the planned stop.
//! - `status`: what operators see.
//! - `gauges`: what metrics show of control's state.

mod beats;
mod claims;
mod config;
mod gauges;
mod handover;
mod lease;
mod list;
mod outcomes;
mod publish;
mod shares;
mod status;
mod steering;
mod stopping;

pub(crate) use self::{
    claims::release_later,
    config::{
        Accept,
        Edit,
        GetConfig,
        GetConfirmation,
        GetHistory, //
    },
    status::{
        GetBurn,
        GetDrains,
        GetInstances,
        GetShares,
        GetStatus, //
    },
    stopping::Stop, //
};

use crate::process::{
    control::{
        beats::Telling,
        claims::Claims,
        config::Versions,
        lease::Lease,
        outcomes::Outcomes,
        shares::{
            Shared as Share,
            Told, //
        },
        steering::Steering,
        stopping::Stopping, //
    },
    link::Link,
    metric,
    pool::Pool,
    shared::{
        Note,
        Shared, //
    },
    stop::Stage, //
};
use actix::{
    Actor,
    ActorContext,
    AsyncContext,
    Context,
    StreamHandler, //
};
use base::{
    InstanceId,
    Now,
    RegionId,
    ServiceId,
    Version, //
};
use blocks::Table;
use eyre::bail;
use member::{
    MembershipView,
    ViewTimeouts, //
};
use peer::Mesh;
use plat::HttpPlatform;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use share::PoolId;
use spec::Config;
use std::{
    collections::BTreeMap,
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::sync::oneshot;

/// Part of an interval by which it varies, so that daemons don't act in step.
const JITTER: f64 = 0.2;
/// Time between ticks.
const TICK: Duration = Duration::from_millis(100);
/// Time between the slower ticks.
const SLOW_TICK: Duration = Duration::from_secs(1);

/// How control ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// By a planned stop.
    Planned,
    /// Another incarnation took the lease.
    Superseded,
    /// The long term of its lease is over, so that only the next incarnation can take part.
    Lapsed,
    /// Control is gone without a word.
    ControlLost,
}

impl End {
    /// What the process ends with.
    pub(crate) fn into_result(self) -> eyre::Result<()> {
        match self {
            Self::Planned => Ok(()),
            Self::Superseded => bail!("another incarnation of this instance has the lease"),
            Self::Lapsed => bail!("the lease lapsed for good; start this instance anew"),
            Self::ControlLost => bail!("control ended without a planned stop"),
        }
    }
}

/// State of control.
pub(crate) struct Control {
    shared: Arc<Shared>,
    platform: Rc<HttpPlatform>,
    rng: SmallRng,
    /// When the incarnation was claimed.
    started_at: Now,
    /// When the slower ticks last ran.
    slow_at: Now,
    stage: Stage,
    /// The planned stop, once it was asked for.
    stopping: Option<Stopping>,

    lease: Lease,
    /// When the last step of the join was sent.
    join_sent_at: Now,
    /// Newest confirmed renewal: sequence number, and when it was sent.
    renewal: Option<(u64, Now)>,
    /// Another incarnation took the lease.
    superseded: bool,
    /// The long term of this incarnation's lease is over.
    lapsed: bool,
    /// Told how control ended.
    ended: Option<oneshot::Sender<End>>,

    peers_listener: Option<TcpListener>,
    mesh: Option<Mesh>,
    picture: MembershipView,
    /// Those that sessions are kept to.
    partners: Vec<InstanceId>,
    beat_seq: u64,
    /// Something was learnt that partners should hear at once.
    beat_news: bool,
    /// What each peer was told.
    tellings: BTreeMap<InstanceId, Telling>,
    beats_sent: BTreeMap<InstanceId, BTreeMap<PoolId, Told>>,

    versions: Versions,
    /// Configuration in force, with its version.
    config: Option<(Version, Arc<Config>)>,
    blocks: Arc<Table>,

    pools: BTreeMap<ServiceId, Arc<Pool>>,
    /// Links to the other regions.
    links: BTreeMap<RegionId, Arc<Link>>,
    shares: BTreeMap<PoolId, Share>,
    steering: Steering,
    /// Since when operators drain the whole region.
    drained_at: Option<Now>,
    claims: Claims,
    outcomes: Outcomes,
}

impl Control {
    /// Makes control of a process that has just started.
    pub(crate) fn new(
        shared: Arc<Shared>,
        peers_listener: TcpListener,
        ended: oneshot::Sender<End>,
    ) -> Self {
        let settings = &shared.settings;
        let terms = &settings.terms;
        let timeout = terms.platform_timeout;
        let platform = HttpPlatform::new(settings.platform_url.to_string(), timeout, timeout);
        let picture_terms = ViewTimeouts {
            fresh_for: terms.beat_silent.mul_f32(0.7),
            old_for: terms.beat_silent,
            ..ViewTimeouts::default()
        };
        Self {
            platform: Rc::new(platform),
            rng: SmallRng::seed_from_u64(rand::random()),
            started_at: Now::ZERO,
            slow_at: Now::ZERO,
            stage: Stage::Starting,
            stopping: None,
            lease: Lease::Joining(None),
            join_sent_at: Now::ZERO,
            renewal: None,
            superseded: false,
            lapsed: false,
            ended: Some(ended),
            peers_listener: Some(peers_listener),
            mesh: None,
            picture: MembershipView::new(settings.instance.clone(), picture_terms),
            partners: Vec::new(),
            beat_seq: 0,
            beat_news: true,
            tellings: BTreeMap::new(),
            beats_sent: BTreeMap::new(),
            versions: Versions::default(),
            config: None,
            blocks: Arc::default(),
            pools: BTreeMap::new(),
            links: BTreeMap::new(),
            shares: BTreeMap::new(),
            steering: Steering::default(),
            drained_at: None,
            claims: Claims::default(),
            outcomes: Outcomes::default(),
            shared,
        }
    }

    fn now(&self) -> Now {
        self.shared.now()
    }

    /// Version in force; zero before the first.
    fn version(&self) -> Version {
        self.config.as_ref().map_or(0, |(version, _)| *version)
    }

    /// `interval`, varied a little.
    fn jittered(&mut self, interval: Duration) -> Duration {
        let factor = 1.0 + JITTER * (self.rng.random::<f64>() - 0.5);
        interval.mul_f64(factor)
    }

    /// `interval`, longer where so many daemons do the same that they would be closer together than
    /// `spacing` on average.
    ///
    /// What goes wrong otherwise: the platform takes several hundred writes and about two thousand
    /// reads a second, whatever the number of daemons, and a large deployment's routine would
    /// leave no room for what cannot wait. One would notice slow renewals all over.
    fn spaced(&self, interval: Duration, spacing: Duration) -> Duration {
        let daemons = u32::try_from(self.picture.instances().count() + 1).unwrap_or(u32::MAX);
        interval.max(spacing * daemons)
    }

    fn note_call(&self, call: &'static str, done: bool) {
        let result = if done { "done" } else { "failed" };
        metrics::counter!(metric::PLATFORM_CALLS, "call" => call, "result" => result).increment(1);
    }

    /// Starts what needs an incarnation.
    fn start(&mut self, ctx: &mut Context<Self>) {
        self.started_at = self.now();
        self.start_mesh(ctx);
        self.read_list(ctx);
        self.read_loads(ctx);
        ctx.run_interval(TICK, Self::tick);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let started = Instant::now();
        self.tick_lease(ctx);
        self.tick_shares(ctx);
        self.tick_steering();
        self.tick_versions(ctx);
        self.tick_beats();
        self.tick_stopping(ctx);
        self.tick_slow(ctx);
        metrics::histogram!(metric::CONTROL_TICK).record(started.elapsed().as_secs_f64());
    }

    /// Runs once a second what need not run at each tick.
    fn tick_slow(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        if now < self.slow_at + SLOW_TICK {
            return;
        }
        self.slow_at = now;
        if self.shares_dead() && !self.is_stopping() {
            spdlog::error!("this incarnation lapsed for good; this process ends");
            self.lapsed = true;
            ctx.stop();
            return;
        }
        self.observe_leases(ctx);
        self.set_partners();
        self.forget_filings();
        self.tick_outcomes(ctx);
        self.unpark_claims(ctx);
        self.export_gauges();
        self.shared.metrics.run_upkeep();
        // Silence alone changes who is named in look-ups.
        self.publish();
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.join(ctx);
    }

    fn stopped(&mut self, _ctx: &mut Self::Context) {
        let end = if self.superseded {
            End::Superseded
        } else if self.lapsed {
            End::Lapsed
        } else {
            End::Planned
        };
        if let Some(ended) = self.ended.take() {
            // Without a receiver the process is ending already.
            let _ = ended.send(end);
        }
    }
}

impl StreamHandler<Note> for Control {
    fn handle(&mut self, note: Note, ctx: &mut Self::Context) {
        match note {
            Note::Leaving(upstream) => {
                spdlog::info!("upstream leaves", kv: { upstream = upstream.to_string() });
                let now = self.now();
                self.picture
                    .mark_upstream_leaving(&upstream, Duration::ZERO, now);
                self.beat_soon();
            }
            Note::Claim(wanted) => self.claim(wanted, ctx),
            Note::Ended(insert) => self.write_outcome(insert, ctx),
            Note::Release(releaser) => self.release(releaser, ctx),
            Note::Outcome(nonce, reply) => self.read_outcome(nonce, reply, ctx),
        }
    }

    /// The sender lives as long as the process.
    fn finished(&mut self, _ctx: &mut Self::Context) {}
}
