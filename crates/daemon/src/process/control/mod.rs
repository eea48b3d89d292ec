//! The control actor, which owns all state machines of the process on a single thread.
//!
//! [`Control`] receives events (platform responses, peer frames, operator requests, ticks), feeds
//! them to the state machines of the I/O-free crates, executes the resulting actions, and publishes
//! a new snapshot when the known state changed. Traffic threads never wait for it.
//!
//! Each module has one concern:
//!
//! - `lease`: the incarnation and its lease in the table.
//! - `list`: the platform's list of instances and upstreams.
//! - `heartbeats`: sessions to other daemons and the heartbeats sent over them.
//! - `shares`: this instance's share of slots and caps.
//! - `steering`: slow start and failure detection of upstreams, and load reports of other regions.
//! - `claims`: caller keys, claimed in the table on behalf of traffic threads.
//! - `config`: the accepted configuration.
//! - `outcomes`: ticket outcomes, written to the table so that they outlive this process.
//! - `publish`: the snapshot for traffic threads.
//! - `handover`: transfer of filings during a planned stop.
//! - `stopping`: the planned stop.
//! - `status`: state reported to operators.
//! - `gauges`: metrics of control's state.

mod claims;
mod config;
mod gauges;
mod handover;
mod heartbeats;
mod lease;
mod list;
mod outcomes;
mod publish;
mod shares;
mod status;
mod steering;
mod stopping;

pub(crate) use self::{
    claims::request_release,
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
        claims::Claims,
        config::Versions,
        heartbeats::SentState,
        lease::Lease,
        outcomes::Outcomes,
        shares::{
            PoolMembership,
            SentHeartbeat, //
        },
        steering::Steering,
        stopping::Stopping, //
    },
    link::Link,
    metric,
    pool::Pool,
    shared::{
        ControlMessage,
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
use plat::{
    HttpPlatform,
    UnusableEntries, //
};
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

/// Fraction by which intervals vary, so that daemons don't act in lockstep.
const JITTER: f64 = 0.2;
/// Interval between ticks.
const TICK: Duration = Duration::from_millis(100);
/// Interval between slow ticks.
const SLOW_TICK: Duration = Duration::from_secs(1);

/// Why control ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitReason {
    /// A planned stop completed.
    Planned,
    /// Another incarnation took the lease.
    Superseded,
    /// The long-term lease expired; only a new incarnation can rejoin.
    Lapsed,
    /// Control stopped without reporting a reason.
    ControlLost,
}

impl ExitReason {
    /// Converts the reason into the result of the process.
    pub(crate) fn into_result(self) -> eyre::Result<()> {
        match self {
            Self::Planned => Ok(()),
            Self::Superseded => bail!("another incarnation of this instance holds the lease"),
            Self::Lapsed => bail!("the long-term lease expired; restart this instance"),
            Self::ControlLost => bail!("control ended without a planned stop"),
        }
    }
}

/// State of the control actor.
pub(crate) struct Control {
    shared: Arc<Shared>,
    platform: Rc<HttpPlatform>,
    rng: SmallRng,
    /// Time at which the incarnation was claimed.
    started_at: Now,
    /// Time of the last slow tick.
    slow_ticked_at: Now,
    stage: Stage,
    /// Stage of the planned stop, once requested.
    stopping: Option<Stopping>,

    lease: Lease,
    /// Time at which the last step of the join was sent.
    join_sent_at: Now,
    /// Sequence number and send time of the newest confirmed renewal.
    renewal: Option<(u64, Now)>,
    /// Another incarnation took the lease.
    superseded: bool,
    /// The long-term lease of this incarnation expired.
    lapsed: bool,
    /// Receives the reason when control ends.
    end_sender: Option<oneshot::Sender<ExitReason>>,

    peers_listener: Option<TcpListener>,
    mesh: Option<Mesh>,
    membership_view: MembershipView,
    /// Entries of the list that can't be used.
    unusable_entries: UnusableEntries,
    /// Instances to which sessions are maintained.
    partners: Vec<InstanceId>,
    heartbeat_seq: u64,
    /// Send a heartbeat to every peer at the next tick.
    heartbeat_requested: bool,
    /// State last sent to each peer in heartbeats.
    sent_states: BTreeMap<InstanceId, SentState>,
    sent_member_heartbeats: BTreeMap<InstanceId, BTreeMap<PoolId, SentHeartbeat>>,

    versions: Versions,
    /// Configuration in force and its version.
    config: Option<(Version, Arc<Config>)>,
    blocks: Arc<Table>,

    pools: BTreeMap<ServiceId, Arc<Pool>>,
    /// Links to other regions.
    links: BTreeMap<RegionId, Arc<Link>>,
    shares: BTreeMap<PoolId, PoolMembership>,
    steering: Steering,
    /// Time at which operators began to drain the whole region.
    drained_at: Option<Now>,
    claims: Claims,
    outcomes: Outcomes,
}

