//! The picture: silence, leaving, lists that lag, and lives of instances and upstreams.

use base::Now;
use member::{
    BeatFacts,
    Freshness,
    Identity,
    LeaseState,
    ListFacts,
    ListedInstance,
    ListedUpstream,
    Picture,
    PictureTerms,
    Summary, //
};
use std::time::Duration;

fn terms() -> PictureTerms {
    PictureTerms {
        fresh_for: Duration::from_secs(2),
        old_for: Duration::from_secs(5),
        forget_after: Duration::from_secs(60),
        revive_after: Duration::from_secs(100),
    }
}

fn picture() -> Picture {
    Picture::new("me".into(), terms())
}

fn at(seconds: u64) -> Now {
    Now::from_secs(seconds)
}

fn identity(instance: &str) -> Identity {
    Identity {
        instance: instance.into(),
        region: "r".into(),
        failure_domain: "f".into(),
        callers_addr: "127.0.0.1:1".into(),
        peers_addr: "127.0.0.1:2".into(),
        operator_addr: "127.0.0.1:3".into(),
    }
}

fn beat(instance: &str, incarnation: u64, state: LeaseState) -> BeatFacts {
    BeatFacts {
        identity: identity(instance),
        incarnation,
        version: 1,
        state,
        age: Duration::ZERO,
    }
}

fn hear(picture: &mut Picture, instance: &str, incarnation: u64, state: LeaseState, now: Now) {
    let facts = beat(instance, incarnation, state);
    picture.heard(&instance.into(), &facts, now);
}

fn summary(incarnation: u64, state: LeaseState, age_ms: u64) -> Summary {
    Summary {
        incarnation,
        version: 1,
        state,
        age_ms,
        identity: Some(identity("a")),
    }
}

/// List that was true `age_s` ago: instances and upstreams, and whether each leaves.
fn list(age_s: u64, instances: &[(&str, bool)], upstreams: &[(&str, bool)]) -> ListFacts {
    ListFacts {
        age: Duration::from_secs(age_s),
        instances: instances
            .iter()
            .map(|(id, is_leaving)| ListedInstance {
                identity: identity(id),
                is_leaving: *is_leaving,
            })
            .collect(),
        upstreams: upstreams
            .iter()
            .map(|(id, is_leaving)| ListedUpstream {
                id: (*id).into(),
                service: "s".into(),
                region: "r".into(),
                failure_domain: "f".into(),
                addr: "127.0.0.1:9".into(),
                slots: 6,
                is_leaving: *is_leaving,
            })
            .collect(),
    }
}

fn candidates(picture: &Picture, now: Now) -> Vec<String> {
    let candidates = picture.candidates(now);
    candidates
        .iter()
        .map(|candidate| candidate.identity.instance.to_string())
        .collect()
}

fn state(picture: &Picture, instance: &str) -> LeaseState {
    picture.instance(instance).expect("it is known").state
}

use LeaseState::{
    Leaving,
    Left,
    Live, //
};

/// Symptom: callers are sent to a killed instance. It is still in the platform's list.
#[test]
fn a_killed_instance_leaves_look_ups_when_its_heartbeats_miss() {
    let mut picture = picture();
    picture.listed(&list(0, &[("a", false), ("b", false)], &[]), at(0));
    hear(&mut picture, "a", 1, Live, at(0));
    hear(&mut picture, "b", 1, Live, at(0));
    hear(&mut picture, "b", 1, Live, at(5));
    picture.listed(&list(0, &[("a", false), ("b", false)], &[]), at(5));
    assert_eq!(picture.freshness("a", at(5)), Freshness::Silent);
    assert_eq!(candidates(&picture, at(5)), ["b"]);
}

/// Symptom: a daemon that is cut off names nobody but itself, and drowns. It took the silence of
/// all for the death of all.
#[test]
fn the_silence_of_all_drops_nobody() {
    let mut picture = picture();
    hear(&mut picture, "a", 1, Live, at(0));
    hear(&mut picture, "b", 1, Leaving, at(0));
    hear(&mut picture, "c", 1, Live, at(1));
    assert_eq!(candidates(&picture, at(30)), ["a", "c"]);
}

