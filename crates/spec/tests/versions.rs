//! Tests of accepting and adopting versions with a platform whose answers are lost, late or
//! refused.

mod simulation;

use bytes::Bytes;
use simulation::{
    adopt_all,
    config,
    proposal,
    Fault,
    Simulation, //
};
use spec::{
    AcceptOutcome,
    Adopt,
    AdoptAction,
    AdoptEvent,
    BlockChange,
    Body,
    Digest,
    FetchFailure,
    Guards,
    Head,
    Object,
    Offer,
    Source, //
};
use std::collections::BTreeSet;

/// Defines a test for each case: the faults of the requests in order, then the outcome for the
/// operator and the versions that the accept made. Requests after the listed faults succeed.
macro_rules! accepts {
    ($($name:ident: [$($fault:ident),*] => $outcome:ident, $effect:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sim = Simulation::default();
            let runner = sim.start(proposal(1, 0, 30), Guards::ALL);
            for fault in [$(Fault::$fault),*] {
                sim.step(runner, fault);
            }
            let outcome = sim.run(runner);
            assert!(matches!(outcome, AcceptOutcome::$outcome { .. }), "{outcome:?}");
            sim.deliver_late();
            assert_eq!(sim.accepted_versions(1), Vec::<u64>::from($effect));
            sim.check().unwrap();
        }
    )*};
}

accepts! {
    // Guards against an accept that fails because one store request failed. The object is stored
    // again.
    a_lost_store_is_repeated: [Lost, EffectThenLost] => Accepted, [1];
    // Guards against an accept that hangs or reports success while the table is unreachable. No
    // commit was sent, so "not accepted" is certain.
    reads_that_fail_end_as_not_accepted: [None, Lost, Lost, Lost, Lost, Lost, Lost] => NotAccepted, [];
    // Guards against reporting "not accepted" for a change that the daemons adopt. The commit
    // took effect and its answer was lost; the row of the accept id proves that it did.
    a_commit_whose_answer_is_lost_is_found: [None, None, EffectThenLost] => Accepted, [1];
    // As above, and the first reads after the commit fail as well.
    a_lost_answer_survives_a_lost_read: [None, None, EffectThenLost, Lost, Lost] => Accepted, [1];
    // Guards against reporting "accepted" for a commit that never arrived. The head has not moved,
    // so the same commit is sent again.
    a_commit_that_never_arrived_is_sent_again: [None, None, Lost] => Accepted, [1];
    // Guards against an accept that takes effect twice. The first commit arrives after the second
    // took effect, and its check of the head fails.
    a_commit_that_arrives_late_takes_effect_once: [None, None, Late] => Accepted, [1];
    // Guards against reporting a guess. If no request after the commit is answered, the outcome is
    // unknown.
    no_answer_after_a_commit_is_unknown: [None, None, EffectThenLost, Lost, Lost, Lost, Lost, Lost] => Unknown, [1];
    // Commits that were refused for certain never take effect.
    refused_commits_end_as_not_accepted: [None, None, Refused, Refused, Refused, Refused, Refused, Refused] => NotAccepted, [];
}

#[test]
fn of_two_concurrent_accepts_one_gets_the_head_of_the_other() {
    // Guards against a lost change: two operators read the same head, and both commit.
    let mut sim = Simulation::default();
    let first = sim.start(proposal(1, 0, 30), Guards::ALL);
    let second = sim.start(proposal(2, 0, 40), Guards::ALL);
    for runner in [first, second, first, second] {
        sim.step(runner, Fault::None);
    }
    let accepted = sim.run(second);
    let AcceptOutcome::Accepted(head) = accepted else {
        panic!("{accepted:?}");
    };
    let raced = sim.run(first);
    assert_eq!(raced, AcceptOutcome::Raced { head: Some(head) });
    sim.check().unwrap();
}

