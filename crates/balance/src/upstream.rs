//! State of one upstream as this entry sees it.

use crate::{
    cold_start_limiter::ColdStartLimiter,
    health::Health,
    load_report::LoadReport,
    rate_limiter::RateLimiter,
    rendezvous::{
        affinity_hash,
        rendezvous_score, //
    },
    speed::StatedSpeed,
    warm_keys::WarmKeys, //
};
use base::{
    DomainId,
    Now,
    RegionId,
    UpstreamId, //
};
use std::time::Duration;

/// Time for which a request that tries an upstream again keeps others from it. A long response would do so for minutes.
const TRIAL_WAIT_MAX: Duration = Duration::from_secs(3);
/// Age up to which an upstream's report is more accurate than the other entries' counts, which are some tenths of a
/// second old.
const REPORT_EXACT: Duration = Duration::from_millis(100);
/// Age up to which a report of the load from other entries has its full weight.
const REPORT_FRESH: Duration = Duration::from_millis(400);
/// Age from which a report has no weight, because most of the requests that it counted have ended.
const REPORT_STALE: Duration = Duration::from_millis(2000);

/// One incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name, which an earlier incarnation may have had as well.
    pub id: UpstreamId,
    /// Start time in Unix milliseconds; identifies the incarnation together with the name.
    pub started_ms: u64,
    /// Hash of the name, for rendezvous hashing.
    pub hash: u64,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Requests that it can process concurrently.
    pub slots: u32,
    /// Whether it gets no new requests because it is leaving or its failure domain is evacuated.
    pub closed: bool,
    /// Whether its address has shown that it has ended, even if it is still listed. This is permanent, since an
    /// incarnation does not return.
    pub gone: bool,
    /// Whether it has stated in a response to this entry that it is leaving. This is permanent.
    pub states_leaving: bool,
    /// End of the pause that it last asked this entry for.
    pub paused_until: Now,
    /// End of the time for which it is cold.
    pub cold_until: Now,
    /// End of this entry's lease, during which it alone may send while the upstream is cold or states a limit; `None`
    /// without a lease.
    pub lease_until: Option<Now>,
    /// Limits the requests sent to it while it is cold.
    pub cold_start_limiter: ColdStartLimiter,
    /// Maximum requests per second from all entries combined, as stated in its last response; `None` if it stated none.
    pub limit_per_s: Option<f64>,
    /// Limits the requests sent to it while it states a limit.
    pub rate_limiter: RateLimiter,
    /// Requests that this entry has in flight there.
    pub in_flight: u32,
    /// Time at which it was last chosen for a request.
    pub chosen_at: Option<Now>,
    /// Requests that other entries had in flight there, according to its last report.
    reported_others: f64,
    /// Time of the last report.
    reported_at: Now,
    /// Speed that it last stated.
    pub speed: Option<StatedSpeed>,
    /// Requests that other entries have in flight there, according to those entries.
    pub peers_in_flight: Option<u32>,
    /// Affinity keys that it served recently.
    pub warm_keys: WarmKeys,
    /// Failures and latency.
    pub health: Health,
}

impl Upstream {
    /// Returns an upstream without any observations.
    pub fn new(id: UpstreamId, region: RegionId, failure_domain: DomainId, slots: u32) -> Self {
        Self {
            hash: affinity_hash(id.as_bytes()),
            id,
            started_ms: 0,
            region,
            failure_domain,
            slots: slots.max(1),
            closed: false,
            gone: false,
            states_leaving: false,
            paused_until: Now::ZERO,
            cold_until: Now::ZERO,
            lease_until: None,
            cold_start_limiter: ColdStartLimiter::default(),
            limit_per_s: None,
            rate_limiter: RateLimiter::default(),
            in_flight: 0,
            chosen_at: None,
            reported_others: 0.0,
            reported_at: Now::ZERO,
            speed: None,
            peers_in_flight: None,
            warm_keys: WarmKeys::default(),
            health: Health::default(),
        }
    }

    /// Returns the hash by which entries report to each other about this incarnation. One that started again under the
    /// same name holds and knows nothing of before; without start times, incarnations can't be told apart.
    pub fn incarnation_hash(&self) -> u64 {
        if self.started_ms == 0 {
            return self.hash;
        }
        rendezvous_score(self.started_ms, self.hash)
    }

