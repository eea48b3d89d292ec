//! Control: follows the store and the other entries, and publishes snapshots for traffic.
//!
//! Everything in this module runs on one thread, so the state is a [`RefCell`]; no borrow of it is held across an
//! await. Each change of the state ends with a call of [`Control::publish`], which creates a snapshot of it.
//!
//! - `feeds` follows the two tables of the store at the intervals of `feed_timing`, and `apply` applies their rows to the
//!   routing view.
//! - `publish` creates snapshots.
//! - `registry` registers this entry and reads the rows of the others, and `sessions` keeps sessions to them.
//! - `hubs` exchanges rosters and forwards the store's rows to a hub's leaves.
//! - `cold` holds leases of upstreams that are cold or state a limit.
//! - `departures` exchanges which upstreams have stated that they are leaving.
//! - `limits` exchanges the limits that upstreams state.
//! - `crashes` exchanges reports of requests that crashed upstreams.
//! - `crash_rows` stores quarantined requests, so that they survive a restart of all entries.
//! - `loads` exchanges how many requests each entry has in flight at each upstream.
//! - `quotas` exchanges the demand of organisations, which determines this entry's parts of their quotas.
//! - `messages` sends messages, handles those of other entries, and sends entries the updates that they miss.

mod apply;
mod cold;
mod crash_rows;
mod crashes;
mod departures;
mod feed_timing;
mod feeds;
mod hubs;
mod limits;
mod loads;
mod messages;
mod publish;
mod quotas;
mod registry;
mod sessions;

use crate::{
    channels::Channels,
    clock::Clock,
    message::{
        EntryState,
        FollowedTable, //
    },
    metric,
    rows::RowReader,
    settings::{
        Bounds,
        Reload,
        Settings, //
    },
    snapshot::{
        Snapshot,
        UpstreamView, //
    },
};
use arc_swap::ArcSwap;
use base::{
    InstanceId,
    Now, //
};
use event::{
    emit,
    take_dropped_lines,
    Event, //
};
use feed_timing::FeedTiming;
use lease::{
    EraWait,
    Leases, //
};
use overlay::{
    LoadSums, //
    Member,
    Overlay,
    TableFollower,
};
use peer::{
    Mesh,
    Partner, //
};
use picture::RoutingView;
use plat::{
    Feed,
    Table as StoreTable, //
};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    signal::unix::Signal,
    sync::Notify, //
};

/// Interval between checks for changed settings, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of ticks between sweeps of expired state.
const SWEEP_TICKS: u32 = 8;

/// State of a table of the store that is followed.
#[derive(Debug)]
struct TableState {
    follower: TableFollower,
    /// Whether this entry's calls for the table fail.
    unreadable: bool,
    /// Time of the last message about the table to the leaves of this hub.
    last_sent_at: Now,
}

impl TableState {
    fn new() -> Self {
        Self {
            follower: TableFollower::new(),
            unreadable: false,
            last_sent_at: Now::ZERO,
        }
    }
}

/// State of this entry that was last sent to the other entries.
#[derive(Debug, Default)]
struct LastBroadcast {
    state: Option<EntryState>,
    at: Now,
    /// Whether the state was new and has to be sent once more.
    repeat: bool,
}

