//! Control: follows the store and the other entries, and publishes what traffic decides from.
//!
//! All of it runs on one thread, so the state is a plain [`RefCell`] that no borrow outlives an
//! await of. [`Control::publish`] makes a snapshot of it; everything that changes the state ends with
//! that.
//!
//! - `feeds` follows the two tables of the store, `apply` takes their rows into the picture.
//! - `publish` makes snapshots.
//! - `listing` registers this entry and finds the others, `members` keeps sessions to them.
//! - `hubs` exchanges rosters, and forwards what the store said to a hub's leaves.
//! - `cold` holds leases of upstreams that are cold or state a limit.
//! - `limits` exchanges the limits that upstreams state.
//! - `crashes` exchanges reports of requests that crashed upstreams.
//! - `crash_rows` stores quarantined requests, so that they survive a restart of all entries.
//! - `loads` exchanges how many requests each entry has in flight at each upstream.
//! - `relay` takes the messages of other entries, and gives them what they miss.

mod apply;
mod cold;
mod crash_rows;
mod crashes;
mod feeds;
mod hubs;
mod limits;
mod listing;
mod loads;
mod members;
mod publish;
mod relay;

use crate::{
    channels::Channels,
    clock::Clock,
    message::{
        Followed,
        State, //
    },
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
    take_dropped,
    Event, //
};
use lease::Leases;
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

/// Time between two looks whether the settings have changed, which may come without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Time between two looks at what comes due by itself.
const TICK: Duration = Duration::from_millis(250);
/// Ticks between two sweeps of what is long gone.
const SWEEP_TICKS: u32 = 8;

/// A table of the store that is followed.
#[derive(Debug)]
struct Table {
    follow: TableFollower,
    /// Calls for it fail.
    lost: bool,
    /// When the leaves of this hub were last told of it.
    told_at: Now,
}

impl Table {
    fn new() -> Self {
        Self {
            follow: TableFollower::new(),
            lost: false,
            told_at: Now::ZERO,
        }
    }
}

/// What the other entries were told last of this one.
#[derive(Debug, Default)]
struct Told {
    state: Option<State>,
    at: Now,
    /// It was new, and is to be told once more.
    again: bool,
}

/// Everything that control knows.
#[derive(Debug)]
struct Known {
    picture: RoutingView,
    /// Leases of this entry on cold upstreams.
    cold_leases: Leases,
    /// Compiled routes of the picture.
    routes: Option<Arc<route::Table>>,
    operator: Table,
    upstreams: Table,
    overlay: Overlay,
    /// The overlay's number when the last snapshot was made.
    overlay_published: u64,
    /// What entries in session said of themselves last.
    states: BTreeMap<InstanceId, State>,
    rosters: hubs::Rosters,
    /// Whom sessions are kept to.
    partners: Vec<Partner>,
    sums: LoadSums,
    /// Keys that this hub forwards.
    warmed: loads::Forwarding,
    /// Whether the store had no row of this entry when it first looked: its deployment or its instance is new, and
    /// nobody waits for it yet. `None` before that.
    is_new: Option<bool>,
    /// This entry is listed and has seen the others since: it takes its place among them.
    settled: bool,
    /// Upstreams as the last snapshot has them.
    views: Arc<Vec<UpstreamView>>,
    /// When the next of them closes by itself.
    closing: Option<Now>,
    /// Until when any of them is cold.
    cold_until: Now,
    /// Since when entries that the store lists are missing.
    missing: BTreeMap<InstanceId, Now>,
    bounds: Bounds,
    stopping: bool,
    number: u64,
    told: Told,
    /// When another entry was last asked for its picture.
    wanted_at: Option<Now>,
    /// An entry of this region was asked for the keys that upstreams are warm for.
    asked_for_warmth: bool,
    /// Entries that asked for them.
    want_warmth: Vec<InstanceId>,
}

impl Known {
    fn new(own: Member, bounds: Bounds) -> Self {
        Self {
            picture: RoutingView::default(),
            cold_leases: cold::none_held(),
            routes: None,
            operator: Table::new(),
            upstreams: Table::new(),
            overlay: Overlay::new(own),
            overlay_published: 0,
            states: BTreeMap::new(),
            rosters: hubs::Rosters::default(),
            partners: Vec::new(),
            sums: LoadSums::default(),
            warmed: loads::Forwarding::default(),
            is_new: None,
            settled: false,
            views: Arc::default(),
            closing: None,
            cold_until: Now::ZERO,
            missing: BTreeMap::new(),
            bounds,
            stopping: false,
            number: 0,
            told: Told::default(),
            wanted_at: None,
            asked_for_warmth: false,
            want_warmth: Vec::new(),
        }
    }