#[test]
fn a_repeated_accept_reports_the_earlier_version_despite_later_ones() {
    // Guards against undoing another operator's later change when an accept whose answer was
    // lost is repeated. That would happen if a repeated request were compared only with the head.
    let mut sim = Simulation::default();
    let first = sim.start(proposal(1, 0, 30), Guards::ALL);
    let AcceptOutcome::Accepted(first_head) = sim.run(first) else {
        panic!("the first accept is not raced");
    };
    let later = sim.start(proposal(2, 1, 40), Guards::ALL);
    assert!(matches!(sim.run(later), AcceptOutcome::Accepted(head) if head.version == 2));
    for base in [0, 2] {
        let repeat = sim.start(proposal(1, base, 30), Guards::ALL);
        assert_eq!(
            sim.run(repeat),
            AcceptOutcome::AlreadyAccepted(first_head.clone())
        );
    }
    sim.check().unwrap();
}

/// Runs three accepts on the same base, one of them repeated, with the schedule of faults
/// that the bytes encode.
fn run_schedule(bytes: &[u8], guards: Guards) -> Result<(), String> {
    let mut sim = Simulation::default();
    let runners = [
        sim.start(proposal(1, 0, 30), guards),
        sim.start(proposal(2, 0, 40), guards),
        sim.start(proposal(1, 0, 30), guards),
    ];
    for byte in bytes {
        let faults = [
            Fault::None,
            Fault::None,
            Fault::Lost,
            Fault::Refused,
            Fault::EffectThenLost,
            Fault::Late,
        ];
        let runner = runners[usize::from(byte % 3)];
        match usize::from(byte / 3) % (faults.len() + 1) {
            fault if fault < faults.len() => sim.step(runner, faults[fault]),
            _ => sim.deliver_late(),
        }
    }
    for runner in runners {
        sim.run(runner);
    }
    sim.deliver_late();
    sim.check()
}

#[test]
fn outcomes_are_true_under_any_schedule() {
    bolero::check!()
        .with_iterations(3_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| run_schedule(bytes, Guards::ALL).unwrap());
}

/// Defines a test for each guard: without it, some schedule must violate an invariant.
macro_rules! guards {
    ($($name:ident: $guard:ident;)*) => {$(
        #[test]
        fn $name() {
            let guards_off = Guards { $guard: false, ..Guards::ALL };
            let violated = (0..5_000_u32).any(|seed| {
                let bytes: Vec<u8> = (0..32_u8)
                    .map(|n| Digest::of(&[&seed.to_le_bytes()[..], &[n]].concat()).to_string())
                    .map(|hex| u8::from_str_radix(&hex[..2], 16).unwrap())
                    .collect();
                run_schedule(&bytes, guards_off).is_err()
            });
            assert!(violated, "no schedule violates an invariant without the guard");
        }
    )*};
}

guards! {
    without_the_head_check_a_change_is_lost: check_head;
    without_the_accept_id_row_a_lost_answer_gives_a_wrong_outcome: find_accept_id;
    without_reading_back_a_lost_answer_gives_a_wrong_outcome: read_back;
    without_objects_first_a_head_names_a_missing_object: objects_first;
}

fn head(version: u64, body: &Body) -> Head {
    Head {
        version,
        digest: Digest::of(&body.to_bytes()),
        accept_id: spec::AcceptId(version.into()),
        author: "asha".into(),
        accepted_at_ms: 0,
    }
}

fn body(headroom_pct: u8) -> Body {
    Body {
        config: config(headroom_pct).into(),
        blocks: None,
    }
}

fn offered(version: u64, body: &Body) -> AdoptEvent {
    AdoptEvent::Offered {
        source: Source::Table,
        offer: Offer::Head(head(version, body)),
    }
}

fn fetched(body: &Body) -> AdoptEvent {
    let bytes = body.to_bytes();
    let digest = Digest::of(&bytes);
    AdoptEvent::Fetched {
        digest,
        object: Ok(Object::read(&digest, &bytes).unwrap()),
    }
}