    /// Stores the load stated in a response. Must be called while the answered request still counts in
    /// [`Self::in_flight`].
    ///
    /// The report includes this entry's own requests; the remainder is attributed to other entries.
    pub fn note_report(&mut self, reported: LoadReport, now: Now) {
        if reported.slots > 0 {
            self.slots = reported.slots;
        }
        let all = f64::from(reported.running) + f64::from(reported.waiting);
        self.reported_others = (all - f64::from(self.in_flight.saturating_sub(1))).max(0.0);
        self.reported_at = now;
        let stated = reported.work_time_pct.map(|work_time_pct| StatedSpeed {
            work_time_pct,
            at: now,
        });
        self.speed = stated.or(self.speed);
    }

    /// Returns the estimated number of requests that are running or waiting there.
    ///
    /// The load from other entries is that of a new report, else what the other entries stated, else that of an older
    /// report with a weight that decreases with its age.
    pub fn load(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        let others = match self.peers_in_flight {
            Some(in_flight) if age > REPORT_EXACT => f64::from(in_flight),
            _ => self.reported_others * report_weight(age),
        };
        f64::from(self.in_flight) + others
    }

    /// Returns whether a request is under way whose result may show that it has recovered.
    pub(crate) fn is_being_tried(&self, now: Now) -> bool {
        let is_recent = self.chosen_at.is_none_or(|chosen_at| {
            let began = chosen_at.max(self.health.ejected_until());
            now.saturating_sub(began) < TRIAL_WAIT_MAX
        });
        self.in_flight > 0 && is_recent
    }

    /// Returns whether it gets no new requests.
    pub fn is_closed(&self) -> bool {
        self.closed || self.gone || self.states_leaving
    }

    /// Records that it accepts no requests from this entry for `pause`. A shorter pause doesn't end an earlier one.
    pub fn note_pause(&mut self, pause: Duration, now: Now) {
        self.paused_until = self.paused_until.max(now.saturating_add(pause));
    }

    /// Returns whether it accepts no requests from this entry because it asked for a pause.
    pub fn is_paused(&self, now: Now) -> bool {
        now < self.paused_until
    }

    /// Returns whether this entry may send it requests, apart from what limits their rate.
    pub fn is_open(&self, now: Now) -> bool {
        !self.is_closed() && !self.is_paused(now)
    }

    /// Returns the age of its last report, or `None` before the first.
    pub fn report_age(&self, now: Now) -> Option<Duration> {
        (self.reported_at > Now::ZERO).then(|| now.saturating_sub(self.reported_at))
    }

    /// Returns whether only the entry that holds its lease may send to it.
    pub fn is_restricted(&self, now: Now) -> bool {
        self.is_cold(now) || self.limit_per_s.is_some()
    }

    /// Returns whether this entry may send it one more request. `cold_per_s` is the rate that it accepts from all
    /// entries combined while it is cold.
    pub fn accepts(&mut self, cold_per_s: f64, now: Now) -> bool {
        let limit_per_s = self.limit_per_s;
        if limit_per_s.is_some_and(|limit_per_s| {
            !self.is_leased(now) || !self.rate_limiter.allows(limit_per_s, now)
        }) {
            return false;
        }
        !self.is_cold(now) || self.accepts_cold(cold_per_s, now)
    }

    /// Counts a request for which it was chosen while restricted.
    pub fn note_chosen(&mut self) {
        self.cold_start_limiter.note_chosen();
        self.rate_limiter.note_chosen();
    }

    /// Counts a request that is sent to it now while it is restricted.
    pub fn note_sent(&mut self, now: Now) {
        self.cold_start_limiter.note_sent(now);
        self.rate_limiter.note_sent(now);
    }

    /// Stops counting a request as waiting, because it is being sent or has been withdrawn.
    pub fn note_wait_ended(&mut self) {
        self.cold_start_limiter.note_wait_ended();
        self.rate_limiter.note_wait_ended();
    }

    /// Returns whether this entry holds its lease.
    fn is_leased(&self, now: Now) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Returns whether this entry may send it one more request while it is cold. `per_s` is the rate that it accepts
    /// from all entries combined.
    pub fn accepts_cold(&mut self, per_s: f64, now: Now) -> bool {
        self.is_leased(now) && self.cold_start_limiter.allows(per_s, now)
    }

    /// Returns whether it is cold.
    pub fn is_cold(&self, now: Now) -> bool {
        now < self.cold_until
    }
}

/// Returns the weight of a report: 1 while it is fresh, then decreasing linearly to 0.
fn report_weight(age: Duration) -> f64 {
    if age <= REPORT_FRESH {
        return 1.0;
    }
    let decay_s = (REPORT_STALE - REPORT_FRESH).as_secs_f64();
    (1.0 - (age - REPORT_FRESH).as_secs_f64() / decay_s).max(0.0)
}
