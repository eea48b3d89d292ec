//! Look-ups: from the cache or from the daemons, one after the other.

use super::{
    asking::Asking,
    Callers, //
};
use base::{
    FastMap,
    RegionId, //
};
use bytestring::ByteString;
use serde::Deserialize;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::{
    sleep,
    timeout, //
};

/// Pause before another round over daemons that gave no look-up.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for one look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers by region, caller and class.
pub(super) type Cache = FastMap<(usize, u32, usize), Cached>;

/// Answer to a look-up, kept for its time to live.
#[derive(Clone)]
pub(super) struct Cached {
    entries: Rc<[ByteString]>,
    until: Instant,
}

/// Answer to a look-up, as on the wire.
#[derive(Deserialize)]
pub(super) struct Entries {
    ttl_ms: u64,
    pub(super) entries: Vec<Entry>,
    pub(super) ticket: Option<ByteString>,
}

/// What came of a look-up.
enum Lookup {
    /// At least one entry.
    Found(Entries),
    /// The caller's own mistake, as an unknown class; every daemon would say the same.
    Wrong,
    /// Another daemon may know more.
    Failed,
}

/// Entry in the answer to a look-up.
#[derive(Deserialize)]
pub(super) struct Entry {
    pub(super) addr: ByteString,
}

impl Callers {
    /// Daemons in the order in which a caller asks them: of its own region first.
    fn daemons_for(&self, region: &RegionId) -> Vec<ByteString> {
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let mut order = Vec::new();
        let home = self.daemons.get(region);
        let others = self.daemons.iter().filter(|(name, _)| *name != region);
        for daemons in home.into_iter().chain(others.map(|(_, list)| list)) {
            for i in 0..daemons.len() {
                order.push(daemons[turn.wrapping_add(i) % daemons.len()].clone());
            }
        }
        order
    }
}

impl Asking<'_> {
    /// Entries from the cache, or by a look-up.
    pub(super) async fn entries(&self) -> Option<Rc<[ByteString]>> {
        let key = (self.arrival.region, self.arrival.caller, self.arrival.class);
        if let Some(cached) = self.callers.cache.borrow().get(&key) {
            if Instant::now() < cached.until {
                return Some(Rc::clone(&cached.entries));
            }
        }
        let found = self.look_up().await?;
        let entries: Rc<[ByteString]> = found.entries.into_iter().map(|e| e.addr).collect();
        let until = Instant::now() + Duration::from_millis(found.ttl_ms);
        let cached = Cached {
            entries: Rc::clone(&entries),
            until,
        };
        self.callers.cache.borrow_mut().insert(key, cached);
        Some(entries)
    }

    /// Asks daemons until one names an entry or the deadline passes.
    pub(super) async fn look_up(&self) -> Option<Entries> {
        while !self.left().is_zero() {
            for daemon in self.callers.daemons_for(&self.region.name) {
                let limit = LOOKUP_TIMEOUT.min(self.left());
                match timeout(limit, self.look_up_at(&daemon)).await {
                    Ok(Lookup::Found(found)) => return Some(found),
                    Ok(Lookup::Wrong) => return None,
                    Ok(Lookup::Failed) | Err(_) => {}
                }
            }
            sleep(LOOKUP_PAUSE.min(self.left())).await;
        }
        None
    }

    async fn look_up_at(&self, daemon: &ByteString) -> Lookup {
        let block = self.region.address(self.arrival.caller);
        let class = &self.class.name;
        let url = format!("http://{daemon}/v1/entries?class={class}&block={block}");
        self.travel().await;
        let Ok(mut answer) = self.callers.client.get(url).send().await else {
            return Lookup::Failed;
        };
        let body = answer.body().await;
        self.travel().await;
        if answer.status().is_client_error() {
            return Lookup::Wrong;
        }
        let found = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        match found {
            Some(found @ Entries { .. }) if !found.entries.is_empty() => Lookup::Found(found),
            _ => Lookup::Failed,
        }
    }
}
