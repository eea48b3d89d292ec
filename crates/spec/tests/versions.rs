//! Accepts and adoptions against a platform whose answers are lost, late or refused.

mod world;

use bytes::Bytes;
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
use world::{
    adopt_all,
    config,
    proposal,
    Fault,
    World, //
};

/// Names each case: faults of the requests in order, then what the operator is told, and whether
/// the accept took effect. After the listed faults all goes well.
macro_rules! accepts {
    ($($name:ident: [$($fault:ident),*] => $outcome:ident, $effect:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut world = World::default();
            let runner = world.start(proposal(1, 0, 30), Guards::ALL);
            for fault in [$(Fault::$fault),*] {
                world.step(runner, fault);
            }
            let outcome = world.run(runner);
            assert!(matches!(outcome, AcceptOutcome::$outcome { .. }), "{outcome:?}");
            world.deliver_late();
            assert_eq!(world.accepted_versions(1), Vec::<u64>::from($effect));
            world.check().unwrap();
        }
    )*};
}

accepts! {
    // Symptom: a store that fails once fails the accept. The object is simply stored again.
    a_lost_store_is_repeated: [Lost, EffectThenLost] => Accepted, [1];
    // Symptom: an accept on an unreachable table hangs or claims success. Nothing was sent that
    // could take effect, so "not accepted" is true.
    reads_that_fail_end_as_not_accepted: [None, Lost, Lost, Lost, Lost, Lost, Lost] => NotAccepted, [];
    // Symptom: the operator is told "not accepted" and yet the daemons adopt the change. The
    // commit took effect and its answer was lost; the row of the accept id proves it.
    a_commit_whose_answer_is_lost_is_found: [None, None, EffectThenLost] => Accepted, [1];
    // The same, and the read back fails at first.
    a_lost_answer_survives_a_lost_read: [None, None, EffectThenLost, Lost, Lost] => Accepted, [1];
    // Symptom: an accept that never arrived counts as accepted. The head has not moved, so the
    // same commit is sent again.
    a_commit_that_never_arrived_is_sent_again: [None, None, Lost] => Accepted, [1];
    // Symptom: the accept is there twice. The first commit arrives after the second took effect;
    // its check of the head fails.
    a_commit_that_arrives_late_takes_effect_once: [None, None, Late] => Accepted, [1];
    // Symptom: a guess is told for the truth. With no answer at all the outcome is unknown.
    no_answer_after_a_commit_is_unknown: [None, None, EffectThenLost, Lost, Lost, Lost, Lost, Lost] => Unknown, [1];
    // A commit that was provably refused is none.
    refused_commits_end_as_not_accepted: [None, None, Refused, Refused, Refused, Refused, Refused, Refused] => NotAccepted, [];
}

#[test]
fn of_two_operators_one_is_told_the_other_s_head() {
    // Symptom: an operator's change vanishes. Sequence: two read the same head, both commit.
    let mut world = World::default();
    let first = world.start(proposal(1, 0, 30), Guards::ALL);
    let second = world.start(proposal(2, 0, 40), Guards::ALL);
    for runner in [first, second, first, second] {
        world.step(runner, Fault::None);
    }
    let accepted = world.run(second);
    let AcceptOutcome::Accepted(head) = accepted else {
        panic!("{accepted:?}");
    };
    let raced = world.run(first);
    assert_eq!(raced, AcceptOutcome::Raced { head: Some(head) });
    world.check().unwrap();
}

#[test]
fn a_repeat_says_that_it_was_accepted_whatever_came_after() {
    // Symptom: an operator repeats an accept whose answer was lost, and a colleague's later change
    // is undone. Cause would be a repeat that only compares itself with the head.
    let mut world = World::default();
    let first = world.start(proposal(1, 0, 30), Guards::ALL);
    let AcceptOutcome::Accepted(made) = world.run(first) else {
        panic!("the first accept is not raced");
    };
    let later = world.start(proposal(2, 1, 40), Guards::ALL);
    assert!(matches!(world.run(later), AcceptOutcome::Accepted(head) if head.version == 2));
    for base in [0, 2] {
        let repeat = world.start(proposal(1, base, 30), Guards::ALL);
        assert_eq!(
            world.run(repeat),
            AcceptOutcome::AlreadyAccepted(made.clone())
        );
    }
    world.check().unwrap();
}

