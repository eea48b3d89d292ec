//! Watches whether this entry reaches its upstreams, and probes them if it may not.

use crate::{
    clock::millis,
    metric,
    traffic::Traffic, //
};
use event::{
    emit,
    Event, //
};
use rand::seq::IndexedRandom;
use reach::{
    Admission,
    Change,
    Evidence, //
};
use relay::{
    Pool,
    Target, //
};
use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::task::JoinSet;

/// Interval between checks whether probes are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a probe in addition to the round trip. Covers jitter, and pauses of this process by its share of the CPU.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in addition to the round trip for which a probe's connection must stay open. A partition may accept connections and
/// reset them.
const PROBE_HOLD: Duration = Duration::from_millis(30);
/// Number of upstreams that are probed at once if the first probe of a round fails.
const PROBES: usize = 4;

/// An upstream that may be probed.
#[derive(Clone, Debug)]
pub(super) struct ProbeTarget {
    pub(super) target: Target,
    /// Round trip to its region.
    pub(super) round_trip: Duration,
}

/// A request's permission to be sent to an upstream. Ends its trial of the path when dropped.
pub(super) struct SendPermit {
    traffic: Rc<Traffic>,
    admission: Admission,
    failed: Cell<bool>,
}

impl SendPermit {
    /// Records that the request got no response because of the path or the upstream.
    pub(super) fn note_failed(&self) {
        self.failed.set(true);
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.admission == Admission::Trial {
            let mut reach = self.traffic.reach.borrow_mut();
            reach.end_trial(self.failed.get());
        }
    }
}

impl Traffic {
    /// Returns the permission to send a request to an upstream; `None` if no upstream can be reached.
    pub(super) fn admit(self: &Rc<Self>, may_run_twice: bool) -> Option<SendPermit> {
        let admission = self.reach.borrow_mut().admit(may_run_twice, self.now())?;
        Some(SendPermit {
            traffic: self.clone(),
            admission,
            failed: Cell::new(false),
        })
    }

    /// Returns whether this entry may be partitioned, so that it passes over upstreams which others reach.
    pub(super) fn may_be_partitioned(&self) -> bool {
        !self.reach.borrow().is_open() || self.reach_evidence().is_suspicious()
    }

    fn reach_evidence(&self) -> Evidence {
        Evidence {
            usable: self.fleet.borrow().usable_count(self.now()),
            failed_connections: self.pool.failed_connections(),
        }
    }

    /// Records a response of an upstream.
    pub(super) fn note_contact(&self) {
        let change = self.reach.borrow_mut().note_response(self.now());
        if let Some(change) = change {
            self.on_path_change(change);
        }
    }

    fn on_path_change(&self, change: Change) {
        let is_cut = matches!(change, Change::Cut { .. });
        metrics::gauge!(metric::PARTITIONED).set(f64::from(u8::from(is_cut)));
        match change {
            Change::Cut { silence } => {
                let evidence = self.reach_evidence();
                emit(&Event::UpstreamsUnreachable {
                    silence_ms: millis(silence),
                    failed_connections: evidence.failed_connections,
                    usable: evidence.usable,
                    relays: self.shared.published.load().relays.len(),
                });
            }
            Change::Opened { after } => {
                emit(&Event::UpstreamsReachable {
                    after_ms: millis(after),
                });
                self.fleet.borrow_mut().note_path_opened(after);
            }
        }
        self.shared.channels.partition.set_partitioned(is_cut);
        if is_cut {
            self.path_cut.notify_waiters();
        }
    }
}

/// Probes the upstreams whenever that is due, until the process exits.
pub(super) async fn watch_path(traffic: Rc<Traffic>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        traffic.refresh_snapshot();
        let now = traffic.now();
        let evidence = traffic.reach_evidence();
        metrics::gauge!(metric::FAILED_CONNECTIONS).set(evidence.failed_connections as f64);
        if traffic.reach.borrow_mut().take_probe(evidence, now) {
            run_probes(&traffic).await;
        }
    }
}

/// Connects to one upstream and, if that fails while the path counts as open, to several others at once. Applies the result to
/// the state of the path.
async fn run_probes(traffic: &Traffic) {
    let mut targets = traffic.fleet.borrow().probe_targets(traffic.now());
    let first = targets.choose(&mut rand::rng()).cloned();
    let Some(first) = first else {
        return;
    };
    if connects(&traffic.pool, &first).await {
        traffic
            .reach
            .borrow_mut()
            .note_probe_connected(traffic.now());
        return;
    }
    if !traffic.reach.borrow().is_open() {
        return;
    }
    targets.retain(|probed| probed.target != first.target);
    if any_connects(traffic, &targets).await {
        return;
    }
    let change = traffic.reach.borrow_mut().note_probes_failed(traffic.now());
    if let Some(change) = change {
        traffic.on_path_change(change);
    }
}

/// Returns whether one of several upstreams other than `target` can be connected to, or there is no other.
pub(super) async fn reaches_other_upstream(traffic: &Traffic, target: &Target) -> bool {
    let mut others = traffic.fleet.borrow().probe_targets(traffic.now());
    others.retain(|other| other.target != *target);
    others.is_empty() || any_connects(traffic, &others).await
}

/// Connects to several of these upstreams at once. Returns whether a connection was established.
async fn any_connects(traffic: &Traffic, targets: &[ProbeTarget]) -> bool {
    let mut probes = JoinSet::new();
    for target in targets.sample(&mut rand::rng(), PROBES) {
        let (pool, target) = (traffic.pool.clone(), target.clone());
        probes.spawn_local(async move { connects(&pool, &target).await });
    }
    while let Some(connected) = probes.join_next().await {
        if connected.unwrap_or(false) {
            return true;
        }
    }
    false
}

async fn connects(pool: &Pool, probed: &ProbeTarget) -> bool {
    let deadline = Instant::now() + probed.round_trip + PROBE_TIMEOUT;
    let hold = probed.round_trip + PROBE_HOLD;
    let opened = pool.open_and_hold(&probed.target, deadline, hold);
    opened.await.is_ok()
}
