//! The state of one request: where each try goes, what follows it, what the caller knows at the end.

use super::{
    answer::{
        is_success,
        Answer, //
    },
    Callers, //
};
use crate::{
    record::{
        Flaw,
        Told,
        Try,
        TryEnd, //
    },
    scene::{
        CallerRegion,
        ClassLoad,
        FilingWay, //
    },
    schedule::Arrival, //
};
use base::RunOutcome;
use bytestring::ByteString;
use std::time::{
    Duration,
    Instant, //
};
use tokio::time::sleep;

/// Pause before a repeat where the answer names none.
const REPEAT_PAUSE: Duration = Duration::from_millis(20);

/// Where to send a try, and what proves that it is the same filing.
#[derive(Clone)]
pub(super) struct Target {
    pub(super) entry: ByteString,
    pub(super) ticket: Option<ByteString>,
}

/// What a caller does after a try.
enum Next {
    Stop,
    RetryAfter(Duration),
}

/// The state of one request.
pub(super) struct Asking<'a> {
    pub(super) callers: &'a Callers,
    pub(super) class: &'a ClassLoad,
    pub(super) region: &'a CallerRegion,
    pub(super) arrival: &'a Arrival,
    deadline: Instant,
    pub(super) tries: Vec<Try>,
    /// Entries that did not serve this request.
    avoid: Vec<ByteString>,
    /// Entry that a refusal named.
    instead: Option<ByteString>,
    /// Where a ticketed filing was sent.
    pinned: Option<Target>,
    /// Whether some try may have run.
    pub(super) maybe_ran: bool,
    pub(super) flaw: Option<Flaw>,
}

impl<'a> Asking<'a> {
    pub(super) fn new(callers: &'a Callers, arrival: &'a Arrival, started: Instant) -> Self {
        let class = &callers.scene.classes[arrival.class];
        Self {
            callers,
            class,
            region: &callers.scene.regions[arrival.region],
            arrival,
            deadline: started + Duration::from_millis(class.deadline_ms),
            tries: Vec::new(),
            avoid: Vec::new(),
            instead: None,
            pinned: None,
            maybe_ran: false,
            flaw: None,
        }
    }

    /// Tries until the request has its end.
    pub(super) async fn run(&mut self) {
        while (self.tries.len() as u64) < u64::from(self.class.tries) && !self.left().is_zero() {
            let Some(target) = self.target().await else {
                return;
            };
            let (end, answer) = self.attempt(&target).await;
            match self.next(target, end, answer) {
                Next::Stop => return,
                Next::RetryAfter(pause) if pause >= self.left() => return,
                Next::RetryAfter(pause) => sleep(pause).await,
            }
        }
    }

    /// Time until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Delay between the caller and its entries, each way.
    pub(super) async fn travel(&self) {
        if self.region.one_way_ms > 0 {
            sleep(Duration::from_millis(self.region.one_way_ms)).await;
        }
    }

    /// Decides where the next try goes; none when nobody answers a look-up in time.
    async fn target(&mut self) -> Option<Target> {
        if self.class.filing == FilingWay::Ticket {
            if self.maybe_ran {
                return self.pinned.clone();
            }
            return self.ticketed().await;
        }
        if let Some(entry) = self.instead.take() {
            return Some(Target {
                entry,
                ticket: None,
            });
        }
        let entries = self.entries().await?;
        let fresh = entries.iter().find(|entry| !self.avoid.contains(entry));
        // When all were tried, another round may find one recovered.
        let entry = fresh.or_else(|| entries.first())?.clone();
        Some(Target {
            entry,
            ticket: None,
        })
    }

    /// Entry and ticket by a look-up of their own.
    async fn ticketed(&self) -> Option<Target> {
        let found = self.look_up().await?;
        Some(Target {
            entry: found.entries.first()?.addr.clone(),
            ticket: found.ticket,
        })
    }

    /// Decides what follows a try.
    fn next(&mut self, target: Target, end: TryEnd, mut answer: Answer) -> Next {
        self.flaw = answer.flaw.take();
        self.avoid.push(target.entry.clone());
        match end {
            TryEnd::Answered(RunOutcome::Done) | TryEnd::Unclaimed => Next::Stop,
            TryEnd::Answered(RunOutcome::NotRun) => self.after_refusal(answer),
            TryEnd::NotConnected => Next::RetryAfter(REPEAT_PAUSE),
            TryEnd::Answered(RunOutcome::Unknown) | TryEnd::Cut | TryEnd::TimedOut => {
                self.maybe_ran = true;
                self.pinned = Some(target);
                Next::RetryAfter(REPEAT_PAUSE)
            }
        }
    }

    /// Decides what follows a refusal: the entry that it names at once, or a pause.
    fn after_refusal(&mut self, answer: Answer) -> Next {
        if answer.is_callers_mistake() {
            return Next::Stop;
        }
        self.instead = answer.instead;
        let pause = match &self.instead {
            Some(_) => Duration::ZERO,
            None => answer.retry_after.unwrap_or(REPEAT_PAUSE),
        };
        Next::RetryAfter(pause)
    }

    /// What the caller knows at the end.
    pub(super) fn told(&self) -> Told {
        let any = |end: TryEnd| self.tries.iter().any(|attempt| attempt.end == end);
        let not_run = any(TryEnd::Answered(RunOutcome::NotRun));
        let unknown = any(TryEnd::Answered(RunOutcome::Unknown));
        let lost = any(TryEnd::Cut) || any(TryEnd::TimedOut);
        let Some(last) = self.tries.last() else {
            return Told::Unreached;
        };
        match last.end {
            TryEnd::Answered(RunOutcome::Done) => {
                let success = last.status.is_some_and(is_success);
                if success {
                    Told::Done
                } else {
                    Told::Failed
                }
            }
            TryEnd::Unclaimed => Told::Failed,
            TryEnd::Answered(RunOutcome::Unknown) => Told::Unknown,
            // A filing that may have run stays unknown, whatever a copy was told later.
            _ if self.maybe_ran && unknown => Told::Unknown,
            TryEnd::Answered(RunOutcome::NotRun)
                if self.maybe_ran && self.class.filing != FilingWay::None =>
            {
                Told::Unknown
            }
            TryEnd::Answered(RunOutcome::NotRun) => Told::Refused,
            TryEnd::Cut | TryEnd::TimedOut => Told::NoAnswer,
            TryEnd::NotConnected if lost => Told::NoAnswer,
            TryEnd::NotConnected if not_run => Told::Refused,
            TryEnd::NotConnected => Told::Unreached,
        }
    }
}
