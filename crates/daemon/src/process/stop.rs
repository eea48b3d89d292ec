//! Stages of a process's life, as traffic threads see them.

/// Stage of a process's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// No configuration yet: nothing is answered.
    Starting,
    /// In look-up answers, takes work.
    Serving,
    /// Out of look-up answers, still takes work from callers with older answers.
    Withdrawn,
    /// Answers new work `not-run` and finishes what is in flight.
    Refusing,
}
