//! Look-ups, from the cache or from the daemons in turn.

use super::{
    request::RequestState,
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

/// Delay before the daemons are asked again after all of them failed.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of one look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Cached look-ups by region, caller and class.
pub(super) type Cache = FastMap<(usize, u32, usize), CachedEntries>;

/// Entries of a look-up, cached for its time to live.
#[derive(Clone)]
pub(super) struct CachedEntries {
    entries: Rc<[ByteString]>,
    expires_at: Instant,
}

/// Response to a look-up, as on the wire.
#[derive(Deserialize)]
pub(super) struct LookupResponse {
    ttl_ms: u64,
    pub(super) entries: Vec<Entry>,
    pub(super) ticket: Option<ByteString>,
}

/// Result of a look-up at one daemon.
enum LookupResult {
    /// At least one entry.
    Found(LookupResponse),
    /// A client error, such as an unknown class, which every daemon would report alike.
    Rejected,
    /// No usable response; another daemon may have one.
    Failed,
}

/// Entry in the response to a look-up.
#[derive(Deserialize)]
pub(super) struct Entry {
    pub(super) addr: ByteString,
}

impl Callers {
    /// Daemons in the order in which a caller asks them, its own region's first.
    fn daemons_for(&self, region: &RegionId) -> Vec<ByteString> {
        let round_robin = self.round_robin.get();
        self.round_robin.set(round_robin.wrapping_add(1));
        let mut order = Vec::new();
        let own = self.daemons.get(region);
        let others = self.daemons.iter().filter(|(name, _)| *name != region);
        for daemons in own.into_iter().chain(others.map(|(_, list)| list)) {
            for i in 0..daemons.len() {
                order.push(daemons[round_robin.wrapping_add(i) % daemons.len()].clone());
            }
        }
        order
    }
}

impl RequestState<'_> {
    /// Entries from the cache or from a look-up.
    pub(super) async fn entries(&self) -> Option<Rc<[ByteString]>> {
        let key = (self.arrival.region, self.arrival.caller, self.arrival.class);
        if let Some(cached) = self.callers.cache.borrow().get(&key) {
            if Instant::now() < cached.expires_at {
                return Some(Rc::clone(&cached.entries));
            }
        }
        let found = self.look_up().await?;
        let entries: Rc<[ByteString]> = found.entries.into_iter().map(|entry| entry.addr).collect();
        let expires_at = Instant::now() + Duration::from_millis(found.ttl_ms);
        let cached = CachedEntries {
            entries: Rc::clone(&entries),
            expires_at,
        };
        self.callers.cache.borrow_mut().insert(key, cached);
        Some(entries)
    }

    /// Asks daemons until one returns an entry, one rejects the look-up or the deadline passes.
    pub(super) async fn look_up(&self) -> Option<LookupResponse> {
        while !self.time_left().is_zero() {
            for daemon in self.callers.daemons_for(&self.region.name) {
                let limit = LOOKUP_TIMEOUT.min(self.time_left());
                match timeout(limit, self.look_up_at(&daemon)).await {
                    Ok(LookupResult::Found(found)) => return Some(found),
                    Ok(LookupResult::Rejected) => return None,
                    Ok(LookupResult::Failed) | Err(_) => {}
                }
            }
            sleep(LOOKUP_RETRY_DELAY.min(self.time_left())).await;
        }
        None
    }

    async fn look_up_at(&self, daemon: &ByteString) -> LookupResult {
        let block = self.region.address(self.arrival.caller);
        let class = &self.class.name;
        let url = format!("http://{daemon}/v1/entries?class={class}&block={block}");
        self.network_delay().await;
        let Ok(mut response) = self.callers.client.get(url).send().await else {
            return LookupResult::Failed;
        };
        let body = response.body().await;
        self.network_delay().await;
        if response.status().is_client_error() {
            return LookupResult::Rejected;
        }
        let found = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        match found {
            Some(found @ LookupResponse { .. }) if !found.entries.is_empty() => {
                LookupResult::Found(found)
            }
            _ => LookupResult::Failed,
        }
    }
}
