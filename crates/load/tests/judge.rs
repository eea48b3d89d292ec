//! The judge reports each violated guarantee with its request, and nothing if all guarantees hold.

use load::{
    judge,
    Breach,
    CallerRecord,
    CallerResult,
    Disruption,
    Evidence,
    FilingMethod,
    Flaw,
    Leaving,
    LinkUse,
    Run,
    Try,
    TryEnd,
    UpstreamFacts, //
};

use base::RunOutcome::{
    Done,
    NotRun,
    Unknown, //
};

const ENTRY: &str = "127.0.0.1:1";
const START_US: u64 = 1_000_000;

fn attempt(number: u32, end: TryEnd) -> Try {
    Try {
        number,
        entry: ENTRY.into(),
        filing: None,
        sent_us: START_US,
        ended_us: START_US + 10_000,
        end,
        request: None,
        instance: None,
        status: None,
        detail: None,
    }
}

fn caller(filing: bool, result: CallerResult, ends: &[TryEnd]) -> CallerRecord {
    CallerRecord {
        id: "a1".into(),
        class: "orders".into(),
        region: "arusha".into(),
        filing: if filing {
            FilingMethod::Ticket
        } else {
            FilingMethod::None
        },
        scheduled_us: START_US,
        started_us: START_US,
        finished_us: START_US + 10_000,
        deadline_ms: 100,
        result,
        flaw: None,
        tries: (1..).zip(ends).map(|(n, end)| attempt(n, *end)).collect(),
    }
}

fn run(try_number: u32) -> Run {
    Run {
        upstream: "u1".into(),
        id: "a1".into(),
        try_number,
        filing: None,
        arrived_us: START_US + 1_000,
        started_us: Some(START_US + 1_000),
        ended_us: Some(START_US + 5_000),
        end: "ran".into(),
        bytes: 0,
    }
}

fn evidence(caller: CallerRecord, runs: Vec<Run>) -> Evidence {
    let facts = UpstreamFacts {
        service: "orders".into(),
        region: "arusha".into(),
        slots: 2,
        max_queued: 0,
    };
    Evidence {
        callers: vec![caller],
        runs,
        upstreams: [("u1".into(), facts)].into(),
        allowance_us: 50_000,
        leaving_bound_us: 3_000_000,
        runs_complete: true,
        ..Evidence::default()
    }
}

fn breaches(evidence: &Evidence) -> Vec<Breach> {
    judge(evidence).into_iter().map(|v| v.breach).collect()
}

macro_rules! violations {
    ($($name:ident: $evidence:expr => [$($breach:expr),*];)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(breaches(&$evidence), [$($breach),*] as [Breach; _]);
        }
    )*};
}

fn done(filing: bool) -> CallerRecord {
    caller(filing, CallerResult::Done, &[TryEnd::Answered(Done)])
}

/// A filing whose tries are all copies of one request.
fn copies(filing: FilingMethod, ends: &[TryEnd]) -> CallerRecord {
    let mut caller = caller(true, CallerResult::Done, ends);
    caller.filing = filing;
    caller.tries.iter_mut().for_each(|copy| copy.number = 1);
    caller
}

fn flawed(flaw: Flaw) -> CallerRecord {
    CallerRecord {
        flaw: Some(flaw),
        ..done(false)
    }
}

fn late_by(us: u64) -> CallerRecord {
    CallerRecord {
        finished_us: START_US + 100_000 + us,
        ..done(false)
    }
}

fn arrived_after(us: u64) -> Run {
    Run {
        arrived_us: START_US + us,
        ..run(1)
    }
}

fn refused_run() -> Run {
    Run {
        started_us: None,
        end: "refused".into(),
        ..run(1)
    }
}

fn truncated_run() -> Run {
    Run {
        end: "truncated".into(),
        ..run(1)
    }
}

fn waited(us: u64) -> Run {
    Run {
        started_us: Some(START_US + 1_000 + us),
        ..run(1)
    }
}

