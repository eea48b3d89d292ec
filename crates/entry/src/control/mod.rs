//! Control: follows the store and the other entries, and publishes what traffic decides from.
//!
//! All of it runs on one thread, so the state is a plain [`RefCell`] that no borrow outlives an
//! await of. [`Control::publish`] makes a snapshot of it; everything that changes the state ends with
//! that.
//!
//! - `feeds` follows the two tables of the store.
//! - `members` registers this entry, finds the others and keeps sessions to them.
//! - `cold` holds leases of cold upstreams.
//! - `loads` exchanges how many requests each entry has in flight at each upstream.
//! - `relay` tells them what the store said and takes what they heard.

mod cold;
mod feeds;
mod loads;
mod members;
mod relay;

use crate::{
    clock::Clock,
    loads::Loads,
    message::{
        State,
        UpstreamLoad, //
    },
    rows::RowReader,
    settings::{
        Bounds,
        Reload,
        Settings, //
    },
    snapshot::{
        EntryView,
        Snapshot,
        UpstreamView, //
    },
};
use arc_swap::ArcSwap;
use balance::Location;
use base::{
    InstanceId,
    Now,
    RegionId, //
};
use event::{
    emit,
    take_dropped,
    Event, //
};
use lease::Leases;
use peer::Mesh;
use picture::Picture;
use plat::{
    Feed,
    Table as StoreTable, //
};
use route::Table;
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

/// Another entry.
#[derive(Debug)]
struct Member {
    region: RegionId,
    /// A session stands.
    up: bool,
    /// When the last session ended.
    lost_at: Now,
    round_trip: Duration,
    /// What it said of itself last.
    state: Option<State>,
    /// Its requests in flight, and when it said so.
    loads: (Now, Vec<UpstreamLoad>),
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
    picture: Picture,
    /// Leases of this entry on cold upstreams.
    cold_leases: Leases,
    /// Compiled routes of the picture.
    table: Option<Arc<Table>>,
    members: BTreeMap<InstanceId, Member>,
    /// Entries that the store lists, this one included, with their regions; `None` until it was read.
    registered: Option<BTreeMap<InstanceId, RegionId>>,
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
    fn new(bounds: Bounds) -> Self {
        Self {
            picture: Picture::default(),
            cold_leases: cold::none_held(),
            table: None,
            members: BTreeMap::new(),
            registered: None,
            bounds,
            stopping: false,
            number: 0,
            told: Told::default(),
            wanted_at: None,
            asked_for_warmth: false,
            want_warmth: Vec::new(),
        }
    }

