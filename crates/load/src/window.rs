//! The time window in which requests arrived, divided into seconds.

use crate::record::{
    CallerRecord,
    UnixUs, //
};

const SECOND_US: u64 = 1_000_000;

/// The time from the first arrival to the last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    from_us: UnixUs,
    to_us: UnixUs,
}

impl Window {
    /// The window in which these requests arrived.
    pub(crate) fn of(callers: &[CallerRecord]) -> Self {
        let scheduled = || callers.iter().map(|caller| caller.scheduled_us);
        let from_us = scheduled().min().unwrap_or(0);
        // The end is exclusive, so that a single arrival has a window too.
        let to_us = scheduled().max().map_or(from_us, |last_us| last_us + 1);
        Self { from_us, to_us }
    }

    /// Number of seconds; the last may be shorter.
    pub(crate) fn seconds(&self) -> usize {
        let seconds = (self.to_us - self.from_us).div_ceil(SECOND_US);
        usize::try_from(seconds).unwrap_or(usize::MAX)
    }

    /// Length of a second within the window.
    pub(crate) fn length_us(&self, second: usize) -> u64 {
        let (from_us, to_us) = self.bounds(second);
        to_us - from_us
    }

    /// The second that contains a time; none outside the window.
    pub(crate) fn second_at(&self, at_us: UnixUs) -> Option<usize> {
        let within = (self.from_us..self.to_us).contains(&at_us);
        let second = within.then(|| (at_us - self.from_us) / SECOND_US)?;
        usize::try_from(second).ok()
    }

    /// Divides an interval by second; returns each second's index and the length in it.
    pub(crate) fn split_by_second(
        &self,
        from_us: UnixUs,
        to_us: UnixUs,
    ) -> impl Iterator<Item = (usize, u64)> + '_ {
        let from_us = from_us.max(self.from_us);
        let to_us = to_us.min(self.to_us);
        let first = self.second_at(from_us).unwrap_or(self.seconds());
        (first..self.seconds()).map_while(move |second| {
            let bounds = self.bounds(second);
            let length_us = to_us.min(bounds.1).saturating_sub(from_us.max(bounds.0));
            (length_us > 0).then_some((second, length_us))
        })
    }

    fn bounds(&self, second: usize) -> (UnixUs, UnixUs) {
        let from_us = self.from_us + second as u64 * SECOND_US;
        (from_us, (from_us + SECOND_US).min(self.to_us))
    }
}
