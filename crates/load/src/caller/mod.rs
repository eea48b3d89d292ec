//! Callers' requests, from the look-up to the result.
//!
//! A caller does what the interface allows and no more: it caches look-ups for their `ttl_ms`,
//! retries a request only where that is safe, and retries a filing of unknown outcome only with the
//! same ticket at the same entry, or with the same key. Each request and its responses are recorded
//! as they were; the judge decides afterwards whether a guarantee was violated.
//!
//! `request` chooses the target of each try and the step after it, `lookup` finds entries,
//! `exchange` sends one try, and `response` reads the response.

mod exchange;
mod lookup;
mod request;
mod response;

use self::{
    lookup::Cache,
    request::RequestState, //
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

/// Callers' addresses of the daemons that callers know from the start, by region.
pub type Daemons = BTreeMap<RegionId, Vec<ByteString>>;

/// The callers of one thread, with their connections and caches.
pub(crate) struct Callers {
    scene: Arc<Scene>,
    daemons: Arc<Daemons>,
    client: Client,
    clock: Clock,
    cache: RefCell<Cache>,
    /// Round-robin counter that spreads look-ups over the daemons.
    round_robin: Cell<usize>,
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
            round_robin: Cell::new(0),
        }
    }

    /// Sends one request, with its retries, and records the result.
    pub(crate) async fn request(self: Rc<Self>, arrival: Arrival) -> CallerRecord {
        let started = Instant::now();
        let mut state = RequestState::new(&self, &arrival, started);
        state.run().await;
        let (class, region) = (state.class, state.region);
        CallerRecord {
            result: state.result(),
            flaw: state.flaw,
            tries: state.tries,
            id: arrival.id.clone(),
            class: class.name.clone(),
            region: region.name.clone(),
            filing: class.filing,
            scheduled_us: self.clock.wall_us_at(arrival.at),
            started_us: self.clock.wall_us(started),
            finished_us: self.clock.wall_us(Instant::now()),
            deadline_ms: class.deadline_ms,
        }
    }
}
