//! Lifecycle stages of the process, as published to traffic threads.

/// Lifecycle stage of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// No configuration yet; requests are not served.
    Starting,
    /// Listed in look-up answers and accepts work.
    Serving,
    /// No longer listed in look-up answers; still accepts work from callers with older answers.
    Withdrawn,
    /// Answers new work with `not-run` and finishes the requests in flight.
    Refusing,
}
