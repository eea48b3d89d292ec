//! The judge: finds violated guarantees by comparing the callers' results with the upstreams' runs.
//!
//! It uses nothing that daemons report. The path to the upstream contains the caller's id of the
//! request and the number of the try, so that the records of both sides can be matched without the
//! system's own ids. The judge is a pure function: the same evidence gives the same violations in
//! the same order.

use crate::{
    limits::Limits,
    record::{
        CallerRecord,
        CallerResult,
        Run,
        Try,
        TryEnd,
        UnixUs,
        UpstreamFacts, //
    },
    scene::FilingMethod, //
};
use base::{
    FastMap,
    RegionId,
    RunOutcome,
    UpstreamId, //
};
use bytestring::ByteString;
use serde::Serialize;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    fmt, //
};

/// Input of the judge.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// All requests of callers.
    pub callers: Vec<CallerRecord>,
    /// All requests that reached upstreams.
    pub runs: Vec<Run>,
    /// Upstreams with their slots and queues; the judge checks the queues of these alone.
    pub upstreams: BTreeMap<UpstreamId, UpstreamFacts>,
    /// Upstreams that left, and when.
    pub leaving: Vec<Leaving>,
    /// Entries that the test killed or froze, and when.
    pub disruptions: Vec<Disruption>,
    /// Bytes that links carried, with their caps.
    pub links: Vec<LinkUse>,
    /// Region of each entry, by the entry's address for callers.
    pub entries: BTreeMap<ByteString, RegionId>,
    /// Headroom targets and caps of the configuration, with which the report compares the run.
    pub limits: Limits,
    /// Time after its deadline by which a request must have its final response.
    pub allowance_us: u64,
    /// Time after which a leaving upstream must receive no new work.
    pub leaving_bound_us: u64,
    /// Whether `runs` is the complete record of all upstreams.
    ///
    /// If it is not, because an upstream was killed and its record lost, a response without a run
    /// is no violation.
    pub runs_complete: bool,
}

/// An upstream that left.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it was requested to leave.
    pub requested_us: UnixUs,
    /// When the system could first detect it.
    pub since_us: UnixUs,
    /// When it returned, if it did.
    pub until_us: Option<UnixUs>,
}

/// An entry that a test killed or froze, so that its connections may break or hang.
///
/// A planned stop is not listed: it must not break connections.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The entry's address for callers.
    pub entry: ByteString,
    /// Time of the kill or the start of the freeze.
    pub from_us: UnixUs,
    /// End of the freeze; none for a kill.
    pub to_us: Option<UnixUs>,
}

/// Traffic of one link in one interval.
#[derive(Clone, Debug)]
pub struct LinkUse {
    /// Region that sent.
    pub from: RegionId,
    /// Region that received.
    pub to: RegionId,
    /// Start of the interval.
    pub at_us: UnixUs,
    /// Mean rate over the interval.
    pub bytes_per_s: u64,
    /// Cap that the configuration sets.
    pub cap_bytes_per_s: u64,
}

/// A violated guarantee.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Breach {
    /// A filing ran more than once.
    DoubledFiling {
        /// Number of its runs.
        runs: usize,
    },
    /// A try ran, although its response stated `not-run`.
    NotRunRan {
        /// Number of the try.
        try_number: u32,
    },
    /// A final response was truncated, corrupt or another request's.
    NotWhole {
        /// Its flaw.
        flaw: String,
    },
    /// A response stated `done` for a try that no upstream ran.
    DoneNotRun {
        /// Number of the try.
        try_number: u32,
    },
    /// No final response arrived by the deadline and the allowance.
    NoFinalAnswer {
        /// Time after the deadline.
        late_ms: u64,
    },
    /// An entry closed the connection before its final response, although the test neither killed
    /// nor froze it.
    Cut {
        /// The entry.
        entry: ByteString,
    },
    /// New work reached an upstream that began to leave longer ago than the bound.
    WorkWhileLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Time since the upstream began to leave.
        after_ms: u64,
    },
    /// A request waited at an upstream that had more requests than slots.
    Queued {
        /// The upstream.
        upstream: UpstreamId,
        /// Time for which this request waited.
        waited_ms: u64,
        /// Longest queue at the upstream.
        queued: u64,
        /// The upstream's slots.
        slots: u32,
    },
    /// A link carried more than its cap.
    OverCap {
        /// Region that sent.
        from: RegionId,
        /// Region that received.
        to: RegionId,
        /// Mean rate that it carried.
        bytes_per_s: u64,
        /// Its cap.
        cap_bytes_per_s: u64,
    },
}

