//! Decides whether a request is hedged, and records the response times that this depends on.

use crate::traffic::{
    fleet::Fleet,
    group::UpstreamGroup,
    placement::{
        Placement,
        PlacementRequest, //
    },
};
use balance::{
    Choice,
    PendingSend, //
};
use base::Now;
use std::time::Duration;

impl Fleet {
    /// Counts a send of a request that may be hedged. Returns the time after which to consider that, if at all.
    pub(in crate::traffic) fn hedge_delay(
        &mut self,
        placement: &Placement,
        now: Now,
    ) -> Option<Duration> {
        let group = self.groups.get_mut(&placement.incarnation.service)?;
        let hedger = group.hedgers.entry(placement.route.clone()).or_default();
        hedger.note_send(now);
        let delay = hedger.delay(placement.warm)?;
        Some(delay + self.location.round_trip(&placement.region))
    }

    /// Returns the state of a send that has had no response for `elapsed`.
    pub(in crate::traffic) fn pending_send(
        &self,
        placement: &Placement,
        elapsed: Duration,
        target_left: Duration,
        deadline_left: Duration,
    ) -> PendingSend {
        PendingSend {
            warm: placement.warm,
            elapsed: elapsed.saturating_sub(self.location.round_trip(&placement.region)),
            target_left,
            deadline_left,
        }
    }

    /// Records that the head of a response arrived after `took`.
    pub(in crate::traffic) fn note_response_head(
        &mut self,
        placement: &Placement,
        took: Duration,
        now: Now,
    ) {
        let time = took.saturating_sub(self.location.round_trip(&placement.region));
        let upstream = self.upstream(&placement.incarnation);
        if upstream.is_none_or(|upstream| upstream.is_cold(now)) {
            return;
        }
        if let Some(group) = self.groups.get_mut(&placement.incarnation.service) {
            let hedger = group.hedgers.entry(placement.route.clone()).or_default();
            hedger.note_response(placement.warm, time);
        }
    }

    /// Records that a send had no response after `elapsed`, when its time was over.
    pub(in crate::traffic) fn note_timeout(&mut self, placement: &Placement, elapsed: Duration) {
        let elapsed = elapsed.saturating_sub(self.location.round_trip(&placement.region));
        if let Some(group) = self.groups.get_mut(&placement.incarnation.service) {
            let hedger = group.hedgers.entry(placement.route.clone()).or_default();
            hedger.note_unfinished(placement.warm, elapsed);
        }
    }

    /// Records that a send had no response after `elapsed`, when the second send of its request had one.
    pub(in crate::traffic) fn note_overtaken(&mut self, placement: &Placement, elapsed: Duration) {
        self.note_timeout(placement, elapsed);
        let elapsed = elapsed.saturating_sub(self.location.round_trip(&placement.region));
        if let Some(upstream) = self.upstream(&placement.incarnation) {
            upstream.health.note_unfinished(elapsed);
        }
    }
}

impl UpstreamGroup {
    /// Charges a second send to the limits on hedged requests and retries, if it is worth it: the upstream is idle and
    /// is expected to respond in time, and the pending send isn't. Returns whether it may be made.
    pub(in crate::traffic) fn try_take_hedge(
        &mut self,
        request: &PlacementRequest<'_>,
        pending: &PendingSend,
        choice: &Choice,
        slack: f64,
        now: Now,
    ) -> bool {
        let Choice::Send { idle, expected, .. } = choice else {
            return false;
        };
        let Some(hedger) = self.hedgers.get_mut(&request.route.id) else {
            return false;
        };
        let response_time_max = hedger.response_time_max(pending);
        let is_worth_it = response_time_max.is_some_and(|max| expected.response_time <= max);
        *idle
            && is_worth_it
            && hedger.try_take(now)
            && self.try_take_retry(request.service, slack, now)
    }
}