/// State of control.
#[derive(Debug)]
struct ControlState {
    view: RoutingView,
    /// Leases of upstreams that are cold or state a limit.
    cold_leases: Leases,
    /// Delays claims of leases after the store was restored.
    era_wait: EraWait,
    /// Compiled routes of the routing view.
    routes: Option<Arc<route::Table>>,
    operator: TableState,
    upstreams: TableState,
    unreadable_rows: apply::UnreadableRows,
    overlay: Overlay,
    /// Version of the overlay in the last snapshot.
    published_overlay_version: u64,
    /// Last state received from each entry that this one has a session with.
    entry_states: BTreeMap<InstanceId, EntryState>,
    rosters: hubs::AdvertisedRosters,
    /// Entries that sessions are kept to.
    partners: Vec<Partner>,
    load_sums: LoadSums,
    quotas: quotas::QuotaState,
    /// Warm keys that this hub forwards.
    warm_key_queues: loads::WarmKeyQueues,
    /// Whether the store had no row of this entry at the first scan. The deployment or the instance is new then, and no
    /// caller uses it yet. `None` before that scan.
    is_new: Option<bool>,
    /// Whether this entry is registered and has scanned the rows of the others since, so that it may open sessions.
    joined: bool,
    /// Upstreams in the last snapshot.
    upstream_views: Arc<Vec<UpstreamView>>,
    /// Next time at which one of these closes without a change in the store.
    next_closing: Option<Now>,
    /// Time until which at least one of them is cold.
    cold_until: Now,
    /// Time since which each registered entry of this domain has been gone.
    gone_since: BTreeMap<InstanceId, Now>,
    bounds: Bounds,
    stopping: bool,
    snapshot_number: u64,
    last_broadcast: LastBroadcast,
    /// Time of the last request for updates.
    updates_requested_at: Option<Now>,
    /// Whether an entry of this region has been asked for its warm keys.
    requested_warm_keys: bool,
    /// Entries that have requested this entry's warm keys.
    warm_key_requesters: Vec<InstanceId>,
}

impl ControlState {
    fn new(own: Member, bounds: Bounds) -> Self {
        Self {
            view: RoutingView::default(),
            cold_leases: cold::new_leases(),
            era_wait: EraWait::default(),
            routes: None,
            operator: TableState::new(),
            upstreams: TableState::new(),
            unreadable_rows: apply::UnreadableRows::default(),
            overlay: Overlay::new(own),
            published_overlay_version: 0,
            entry_states: BTreeMap::new(),
            rosters: hubs::AdvertisedRosters::default(),
            partners: Vec::new(),
            load_sums: LoadSums::default(),
            quotas: quotas::QuotaState::default(),
            warm_key_queues: loads::WarmKeyQueues::default(),
            is_new: None,
            joined: false,
            upstream_views: Arc::default(),
            next_closing: None,
            cold_until: Now::ZERO,
            gone_since: BTreeMap::new(),
            bounds,
            stopping: false,
            snapshot_number: 0,
            last_broadcast: LastBroadcast::default(),
            updates_requested_at: None,
            requested_warm_keys: false,
            warm_key_requesters: Vec::new(),
        }
    }

    /// Returns the intervals of following the store's tables.
    fn feed_timing(&self) -> FeedTiming {
        FeedTiming::new(self.bounds.change_within)
    }

    fn table_mut(&mut self, table: FollowedTable) -> &mut TableState {
        match table {
            FollowedTable::Operator => &mut self.operator,
            FollowedTable::Upstreams => &mut self.upstreams,
        }
    }
}

/// The control of one process.
pub(crate) struct Control<S, W> {
    settings: Arc<Settings>,
    store: S,
    rows: W,
    clock: Clock,
    incarnation: u64,
    state: RefCell<ControlState>,
    mesh: RefCell<Option<Mesh>>,
    published: Arc<ArcSwap<Snapshot>>,
    channels: Channels,
    /// Signals a change that may make claims of leases due.
    cold_due: Notify,
    /// Signals a change that may make a call to the store due.
    feed_due: Notify,
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    pub(crate) fn new(
        settings: Arc<Settings>,
        store: S,
        rows: W,
        clock: Clock,
        published: Arc<ArcSwap<Snapshot>>,
        channels: Channels,
    ) -> Rc<Self> {
        let own = registry::own_member(&settings);
        let state = ControlState::new(own, settings.bounds.clone());
        Rc::new(Self {
            settings,
            store,
            rows,
            clock,
            incarnation: incarnation(),
            state: RefCell::new(state),
            mesh: RefCell::default(),
            published,
            channels,
            cold_due: Notify::new(),
            feed_due: Notify::new(),
        })
    }

