//! Windows of time and the burn in them.

use op::{
    Bucket,
    Burn, //
};
use serde::Serialize;
use std::time::Duration;

/// Windows that are reported: as much as daemons keep.
pub(crate) const WINDOWS: [Duration; 4] = [
    Duration::from_secs(60),
    Duration::from_secs(5 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(60 * 60),
];
/// Minutes that are plotted.
pub(crate) const MINUTES: usize = 60;
/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// One, in parts per million.
const PPM: u32 = 1_000_000;

/// When a burn is an alert.
///
/// The usual pairs for a target over 30 days are 14.4 over an hour and 6 over six hours, each
/// confirmed by a window of a twelfth, so that an alert ends soon after its cause. Daemons keep an
/// hour, so both are scaled down: they tell sooner, and of less.
struct Rule {
    kind: AlertKind,
    /// Indices in [`WINDOWS`].
    long: usize,
    short: usize,
    burn: f64,
}

const RULES: [Rule; 2] = [
    Rule {
        kind: AlertKind::Fast,
        long: 1,
        short: 0,
        burn: FAST_BURN,
    },
    Rule {
        kind: AlertKind::Slow,
        long: 3,
        short: 1,
        burn: SLOW_BURN,
    },
];

/// Burn over five minutes, and over the last of them, that is an alert.
pub(crate) const FAST_BURN: f64 = 14.4;
/// Burn over an hour, and over the last five minutes, that is an alert.
pub(crate) const SLOW_BURN: f64 = 6.0;

/// Which alert.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AlertKind {
    /// The budget goes fast: look now.
    Fast,
    /// The budget goes steadily: look today.
    Slow,
}

/// A burn that is too high, in a long window and in the short one at its end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Alert {
    /// Which.
    pub kind: AlertKind,
    /// Burn that both windows reached.
    pub threshold: f64,
    /// Length of the long window, in seconds.
    pub long_s: u64,
    /// Length of the short window, in seconds.
    pub short_s: u64,
}

/// Requests of one class in one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Length, in seconds.
    pub length_s: u64,
    /// Part of the window that the answering daemons have counted, in percent.
    pub covered_pct: u8,
    /// Requests answered whole and in time.
    pub good: u64,
    /// All others.
    pub bad: u64,
    /// Bad requests, per million; none without requests.
    pub bad_ppm: Option<u32>,
    /// How many times faster than allowed the budget goes; none without requests.
    pub burn: Option<f64>,
}

/// Requests of one class in one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Minute {
    /// Minutes ago that it ended.
    pub ago_min: u64,
    /// Requests answered whole and in time.
    pub good: u64,
    /// All others.
    pub bad: u64,
    /// Burn; none without requests.
    pub burn: Option<f64>,
}

/// One daemon's buckets of one class, with what is needed to place them in time.
pub(crate) struct Counts<'a> {
    pub(crate) burn: &'a Burn,
    pub(crate) buckets: &'a [Bucket],
}

impl Counts<'_> {
    /// Buckets with how long ago each began, in milliseconds.
    fn with_ages(&self) -> impl Iterator<Item = (u64, Bucket)> + '_ {
        let bucket_ms = self.burn.bucket_ms;
        self.buckets.iter().map(move |bucket| {
            let began_ms = bucket.index.saturating_mul(bucket_ms);
            (self.burn.age_ms.saturating_sub(began_ms), *bucket)
        })
    }
}

/// How many times faster than allowed the budget goes; none without requests.
pub(crate) fn burn(good: u64, bad: u64, success_target_ppm: u32) -> Option<f64> {
    let all = good + bad;
    let budget = f64::from(PPM.saturating_sub(success_target_ppm)) / f64::from(PPM);
    if all == 0 {
        return None;
    }
    let bad_part = bad as f64 / all as f64;
    // A target of all requests leaves no budget: without a bad one nothing burns, with one all
    // does. The largest finite number stands for that, as JSON has no infinity.
    if budget == 0.0 {
        return Some(if bad == 0 { 0.0 } else { f64::MAX });
    }
    Some(bad_part / budget)
}

/// All windows of a class.
pub(crate) fn windows(counts: &[Counts<'_>], daemons: &[Burn], target_ppm: u32) -> Vec<Window> {
    WINDOWS
        .iter()
        .map(|length| window(counts, daemons, target_ppm, *length))
        .collect()
}

fn window(counts: &[Counts<'_>], daemons: &[Burn], target_ppm: u32, length: Duration) -> Window {
    let length_ms = millis(length);
    let mut good = 0;
    let mut bad = 0;
    for (began_ms_ago, bucket) in counts.iter().flat_map(Counts::with_ages) {
        if began_ms_ago <= length_ms {
            good += bucket.good;
            bad += bucket.bad;
        }
    }
    let bad_ppm = u128::from(bad) * u128::from(PPM) / u128::from(good + bad).max(1);
    Window {
        length_s: length.as_secs(),
        covered_pct: covered_pct(daemons, length_ms),
        good,
        bad,
        bad_ppm: (good + bad > 0).then(|| u32::try_from(bad_ppm).unwrap_or(PPM)),
        burn: burn(good, bad, target_ppm),
    }
}

/// Part of a window that the daemons have counted, rounded down.
fn covered_pct(daemons: &[Burn], length_ms: u64) -> u8 {
    let covered_ms: u64 = daemons.iter().map(|d| d.age_ms.min(length_ms)).sum();
    let whole_ms = length_ms * daemons.len() as u64;
    let pct = covered_ms * 100 / whole_ms.max(1);
    u8::try_from(pct).unwrap_or(100)
}

/// The last hour by minutes, the oldest first.
pub(crate) fn minutes(counts: &[Counts<'_>], target_ppm: u32) -> Vec<Minute> {
    let mut minutes: Vec<Minute> = (0..MINUTES as u64)
        .map(|ago_min| Minute {
            ago_min,
            ..Minute::default()
        })
        .collect();
    for (began_ms_ago, bucket) in counts.iter().flat_map(Counts::with_ages) {
        let index = usize::try_from(began_ms_ago / MINUTE_MS).unwrap_or(usize::MAX);
        if let Some(minute) = minutes.get_mut(index) {
            minute.good += bucket.good;
            minute.bad += bucket.bad;
        }
    }
    for minute in &mut minutes {
        minute.burn = burn(minute.good, minute.bad, target_ppm);
    }
    minutes.reverse();
    minutes
}

/// Alerts that the windows give.
pub(crate) fn alerts(windows: &[Window]) -> Vec<Alert> {
    let reached = |index: usize, burn: f64| windows[index].burn.is_some_and(|b| b >= burn);
    RULES
        .iter()
        .filter(|rule| reached(rule.long, rule.burn) && reached(rule.short, rule.burn))
        .map(|rule| Alert {
            kind: rule.kind,
            threshold: rule.burn,
            long_s: WINDOWS[rule.long].as_secs(),
            short_s: WINDOWS[rule.short].as_secs(),
        })
        .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
