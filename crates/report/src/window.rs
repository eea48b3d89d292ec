//! Time windows, the burn in them and the alerts that follow from it.

use op::{
    Bucket,
    Burn, //
};
use serde::Serialize;
use std::time::Duration;

/// Reported windows; the longest is the period for which daemons keep counts.
pub(crate) const WINDOWS: [Duration; 4] = [
    Duration::from_secs(60),
    Duration::from_secs(5 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(60 * 60),
];
/// Number of minutes in the plot of burn.
pub(crate) const PLOTTED_MINUTES: usize = 60;
/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;
/// The whole, in parts per million.
const PPM: u32 = 1_000_000;

/// Alert that is raised when the burn reaches a threshold in two windows.
///
/// The usual rules for a target over 30 days are a burn of 14.4 over an hour and of 6 over six
/// hours, each confirmed by a window of a twelfth of that length, so that an alert ends soon after
/// its cause. Daemons keep counts for one hour only, so the windows are shorter here: alerts are
/// raised earlier and for fewer failures.
struct AlertRule {
    kind: AlertKind,
    /// Index of the long window in [`WINDOWS`].
    long_window: usize,
    /// Index of the confirming window in [`WINDOWS`].
    short_window: usize,
    threshold: f64,
}

const ALERT_RULES: [AlertRule; 2] = [
    AlertRule {
        kind: AlertKind::Fast,
        long_window: 1,
        short_window: 0,
        threshold: FAST_BURN,
    },
    AlertRule {
        kind: AlertKind::Slow,
        long_window: 3,
        short_window: 1,
        threshold: SLOW_BURN,
    },
];

/// Burn over five minutes and over the last minute that raises a fast alert.
pub(crate) const FAST_BURN: f64 = 14.4;
/// Burn over an hour and over the last five minutes that raises a slow alert.
pub(crate) const SLOW_BURN: f64 = 6.0;

/// Kind of an alert, by its urgency.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AlertKind {
    /// The budget is used up fast and needs attention at once.
    Fast,
    /// The budget is used up steadily and needs attention within the day.
    Slow,
}

/// A burn that reached a threshold in a long window and in the short window at its end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Alert {
    /// Kind of the alert.
    pub kind: AlertKind,
    /// Threshold that the burn reached in both windows.
    pub threshold: f64,
    /// Length of the long window, in seconds.
    pub long_s: u64,
    /// Length of the short window, in seconds.
    pub short_s: u64,
}

/// Requests of one class in one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Length of the window, in seconds.
    pub length_s: u64,
    /// Part of the window that is covered by the answering daemons' counts, in percent.
    pub covered_pct: u8,
    /// Requests answered whole and in time.
    pub good: u64,
    /// All others.
    pub bad: u64,
    /// Bad requests, per million; `None` without requests.
    pub bad_ppm: Option<u32>,
    /// Rate at which the budget is used up, relative to the allowed rate; `None` without requests.
    pub burn: Option<f64>,
}

/// Requests of one class in one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Minute {
    /// Number of minutes since this one ended.
    pub ago_min: u64,
    /// Requests answered whole and in time.
    pub good: u64,
    /// All others.
    pub bad: u64,
    /// Burn in this minute; `None` without requests.
    pub burn: Option<f64>,
}

/// One daemon's buckets of one class, with the report that gives their position in time.
pub(crate) struct DaemonBuckets<'a> {
    pub(crate) burn: &'a Burn,
    pub(crate) buckets: &'a [Bucket],
}

impl DaemonBuckets<'_> {
    /// Buckets with the time since the start of each, in milliseconds.
    fn buckets_with_ages(&self) -> impl Iterator<Item = (u64, Bucket)> + '_ {
        let bucket_ms = self.burn.bucket_ms;
        self.buckets.iter().map(move |bucket| {
            let start_ms = bucket.index.saturating_mul(bucket_ms);
            (self.burn.age_ms.saturating_sub(start_ms), *bucket)
        })
    }
}

/// Rate at which the budget is used up, relative to the allowed rate; `None` without requests.
pub(crate) fn burn(good: u64, bad: u64, success_target_ppm: u32) -> Option<f64> {
    let total = good + bad;
    let budget = f64::from(PPM.saturating_sub(success_target_ppm)) / f64::from(PPM);
    if total == 0 {
        return None;
    }
    let bad_ratio = bad as f64 / total as f64;
    // A target of 100 % leaves no budget: the burn is 0 without bad requests and infinite with any.
    // `f64::MAX` stands for infinity, which JSON can't represent.
    if budget == 0.0 {
        return Some(if bad == 0 { 0.0 } else { f64::MAX });
    }
    Some(bad_ratio / budget)
}

/// Burn of a class in each of [`WINDOWS`].
pub(crate) fn windows(
    counts: &[DaemonBuckets<'_>],
    daemons: &[Burn],
    target_ppm: u32,
) -> Vec<Window> {
    WINDOWS
        .iter()
        .map(|length| window(counts, daemons, target_ppm, *length))
        .collect()
}

fn window(
    counts: &[DaemonBuckets<'_>],
    daemons: &[Burn],
    target_ppm: u32,
    length: Duration,
) -> Window {
    let length_ms = millis(length);
    let mut good = 0;
    let mut bad = 0;
    for (age_ms, bucket) in counts.iter().flat_map(DaemonBuckets::buckets_with_ages) {
        if age_ms <= length_ms {
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

/// Part of a window that is covered by the daemons' counts, in percent, rounded down.
fn covered_pct(daemons: &[Burn], length_ms: u64) -> u8 {
    let covered_ms: u64 = daemons.iter().map(|d| d.age_ms.min(length_ms)).sum();
    let total_ms = length_ms * daemons.len() as u64;
    let pct = covered_ms * 100 / total_ms.max(1);
    u8::try_from(pct).unwrap_or(100)
}

/// Counts of the last hour by minute, oldest first.
pub(crate) fn minutes(counts: &[DaemonBuckets<'_>], target_ppm: u32) -> Vec<Minute> {
    let mut minutes: Vec<Minute> = (0..PLOTTED_MINUTES as u64)
        .map(|ago_min| Minute {
            ago_min,
            ..Minute::default()
        })
        .collect();
    for (age_ms, bucket) in counts.iter().flat_map(DaemonBuckets::buckets_with_ages) {
        let index = usize::try_from(age_ms / MINUTE_MS).unwrap_or(usize::MAX);
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

/// Alerts that the windows raise.
pub(crate) fn alerts(windows: &[Window]) -> Vec<Alert> {
    let reached =
        |index: usize, threshold: f64| windows[index].burn.is_some_and(|burn| burn >= threshold);
    ALERT_RULES
        .iter()
        .filter(|rule| {
            reached(rule.long_window, rule.threshold) && reached(rule.short_window, rule.threshold)
        })
        .map(|rule| Alert {
            kind: rule.kind,
            threshold: rule.threshold,
            long_s: WINDOWS[rule.long_window].as_secs(),
            short_s: WINDOWS[rule.short_window].as_secs(),
        })
        .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
