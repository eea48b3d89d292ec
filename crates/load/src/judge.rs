//! The judge: compares what callers were told with what upstreams ran.
//!
//! Nothing here comes from the daemons' own word. A caller's id and the number of its try travel
//! in the path to the upstream, so each side of a request is found by the other however the system
//! names it in between. The judge is pure: the same evidence gives the same verdict, in the same
//! order.

use crate::{
    limits::Limits,
    record::{
        CallerRecord,
        Run,
        Told,
        Try,
        TryEnd,
        UnixUs,
        UpstreamFacts, //
    },
    scene::FilingWay, //
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

/// Everything that the judge looks at.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// All requests of callers.
    pub callers: Vec<CallerRecord>,
    /// All requests that reached upstreams.
    pub runs: Vec<Run>,
    /// Upstreams with their slots; one that is missing has no bound.
    pub upstreams: BTreeMap<UpstreamId, UpstreamFacts>,
    /// Upstreams that leave, and since when.
    pub leaving: Vec<Leaving>,
    /// Entries that the test killed or froze, and when.
    pub disturbed: Vec<Disturbed>,
    /// Bytes that links carried, against their caps.
    pub links: Vec<LinkUse>,
    /// Region of each entry, by its callers' address.
    pub entries: BTreeMap<ByteString, RegionId>,
    /// Headroom targets and caps of the configuration; the report compares the run with them.
    pub limits: Limits,
    /// Time over its deadline after which a request must have its final answer.
    pub allowance_us: u64,
    /// Time after which an upstream that leaves may get no new work.
    pub leaving_bound_us: u64,
    /// Whether `runs` is the whole record of all upstreams.
    ///
    /// Without it (an upstream was killed with its record) an answer whose run is missing proves
    /// nothing.
    pub runs_complete: bool,
}

/// An upstream that leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it was asked to leave.
    pub asked_us: UnixUs,
    /// Since when, at the first sign that the system could have seen.
    pub since_us: UnixUs,
    /// Until when, if it came back.
    pub until_us: Option<UnixUs>,
}

/// An entry that a test killed or froze, so that its connections may break or hang.
///
/// A planned stop is no such disturbance.
#[derive(Clone, Debug)]
pub struct Disturbed {
    /// Callers' address of the entry.
    pub entry: ByteString,
    /// Start of the disturbance.
    pub from_us: UnixUs,
    /// End of the disturbance; none for a kill.
    pub to_us: Option<UnixUs>,
}

/// What one link carried in one interval.
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
    /// Cap of the configuration.
    pub cap_bytes_per_s: u64,
}

/// Promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Breach {
    /// A filing ran more than once.
    DoubledFiling {
        /// How often it ran.
        runs: usize,
    },
    /// An answer said `not-run` of a try that ran.
    NotRunRan {
        /// Number of the try.
        try_number: u32,
    },
    /// A final answer was short, wrong or somebody else's.
    NotWhole {
        /// What is wrong with it.
        flaw: String,
    },
    /// An answer said `done` of a request that no upstream ran to its end.
    DoneNotRun {
        /// Number of the try.
        try_number: u32,
    },
    /// No final answer came within the deadline and the allowance.
    NoFinalAnswer {
        /// Time over the deadline.
        late_ms: u64,
    },
    /// An entry that nobody disturbed closed the connection before its final answer.
    Cut {
        /// The entry.
        entry: ByteString,
    },
    /// New work reached an upstream that had left for longer than the bound.
    WorkWhileLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Time since it began to leave.
        after_ms: u64,
    },
    /// A request waited at an upstream that was sent more than it has slots.
    Queued {
        /// The upstream.
        upstream: UpstreamId,
        /// How long this one waited.
        waited_ms: u64,
        /// Most that waited there at a time.
        queued: u64,
        /// Its slots.
        slots: u32,
    },
    /// A link carried more than its cap.
    OverCap {
        /// Region that sent.
        from: RegionId,
        /// Region that received.
        to: RegionId,
        /// What it carried.
        bytes_per_s: u64,
        /// What it might have carried.
        cap_bytes_per_s: u64,
    },
}

/// A broken promise, the request that shows it and what happened to that request.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Caller's id of the request; `-` where there is none.
    pub id: ByteString,
    /// The promise.
    pub breach: Breach,
    /// Lines that tell the request's history on both sides.
    pub history: Vec<String>,
}

/// Finds all broken promises, sorted by request.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let bench = Bench::new(evidence);
    let mut found = Vec::new();
    for caller in &evidence.callers {
        bench.filing(caller, &mut found);
        bench.claims(caller, &mut found);
        bench.wholeness(caller, &mut found);
        bench.final_answer(caller, &mut found);
        bench.cuts(caller, &mut found);
    }
    for run in &evidence.runs {
        bench.leaving(run, &mut found);
    }
    for upstream in evidence.upstreams.keys() {
        bench.queueing(upstream, &mut found);
    }
    bench.caps(&mut found);
    found.sort_by(|a, b| a.id.cmp(&b.id));
    found
}

/// The evidence, with an index of both sides by the caller's id.
struct Bench<'a> {
    evidence: &'a Evidence,
    callers: FastMap<&'a str, &'a CallerRecord>,
    runs: FastMap<&'a str, Vec<&'a Run>>,
}

impl<'a> Bench<'a> {
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

    /// Runs of a request that took a slot.
    fn ran(&self, id: &str) -> impl Iterator<Item = &'a Run> + '_ {
        let runs = self.runs.get(id).map(Vec::as_slice).unwrap_or_default();
        runs.iter().copied().filter(|run| run.started_us.is_some())
    }