fn version_and_headroom(adopt: &Adopt) -> Option<(u64, u8)> {
    let adopted = adopt.adopted()?;
    Some((adopted.version(), adopted.config().classes[0].headroom_pct))
}

#[test]
fn a_lower_version_is_never_adopted() {
    // Guards against an accepted drain being undone at some daemons: version 2 is in force, then a
    // lagging peer reports version 1.
    let (first_body, second_body) = (body(30), body(40));
    let run = |guards| {
        let mut adopt = Adopt::new(BTreeSet::new(), guards);
        for event in [
            offered(2, &second_body),
            fetched(&second_body),
            offered(1, &first_body),
            fetched(&first_body),
        ] {
            adopt.handle(event);
        }
        version_and_headroom(&adopt)
    };
    assert_eq!(run(Guards::ALL), Some((2, 40)));
    let guards_off = Guards {
        only_higher: false,
        ..Guards::ALL
    };
    assert_eq!(run(guards_off), Some((1, 30)));
}

#[test]
fn a_late_body_is_not_adopted_under_a_newer_head() {
    // Guards against a daemon that reports the newest version but permanently steers by an old
    // one: the body of version 1 is requested, the head of version 2 arrives, then the first body.
    let (first_body, second_body) = (body(30), body(40));
    let run = |guards| {
        let mut adopt = Adopt::new(BTreeSet::new(), guards);
        for event in [
            offered(1, &first_body),
            offered(2, &second_body),
            fetched(&first_body),
            fetched(&second_body),
        ] {
            adopt.handle(event);
        }
        version_and_headroom(&adopt)
    };
    assert_eq!(run(Guards::ALL), Some((2, 40)));
    let guards_off = Guards {
        match_digest: false,
        ..Guards::ALL
    };
    assert_eq!(run(guards_off), Some((2, 30)));
}

#[test]
fn a_starting_daemon_becomes_ready_with_the_highest_version_of_all_sources() {
    // Guards against a new daemon that sends requests to drained upstreams, and against a restarted
    // instance with an older version in force than before. A lagging peer answers first and the
    // table later; the first answer must not be taken for the highest version.
    let (first_body, second_body) = (body(30), body(40));
    let peer = Source::Peer("entry-2".into());
    let silent = Source::Peer("entry-3".into());
    let sources: BTreeSet<Source> = [Source::Table, peer.clone(), silent.clone()].into();
    let mut adopt = Adopt::new(sources.clone(), Guards::ALL);
    let from_peer = |offer| AdoptEvent::Offered {
        source: peer.clone(),
        offer,
    };
    adopt.handle(from_peer(Offer::Head(head(1, &first_body))));
    adopt.handle(fetched(&first_body));
    assert_eq!(version_and_headroom(&adopt), None);
    assert!(!adopt.is_ready(), "the table has not answered yet");
    adopt.handle(offered(2, &second_body));
    adopt.handle(AdoptEvent::Offered {
        source: silent,
        offer: Offer::Unreachable,
    });
    assert!(!adopt.is_ready(), "version 2 is not in force yet");
    assert_eq!(version_and_headroom(&adopt), None);
    adopt.handle(fetched(&second_body));
    assert_eq!(version_and_headroom(&adopt), Some((2, 40)));
    assert!(adopt.is_ready());
    adopt.handle(offered(3, &first_body));
    assert!(adopt.is_ready(), "a ready daemon stays ready");

    let guards_off = Guards {
        ready_after_all: false,
        ..Guards::ALL
    };
    let mut adopt = Adopt::new(sources, guards_off);
    adopt.handle(from_peer(Offer::Head(head(1, &first_body))));
    adopt.handle(fetched(&first_body));
    assert_eq!(version_and_headroom(&adopt), Some((1, 30)));
    assert!(adopt.is_ready());
}