    /// Forgets what is long gone.
    fn sweep(&mut self, now: Now) {
        self.picture.sweep(now);
        self.members
            .retain(|_, member| member.up || now.saturating_sub(member.lost_at) < MEMBER_MEMORY);
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
    loads: Arc<Loads>,
    /// Something changed on which leases of cold upstreams depend.
    cold_due: Notify,
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    pub(crate) fn new(
        settings: Arc<Settings>,
        store: S,
        rows: W,
        clock: Clock,
        published: Arc<ArcSwap<Snapshot>>,
        loads: Arc<Loads>,
    ) -> Rc<Self> {
        let known = Known::new(settings.bounds.clone());
        Rc::new(Self {
            settings,
            store,
            rows,
            clock,
            incarnation: incarnation(),
            known: RefCell::new(known),
            mesh: RefCell::default(),
            published,
            loads,
            cold_due: Notify::new(),
        })
    }

    /// Starts all that runs for as long as the process.
    pub(crate) fn start(self: &Rc<Self>) {
        let tables = self.rows.tables();
        let control = self.clone();
        actix_rt::spawn(async move { control.follow_operator(tables.operator).await });
        let control = self.clone();
        actix_rt::spawn(async move { control.follow_upstreams(tables.upstreams).await });
        let control = self.clone();
        actix_rt::spawn(async move { control.join().await });
        let control = self.clone();
        actix_rt::spawn(async move { control.exchange_loads().await });
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
        let mut closing = None;
        let mut dropped_since_start = 0;
        loop {
            tokio::time::sleep(TICK).await;
            let now = self.now();
            let due = closing.is_some_and(|at| at <= now);
            self.known.borrow_mut().sweep(now);
            closing = self.known.borrow().picture.next_closing(now);
            if due {
                self.publish();
            }
            self.broadcast_periodically(now);
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

    /// Publishes what is known, and tells the other entries.
    fn publish(&self) {
        let now = self.now();
        let mut known = self.known.borrow_mut();
        let known = &mut *known;
        let compiled = known.table.as_ref().map(|table| table.version());
        if let Some(routes) = known.picture.routes() {
            if compiled != Some(routes.version) {
                known.table = Some(Arc::new(Table::new(routes.clone())));
                metrics::gauge!(crate::metric::ROUTES_VERSION).set(routes.version as f64);
            }
        }
        let connected = known.members.values().filter(|member| member.up).count();
        metrics::gauge!(crate::metric::PEERS).set(connected as f64);
        known.number += 1;
        let snapshot = self.snapshot(known, now);
        self.published.store(Arc::new(snapshot));
        self.broadcast_urgent(known, now);
        self.cold_due.notify_one();
    }

    fn snapshot(&self, known: &Known, now: Now) -> Snapshot {
        let settings = &self.settings;
        let upstreams = known.picture.upstreams(now);
        let upstreams = upstreams.map(|(listed, closed, cold_until)| UpstreamView {
            id: listed.id.clone(),
            started_ms: listed.started_ms,
            service: listed.service.clone(),
            region: listed.region.clone(),
            failure_domain: listed.failure_domain.clone(),
            addr: listed.addr,
            slots: listed.slots,
            closed,
            cold_until,
            cold_lease_until: known.cold_leases.held_until(&listed.id, now),
        });
        let here = Location {
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            round_trips: self.round_trips(known),
        };
        let others = known.members.values().filter(|member| member.counts(now));
        let registered = known.registered.as_ref();
        Snapshot {
            number: known.number,
            made_at: now,
            table: known.table.clone(),
            upstreams: upstreams.collect(),
            entries: self.entries(known),
            entries_known: registered.map(|registered| (others.count() + 1).max(registered.len())),
            here,
            bounds: known.bounds.clone(),
            stopping: known.stopping,
        }
    }

    /// Entries that take new callers.
    fn entries(&self, known: &Known) -> Vec<EntryView> {
        let mut entries = Vec::with_capacity(known.members.len() + 1);
        if known.table.is_some() && !known.stopping {
            entries.push(EntryView {
                region: self.settings.region.clone(),
                callers_addr: self.settings.callers_addr,
            });
        }
        for member in known.members.values() {
            let state = member.state.as_ref().filter(|state| state.ready);
            if let Some(state) = state.filter(|_| member.up) {
                entries.push(EntryView {
                    region: member.region.clone(),
                    callers_addr: state.callers_addr,
                });
            }
        }
        entries
    }

    /// Shortest round trip to each other region.
    fn round_trips(&self, known: &Known) -> base::FastMap<RegionId, Duration> {
        let mut shortest = base::FastMap::<RegionId, Duration>::default();
        for member in known.members.values().filter(|member| member.up) {
            if member.region != self.settings.region && !member.round_trip.is_zero() {
                let known = shortest.entry(member.region.clone());
                let trip = known.or_insert(member.round_trip);
                *trip = (*trip).min(member.round_trip);
            }
        }
        shortest
    }
}

/// How long an entry that was lost is remembered: well beyond the time after which its row is removed.
const MEMBER_MEMORY: Duration = Duration::from_secs(600);
/// How long an entry that was lost without a goodbye may still be sending.
const LOST_MEMORY: Duration = Duration::from_secs(20);

impl Member {
    /// Whether it may be sending to upstreams.
    fn counts(&self, now: Now) -> bool {
        self.up || now.saturating_sub(self.lost_at) < LOST_MEMORY
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
