//! The state of one request: the target of each try, the step after it and the caller's result.

use super::{
    response::{
        is_success,
        ResponseSummary, //
    },
    Callers, //
};
use crate::{
    record::{
        CallerResult,
        Flaw,
        Try,
        TryEnd, //
    },
    scene::{
        CallerRegion,
        ClassLoad,
        FilingMethod, //
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

/// Delay before a retry if the response names none.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The entry to which a try goes, and the ticket that identifies a filing.
#[derive(Clone)]
pub(super) struct Target {
    pub(super) entry: ByteString,
    pub(super) ticket: Option<ByteString>,
}

/// The step after a try.
enum NextStep {
    Stop,
    RetryAfter(Duration),
}

/// The state of one request.
pub(super) struct RequestState<'a> {
    pub(super) callers: &'a Callers,
    pub(super) class: &'a ClassLoad,
    pub(super) region: &'a CallerRegion,
    pub(super) arrival: &'a Arrival,
    deadline: Instant,
    pub(super) tries: Vec<Try>,
    /// Entries of earlier tries.
    tried_entries: Vec<ByteString>,
    /// Entry that a refusal named for the next try.
    named_entry: Option<ByteString>,
    /// Target of a filing whose outcome is unknown.
    pinned_target: Option<Target>,
    /// Whether any try may have run.
    pub(super) may_have_run: bool,
    pub(super) flaw: Option<Flaw>,
}

impl<'a> RequestState<'a> {
    pub(super) fn new(callers: &'a Callers, arrival: &'a Arrival, started: Instant) -> Self {
        let class = &callers.scene.classes[arrival.class];
        Self {
            callers,
            class,
            region: &callers.scene.regions[arrival.region],
            arrival,
            deadline: started + Duration::from_millis(class.deadline_ms),
            tries: Vec::new(),
            tried_entries: Vec::new(),
            named_entry: None,
            pinned_target: None,
            may_have_run: false,
            flaw: None,
        }
    }

    /// Sends tries until a response is final, or tries or time run out.
    pub(super) async fn run(&mut self) {
        while (self.tries.len() as u64) < u64::from(self.class.tries) && !self.time_left().is_zero()
        {
            let Some(target) = self.choose_target().await else {
                return;
            };
            let (end, summary) = self.attempt(&target).await;
            match self.next_step(target, end, summary) {
                NextStep::Stop => return,
                NextStep::RetryAfter(delay) if delay >= self.time_left() => return,
                NextStep::RetryAfter(delay) => sleep(delay).await,
            }
        }
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Waits for the simulated one-way delay between the caller and its entries.
    pub(super) async fn network_delay(&self) {
        if self.region.one_way_ms > 0 {
            sleep(Duration::from_millis(self.region.one_way_ms)).await;
        }
    }

    /// Chooses the target of the next try; none if no look-up succeeds before the deadline.
    async fn choose_target(&mut self) -> Option<Target> {
        if self.class.filing == FilingMethod::Ticket {
            if self.may_have_run {
                return self.pinned_target.clone();
            }
            return self.target_with_new_ticket().await;
        }
        if let Some(entry) = self.named_entry.take() {
            return Some(Target {
                entry,
                ticket: None,
            });
        }
        let entries = self.entries().await?;
        let untried = entries
            .iter()
            .find(|entry| !self.tried_entries.contains(entry));
        // After all were tried, start over: an entry may have recovered.
        let entry = untried.or_else(|| entries.first())?.clone();
        Some(Target {
            entry,
            ticket: None,
        })
    }

    /// Looks up an entry and a new ticket, past the cache.
    async fn target_with_new_ticket(&self) -> Option<Target> {
        let response = self.look_up().await?;
        Some(Target {
            entry: response.entries.first()?.addr.clone(),
            ticket: response.ticket,
        })
    }

    /// Chooses the step after a try.
    fn next_step(&mut self, target: Target, end: TryEnd, mut summary: ResponseSummary) -> NextStep {
        self.flaw = summary.flaw.take();
        self.tried_entries.push(target.entry.clone());
        match end {
            TryEnd::Answered(RunOutcome::Done) | TryEnd::Unclaimed => NextStep::Stop,
            TryEnd::Answered(RunOutcome::NotRun) => self.after_refusal(summary),
            TryEnd::NotConnected => NextStep::RetryAfter(RETRY_DELAY),
            TryEnd::Answered(RunOutcome::Unknown) | TryEnd::Cut | TryEnd::TimedOut => {
                self.may_have_run = true;
                self.pinned_target = Some(target);
                NextStep::RetryAfter(RETRY_DELAY)
            }
        }
    }

    /// Chooses the step after a refusal: the entry that it names without delay, or a pause.
    fn after_refusal(&mut self, summary: ResponseSummary) -> NextStep {
        if summary.is_permanent() {
            return NextStep::Stop;
        }
        self.named_entry = summary.named_entry;
        let delay = match &self.named_entry {
            Some(_) => Duration::ZERO,
            None => summary.retry_after.unwrap_or(RETRY_DELAY),
        };
        NextStep::RetryAfter(delay)
    }

    /// Result of the request, derived from its tries.
    pub(super) fn result(&self) -> CallerResult {
        let any_ended = |end: TryEnd| self.tries.iter().any(|attempt| attempt.end == end);
        let not_run = any_ended(TryEnd::Answered(RunOutcome::NotRun));
        let unknown = any_ended(TryEnd::Answered(RunOutcome::Unknown));
        let interrupted = any_ended(TryEnd::Cut) || any_ended(TryEnd::TimedOut);
        let Some(last) = self.tries.last() else {
            return CallerResult::Unreached;
        };
        match last.end {
            TryEnd::Answered(RunOutcome::Done) => {
                let success = last.status.is_some_and(is_success);
                if success {
                    CallerResult::Done
                } else {
                    CallerResult::Failed
                }
            }
            TryEnd::Unclaimed => CallerResult::Failed,
            TryEnd::Answered(RunOutcome::Unknown) => CallerResult::Unknown,
            // Once a filing may have run, later responses to copies of it don't settle its outcome.
            _ if self.may_have_run && unknown => CallerResult::Unknown,
            TryEnd::Answered(RunOutcome::NotRun)
                if self.may_have_run && self.class.filing != FilingMethod::None =>
            {
                CallerResult::Unknown
            }
            TryEnd::Answered(RunOutcome::NotRun) => CallerResult::Refused,
            TryEnd::Cut | TryEnd::TimedOut => CallerResult::NoAnswer,
            TryEnd::NotConnected if interrupted => CallerResult::NoAnswer,
            TryEnd::NotConnected if not_run => CallerResult::Refused,
            TryEnd::NotConnected => CallerResult::Unreached,
        }
    }
}
