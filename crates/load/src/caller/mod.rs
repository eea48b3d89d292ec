//! One caller's request, from its look-up to what the caller knows at the end.
//!
//! A caller acts as the interface allows and no more: it caches look-ups for their `ttl_ms`, sends
//! a request again only where that is safe, and repeats a filing of unknown outcome only with the
//! same ticket to the same entry, or with the same key. What it sent and was told is recorded as it
//! happened; whether a promise was broken is for the judge.
//!
//! `asking` decides where each try goes and what follows it, `lookup` finds entries, `exchange`
//! sends one try, `answer` reads what came back.

mod answer;
mod asking;
mod exchange;
mod lookup;

use self::{
    asking::Asking,
    lookup::Cache, //
};
use crate::{
    clock::Clock,
    record::CallerRecord,
    scene::Scene,
    schedule::Arrival, //
};
use awc::Client;
use base::RegionId;
use bytestring::ByteString;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Instant, //
};

/// Daemons that callers know from the start, by region.
pub type Daemons = BTreeMap<RegionId, Vec<ByteString>>;

/// All callers of one thread, with their connections and caches.
pub(crate) struct Callers {
    scene: Arc<Scene>,
    daemons: Arc<Daemons>,
    client: Client,
    clock: Clock,
    cache: RefCell<Cache>,
    /// Turns over the daemons, so that look-ups spread.
    turn: Cell<usize>,
}

impl Callers {
    pub(crate) fn new(
        scene: Arc<Scene>,
        daemons: Arc<Daemons>,
        client: Client,
        clock: Clock,
    ) -> Self {
        Self {
            scene,
            daemons,
            client,
            clock,
            cache: RefCell::default(),
            turn: Cell::new(0),
        }
    }

    /// Carries one request to its end.
    pub(crate) async fn request(self: Rc<Self>, arrival: Arrival) -> CallerRecord {
        let started = Instant::now();
        let mut asking = Asking::new(&self, &arrival, started);
        asking.run().await;
        let (class, region) = (asking.class, asking.region);
        CallerRecord {
            told: asking.told(),
            flaw: asking.flaw,
            tries: asking.tries,
            id: arrival.id.clone(),
            class: class.name.clone(),
            region: region.name.clone(),
            filing: class.filing,
            scheduled_us: self.clock.at(arrival.at),
            started_us: self.clock.us(started),
            finished_us: self.clock.us(Instant::now()),
            deadline_ms: class.deadline_ms,
        }
    }
}
