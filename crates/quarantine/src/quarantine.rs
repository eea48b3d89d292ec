//! Known crashes by request.

use crate::{
    fingerprint::Fingerprint,
    report::{
        IncarnationHash,
        Report, //
    }, //
};
use base::{
    FastMap,
    Now, //
};
use std::time::Duration;

/// Number of crashed upstreams at which a request is quarantined. Fewer may be a coincidence: a request that runs
/// concurrently with one that crashes the upstream is resent and may be affected by the next crash as well.
pub const CRASHES_MAX: usize = 3;
/// Time for which a crash counts.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests stored. Beyond it, the request with the oldest last crash is evicted.
const REQUESTS_MAX: usize = 4096;
/// Maximum number of crashes stored per request.
const STORED_CRASHES_MAX: usize = 16;

/// Crash of one upstream.
#[derive(Clone, Copy, Debug)]
struct Crash {
    upstream: IncarnationHash,
    /// Stored instead of the crash time, which may precede the start of this process's clock.
    expires_at: Now,
    cleared: bool,
}

impl Crash {
    fn report(&self, request: Fingerprint, now: Now) -> Report {
        Report {
            request,
            upstream: self.upstream,
            age: RETENTION.saturating_sub(self.expires_at.saturating_sub(now)),
            cleared: self.cleared,
        }
    }
}

/// Known crashes by request, and which requests they quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: FastMap<Fingerprint, Vec<Crash>>,
}

impl Quarantine {
    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether any crash of a request is known.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.requests.contains_key(&request)
    }

    /// Records that an upstream crashed while it ran a request. Returns a report for the other entries if the crash was
    /// not known.
    pub fn note_crash(
        &mut self,
        request: Fingerprint,
        upstream: IncarnationHash,
        now: Now,
    ) -> Option<Report> {
        let report = Report {
            request,
            upstream,
            age: Duration::ZERO,
            cleared: false,
        };
        self.merge_report(&report, now).then_some(report)
    }

    /// Records that a request was answered, which clears its crashes. Returns the cleared reports for the other
    /// entries.
    pub fn note_response(&mut self, request: Fingerprint, now: Now) -> Vec<Report> {
        let crashes = self.requests.get_mut(&request);
        let counted = crashes.into_iter().flatten().filter(|crash| !crash.cleared);
        let cleared = counted.map(|crash| {
            crash.cleared = true;
            crash.report(request, now)
        });
        cleared.collect()
    }

    /// Merges another entry's reports and returns those that changed the state.
    pub fn merge(&mut self, reports: &[Report], now: Now) -> Vec<Report> {
        let reports = reports.iter().copied();
        reports
            .filter(|report| self.merge_report(report, now))
            .collect()
    }

    /// Returns the remaining quarantine time of a request, or `None` if it may be sent.
    pub fn remaining(&self, request: Fingerprint, now: Now) -> Option<Duration> {
        let crashes = self.requests.get(&request)?;
        let counted = crashes.iter().filter(|crash| !crash.cleared);
        let mut expiries: Vec<Now> = counted.map(|crash| crash.expires_at).collect();
        // The quarantine ends when fewer than `CRASHES_MAX` crashes still count.
        expiries.sort_by(|a, b| b.cmp(a));
        let end = expiries.get(CRASHES_MAX - 1)?;
        end.checked_sub(now)
            .filter(|remaining| !remaining.is_zero())
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self, now: Now) -> impl Iterator<Item = Fingerprint> + '_ {
        let requests = self.requests.keys().copied();
        requests.filter(move |request| self.remaining(*request, now).is_some())
    }

    /// Returns reports of all crashes of a request.
    pub fn reports_of(&self, request: Fingerprint, now: Now) -> Vec<Report> {
        let crashes = self.requests.get(&request).into_iter().flatten();
        crashes.map(|crash| crash.report(request, now)).collect()
    }

    /// Returns reports of all crashes that are at most `age_max` old.
    pub fn reports(&self, age_max: Duration, now: Now) -> Vec<Report> {
        let requests = self.requests.keys();
        let reports = requests.flat_map(|request| self.reports_of(*request, now));
        reports.filter(|report| report.age <= age_max).collect()
    }

    /// Removes expired crashes.
    pub fn sweep(&mut self, now: Now) {
        self.requests.retain(|_, crashes| {
            crashes.retain(|crash| now < crash.expires_at);
            !crashes.is_empty()
        });
    }

    /// Merges a report and returns whether it changed the state.
    fn merge_report(&mut self, report: &Report, now: Now) -> bool {
        if report.age >= RETENTION {
            return false;
        }
        let is_new = !self.requests.contains_key(&report.request);
        if is_new && self.requests.len() >= REQUESTS_MAX {
            self.evict_oldest();
        }
        let crashes = self.requests.entry(report.request).or_default();
        let known = crashes
            .iter_mut()
            .find(|crash| crash.upstream == report.upstream);
        if let Some(known) = known {
            let changes = report.cleared && !known.cleared;
            known.cleared |= report.cleared;
            return changes;
        }
        if crashes.len() >= STORED_CRASHES_MAX {
            let Some(index) = crashes.iter().position(|crash| crash.cleared) else {
                // The stored crashes already quarantine the request.
                return false;
            };
            crashes.remove(index);
        }
        crashes.push(Crash {
            upstream: report.upstream,
            expires_at: now + RETENTION.saturating_sub(report.age),
            cleared: report.cleared,
        });
        true
    }

    fn evict_oldest(&mut self) {
        let last = |crashes: &[Crash]| crashes.iter().map(|crash| crash.expires_at).max();
        let oldest = self
            .requests
            .iter()
            .min_by_key(|(_, crashes)| last(crashes));
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.requests.remove(&oldest);
        }
    }
}