    fn filing(&self, caller: &CallerRecord, found: &mut Vec<Violation>) {
        let runs = self.ran(&caller.id).count();
        if caller.filing != FilingWay::None && runs > 1 {
            found.push(self.violation(&caller.id, Breach::DoubledFiling { runs }));
        }
    }

    /// Compares each try's claim with what ran.
    fn claims(&self, caller: &CallerRecord, found: &mut Vec<Violation>) {
        for (index, attempt) in caller.tries.iter().enumerate() {
            let try_number = attempt.number;
            let ran = self.ran(&caller.id).any(|run| run.try_number == try_number);
            match attempt.end {
                TryEnd::Answered(RunOutcome::NotRun) if ran && answers_for(caller, index) => {
                    found.push(self.violation(&caller.id, Breach::NotRunRan { try_number }));
                }
                TryEnd::Answered(RunOutcome::Done) if self.evidence.runs_complete && !ran => {
                    found.push(self.violation(&caller.id, Breach::DoneNotRun { try_number }));
                }
                _ => {}
            }
        }
    }

    fn wholeness(&self, caller: &CallerRecord, found: &mut Vec<Violation>) {
        if let Some(flaw) = &caller.flaw {
            let flaw = format!("{flaw:?}");
            found.push(self.violation(&caller.id, Breach::NotWhole { flaw }));
        }
    }

    fn final_answer(&self, caller: &CallerRecord, found: &mut Vec<Violation>) {
        let took_us = caller.finished_us.saturating_sub(caller.started_us);
        let late_us = took_us.saturating_sub(caller.deadline_ms * 1_000);
        let answered = !matches!(caller.told, Told::NoAnswer | Told::Unreached);
        if answered && late_us <= self.evidence.allowance_us {
            return;
        }
        if caller.tries.iter().any(|attempt| self.disturbed(attempt)) {
            return;
        }
        let late_ms = late_us / 1_000;
        found.push(self.violation(&caller.id, Breach::NoFinalAnswer { late_ms }));
    }

    fn cuts(&self, caller: &CallerRecord, found: &mut Vec<Violation>) {
        let deadline_us = caller.started_us + caller.deadline_ms * 1_000;
        for attempt in &caller.tries {
            // A cut is the only truthful end of an answer whose upstream broke it off, and of one
            // whose deadline passed on the way; that it came late is found elsewhere.
            let truthful = attempt.ended_us >= deadline_us || self.broke_off(caller, attempt);
            if attempt.end == TryEnd::Cut && !truthful && !self.disturbed(attempt) {
                let entry = attempt.entry.clone();
                found.push(self.violation(&caller.id, Breach::Cut { entry }));
            }
        }
    }

    /// Whether an upstream broke off its answer to a try.
    fn broke_off(&self, caller: &CallerRecord, attempt: &Try) -> bool {
        self.ran(&caller.id)
            .any(|run| run.try_number == attempt.number && run.end == Run::TRUNCATED)
    }

    fn leaving(&self, run: &Run, found: &mut Vec<Violation>) {
        let leaving = self
            .evidence
            .leaving
            .iter()
            .filter(|leaving| leaving.upstream == run.upstream)
            .filter(|leaving| leaving.until_us.is_none_or(|until| run.arrived_us < until))
            .filter(|leaving| run.arrived_us >= leaving.since_us)
            .map(|leaving| run.arrived_us - leaving.since_us)
            .max();
        if let Some(after_us) = leaving.filter(|after| *after > self.evidence.leaving_bound_us) {
            let breach = Breach::WorkWhileLeaving {
                upstream: run.upstream.clone(),
                after_ms: after_us / 1_000,
            };
            found.push(self.violation(&run.id, breach));
        }
    }

    /// Names as many requests as waited at an upstream at a time: those that waited longest.
    fn queueing(&self, upstream: &UpstreamId, found: &mut Vec<Violation>) {
        let facts = &self.evidence.upstreams[upstream];
        let waited = usize::try_from(facts.max_queued).unwrap_or(usize::MAX);
        if waited == 0 {
            return;
        }
        let here = |run: &&Run| run.upstream == *upstream;
        let mut runs: Vec<&Run> = self.evidence.runs.iter().filter(here).collect();
        runs.sort_by_key(|run| Reverse((run.waited_us(), &run.id)));
        for run in runs.into_iter().take(waited) {
            let breach = Breach::Queued {
                upstream: upstream.clone(),
                waited_ms: run.waited_us() / 1_000,
                queued: facts.max_queued,
                slots: facts.slots,
            };
            found.push(self.violation(&run.id, breach));
        }
    }

    fn caps(&self, found: &mut Vec<Violation>) {
        for link in &self.evidence.links {
            if link.bytes_per_s > link.cap_bytes_per_s {
                found.push(Violation {
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

    /// Whether the test itself broke what a try ran over.
    fn disturbed(&self, attempt: &Try) -> bool {
        self.evidence.disturbed.iter().any(|disturbed| {
            disturbed.entry == attempt.entry
                && attempt.ended_us >= disturbed.from_us
                && disturbed.to_us.is_none_or(|to| attempt.sent_us <= to)
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

/// Whether a refusal of this try is one of everything that ran with its number.
///
/// Copies with one ticket are judged by one entry, whose refusal is of them all. A copy with a key
/// may meet an entry that can't know of the others: its refusal is of this copy, and what ran is
/// this copy's only if no other copy can have run.
fn answers_for(caller: &CallerRecord, index: usize) -> bool {
    let number = caller.tries[index].number;
    let others = caller.tries.iter().enumerate();
    let mut others = others.filter(|(i, other)| *i != index && other.number == number);
    caller.filing != FilingWay::Key
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
