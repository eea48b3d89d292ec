//! Margin before the timeout at upstreams that state their speed.
//!
//! A request that is still running at its timeout is lost, and one that must not run twice is lost for good, so such a
//! request is only sent where it is expected to end well before. An upstream with a free slot and no statement that it
//! is slow is as good as one can expect, and no request is refused for its margin there: the key of a refused request
//! would never become warm.

use crate::choose::{
    Expectation,
    Query,
    TIME_USED, //
};
use std::time::Duration;

/// Fraction of the remaining time that the expected response time of a request that must not run twice may take.
const SINGLE_RUN_TIME_USED: f64 = 0.8;

/// Speed forecast for one request at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedForecast {
    /// Whether the upstream is expected to be slower than usual.
    pub(crate) is_slow: bool,
    /// Time after which what it stated no longer holds.
    pub(crate) settles_in: Duration,
}

/// Returns whether a request is expected to end in time at an upstream, even if the estimate is somewhat too low.
pub(crate) fn has_margin(
    query: &Query<'_>,
    expectation: Expectation,
    forecast: SpeedForecast,
) -> bool {
    let is_usual = !forecast.is_slow && expectation.wait.is_zero();
    if is_usual || !query.usual_speed.is_known() {
        return true;
    }
    let time_used = if query.runs_once {
        SINGLE_RUN_TIME_USED
    } else {
        TIME_USED
    };
    expectation.response_time <= query.deadline_left.mul_f64(time_used)
}