    /// Spawns the tasks that run for the lifetime of the process.
    pub(crate) fn start(self: &Rc<Self>) {
        let tables = self.rows.tables();
        let control = self.clone();
        actix_rt::spawn(async move {
            control
                .follow(tables.operator, FollowedTable::Operator)
                .await
        });
        let control = self.clone();
        actix_rt::spawn(async move {
            control
                .follow(tables.upstreams, FollowedTable::Upstreams)
                .await
        });
        let control = self.clone();
        actix_rt::spawn(async move { control.join().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_loads().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_crashes().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.write_crash_rows().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_departures().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_limits().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.hold_cold_leases().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.sweep_cold_leases().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.record_eras().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.follow_partition().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.run_periodic_work().await });
    }

    /// Reloads the settings on each SIGHUP and periodically.
    pub(crate) async fn follow_settings(&self, mut reload: Reload, mut hangups: Signal) {
        loop {
            tokio::select! {
                _ = hangups.recv() => emit(&Event::ReloadAsked),
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
            }
            match reload() {
                None => {}
                Some(Ok(next)) => self.apply_settings(next),
                // The settings in force are kept.
                Some(Err(findings)) => {
                    emit(&Event::SettingsRefused { findings });
                }
            }
        }
    }

    fn apply_settings(&self, next: Settings) {
        let after_restart = self.settings.fixed_differences(&next).join(", ");
        emit(&Event::SettingsInForce { after_restart });
        self.state.borrow_mut().bounds = next.bounds;
        self.publish();
    }

    /// Withdraws this entry: it is no longer ready, and the other entries leave it out of their responses to look-ups.
    pub(crate) async fn begin_stop(&self) {
        self.state.borrow_mut().stopping = true;
        self.publish();
        self.remove_own_row().await;
    }

    /// Closes the sessions to the other entries.
    pub(crate) async fn close_sessions(&self) {
        let mesh = self.mesh.borrow_mut().take();
        if let Some(mesh) = mesh {
            mesh.close(Duration::from_millis(100)).await;
        }
    }

    fn now(&self) -> Now {
        self.clock.now()
    }

    /// Publishes each change of whether this entry is partitioned from all upstreams.
    async fn follow_partition(&self) {
        loop {
            self.channels.partition.changed.notified().await;
            self.publish_entries();
        }
    }

    async fn run_periodic_work(&self) {
        let mut dropped_since_start = 0;
        for tick in 0_u32.. {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = self.now();
            let mut state = self.state.borrow_mut();
            state.overlay.sweep(now);
            if tick % SWEEP_TICKS == 0 {
                state.view.sweep(now);
            }
            let closing_due = state.next_closing.is_some_and(|at| at <= now);
            drop(state);
            self.update_partners(now);
            if closing_due {
                self.publish();
            } else if self.entries_changed() {
                self.publish_entries();
            }
            self.broadcast_periodically(now);
            self.send_rosters(now);
            self.request_view(now);
            let routes_age = self.channels.routes_freshness.age(now);
            metrics::gauge!(metric::ROUTES_AGE_SECONDS).set(routes_age.as_secs_f64());
            dropped_since_start += self.report_dropped_lines(dropped_since_start);
        }
    }

    /// Logs how many log lines were dropped since the last call and returns their number.
    fn report_dropped_lines(&self, dropped_before: u64) -> u64 {
        let lines = take_dropped_lines();
        if lines > 0 {
            metrics::counter!(metric::LOG_LINES_LEFT_OUT, "reason" => "queue full")
                .increment(lines);
            emit(&Event::LinesDropped {
                lines,
                since_start: dropped_before + lines,
            });
        }
        lines
    }
}

/// Returns a number that increases with each restart of an instance: the wall-clock time in microseconds.
///
/// The wall clock may jump back. A restarted instance with a lower number is refused by the other entries until the
/// session of its former process has been dropped, which takes some seconds.
fn incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
    })
}