impl Control {
    /// Creates the control state of a process that has just started.
    pub(crate) fn new(
        shared: Arc<Shared>,
        peers_listener: TcpListener,
        end_sender: oneshot::Sender<ExitReason>,
    ) -> Self {
        let settings = &shared.settings;
        let terms = &settings.terms;
        let timeout = terms.platform_timeout;
        let platform = HttpPlatform::new(settings.platform_url.to_string(), timeout, timeout);
        let view_timeouts = ViewTimeouts {
            fresh_for: terms.beat_silent.mul_f32(0.7),
            old_for: terms.beat_silent,
            ..ViewTimeouts::default()
        };
        Self {
            platform: Rc::new(platform),
            rng: SmallRng::seed_from_u64(rand::random()),
            started_at: Now::ZERO,
            slow_ticked_at: Now::ZERO,
            stage: Stage::Starting,
            stopping: None,
            lease: Lease::Joining(None),
            join_sent_at: Now::ZERO,
            renewal: None,
            superseded: false,
            lapsed: false,
            end_sender: Some(end_sender),
            peers_listener: Some(peers_listener),
            mesh: None,
            membership_view: MembershipView::new(settings.instance.clone(), view_timeouts),
            unusable_entries: UnusableEntries::default(),
            partners: Vec::new(),
            heartbeat_seq: 0,
            heartbeat_requested: true,
            sent_states: BTreeMap::new(),
            sent_member_heartbeats: BTreeMap::new(),
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

    /// Applies random jitter to `interval`.
    fn jittered(&mut self, interval: Duration) -> Duration {
        let factor = 1.0 + JITTER * (self.rng.random::<f64>() - 0.5);
        interval.mul_f64(factor)
    }

    /// Returns `interval`, extended so that calls of all daemons are at least `spacing` apart on
    /// average.
    ///
    /// The platform handles several hundred writes and about two thousand reads a second,
    /// regardless of the number of daemons. Without this limit, periodic calls of a large
    /// deployment would crowd out urgent ones and slow lease renewals everywhere.
    fn fleet_interval(&self, interval: Duration, spacing: Duration) -> Duration {
        let daemons =
            u32::try_from(self.membership_view.instances().count() + 1).unwrap_or(u32::MAX);
        interval.max(spacing * daemons)
    }

    fn count_platform_call(&self, call: &'static str, done: bool) {
        let result = if done { "done" } else { "failed" };
        metrics::counter!(metric::PLATFORM_CALLS, "call" => call, "result" => result).increment(1);
    }

    /// Starts the activities that require an incarnation.
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
        self.tick_heartbeats();
        self.tick_stopping(ctx);
        self.tick_slow(ctx);
        metrics::histogram!(metric::CONTROL_TICK).record(started.elapsed().as_secs_f64());
    }

    /// Runs once a second the work that is not needed at each tick.
    fn tick_slow(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        if now < self.slow_ticked_at + SLOW_TICK {
            return;
        }
        self.slow_ticked_at = now;
        if self.shares_dead() && !self.is_stopping() {
            spdlog::error!("the long-term lease of this incarnation expired; this process exits");
            self.lapsed = true;
            ctx.stop();
            return;
        }
        self.observe_leases(ctx);
        self.set_partners();
        self.expire_filings();
        self.tick_outcomes(ctx);
        self.retry_deferred_claims(ctx);
        self.export_gauges();
        self.shared.metrics.run_upkeep();
        // The passage of time alone changes which instances look-ups return.
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
            ExitReason::Superseded
        } else if self.lapsed {
            ExitReason::Lapsed
        } else {
            ExitReason::Planned
        };
        if let Some(end_sender) = self.end_sender.take() {
            // Without a receiver the process is already exiting.
            let _ = end_sender.send(end);
        }
    }
}

impl StreamHandler<ControlMessage> for Control {
    fn handle(&mut self, note: ControlMessage, ctx: &mut Self::Context) {
        match note {
            ControlMessage::UpstreamLeaving(upstream) => {
                spdlog::info!("upstream is leaving", kv: { upstream = upstream.to_string() });
                let now = self.now();
                self.membership_view
                    .mark_upstream_leaving(&upstream, Duration::ZERO, now);
                self.request_heartbeats();
            }
            ControlMessage::Claim(wanted) => self.claim(wanted, ctx),
            ControlMessage::WriteOutcome(insert) => self.write_outcome(insert, ctx),
            ControlMessage::Release(releaser) => self.release(releaser, ctx),
            ControlMessage::ReadOutcome(nonce, reply) => self.read_outcome(nonce, reply, ctx),
        }
    }

    /// The sender lives as long as the process, so the stream does not end.
    fn finished(&mut self, _ctx: &mut Self::Context) {}
}