/// A violated guarantee, the request that shows it and that request's history.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Caller's id of the request; `-` if there is none.
    pub id: ByteString,
    /// The violated guarantee.
    pub breach: Breach,
    /// The records of the request on both sides, one a line.
    pub history: Vec<String>,
}

/// Finds all violations, sorted by request.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let index = EvidenceIndex::new(evidence);
    let mut violations = Vec::new();
    for caller in &evidence.callers {
        index.check_filing(caller, &mut violations);
        index.check_outcomes(caller, &mut violations);
        index.check_body(caller, &mut violations);
        index.check_final_response(caller, &mut violations);
        index.check_cuts(caller, &mut violations);
    }
    for run in &evidence.runs {
        index.check_leaving(run, &mut violations);
    }
    for upstream in evidence.upstreams.keys() {
        index.check_queue(upstream, &mut violations);
    }
    index.check_caps(&mut violations);
    violations.sort_by(|a, b| a.id.cmp(&b.id));
    violations
}

/// The evidence, with the records of both sides indexed by the caller's id.
struct EvidenceIndex<'a> {
    evidence: &'a Evidence,
    callers: FastMap<&'a str, &'a CallerRecord>,
    runs: FastMap<&'a str, Vec<&'a Run>>,
}

impl<'a> EvidenceIndex<'a> {
    fn new(evidence: &'a Evidence) -> Self {
        let mut runs: FastMap<&str, Vec<&Run>> = FastMap::default();
        for run in &evidence.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let callers = evidence
            .callers
            .iter()
            .map(|caller| (&*caller.id, caller))
            .collect();
        Self {
            evidence,
            callers,
            runs,
        }
    }

    /// Runs of a request that got a slot.
    fn started_runs(&self, id: &str) -> impl Iterator<Item = &'a Run> + '_ {
        let runs = self.runs.get(id).map(Vec::as_slice).unwrap_or_default();
        runs.iter().copied().filter(|run| run.started_us.is_some())
    }

    fn check_filing(&self, caller: &CallerRecord, violations: &mut Vec<Violation>) {
        let runs = self.started_runs(&caller.id).count();
        if caller.filing != FilingMethod::None && runs > 1 {
            violations.push(self.violation(&caller.id, Breach::DoubledFiling { runs }));
        }
    }

    /// Compares the outcome that each try's response states with the runs.
    fn check_outcomes(&self, caller: &CallerRecord, violations: &mut Vec<Violation>) {
        for (index, attempt) in caller.tries.iter().enumerate() {
            let try_number = attempt.number;
            let ran = self
                .started_runs(&caller.id)
                .any(|run| run.try_number == try_number);
            match attempt.end {
                TryEnd::Answered(RunOutcome::NotRun)
                    if ran && refusal_covers_all_copies(caller, index) =>
                {
                    violations.push(self.violation(&caller.id, Breach::NotRunRan { try_number }));
                }
                TryEnd::Answered(RunOutcome::Done) if self.evidence.runs_complete && !ran => {
                    violations.push(self.violation(&caller.id, Breach::DoneNotRun { try_number }));
                }
                _ => {}
            }
        }
    }

    fn check_body(&self, caller: &CallerRecord, violations: &mut Vec<Violation>) {
        if let Some(flaw) = &caller.flaw {
            let flaw = format!("{flaw:?}");
            violations.push(self.violation(&caller.id, Breach::NotWhole { flaw }));
        }
    }

    fn check_final_response(&self, caller: &CallerRecord, violations: &mut Vec<Violation>) {
        let elapsed_us = caller.finished_us.saturating_sub(caller.started_us);
        let late_us = elapsed_us.saturating_sub(caller.deadline_ms * 1_000);
        let answered = !matches!(
            caller.result,
            CallerResult::NoAnswer | CallerResult::Unreached
        );
        if answered && late_us <= self.evidence.allowance_us {
            return;
        }
        if caller
            .tries
            .iter()
            .any(|attempt| self.is_disrupted(attempt))
        {
            return;
        }
        let late_ms = late_us / 1_000;
        violations.push(self.violation(&caller.id, Breach::NoFinalAnswer { late_ms }));
    }

    fn check_cuts(&self, caller: &CallerRecord, violations: &mut Vec<Violation>) {
        let deadline_us = caller.started_us + caller.deadline_ms * 1_000;
        for attempt in &caller.tries {
            // An entry may cut a response only if the upstream truncated it or if the deadline
            // passed while it was sent; `check_final_response` finds late ones.
            let is_justified =
                attempt.ended_us >= deadline_us || self.was_truncated(caller, attempt);
            if attempt.end == TryEnd::Cut && !is_justified && !self.is_disrupted(attempt) {
                let entry = attempt.entry.clone();
                violations.push(self.violation(&caller.id, Breach::Cut { entry }));
            }
        }
    }

