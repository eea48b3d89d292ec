//! One upstream as an entry sees it.

use crate::{
    cold::ColdGate,
    health::Health,
    limit::LimitGate,
    rank::affinity,
    warm::WarmKeys, //
};
use base::{
    DomainId,
    Now,
    RegionId,
    UpstreamId, //
};
use std::time::Duration;

/// How long a report is nearer to the truth than what other entries said some tenths of a second ago.
const REPORT_EXACT: Duration = Duration::from_millis(100);
/// How long a report of the load of others is worth its full weight.
const REPORT_FRESH: Duration = Duration::from_millis(400);
/// Age at which a report says nothing any more: most requests of its time have ended.
const REPORT_STALE: Duration = Duration::from_millis(2000);

/// Load as an upstream states it in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reported {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot there.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name, which an earlier incarnation may have had.
    pub id: UpstreamId,
    /// When it started, in Unix milliseconds; with the name it tells incarnations apart.
    pub started_ms: u64,
    /// Hash of the name, for affinity.
    pub hash: u64,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it gets no new work: it leaves, or its failure domain is evacuated.
    pub closed: bool,
    /// Whether it is gone by its own address's word, whatever the list says: for good, since an
    /// incarnation doesn't come back.
    pub gone: bool,
    /// Cold until then.
    pub cold_until: Now,
    /// End of this entry's lease, during which it alone may send while the upstream is cold or states a limit; `None`
    /// without a lease.
    pub lease_until: Option<Now>,
    /// What it may get while cold.
    pub cold_gate: ColdGate,
    /// Maximum requests per second from all entries combined, as stated in its last answer; `None` if it stated none.
    pub limit_per_s: Option<f64>,
    /// Bounds the requests sent to it while it states a limit.
    pub limit_gate: LimitGate,
    /// Requests of this entry that it works on.
    pub in_flight: u32,
    /// Requests of others that it works on, by its last report.
    reported: f64,
    /// When that report came.
    reported_at: Now,
    /// Requests of others that it works on, by what they said.
    pub told: Option<u32>,
    /// Affinity keys that it had lately.
    pub warm: WarmKeys,
    /// Failures and latency.
    pub health: Health,
}

impl Upstream {
    /// An upstream of which nothing was seen yet.
    pub fn new(id: UpstreamId, region: RegionId, failure_domain: DomainId, slots: u32) -> Self {
        Self {
            hash: affinity(id.as_bytes()),
            id,
            started_ms: 0,
            region,
            failure_domain,
            slots: slots.max(1),
            closed: false,
            gone: false,
            cold_until: Now::ZERO,
            lease_until: None,
            cold_gate: ColdGate::default(),
            limit_per_s: None,
            limit_gate: LimitGate::default(),
            in_flight: 0,
            reported: 0.0,
            reported_at: Now::ZERO,
            told: None,
            warm: WarmKeys::default(),
            health: Health::default(),
        }
    }

    /// Takes what an answer said of the load, before that answer's request is taken off
    /// [`Self::in_flight`].
    ///
    /// The report counts this entry's own requests, too; what is left belongs to others.
    pub fn report(&mut self, reported: Reported, now: Now) {
        if reported.slots > 0 {
            self.slots = reported.slots;
        }
        let all = f64::from(reported.running + reported.waiting);
        self.reported = (all - f64::from(self.in_flight.saturating_sub(1))).max(0.0);
        self.reported_at = now;
    }

    /// Requests that it works on or holds waiting, as far as known.
    ///
    /// A report that has just come is exact; what the other entries said of themselves comes next, and
    /// an older report fades.
    pub fn load(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        let others = match self.told {
            Some(told) if age > REPORT_EXACT => f64::from(told),
            _ => self.reported * report_weight(age),
        };
        f64::from(self.in_flight) + others
    }

    /// Whether it gets no new work.
    pub fn is_closed(&self) -> bool {
        self.closed || self.gone
    }

    /// Age of its last report; `None` before the first.
    pub fn report_age(&self, now: Now) -> Option<Duration> {
        (self.reported_at > Now::ZERO).then(|| now.saturating_sub(self.reported_at))
    }

    /// Returns whether only the entry that holds its lease may send to it.
    pub fn is_restricted(&self, now: Now) -> bool {
        self.is_cold(now) || self.limit_per_s.is_some()
    }

    /// Returns whether this entry may send it one more request. `cold_per_s` is the rate that it bears from all entries
    /// combined while it is cold.
    pub fn accepts(&mut self, cold_per_s: f64, now: Now) -> bool {
        let limit_per_s = self.limit_per_s;
        if limit_per_s.is_some_and(|limit_per_s| {
            !self.is_leased(now) || !self.limit_gate.fits(limit_per_s, now)
        }) {
            return false;
        }
        !self.is_cold(now) || self.bears_cold(cold_per_s, now)
    }

    /// Counts a request for which it was chosen while restricted.
    pub fn note_chosen(&mut self) {
        self.cold_gate.note_chosen();
        self.limit_gate.note_chosen();
    }

    /// Counts a request that is sent to it now while it is restricted.
    pub fn note_sent(&mut self, now: Now) {
        self.cold_gate.note_sent(now);
        self.limit_gate.note_sent(now);
    }

    /// Stops counting a request as waiting, because it is being sent or has been withdrawn.
    pub fn note_waited(&mut self) {
        self.cold_gate.note_waited();
        self.limit_gate.note_waited();
    }

    /// Returns whether this entry holds its lease.
    fn is_leased(&self, now: Now) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Whether it may get one more from this entry while it is cold; `per_s` is what it bears from all of them.
    pub fn bears_cold(&mut self, per_s: f64, now: Now) -> bool {
        self.is_leased(now) && self.cold_gate.fits(per_s, now)
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Now) -> bool {
        now < self.cold_until
    }
}

fn report_weight(age: Duration) -> f64 {
    if age <= REPORT_FRESH {
        return 1.0;
    }
    let fading = (REPORT_STALE - REPORT_FRESH).as_secs_f64();
    (1.0 - (age - REPORT_FRESH).as_secs_f64() / fading).max(0.0)
}
