//! Polls the upstreams' load reports, which lag and may be wrong.
//!
//! A report can only reduce the work sent to an upstream, or mark the upstream as leaving or cold;
//! it never raises a limit.

use crate::process::{
    control::Control,
    pool::Upstream,
    shared::Shared, //
};
use actix::{
    AsyncContext,
    Context, //
};
use awc::{
    http::StatusCode,
    Client, //
};
use base::UpstreamId;
use bytestring::ByteString;
use serde::Deserialize;
use std::{
    cell::RefCell,
    collections::BTreeSet,
    fmt,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use strict::strict_connector;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4096;
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Response of `GET /load`.
#[derive(Debug, Deserialize)]
struct Load {
    slots: u32,
    in_flight: u64,
    queued: u64,
    #[serde(default)]
    state: ByteString,
    as_of_ms: u64,
}

/// Polls in progress.
#[derive(Default)]
pub(super) struct LoadPolls {
    client: Option<Client>,
    /// Upstreams whose last poll is still pending; they are not polled again meanwhile.
    asked: Rc<RefCell<BTreeSet<UpstreamId>>>,
}

impl fmt::Debug for LoadPolls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Loads")
            .field("asked", &self.asked)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Polls the upstreams' load reports, and schedules the next poll.
    pub(in crate::process::control) fn read_loads(&mut self, ctx: &mut Context<Self>) {
        let client = self
            .steering
            .loads
            .client
            .get_or_insert_with(new_client)
            .clone();
        for pool in self.pools.values() {
            for upstream in pool.upstreams().iter() {
                self.read_load(&client, upstream);
            }
        }
        let interval = self.jittered(self.shared.settings.terms.load);
        ctx.run_later(interval, Self::read_loads);
    }

    fn read_load(&self, client: &Client, upstream: &Arc<Upstream>) {
        let asked = Rc::clone(&self.steering.loads.asked);
        if !asked.borrow_mut().insert(upstream.id.clone()) {
            return;
        }
        let (client, upstream) = (client.clone(), Arc::clone(upstream));
        let shared = Arc::clone(&self.shared);
        actix_rt::spawn(async move {
            let read = tokio::time::timeout(POLL_TIMEOUT, read(&client, &upstream.addr)).await;
            asked.borrow_mut().remove(&upstream.id);
            if let Ok(Some(load)) = read {
                apply_report(&shared, &upstream, &load);
            }
        });
    }
}

fn new_client() -> Client {
    Client::builder()
        .connector(strict_connector())
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Reads the load report at `addr`; `None` if there is no complete one.
async fn read(client: &Client, addr: &ByteString) -> Option<Load> {
    let mut response = client
        .get(format!("http://{addr}/load"))
        .send()
        .await
        .ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    response.json::<Load>().limit(MAX_RESPONSE_BYTES).await.ok()
}

fn apply_report(shared: &Shared, upstream: &Upstream, load: &Load) {
    let now = shared.now();
    let wall_ms = shared.clock.wall_ms(now);
    let age = Duration::from_millis(wall_ms.saturating_sub(load.as_of_ms));
    upstream
        .last_report
        .set(now, age, load.slots, load.in_flight, load.queued);
    upstream.last_report.set_cold(load.state == "cold");
    if load.state == "leaving" {
        shared.report_leaving(upstream);
    }
}