/// Three accepts on the same base, one of them a repeat, under any schedule of faults.
fn schedule(bytes: &[u8], guards: Guards) -> Result<(), String> {
    let mut world = World::default();
    let runners = [
        world.start(proposal(1, 0, 30), guards),
        world.start(proposal(2, 0, 40), guards),
        world.start(proposal(1, 0, 30), guards),
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
            fault if fault < faults.len() => world.step(runner, faults[fault]),
            _ => world.deliver_late(),
        }
    }
    for runner in runners {
        world.run(runner);
    }
    world.deliver_late();
    world.check()
}

#[test]
fn outcomes_are_true_under_any_schedule() {
    bolero::check!()
        .with_iterations(3_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| schedule(bytes, Guards::ALL).unwrap());
}

/// Names each guard whose absence some schedule must show.
macro_rules! guards {
    ($($name:ident: $guard:ident;)*) => {$(
        #[test]
        fn $name() {
            let off = Guards { $guard: false, ..Guards::ALL };
            let found = (0..5_000_u32).any(|seed| {
                let bytes: Vec<u8> = (0..32_u8)
                    .map(|n| Digest::of(&[&seed.to_le_bytes()[..], &[n]].concat()).to_string())
                    .map(|hex| u8::from_str_radix(&hex[..2], 16).unwrap())
                    .collect();
                schedule(&bytes, off).is_err()
            });
            assert!(found, "no schedule shows what the guard is for");
        }
    )*};
}

guards! {
    without_the_check_of_the_head_a_change_is_lost: check_head;
    without_the_row_of_the_accept_id_a_lost_answer_misleads: find_accept_id;
    without_reading_back_a_lost_answer_misleads: read_back;
    without_objects_first_a_head_names_nothing: objects_first;
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
    // Symptom: a drain that was accepted is undone at some daemons. Sequence: version 2 is in
    // force, then a lagging peer tells of version 1.
    let (one, two) = (body(30), body(40));
    let run = |guards| {
        let mut adopt = Adopt::new(BTreeSet::new(), guards);
        for event in [
            offered(2, &two),
            fetched(&two),
            offered(1, &one),
            fetched(&one),
        ] {
            adopt.handle(event);
        }
        version_and_headroom(&adopt)
    };
    assert_eq!(run(Guards::ALL), Some((2, 40)));
    let off = Guards {
        only_higher: false,
        ..Guards::ALL
    };
    assert_eq!(run(off), Some((1, 30)));
}

#[test]
fn a_late_body_is_not_adopted_under_a_newer_head() {
    // Symptom: a daemon reports the newest version and steers by an old one, for good. Sequence:
    // the body of version 1 is asked for, version 2 overtakes it, the first answer comes.
    let (one, two) = (body(30), body(40));
    let run = |guards| {
        let mut adopt = Adopt::new(BTreeSet::new(), guards);
        for event in [
            offered(1, &one),
            offered(2, &two),
            fetched(&one),
            fetched(&two),
        ] {
            adopt.handle(event);
        }
        version_and_headroom(&adopt)
    };
    assert_eq!(run(Guards::ALL), Some((2, 40)));
    let off = Guards {
        match_digest: false,
        ..Guards::ALL
    };
    assert_eq!(run(off), Some((2, 30)));
}

