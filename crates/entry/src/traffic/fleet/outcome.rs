//! Updates the state of upstreams with the results of requests.

use crate::{
    clock::millis,
    message::WarmKey,
    metric,
    traffic::{
        fleet::Fleet,
        placement::{
            Incarnation,
            Placement, //
        },
    },
};
use balance::{
    LoadReport,
    StatedSpeed, //
};
use base::Now;
use event::{
    emit,
    Event, //
};
use std::time::Duration;

/// Maximum time until this entry learns that an upstream has restarted under the same name. Changes that must take
/// effect within seconds are known by then.
const RESTART_KNOWN_WITHIN: Duration = Duration::from_secs(3);

impl Fleet {
    /// Returns whether a request may still be sent to its chosen upstream, now that a connection is open. If so, it is
    /// counted as sent. `is_waiting` states whether it counts as waiting there.
    ///
    /// Without this check, the request could go to an upstream that has meanwhile announced that it is leaving or asked
    /// for a pause, or that has restarted under the same name and is cold.
    pub(in crate::traffic) fn may_send(
        &mut self,
        incarnation: &Incarnation,
        is_waiting: bool,
        now: Now,
    ) -> bool {
        let cold_per_s = self.cold_per_s(&incarnation.service);
        let Some(upstream) = self.upstream(incarnation) else {
            return false;
        };
        if is_waiting {
            upstream.note_wait_ended();
        }
        if !upstream.is_open(now) {
            return false;
        }
        if !upstream.is_restricted(now) {
            return true;
        }
        let fits = upstream.accepts(cold_per_s, now);
        if fits {
            upstream.note_sent(now);
        }
        fits
    }