fn with_queued(max_queued: u64, runs: Vec<Run>) -> Evidence {
    let mut evidence = evidence(done(false), runs);
    evidence
        .upstreams
        .values_mut()
        .for_each(|u| u.max_queued = max_queued);
    evidence
}

fn with_leaving(evidence: Evidence, until_us: Option<u64>) -> Evidence {
    let leaving = Leaving {
        upstream: "u1".into(),
        requested_us: START_US,
        since_us: START_US,
        until_us,
    };
    Evidence {
        leaving: vec![leaving],
        ..evidence
    }
}

fn with_disturbed(evidence: Evidence, from_us: u64) -> Evidence {
    let disturbed = Disruption {
        entry: ENTRY.into(),
        from_us,
        to_us: None,
    };
    Evidence {
        disruptions: vec![disturbed],
        ..evidence
    }
}

fn with_link(bytes_per_s: u64) -> Evidence {
    let link = LinkUse {
        from: "arusha".into(),
        to: "moshi".into(),
        at_us: START_US,
        bytes_per_s,
        cap_bytes_per_s: 1_000,
    };
    Evidence {
        links: vec![link],
        ..evidence(done(false), vec![run(1)])
    }
}

fn refused(ends: &[TryEnd]) -> CallerRecord {
    caller(true, CallerResult::Refused, ends)
}

const REFUSED: TryEnd = TryEnd::Answered(NotRun);
const UNKNOWN: TryEnd = TryEnd::Answered(Unknown);