#[test]
fn a_starting_daemon_is_ready_with_the_highest_of_all_sources() {
    // Symptom: a new daemon sends work to what was drained, or an instance that starts anew has an
    // older version in force than before. Sequence: a lagging peer answers first, the table later.
    // Cause: what one source knows is taken for what there is to know.
    let (one, two) = (body(30), body(40));
    let peer = Source::Peer("entry-2".into());
    let silent = Source::Peer("entry-3".into());
    let sources: BTreeSet<Source> = [Source::Table, peer.clone(), silent.clone()].into();
    let mut adopt = Adopt::new(sources.clone(), Guards::ALL);
    let from_peer = |offer| AdoptEvent::Offered {
        source: peer.clone(),
        offer,
    };
    adopt.handle(from_peer(Offer::Head(head(1, &one))));
    adopt.handle(fetched(&one));
    assert_eq!(version_and_headroom(&adopt), None);
    assert!(!adopt.is_ready(), "the table was not heard yet");
    adopt.handle(offered(2, &two));
    adopt.handle(AdoptEvent::Offered {
        source: silent,
        offer: Offer::Unreachable,
    });
    assert!(!adopt.is_ready(), "version 2 is not in force yet");
    assert_eq!(version_and_headroom(&adopt), None);
    adopt.handle(fetched(&two));
    assert_eq!(version_and_headroom(&adopt), Some((2, 40)));
    assert!(adopt.is_ready());
    adopt.handle(offered(3, &one));
    assert!(adopt.is_ready(), "once ready it stays so");

    let off = Guards {
        ready_after_all: false,
        ..Guards::ALL
    };
    let mut adopt = Adopt::new(sources, off);
    adopt.handle(from_peer(Offer::Head(head(1, &one))));
    adopt.handle(fetched(&one));
    assert_eq!(version_and_headroom(&adopt), Some((1, 30)));
    assert!(adopt.is_ready());
}

#[test]
fn a_failed_fetch_is_repeated_and_damage_is_not_adopted() {
    let one = body(30);
    let bytes = one.to_bytes();
    let digest = Digest::of(&bytes);
    let mut damaged = bytes.to_vec();
    *damaged.last_mut().unwrap() ^= 1;
    assert_eq!(
        Object::read(&digest, &damaged),
        Err(spec::ObjectError::Digest)
    );
    let mut adopt = Adopt::new(BTreeSet::new(), Guards::ALL);
    adopt.handle(offered(1, &one));
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
    adopt.handle(fetched(&one));
    assert_eq!(version_and_headroom(&adopt), Some((1, 30)));
}

#[test]
fn a_difference_of_blocks_is_small_and_leads_to_the_same_table() {
    // A snapshot, then differences, some with the configuration alone. A daemon that follows each
    // version fetches only what is new; one that starts walks down to the snapshot.
    let text: String = (0..5_000)
        .map(|n| format!("10.{}.{}.0/24 arusha,moshi\n", n / 256, n % 256))
        .collect();
    let mut world = World::default();
    let mut follower = Adopt::new(BTreeSet::new(), Guards::ALL);
    let changes = [
        text.as_str(),
        "+10.0.7.0/24 moshi\n-10.0.8.0/24\n",
        "",
        "+10.0.7.0/25 arusha\n",
    ];
    let mut fetches = Vec::new();
    for (version, change) in (1_u8..).zip(changes) {
        let blocks = match change {
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
        let shipped: usize = proposal.objects.iter().map(|(_, bytes)| bytes.len()).sum();
        assert!(version == 1 || shipped < 2_000, "{shipped} bytes");
        let runner = world.start(proposal, Guards::ALL);
        assert!(matches!(world.run(runner), AcceptOutcome::Accepted(_)));
        fetches.push(adopt_all(&world, &mut follower));
    }
    assert_eq!(fetches, [2, 2, 1, 2]);
    let mut starter = Adopt::new([Source::Table].into(), Guards::ALL);
    assert_eq!(adopt_all(&world, &mut starter), 4);
    assert!(starter.is_ready());
    let (a, b) = (follower.adopted().unwrap(), starter.adopted().unwrap());
    assert_eq!(a, b);
    assert_eq!(a.table(), b.table());
    let home = |addr: &str| a.table().lookup(addr.parse().unwrap()).unwrap()[0].clone();
    assert_eq!(home("10.0.7.9"), "arusha");
    assert_eq!(home("10.0.7.200"), "moshi");
    assert_eq!(a.table().lookup("10.0.8.1".parse().unwrap()), None);
}

#[test]
fn any_bytes_are_an_object_or_an_error() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(u8, Vec<u8>)>()
        .for_each(|(kind, rest)| {
            let head = [
                "",
                "jasminefield body 1\nblocks none\n\n",
                "jasminefield blocks 1\nsnapshot\n\n",
                "jasminefield blocks 1\ndifference ",
            ][usize::from(kind % 4)];
            let bytes = Bytes::from([head.as_bytes(), rest].concat());
            let _ = Object::read(&Digest::of(&bytes), &bytes);
            let _ = String::from_utf8_lossy(rest).parse::<Head>();
        });
}