#[test]
fn a_failed_fetch_is_retried_and_a_damaged_object_is_rejected() {
    let first_body = body(30);
    let bytes = first_body.to_bytes();
    let digest = Digest::of(&bytes);
    let mut damaged = bytes.to_vec();
    *damaged.last_mut().unwrap() ^= 1;
    assert_eq!(
        Object::read(&digest, &damaged),
        Err(spec::ObjectError::DigestMismatch)
    );
    let mut adopt = Adopt::new(BTreeSet::new(), Guards::ALL);
    adopt.handle(offered(1, &first_body));
    for failures in 1..4 {
        let failed = AdoptEvent::Fetched {
            digest,
            object: Err(FetchFailure::Unavailable),
        };
        assert_eq!(
            adopt.handle(failed),
            [AdoptAction::Fetch { digest, failures }]
        );
    }
    adopt.handle(fetched(&first_body));
    assert_eq!(version_and_headroom(&adopt), Some((1, 30)));
}

#[test]
fn a_difference_of_blocks_is_small_and_gives_the_same_table() {
    // The versions are a snapshot, then two differences of the blocks and a change of the
    // configuration alone. A daemon that adopts every version fetches only new objects; a
    // starting daemon fetches the chain down to the snapshot.
    let text: String = (0..5_000)
        .map(|n| format!("10.{}.{}.0/24 arusha,moshi\n", n / 256, n % 256))
        .collect();
    let mut sim = Simulation::default();
    let mut follower = Adopt::new(BTreeSet::new(), Guards::ALL);
    let block_files = [
        text.as_str(),
        "+10.0.7.0/24 moshi\n-10.0.8.0/24\n",
        "",
        "+10.0.7.0/25 arusha\n",
    ];
    let mut fetches = Vec::new();
    for (version, block_file) in (1_u8..).zip(block_files) {
        let blocks = match block_file {
            "" => BlockChange::Keep,
            text => spec::parse_blocks("blocks.txt", text).unwrap(),
        };
        let base = follower.adopted().cloned();
        let proposal = spec::Proposal::new(
            spec::AcceptId(version.into()),
            "asha".into(),
            0,
            base.as_deref(),
            config(30 + version),
            blocks,
        )
        .unwrap();
        let stored_bytes: usize = proposal.objects.iter().map(|(_, bytes)| bytes.len()).sum();
        assert!(version == 1 || stored_bytes < 2_000, "{stored_bytes} bytes");
        let runner = sim.start(proposal, Guards::ALL);
        assert!(matches!(sim.run(runner), AcceptOutcome::Accepted(_)));
        fetches.push(adopt_all(&sim, &mut follower));
    }
    assert_eq!(fetches, [2, 2, 1, 2]);
    let mut starting = Adopt::new([Source::Table].into(), Guards::ALL);
    assert_eq!(adopt_all(&sim, &mut starting), 4);
    assert!(starting.is_ready());
    let (a, b) = (follower.adopted().unwrap(), starting.adopted().unwrap());
    assert_eq!(a, b);
    assert_eq!(a.table(), b.table());
    let home = |addr: &str| a.table().lookup(addr.parse().unwrap()).unwrap()[0].clone();
    assert_eq!(home("10.0.7.9"), "arusha");
    assert_eq!(home("10.0.7.200"), "moshi");
    assert_eq!(a.table().lookup("10.0.8.1".parse().unwrap()), None);
}

#[test]
fn any_bytes_give_an_object_or_an_error() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(u8, Vec<u8>)>()
        .for_each(|(header, rest)| {
            let header_text = [
                "",
                "jasminefield body 1\nblocks none\n\n",
                "jasminefield blocks 1\nsnapshot\n\n",
                "jasminefield blocks 1\ndifference ",
            ][usize::from(header % 4)];
            let bytes = Bytes::from([header_text.as_bytes(), rest].concat());
            let _ = Object::read(&Digest::of(&bytes), &bytes);
            let _ = String::from_utf8_lossy(rest).parse::<Head>();
        });
}