violations! {
    complete_response: evidence(done(true), vec![run(1)]) => [];
    filing_run_twice: evidence(done(true), vec![run(1), run(2)]) => [Breach::DoubledFiling { runs: 2 }];
    filing_run_twice_by_one_try: evidence(done(true), vec![run(1), run(1)])
        => [Breach::DoubledFiling { runs: 2 }];
    filing_refused_then_run: evidence(
        caller(true, CallerResult::Done, &[REFUSED, TryEnd::Answered(Done)]),
        vec![refused_run(), run(2)],
    ) => [];
    filing_run_twice_with_unknown_outcome: evidence(
        caller(true, CallerResult::Unknown, &[UNKNOWN]),
        vec![run(1), run(1)],
    ) => [Breach::DoubledFiling { runs: 2 }];
    filing_with_a_stored_response: evidence(
        copies(FilingMethod::Ticket, &[UNKNOWN, TryEnd::Answered(Done)]),
        vec![run(1)],
    ) => [];
    copy_by_ticket_refused_though_one_ran: evidence(
        copies(FilingMethod::Ticket, &[TryEnd::TimedOut, REFUSED]),
        vec![run(1)],
    ) => [Breach::NotRunRan { try_number: 1 }];
    copy_by_key_refused_by_an_entry_unaware_of_the_run: evidence(
        copies(FilingMethod::Key, &[TryEnd::TimedOut, REFUSED]),
        vec![run(1)],
    ) => [];
    copies_by_key_all_refused_though_one_ran: evidence(
        copies(FilingMethod::Key, &[TryEnd::NotConnected, REFUSED]),
        vec![run(1)],
    ) => [Breach::NotRunRan { try_number: 1 }];
    copies_by_key_both_run: evidence(
        copies(FilingMethod::Key, &[TryEnd::TimedOut, TryEnd::Answered(Done)]),
        vec![run(1), run(1)],
    ) => [Breach::DoubledFiling { runs: 2 }];
    idempotent_run_twice: evidence(done(false), vec![run(1), run(1)]) => [];
    refused_but_ran: evidence(refused(&[REFUSED]), vec![run(1)])
        => [Breach::NotRunRan { try_number: 1 }];
    refused_by_entry_and_upstream: evidence(refused(&[REFUSED]), vec![refused_run()]) => [];
    second_try_refused_but_ran: evidence(refused(&[REFUSED, REFUSED]), vec![run(2)])
        => [Breach::NotRunRan { try_number: 2 }];
    done_but_never_ran: evidence(done(false), vec![]) => [Breach::DoneNotRun { try_number: 1 }];
    done_but_record_lost: Evidence { runs_complete: false, ..evidence(done(false), vec![]) } => [];
    truncated_response: evidence(flawed(Flaw::Length { expected: 2, received: 1 }), vec![run(1)])
        => [Breach::NotWhole { flaw: "Length { expected: 2, received: 1 }".into() }];
    late_within_allowance: evidence(late_by(50_000), vec![run(1)]) => [];
    late: evidence(late_by(51_000), vec![run(1)]) => [Breach::NoFinalAnswer { late_ms: 51 }];
    no_response: evidence(caller(false, CallerResult::NoAnswer, &[TryEnd::TimedOut]), vec![run(1)])
        => [Breach::NoFinalAnswer { late_ms: 0 }];
    no_response_from_a_frozen_entry: with_disturbed(
        evidence(caller(false, CallerResult::NoAnswer, &[TryEnd::TimedOut]), vec![]),
        START_US + 5_000,
    ) => [];
    no_entry_reached: evidence(caller(false, CallerResult::Unreached, &[]), vec![])
        => [Breach::NoFinalAnswer { late_ms: 0 }];
    cut_though_retried: evidence(
        caller(false, CallerResult::Done, &[TryEnd::Cut, TryEnd::Answered(Done)]),
        vec![run(1), run(2)],
    ) => [Breach::Cut { entry: ENTRY.into() }];
    cut_by_a_kill: with_disturbed(
        evidence(
            caller(false, CallerResult::Done, &[TryEnd::Cut, TryEnd::Answered(Done)]),
            vec![run(1), run(2)],
        ),
        START_US + 5_000,
    ) => [];
    cut_before_the_kill: with_disturbed(
        evidence(
            caller(false, CallerResult::Done, &[TryEnd::Cut, TryEnd::Answered(Done)]),
            vec![run(1), run(2)],
        ),
        START_US + 20_000,
    ) => [Breach::Cut { entry: ENTRY.into() }];
    cut_after_the_upstream_truncated_its_response: evidence(
        caller(false, CallerResult::Done, &[TryEnd::Cut, TryEnd::Answered(Done)]),
        vec![truncated_run(), run(2)],
    ) => [];
    cut_at_its_deadline: evidence(
        CallerRecord { deadline_ms: 10, ..caller(false, CallerResult::Done, &[TryEnd::Cut]) },
        vec![run(1)],
    ) => [];
    work_within_the_bound: with_leaving(
        evidence(done(false), vec![arrived_after(3_000_000)]), None,
    ) => [];
    work_after_the_bound: with_leaving(
        evidence(done(false), vec![arrived_after(3_500_000)]), None,
    ) => [Breach::WorkWhileLeaving { upstream: "u1".into(), after_ms: 3_500 }];
    work_after_the_return: with_leaving(
        evidence(done(false), vec![arrived_after(3_500_000)]), Some(START_US + 3_200_000),
    ) => [];
    never_queued: with_queued(0, vec![waited(2_000)]) => [];
    queued: with_queued(1, vec![waited(0), waited(2_000)]) => [Breach::Queued {
        upstream: "u1".into(),
        waited_ms: 2,
        queued: 1,
        slots: 2,
    }];
    link_at_its_cap: with_link(1_000) => [];
    link_over_its_cap: with_link(1_001) => [Breach::OverCap {
        from: "arusha".into(),
        to: "moshi".into(),
        bytes_per_s: 1_001,
        cap_bytes_per_s: 1_000,
    }];
}

#[test]
fn violation_contains_the_history_of_its_request() {
    let evidence = evidence(refused(&[REFUSED]), vec![run(1)]);
    let text = judge(&evidence)[0].to_string();
    for part in [
        "a1",
        "NotRunRan",
        "caller a1 in arusha",
        "try 1 to 127.0.0.1:1",
        "upstream u1",
    ] {
        assert!(text.contains(part), "{part} is missing from {text}");
    }
}
