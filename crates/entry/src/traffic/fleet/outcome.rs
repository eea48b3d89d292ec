//! What becomes of a request, and what that says of its upstream.

use crate::traffic::{
    fleet::Fleet,
    log::millis,
    placement::{
        Incarnation,
        Placement, //
    },
};
use balance::LoadReport;
use base::Now;
use event::{
    emit,
    Event, //
};
use std::time::Duration;

/// Longest time that the start of an upstream under a former one's name takes to be heard of: what has to be in force
/// within some seconds is known by then.
const START_HEARD: Duration = Duration::from_secs(3);

impl Fleet {
    /// Whether a request may be sent to the upstream that was chosen for it, now that a connection stands; `waited` says
    /// that it counts as waiting there. If so it counts as sent.
    ///
    /// What goes wrong without it: the upstream has said meanwhile that it leaves, or has started again under its name
    /// and is cold.
    pub(in crate::traffic) fn may_send(
        &mut self,
        at: &Incarnation,
        waited: bool,
        now: Now,
    ) -> bool {
        let cold_per_s = self.cold_per_s(&at.service);
        let Some(upstream) = self.upstream(at) else {
            return false;
        };
        if waited {
            upstream.note_wait_ended();
        }
        if upstream.is_closed() {
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

    /// A request is no longer at an upstream; `waited` says that it still counts as waiting there.
    pub(in crate::traffic) fn ended(&mut self, at: &Incarnation, waited: bool) {
        if let Some(upstream) = self.upstream(at) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            if waited {
                upstream.note_wait_ended();
            }
        }
    }

    /// An answer said how loaded its upstream is.
    pub(in crate::traffic) fn report(&mut self, at: &Incarnation, reported: LoadReport, now: Now) {
        if let Some(upstream) = self.upstream(at) {
            upstream.note_report(reported, now);
        }
    }

    /// Stores the request rate limit stated in an answer and logs a change. Returns whether it has changed.
    pub(in crate::traffic) fn note_limit(
        &mut self,
        at: &Incarnation,
        limit_per_s: Option<f64>,
    ) -> bool {
        let Some(upstream) = self.upstream(at) else {
            return false;
        };
        let changed = upstream.limit_per_s != limit_per_s;
        if changed {
            upstream.limit_per_s = limit_per_s;
            emit(&Event::UpstreamLimit {
                upstream: at.id.clone(),
                service: at.service.clone(),
                limit_per_s,
            });
        }
        changed
    }

    /// An answer came whole after `took`.
    pub(in crate::traffic) fn note_answer(
        &mut self,
        at: &Incarnation,
        placement: &Placement,
        took: Duration,
        now: Now,
    ) {
        let Some(group) = self.groups.get_mut(&at.service) else {
            return;
        };
        let Some(upstream) = group.upstreams.iter_mut().find(|upstream| at.is(upstream)) else {
            return;
        };
        let way = self.here.round_trip(&upstream.region);
        let work = took.saturating_sub(way);
        if upstream.health.note_answer(work) {
            emit(&Event::UpstreamBack {
                upstream: at.id.clone(),
                service: at.service.clone(),
            });
        }
        if let Some(key) = placement.key {
            upstream.warm_keys.note(key, now);
        }
        if placement.idle && !upstream.is_cold(now) {
            let known = group.work.entry(placement.route.clone()).or_default();
            known.note(placement.warm, work);
        }
    }

    /// A request failed at an upstream; `hard` means that the upstream isn't there.
    pub(in crate::traffic) fn note_failure(&mut self, at: &Incarnation, hard: bool, now: Now) {
        let upstream = self.upstream(at);
        let away = upstream.and_then(|upstream| upstream.health.note_failure(hard, now));
        log_passed_over(at, away, hard);
    }

    /// No process listens at an upstream's address: that incarnation has ended.
    ///
    /// What goes wrong if it is tried again as one that merely fails: it starts anew under its name, cold, and before its
    /// row says so each entry takes the first answer for the return of the one that it was; all of them together
    /// send more than a cold one bears. So it gets nothing until its row names a later start, or until one that was not
    /// heard of is cold no more.
    pub(in crate::traffic) fn note_ended(&mut self, at: &Incarnation, now: Now) {
        let away = START_HEARD + self.start_of(&at.service).lasts;
        let upstream = self.upstream(at);
        let away = upstream.and_then(|upstream| upstream.health.note_exit(away, now));
        log_passed_over(at, away, true);
    }

    /// An upstream is gone: another one has its address.
    pub(in crate::traffic) fn close(&mut self, at: &Incarnation, why: &str) {
        let Some(upstream) = self.upstream(at) else {
            return;
        };
        if !std::mem::replace(&mut upstream.gone, true) {
            emit(&Event::UpstreamClosed {
                upstream: at.id.clone(),
                service: at.service.clone(),
                why: why.to_owned(),
            });
        }
    }
}

/// Says that an upstream is passed over for `away`, if that begins now.
fn log_passed_over(at: &Incarnation, away: Option<Duration>, not_there: bool) {
    if let Some(away) = away {
        emit(&Event::UpstreamPassedOver {
            upstream: at.id.clone(),
            service: at.service.clone(),
            away_ms: millis(away),
            not_there,
        });
    }
}