    /// Removes a request from the counts of its upstream. `is_waiting` states whether it still counts as waiting there.
    pub(in crate::traffic) fn note_finished(
        &mut self,
        incarnation: &Incarnation,
        is_waiting: bool,
    ) {
        if let Some(upstream) = self.upstream(incarnation) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            if is_waiting {
                upstream.note_wait_ended();
            }
        }
    }

    /// Records the load stated in a response.
    pub(in crate::traffic) fn note_load(
        &mut self,
        placement: &Placement,
        reported: LoadReport,
        now: Now,
    ) {
        let incarnation = &placement.incarnation;
        let Some(upstream) = self.upstream(incarnation) else {
            return;
        };
        upstream.note_report(reported, now);
        let Some(pct) = reported.work_time_pct else {
            return;
        };
        metrics::histogram!(metric::UPSTREAM_WORK_TIME).record(f64::from(pct) / 100.0);
        if let Some(group) = self.groups.get_mut(&incarnation.service) {
            if placement.is_probe {
                group.usual_speed.restart(pct);
            } else {
                group.usual_speed.note(pct);
            }
        }
    }

    /// Stores the request rate limit stated in a response and logs a change. Returns whether it has changed.
    pub(in crate::traffic) fn note_limit(
        &mut self,
        incarnation: &Incarnation,
        limit_per_s: Option<f64>,
    ) -> bool {
        let Some(upstream) = self.upstream(incarnation) else {
            return false;
        };
        let changed = upstream.limit_per_s != limit_per_s;
        if changed {
            upstream.limit_per_s = limit_per_s;
            emit(&Event::UpstreamLimit {
                upstream: incarnation.id.clone(),
                service: incarnation.service.clone(),
                limit_per_s,
            });
        }
        changed
    }

    /// Records that an upstream states that it is leaving. Returns whether it did so for the first time.
    pub(in crate::traffic) fn note_leaving(&mut self, incarnation: &Incarnation) -> bool {
        let upstream = self.upstream(incarnation);
        upstream.is_some_and(|upstream| !std::mem::replace(&mut upstream.states_leaving, true))
    }

    /// Records that an upstream accepts no requests from this entry for `pause`, and logs the start of a pause.
    pub(in crate::traffic) fn note_pause(
        &mut self,
        incarnation: &Incarnation,
        pause: Duration,
        now: Now,
    ) {
        let Some(upstream) = self.upstream(incarnation) else {
            return;
        };
        let begins = !upstream.is_paused(now);
        upstream.note_pause(pause, now);
        if begins {
            metrics::counter!(metric::PAUSES).increment(1);
            emit(&Event::UpstreamPaused {
                upstream: incarnation.id.clone(),
                service: incarnation.service.clone(),
                pause_ms: millis(pause),
            });
        }
    }

    /// Records that a complete response arrived after `took`. `speed` is what the response states.
    pub(in crate::traffic) fn note_response(
        &mut self,
        placement: &Placement,
        speed: Option<StatedSpeed>,
        took: Duration,
        now: Now,
    ) {
        let incarnation = &placement.incarnation;
        let Some(group) = self.groups.get_mut(&incarnation.service) else {
            return;
        };
        let mut upstreams = group.upstreams.iter();
        let Some(index) = upstreams.position(|upstream| incarnation.matches(upstream)) else {
            return;
        };
        if placement.is_probe && !group.upstreams[index].is_cold(now) {
            group.discard_estimates(&placement.route);
        }
        let upstream = &mut group.upstreams[index];
        let round_trip = self.location.round_trip(&upstream.region);
        let service_time = took.saturating_sub(round_trip);
        let service_time = group
            .usual_speed
            .usual_time(service_time, placement.speed, speed, now);
        if upstream.health.note_response(service_time, now) {
            log_back(incarnation);
        }
        if let Some(key) = placement.key {
            upstream.warm_keys.note(key, now);
        }
        if placement.idle && !upstream.is_cold(now) {
            let service_times = group
                .service_times
                .entry(placement.route.clone())
                .or_default();
            service_times.note(placement.warm, service_time, now);
        }
    }

    /// Records that a response is being streamed. Its service time stays unknown, since its duration depends on the caller
    /// as well, but the response to a probe shows that the estimates are outdated.
    pub(in crate::traffic) fn note_stream_started(&mut self, placement: &Placement) {
        let group = self.groups.get_mut(&placement.incarnation.service);
        if let Some(group) = group.filter(|_| placement.is_probe) {
            group.discard_estimates(&placement.route);
        }
    }

    /// Records that a response was streamed to its end.
    pub(in crate::traffic) fn note_streamed(&mut self, incarnation: &Incarnation, now: Now) {
        let upstream = self.upstream(incarnation);
        if upstream.is_some_and(|upstream| upstream.health.note_streamed(now)) {
            log_back(incarnation);
        }
    }

    /// Records that an upstream did not run a request, which therefore has not warmed it either.
    pub(in crate::traffic) fn note_not_run(&mut self, placement: &Placement) {
        let Some(key) = placement.key.filter(|_| !placement.warm) else {
            return;
        };
        let Some(upstream) = self.upstream(&placement.incarnation) else {
            return;
        };
        upstream.warm_keys.remove(key);
        let unreported = WarmKey(upstream.incarnation_hash(), key);
        self.unreported_warm_keys.retain(|one| *one != unreported);
    }

    /// Records that a request failed at an upstream; `unreachable` means that no connection could be opened.
    pub(in crate::traffic) fn note_failure(
        &mut self,
        incarnation: &Incarnation,
        unreachable: bool,
        now: Now,
    ) {
        let upstream = self.upstream(incarnation);
        let ejection = upstream.and_then(|upstream| upstream.health.note_failure(unreachable, now));
        log_ejected(incarnation, ejection, unreachable);
    }

    /// Records that no process listens at an upstream's address, so this incarnation has exited.
    ///
    /// The upstream gets no requests until its row states a later start, or until a restart that this entry has not
    /// learnt of would no longer be cold. If it were probed again like one that merely fails, it could restart cold under
    /// the same name, and until its row says so each entry would take the first response for the recovery of the old
    /// incarnation. All entries together would then send more than a cold upstream can handle.
    pub(in crate::traffic) fn note_exit(&mut self, incarnation: &Incarnation, now: Now) {
        let ejection = RESTART_KNOWN_WITHIN + self.cold_start(&incarnation.service).duration;
        let upstream = self.upstream(incarnation);
        let ejection = upstream.and_then(|upstream| upstream.health.note_exit(ejection, now));
        log_ejected(incarnation, ejection, true);
    }

    /// Ends the ejections of upstreams after this entry has reached none of them for `cut_for`. They began because of the
    /// path. After a shorter cut, an upstream may have restarted without this entry knowing.
    pub(in crate::traffic) fn note_path_opened(&mut self, cut_for: Duration) {
        if cut_for < RESTART_KNOWN_WITHIN {
            return;
        }
        let groups = self.groups.values_mut();
        for upstream in groups.flat_map(|group| &mut group.upstreams) {
            if !upstream.health.is_reachable() {
                upstream.health.reset();
            }
        }
    }

    /// Closes an incarnation that has ended, and logs it once.
    pub(in crate::traffic) fn close(&mut self, incarnation: &Incarnation, why: &str) {
        let Some(upstream) = self.upstream(incarnation) else {
            return;
        };
        if !std::mem::replace(&mut upstream.gone, true) {
            emit(&Event::UpstreamClosed {
                upstream: incarnation.id.clone(),
                service: incarnation.service.clone(),
                why: why.to_owned(),
            });
        }
    }
}

fn log_back(incarnation: &Incarnation) {
    emit(&Event::UpstreamBack {
        upstream: incarnation.id.clone(),
        service: incarnation.service.clone(),
    });
}

/// Logs that an upstream gets no requests for `ejection`, if that period begins now.
fn log_ejected(incarnation: &Incarnation, ejection: Option<Duration>, not_there: bool) {
    if let Some(ejection) = ejection {
        emit(&Event::UpstreamPassedOver {
            upstream: incarnation.id.clone(),
            service: incarnation.service.clone(),
            away_ms: millis(ejection),
            not_there,
        });
    }
}