#[test]
fn facts_age_from_fresh_to_old_to_silent() {
    let mut picture = picture();
    picture.passed_on(
        &"a".into(),
        &summary(1, Live, 500),
        Duration::from_millis(500),
        at(1),
    );
    let ages = [1, 2, 4, 5].map(|seconds| picture.freshness("a", at(seconds)));
    let [fresh, old, silent] = [Freshness::Fresh, Freshness::Old, Freshness::Silent];
    assert_eq!(ages, [fresh, old, old, silent]);
}

macro_rules! one_way {
    ($($(#[$doc:meta])* $name:ident: $then:expr => $state:ident;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let mut picture = picture();
            hear(&mut picture, "a", 2, Live, at(10));
            hear(&mut picture, "a", 2, Leaving, at(11));
            let then: fn(&mut Picture) = $then;
            then(&mut picture);
            assert_eq!(state(&picture, "a"), $state);
        })*
    };
}

one_way! {
    /// Symptom: a stopping instance gets new work again. A beat sent before came after.
    an_older_beat_does_not_revive: |p| hear(p, "a", 2, Live, at(12)) => Leaving;
    an_older_summary_does_not_revive:
        |p| p.passed_on(&"a".into(), &summary(2, Live, 0), Duration::ZERO, at(12)) => Leaving;
    /// Symptom: as above. The platform's list lags.
    the_list_does_not_revive: |p| p.listed(&list(0, &[("a", false)], &[]), at(12)) => Leaving;
    an_earlier_life_changes_nothing: |p| hear(p, "a", 1, Left, at(12)) => Leaving;
    a_later_life_starts_live: |p| hear(p, "a", 3, Live, at(12)) => Live;
    leaving_ends_in_left: |p| hear(p, "a", 2, Left, at(12)) => Left;
}

/// Symptom: a restarted instance gets no work for good. A list of before its restart marked it.
#[test]
fn a_list_of_an_earlier_life_does_not_mark_the_next() {
    let mut picture = picture();
    hear(&mut picture, "a", 2, Live, at(20));
    picture.listed(&list(10, &[("a", true)], &[]), at(25));
    assert_eq!(state(&picture, "a"), Live);
    picture.listed(&list(1, &[("a", true)], &[]), at(25));
    assert_eq!(state(&picture, "a"), Leaving);
}

/// Symptom: a running instance is dropped. The list lags, or was cut short.
#[test]
fn an_instance_gone_from_the_list_stays_while_it_is_heard() {
    let mut picture = picture();
    picture.listed(&list(0, &[("a", false), ("b", false)], &[]), at(0));
    hear(&mut picture, "a", 1, Live, at(9));
    picture.listed(&list(0, &[], &[]), at(10));
    assert_eq!(candidates(&picture, at(10)), ["a"]);
    assert!(picture.instance("b").is_none());
    picture.listed(&list(0, &[], &[]), at(69));
    assert!(picture.instance("a").is_none());
}

#[test]
fn the_own_daemon_is_not_among_the_others() {
    let mut picture = picture();
    hear(&mut picture, "me", 1, Live, at(0));
    picture.listed(&list(0, &[("me", false)], &[]), at(0));
    assert!(picture.candidates(at(0)).is_empty());
}

/// Symptom: news goes round for ever and looks fresh. Each hop has to add to its age.
#[test]
fn news_passed_on_grows_older_with_each_hop() {
    let mut first = picture();
    let mut second = Picture::new("other".into(), terms());
    hear(&mut first, "a", 1, Live, at(0));
    for hop in 1..=3 {
        let now = at(2 * hop);
        let (from, to) = (&first, &mut second);
        for (id, summary) in from.summaries("other", now) {
            to.passed_on(&id, &summary, Duration::from_millis(10), now);
        }
        std::mem::swap(&mut first, &mut second);
    }
    let newest = [&first, &second].map(|picture| picture.freshness("a", at(6)));
    assert_eq!(newest, [Freshness::Silent; 2]);
}

fn with_upstream() -> Picture {
    let mut picture = picture();
    picture.listed(&list(0, &[], &[("u", false)]), at(10));
    picture
}

