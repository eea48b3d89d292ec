//! A service that takes seven times as long as usual for 3 in 100 requests, whatever they are.

use balance::{
    affinity_hash,
    Hedger,
    PendingSend, //
};
use base::Now;
use std::time::Duration;

const USUAL: Duration = Duration::from_millis(420);
const TARGET: Duration = Duration::from_millis(1200);
const DEADLINE: Duration = Duration::from_secs(3);
/// Time between two requests of one entry.
const INTERVAL: Duration = Duration::from_millis(30);
/// Requests after which the response times are known.
const SETTLED: u64 = 500;

/// Returns a number in `0.0..1.0` that depends on the request and on which of its sends is meant.
fn draw(request: u64, send: u64) -> f64 {
    let hash = affinity_hash(&(request * 4 + send).to_le_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the usual time, which varies by 15 in 100 either way.
fn usual(request: u64, send: u64) -> Duration {
    USUAL.mul_f64(0.85 + 0.3 * draw(request, send + 2))
}

fn with_tail(request: u64, send: u64) -> Duration {
    let factor = if draw(request, send) < 0.03 { 7.0 } else { 1.0 };
    usual(request, send).mul_f64(factor)
}

/// Counts of the requests after the first [`SETTLED`].
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    in_target: u64,
    hedged: u64,
}

impl Counts {
    fn missed_fraction(self) -> f64 {
        1.0 - self.in_target as f64 / self.requests as f64
    }

    fn hedged_fraction(self) -> f64 {
        self.hedged as f64 / self.requests as f64
    }
}

/// Sends requests to a service that takes `time` for each send, and hedges them if `hedges`. Returns the counts of the
/// requests from each of `parts` to the next.
fn play<const N: usize>(
    time: impl Fn(u64, u64) -> Duration,
    hedges: bool,
    parts: [u64; N],
    end: u64,
) -> [Counts; N] {
    let mut hedger = Hedger::default();
    let mut counts = [Counts::default(); N];
    for request in 0..end {
        let now: Now = INTERVAL * u32::try_from(request).expect("few requests");
        let (first, second) = (time(request, 0), time(request, 1));
        hedger.note_send(now);
        let hedged_after = hedger.delay(true).filter(|delay| {
            let pending = PendingSend {
                warm: true,
                elapsed: *delay,
                target_left: TARGET.saturating_sub(*delay),
                deadline_left: DEADLINE.saturating_sub(*delay),
            };
            let is_worth_it = || {
                hedger
                    .response_time_max(&pending)
                    .is_some_and(|max| USUAL <= max)
            };
            first > *delay && hedges && is_worth_it()
        });
        let hedged_after = hedged_after.filter(|_| hedger.try_take(now));
        let response_time = match hedged_after {
            Some(delay) if delay + second < first => {
                hedger.note_unfinished(true, delay + second);
                hedger.note_response(true, second);
                delay + second
            }
            _ => {
                hedger.note_response(true, first);
                first
            }
        };
        if let Some(part) = parts.iter().rposition(|begin| *begin <= request) {
            counts[part].requests += 1;
            counts[part].in_target += u64::from(response_time <= TARGET);
            counts[part].hedged += u64::from(hedged_after.is_some());
        }
    }
    counts
}

/// Guards against requests that miss their target at one upstream while another one would respond in time.
#[test]
fn most_slow_requests_meet_the_target_by_a_second_send() {
    let [single] = play(with_tail, false, [SETTLED], 20_000);
    let [hedged] = play(with_tail, true, [SETTLED], 20_000);
    let (before, after) = (single.missed_fraction(), hedged.missed_fraction());
    assert!(before > 0.025, "{before} missed the target without");
    assert!(
        after < before / 4.0,
        "{after} missed the target, {before} without"
    );
    let extra = hedged.hedged_fraction();
    assert!(extra <= 0.05, "{extra} of the requests were hedged");
}

/// Declares a test for each distribution of response times without a heavy tail.
macro_rules! never_hedged {
    ($($name:ident: $time:expr;)*) => {$(
        #[test]
        fn $name() {
            let [counts] = play($time, true, [0], 5_000);
            assert_eq!(counts.hedged, 0);
        }
    )*};
}

// Guards against second sends where no request takes unusually long.
never_hedged! {
    steady: usual;
    // Work without the data of the affinity key takes three times as long.
    some_cold: |request, send| {
        usual(request, send).mul_f64(if draw(request, send) < 0.1 { 3.3 } else { 1.0 })
    };
    // A queue that fills and empties.
    waits: |request, send| usual(request, send).mul_f64(1.0 + (request % 200) as f64 / 60.0);
    rare_tail: |request, send| {
        usual(request, send).mul_f64(if draw(request, send) < 0.002 { 7.0 } else { 1.0 })
    };
}

/// Guards against a service that becomes slow as a whole and gets further sends for its slow requests.
#[test]
fn hedging_stops_when_all_requests_become_slow() {
    let slow_from = 4_000;
    let time = |request, send| {
        if request < slow_from {
            with_tail(request, send)
        } else {
            usual(request, send).mul_f64(6.5)
        }
    };
    let parts = [SETTLED, slow_from, slow_from + 500];
    let [before, during, after] = play(time, true, parts, 8_000);
    assert!(before.hedged > 0);
    let extra = during.hedged_fraction();
    assert!(extra <= 0.05, "{extra} of the requests were hedged");
    assert_eq!(after.hedged, 0);
}

/// Guards against second sends before the usual response time is known.
#[test]
fn no_hedging_before_enough_responses() {
    let [counts] = play(with_tail, true, [0], 90);
    assert_eq!(counts.hedged, 0);
}

/// Guards against more second sends than the limit in a burst of slow requests.
#[test]
fn hedged_requests_are_limited_within_any_window() {
    let mut hedger = Hedger::default();
    let mut taken = 0;
    for request in 0..1_000_u32 {
        let now: Now = Duration::from_millis(1) * request;
        hedger.note_send(now);
        taken += u32::from(hedger.try_take(now));
    }
    assert!((40..=50).contains(&taken), "{taken} of 1000 were hedged");
}

/// Guards against a second send for a request that its upstream is likely to answer in time.
#[test]
fn no_second_send_while_the_first_is_expected_in_time() {
    let mut hedger = Hedger::default();
    for request in 0..1_000 {
        hedger.note_response(true, with_tail(request, 0));
    }
    let pending = PendingSend {
        warm: true,
        elapsed: USUAL.mul_f64(1.2),
        target_left: Duration::from_secs(5),
        deadline_left: Duration::from_secs(9),
    };
    assert_eq!(hedger.response_time_max(&pending), None);
    let late = PendingSend {
        target_left: Duration::from_secs(1),
        ..pending
    };
    let max = hedger
        .response_time_max(&late)
        .expect("the target is missed");
    assert!(max <= late.target_left);
}