    fn followed(&mut self, table: Followed) -> &mut Table {
        match table {
            Followed::Operator => &mut self.operator,
            Followed::Upstreams => &mut self.upstreams,
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
    known: RefCell<Known>,
    mesh: RefCell<Option<Mesh>>,
    published: Arc<ArcSwap<Snapshot>>,
    channels: Channels,
    /// Something changed on which leases of cold upstreams depend.
    cold_due: Notify,
    /// Something changed on which it depends whether the store is to be called.
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
        let own = listing::own_member(&settings);
        let known = Known::new(own, settings.bounds.clone());
        Rc::new(Self {
            settings,
            store,
            rows,
            clock,
            incarnation: incarnation(),
            known: RefCell::new(known),
            mesh: RefCell::default(),
            published,
            channels,
            cold_due: Notify::new(),
            feed_due: Notify::new(),
        })
    }

    /// Starts all that runs for as long as the process.
    pub(crate) fn start(self: &Rc<Self>) {
        let tables = self.rows.tables();
        let control = self.clone();
        actix_rt::spawn(async move { control.follow(tables.operator, Followed::Operator).await });
        let control = self.clone();
        actix_rt::spawn(async move { control.follow(tables.upstreams, Followed::Upstreams).await });
        let control = self.clone();
        actix_rt::spawn(async move { control.join().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_loads().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_crashes().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.write_crash_rows().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_limits().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.hold_cold_leases().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.sweep_cold_leases().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.tick().await });
    }

    /// Follows the settings: at each signal, and by looking.
    pub(crate) async fn follow_settings(&self, mut reload: Reload, mut hangups: Signal) {
        loop {
            tokio::select! {
                _ = hangups.recv() => emit(&Event::ReloadAsked),
                () = tokio::time::sleep(SETTINGS_LOOK) => {}
            }
            match reload() {
                None => {}
                Some(Ok(next)) => self.take_settings(next),
                // What was in force stays so.
                Some(Err(findings)) => {
                    emit(&Event::SettingsRefused { findings });
                }
            }
        }
    }

    fn take_settings(&self, next: Settings) {
        let after_restart = self.settings.fixed_differences(&next).join(", ");
        emit(&Event::SettingsInForce { after_restart });
        self.known.borrow_mut().bounds = next.bounds;
        self.publish();
    }

    /// Takes this entry out of use: not ready, out of the other entries' answers to look-ups.
    pub(crate) async fn begin_stop(&self) {
        self.known.borrow_mut().stopping = true;
        self.publish();
        self.leave().await;
    }

    /// Says goodbye to the other entries.
    pub(crate) async fn end(&self) {
        let mesh = self.mesh.borrow_mut().take();
        if let Some(mesh) = mesh {
            mesh.close(Duration::from_millis(100)).await;
        }
    }

    fn now(&self) -> Now {
        self.clock.now()
    }

    async fn tick(&self) {
        let mut dropped_since_start = 0;
        for number in 0_u32.. {
            tokio::time::sleep(TICK).await;
            let now = self.now();
            let mut known = self.known.borrow_mut();
            known.overlay.sweep(now);
            if number % SWEEP_TICKS == 0 {
                known.picture.sweep(now);
            }
            let closes = known.closing.is_some_and(|at| at <= now);
            drop(known);
            self.update_partners(now);
            if closes {
                self.publish();
            } else if self.entries_changed() {
                self.publish_entries();
            }
            self.broadcast_periodically(now);
            self.send_rosters(now);
            self.ask_for_picture(now);
            dropped_since_start += self.tell_dropped(dropped_since_start);
        }
    }

    /// Says how many log lines were lost, at most once a tick; gives their number.
    fn tell_dropped(&self, before: u64) -> u64 {
        let lines = take_dropped();
        if lines > 0 {
            metrics::counter!(crate::metric::LOG_LINES_LEFT_OUT, "reason" => "queue full")
                .increment(lines);
            emit(&Event::LinesDropped {
                lines,
                since_start: before + lines,
            });
        }
        lines
    }
}

/// A number that grows from one life of an instance to the next.
///
/// The time of day may jump; a restart that gets a lower number is refused by the others until the
/// session to its former life is gone, some seconds.
fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