fn is_leaving(picture: &Picture) -> bool {
    picture.upstream("u").expect("it is listed").is_leaving()
}

macro_rules! upstream {
    ($($(#[$doc:meta])* $name:ident: $signs:expr => $leaving:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let mut picture = with_upstream();
            let signs: fn(&mut Picture) = $signs;
            signs(&mut picture);
            assert_eq!(is_leaving(&picture), $leaving);
        })*
    };
}

fn mark(picture: &mut Picture, seconds: u64) -> bool {
    picture.upstream_leaving("u", Duration::ZERO, at(seconds))
}

fn list_u(picture: &mut Picture, is_leaving: bool, seconds: u64) {
    picture.listed(&list(0, &[], &[("u", is_leaving)]), at(seconds));
}

upstream! {
    a_sign_marks: |p| assert!(mark(p, 20)) => true;
    a_repeated_sign_is_no_news: |p| assert!(mark(p, 20) && !mark(p, 21)) => true;
    the_list_marks: |p| list_u(p, true, 20) => true;
    /// Symptom: a leaving upstream gets new work after seconds. The list, still old, cleared the
    /// mark that an answer's header had set.
    a_list_that_lags_does_not_clear: |p| { mark(p, 20); list_u(p, false, 21) } => true;
    an_answer_does_not_clear:
        |p| { mark(p, 20); p.upstream_answered("u", Duration::ZERO, at(21)) } => true;
    /// Symptom: an upstream that came back never gets work again.
    a_return_seen_in_the_list_clears:
        |p| { mark(p, 20); list_u(p, true, 30); list_u(p, false, 40) } => false;
    a_return_after_an_absence_clears:
        |p| { mark(p, 20); p.listed(&list(0, &[], &[]), at(30)); list_u(p, false, 40) } => false;
    a_return_too_quick_to_be_listed_clears_late:
        |p| { mark(p, 20); list_u(p, false, 119); assert!(is_leaving(p)); list_u(p, false, 120) }
        => false;
    /// Symptom: as two above. Another daemon passes on the mark of the life before.
    an_old_mark_does_not_reach_the_next_life: |p| {
        mark(p, 20);
        list_u(p, true, 30);
        list_u(p, false, 40);
        assert!(!p.upstream_leaving("u", Duration::from_secs(21), at(41)));
    } => false;
}

#[test]
fn marks_reach_other_daemons_even_before_their_list() {
    let mut sender = with_upstream();
    mark(&mut sender, 20);
    let mut receiver = picture();
    for mark in sender.upstream_marks(at(21)) {
        assert!(receiver.upstream_marked(&mark, Duration::ZERO, at(21)));
    }
    receiver.listed(&list(0, &[], &[("u", false)]), at(22));
    assert!(is_leaving(&receiver));
}

/// Any order of signs: the incarnation never falls, and within one the state and the time at
/// which it was true never do.
#[test]
fn what_is_known_of_a_life_only_grows() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .with_iterations(2_000)
        .for_each(|signs| {
            let mut picture = picture();
            let mut before = None;
            for (seconds, (kind, incarnation, said, age)) in (100..).zip(signs) {
                let said = [Live, Leaving, Left][usize::from(said % 3)];
                let incarnation = u64::from(incarnation % 3) + 1;
                let age_s = u64::from(age % 50);
                match kind % 3 {
                    0 => hear(&mut picture, "a", incarnation, said, at(seconds)),
                    1 => {
                        let summary = summary(incarnation, said, 1_000 * age_s);
                        picture.passed_on(&"a".into(), &summary, Duration::ZERO, at(seconds));
                    }
                    _ => picture.listed(&list(age_s, &[("a", said != Live)], &[]), at(seconds)),
                }
                let known = picture.instance("a").expect("each sign names it");
                let now = (known.incarnation, known.state, known.true_at);
                let lives = (before.map(|(life, _, _)| life), Some(now.0));
                assert!(lives.0 <= lives.1);
                if lives.0 == lives.1 {
                    assert!(before.is_some_and(|(_, state, at)| state <= now.1 && at <= now.2));
                }
                before = Some(now);
            }
        });
}
