//! Load that an upstream states in a response.

/// Range of usable statements of the work time, in percent of the usual. Values outside of it are taken for errors.
const WORK_TIME_PCT: std::ops::RangeInclusive<u32> = 10..=10_000;

/// Load that an upstream states in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests being processed.
    pub running: u32,
    /// Requests that wait for a slot at the upstream.
    pub waiting: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
    /// Time that work takes at the upstream now, in percent of the usual; `None` if it isn't stated.
    pub work_time_pct: Option<u32>,
}

impl LoadReport {
    /// Parses a report of the form `running,waiting,slots` or `running,waiting,slots,work_time_pct`. Further values are
    /// ignored, and an invalid work time counts as not stated.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
        Some(Self {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
            work_time_pct: numbers
                .next()
                .flatten()
                .filter(|pct| WORK_TIME_PCT.contains(pct)),
        })
    }
}
