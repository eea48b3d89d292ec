//! Speed of upstreams that share their machines, as they state it, and a forecast of it.
//!
//! An upstream states with a response how long work takes there at that moment, relative to the usual. This changes
//! within a second, so a statement is worth less the older it is: the forecast moves from the stated value to the mean
//! of what all upstreams of the service state. All values are ratios to the usual time; 2.5 means 2.5 times as long.

use base::Now;
use std::time::Duration;

/// Age up to which a statement holds in full. Covers the time in which a response is written and read.
const STATEMENT_FRESH: Duration = Duration::from_millis(100);
/// Age from which a statement says nothing about the present.
const STATEMENT_STALE: Duration = Duration::from_millis(600);
/// Weight from which a statement more likely holds at another time than not.
const NEAR_WEIGHT: f64 = 0.5;
/// Weight of the latest statement in the mean.
const MEAN_WEIGHT: f64 = 0.02;

/// Speed that an upstream stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedSpeed {
    /// Time that work took then, in percent of the usual.
    pub work_time_pct: u32,
    /// Time of the statement.
    pub at: Now,
}

impl StatedSpeed {
    /// Returns the ratio of the work time to the usual one.
    pub fn work_time(&self) -> f64 {
        f64::from(self.work_time_pct) / 100.0
    }

    /// Returns the age of the statement.
    pub fn age(&self, now: Now) -> Duration {
        now.saturating_sub(self.at)
    }

    /// Returns the time after `now` from which the statement says nothing any more.
    pub fn stale_after(&self, now: Now) -> Duration {
        STATEMENT_STALE.saturating_sub(self.age(now))
    }
}

/// Mean of the work times stated by the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualSpeed {
    mean: Option<f64>,
}

impl UsualSpeed {
    /// Records a statement of any upstream of the service.
    pub fn note(&mut self, work_time_pct: u32) {
        let stated = f64::from(work_time_pct) / 100.0;
        let mean = self.mean.unwrap_or(1.0);
        self.mean = Some(mean + MEAN_WEIGHT * (stated - mean));
    }

    /// Replaces the mean with a statement in the response to a probe.
    pub fn restart(&mut self, work_time_pct: u32) {
        self.mean = Some(f64::from(work_time_pct) / 100.0);
    }

    /// Returns whether upstreams of the service state their speed.
    pub fn is_known(&self) -> bool {
        self.mean.is_some()
    }

    /// Returns the mean ratio of the work time to the usual one: 1 if no upstream has stated any.
    pub fn work_time(&self) -> f64 {
        self.mean.unwrap_or(1.0)
    }

    /// Returns the ratio that a choice is based on, for work that starts at `start`.
    ///
    /// An upstream that is expected to be faster than the mean counts as usual. Otherwise, requests would be drawn to the
    /// upstreams that were used last, since only their speed is known, and the others would never be used.
    pub fn forecast(&self, stated: Option<StatedSpeed>, start: Now) -> f64 {
        let age = stated.map(|stated| stated.age(start));
        let expected = self.expected(stated, age.unwrap_or_default());
        expected.max(self.work_time())
    }

    /// Returns the ratio expected at an upstream at a time that differs by `distance` from its statement.
    fn expected(&self, stated: Option<StatedSpeed>, distance: Duration) -> f64 {
        let usual = self.work_time();
        let Some(stated) = stated else {
            return usual;
        };
        usual + weight(distance) * (stated.work_time() - usual)
    }

    /// Converts an observed service time to the one at the usual speed, by what the upstream stated in the response
    /// (`after`) and before the request (`before`). `now` is when the response arrived.
    ///
    /// The speed at which the work began counts, and the response may state one that has changed since. The nearer of
    /// the two statements holds if it is near enough, else the mean.
    pub fn usual_time(
        &self,
        service_time: Duration,
        before: Option<StatedSpeed>,
        after: Option<StatedSpeed>,
        now: Now,
    ) -> Duration {
        let Some(after) = after else {
            return service_time;
        };
        let start = now.saturating_sub(service_time);
        let nearest = before
            .into_iter()
            .chain([after])
            .min_by_key(|stated| stated.at.abs_diff(start));
        let near = nearest.filter(|stated| weight(stated.at.abs_diff(start)) >= NEAR_WEIGHT);
        let work_time = near.map_or(self.work_time(), |stated| stated.work_time());
        service_time.div_f64(work_time)
    }
}

/// Returns the weight of a statement: 1 while it is fresh, then decreasing linearly to 0.
fn weight(age: Duration) -> f64 {
    let fading = age.saturating_sub(STATEMENT_FRESH).as_secs_f64();
    (1.0 - fading / (STATEMENT_STALE - STATEMENT_FRESH).as_secs_f64()).max(0.0)
}