    /// Whether an upstream truncated its response to a try.
    fn was_truncated(&self, caller: &CallerRecord, attempt: &Try) -> bool {
        self.started_runs(&caller.id)
            .any(|run| run.try_number == attempt.number && run.end == Run::TRUNCATED)
    }

    fn check_leaving(&self, run: &Run, violations: &mut Vec<Violation>) {
        let longest_us = self
            .evidence
            .leaving
            .iter()
            .filter(|leaving| leaving.upstream == run.upstream)
            .filter(|leaving| leaving.until_us.is_none_or(|until| run.arrived_us < until))
            .filter(|leaving| run.arrived_us >= leaving.since_us)
            .map(|leaving| run.arrived_us - leaving.since_us)
            .max();
        if let Some(after_us) =
            longest_us.filter(|after_us| *after_us > self.evidence.leaving_bound_us)
        {
            let breach = Breach::WorkWhileLeaving {
                upstream: run.upstream.clone(),
                after_ms: after_us / 1_000,
            };
            violations.push(self.violation(&run.id, breach));
        }
    }

    /// Reports as many requests as the upstream's longest queue had, those that waited longest.
    fn check_queue(&self, upstream: &UpstreamId, violations: &mut Vec<Violation>) {
        let facts = &self.evidence.upstreams[upstream];
        let queued = usize::try_from(facts.max_queued).unwrap_or(usize::MAX);
        if queued == 0 {
            return;
        }
        let at_upstream = |run: &&Run| run.upstream == *upstream;
        let mut runs: Vec<&Run> = self.evidence.runs.iter().filter(at_upstream).collect();
        runs.sort_by_key(|run| Reverse((run.waited_us(), &run.id)));
        for run in runs.into_iter().take(queued) {
            let breach = Breach::Queued {
                upstream: upstream.clone(),
                waited_ms: run.waited_us() / 1_000,
                queued: facts.max_queued,
                slots: facts.slots,
            };
            violations.push(self.violation(&run.id, breach));
        }
    }

    fn check_caps(&self, violations: &mut Vec<Violation>) {
        for link in &self.evidence.links {
            if link.bytes_per_s > link.cap_bytes_per_s {
                violations.push(Violation {
                    id: ByteString::from_static("-"),
                    breach: Breach::OverCap {
                        from: link.from.clone(),
                        to: link.to.clone(),
                        bytes_per_s: link.bytes_per_s,
                        cap_bytes_per_s: link.cap_bytes_per_s,
                    },
                    history: vec![format!("interval from {}", link.at_us)],
                });
            }
        }
    }

    /// Whether the test killed or froze a try's entry while the try was in flight.
    fn is_disrupted(&self, attempt: &Try) -> bool {
        self.evidence.disruptions.iter().any(|disruption| {
            disruption.entry == attempt.entry
                && attempt.ended_us >= disruption.from_us
                && disruption.to_us.is_none_or(|to| attempt.sent_us <= to)
        })
    }

    fn violation(&self, id: &ByteString, breach: Breach) -> Violation {
        let mut history = Vec::new();
        if let Some(caller) = self.callers.get(&**id) {
            history.push(caller.to_string());
            history.extend(caller.tries.iter().map(ToString::to_string));
        }
        let runs = self.runs.get(&**id).map(Vec::as_slice).unwrap_or_default();
        history.extend(runs.iter().map(ToString::to_string));
        Violation {
            id: id.clone(),
            breach,
            history,
        }
    }
}

/// Whether the refusal of a try states that no try with its number ran.
///
/// Copies with one ticket go to the same entry, whose refusal covers all of them. A copy with a key
/// may reach an entry that does not know of the others. Its refusal covers this copy alone, so that
/// a run contradicts it only if no other copy can have run.
fn refusal_covers_all_copies(caller: &CallerRecord, index: usize) -> bool {
    let number = caller.tries[index].number;
    let others = caller.tries.iter().enumerate();
    let mut others = others.filter(|(i, other)| *i != index && other.number == number);
    caller.filing != FilingMethod::Key
        || others.all(|(_, other)| {
            matches!(
                other.end,
                TryEnd::NotConnected | TryEnd::Answered(RunOutcome::NotRun)
            )
        })
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "violation {}: {:?}", self.id, self.breach)?;
        for line in &self.history {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}
