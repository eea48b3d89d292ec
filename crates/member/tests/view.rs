//! The membership view: silence, leaving, delayed lists, and successive lifetimes of instances and
//! upstreams.

use base::Now;
use member::{
    Freshness,
    Heartbeat,
    Identity,
    LeaseState,
    ListedInstance,
    ListedUpstream,
    MembershipView,
    PlatformList,
    Summary, //
    ViewTimeouts,
};
use std::time::Duration;

fn terms() -> ViewTimeouts {
    ViewTimeouts {
        fresh_for: Duration::from_secs(2),
        old_for: Duration::from_secs(5),
        forget_after: Duration::from_secs(60),
        revive_after: Duration::from_secs(100),
    }
}

fn view() -> MembershipView {
    MembershipView::new("me".into(), terms())
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

fn heartbeat(instance: &str, incarnation: u64, state: LeaseState) -> Heartbeat {
    Heartbeat {
        identity: identity(instance),
        incarnation,
        version: 1,
        state,
        age: Duration::ZERO,
    }
}

fn receive(
    view: &mut MembershipView,
    instance: &str,
    incarnation: u64,
    state: LeaseState,
    now: Now,
) {
    let heartbeat = heartbeat(instance, incarnation, state);
    view.apply_heartbeat(&instance.into(), &heartbeat, now);
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

/// List of age `age_s`: instances and upstreams, each with whether it is leaving.
fn list(age_s: u64, instances: &[(&str, bool)], upstreams: &[(&str, bool)]) -> PlatformList {
    PlatformList {
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

fn candidates(view: &MembershipView, now: Now) -> Vec<String> {
    let candidates = view.candidates(now);
    candidates
        .iter()
        .map(|candidate| candidate.identity.instance.to_string())
        .collect()
}

fn state(view: &MembershipView, instance: &str) -> LeaseState {
    view.instance(instance).expect("instance is known").state
}

use LeaseState::{
    Leaving,
    Left,
    Live, //
};

/// Guards against sending callers to a killed instance that the platform's list still names.
#[test]
fn killed_instance_is_dropped_from_look_ups_when_silent() {
    let mut view = view();
    view.apply_list(&list(0, &[("a", false), ("b", false)], &[]), at(0));
    receive(&mut view, "a", 1, Live, at(0));
    receive(&mut view, "b", 1, Live, at(0));
    receive(&mut view, "b", 1, Live, at(5));
    view.apply_list(&list(0, &[("a", false), ("b", false)], &[]), at(5));
    assert_eq!(view.freshness("a", at(5)), Freshness::Silent);
    assert_eq!(candidates(&view, at(5)), ["b"]);
}

/// Guards against a partitioned daemon that takes the silence of all others for their failure, names
/// only itself in look-ups and is overloaded.
#[test]
fn all_instances_stay_when_all_are_silent() {
    let mut view = view();
    receive(&mut view, "a", 1, Live, at(0));
    receive(&mut view, "b", 1, Leaving, at(0));
    receive(&mut view, "c", 1, Live, at(1));
    assert_eq!(candidates(&view, at(30)), ["a", "c"]);
}

#[test]
fn records_age_from_fresh_to_old_to_silent() {
    let mut view = view();
    view.apply_summary(
        &"a".into(),
        &summary(1, Live, 500),
        Duration::from_millis(500),
        at(1),
    );
    let ages = [1, 2, 4, 5].map(|seconds| view.freshness("a", at(seconds)));
    let [fresh, old, silent] = [Freshness::Fresh, Freshness::Old, Freshness::Silent];
    assert_eq!(ages, [fresh, old, old, silent]);
}

macro_rules! one_way {
    ($($(#[$doc:meta])* $name:ident: $then:expr => $state:ident;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let mut view = view();
            receive(&mut view, "a", 2, Live, at(10));
            receive(&mut view, "a", 2, Leaving, at(11));
            let then: fn(&mut MembershipView) = $then;
            then(&mut view);
            assert_eq!(state(&view, "a"), $state);
        })*
    };
}

one_way! {
    /// Guards against new work for a stopping instance when an earlier heartbeat arrives late.
    older_heartbeat_does_not_revive: |p| receive(p, "a", 2, Live, at(12)) => Leaving;
    older_summary_does_not_revive:
        |p| p.apply_summary(&"a".into(), &summary(2, Live, 0), Duration::ZERO, at(12)) => Leaving;
    /// Guards against new work for a stopping instance that a delayed list still shows as live.
    list_does_not_revive: |p| p.apply_list(&list(0, &[("a", false)], &[]), at(12)) => Leaving;
    earlier_incarnation_changes_nothing: |p| receive(p, "a", 1, Left, at(12)) => Leaving;
    later_incarnation_starts_live: |p| receive(p, "a", 3, Live, at(12)) => Live;
    leaving_ends_in_left: |p| receive(p, "a", 2, Left, at(12)) => Left;
}

/// Guards against a restarted instance that gets no work for good because a list from before its
/// restart marked it.
#[test]
fn list_of_earlier_incarnation_does_not_mark_the_next() {
    let mut view = view();
    receive(&mut view, "a", 2, Live, at(20));
    view.apply_list(&list(10, &[("a", true)], &[]), at(25));
    assert_eq!(state(&view, "a"), Live);
    view.apply_list(&list(1, &[("a", true)], &[]), at(25));
    assert_eq!(state(&view, "a"), Leaving);
}

/// Guards against dropping a running instance because a list is delayed or truncated.
#[test]
fn unlisted_instance_stays_while_its_heartbeats_arrive() {
    let mut view = view();
    view.apply_list(&list(0, &[("a", false), ("b", false)], &[]), at(0));
    receive(&mut view, "a", 1, Live, at(9));
    view.apply_list(&list(0, &[], &[]), at(10));
    assert_eq!(candidates(&view, at(10)), ["a"]);
    assert!(view.instance("b").is_none());
    view.apply_list(&list(0, &[], &[]), at(69));
    assert!(view.instance("a").is_none());
}

#[test]
fn own_instance_is_not_in_the_view() {
    let mut view = view();
    receive(&mut view, "me", 1, Live, at(0));
    view.apply_list(&list(0, &[("me", false)], &[]), at(0));
    assert!(view.candidates(at(0)).is_empty());
}

/// Guards against summaries that circulate for ever and stay fresh: each hop has to add to their
/// age.
#[test]
fn relayed_summary_ages_with_each_hop() {
    let mut first = view();
    let mut second = MembershipView::new("other".into(), terms());
    receive(&mut first, "a", 1, Live, at(0));
    for hop in 1..=3 {
        let now = at(2 * hop);
        let (from, to) = (&first, &mut second);
        for (id, summary) in from.summaries("other", now) {
            to.apply_summary(&id, &summary, Duration::from_millis(10), now);
        }
        std::mem::swap(&mut first, &mut second);
    }
    let freshness = [&first, &second].map(|view| view.freshness("a", at(6)));
    assert_eq!(freshness, [Freshness::Silent; 2]);
}

fn with_upstream() -> MembershipView {
    let mut view = view();
    view.apply_list(&list(0, &[], &[("u", false)]), at(10));
    view
}

fn is_leaving(view: &MembershipView) -> bool {
    view.upstream("u").expect("upstream is listed").is_leaving()
}

macro_rules! upstream {
    ($($(#[$doc:meta])* $name:ident: $events:expr => $leaving:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let mut view = with_upstream();
            let events: fn(&mut MembershipView) = $events;
            events(&mut view);
            assert_eq!(is_leaving(&view), $leaving);
        })*
    };
}

fn mark(view: &mut MembershipView, seconds: u64) -> bool {
    view.mark_upstream_leaving("u", Duration::ZERO, at(seconds))
}

fn list_u(view: &mut MembershipView, is_leaving: bool, seconds: u64) {
    view.apply_list(&list(0, &[], &[("u", is_leaving)]), at(seconds));
}

upstream! {
    report_marks_upstream: |p| assert!(mark(p, 20)) => true;
    repeated_report_is_not_new: |p| assert!(mark(p, 20) && !mark(p, 21)) => true;
    list_marks_upstream: |p| list_u(p, true, 20) => true;
    /// Guards against new work for a leaving upstream because a delayed list clears the mark that a
    /// response's header set.
    delayed_list_does_not_clear_mark: |p| { mark(p, 20); list_u(p, false, 21) } => true;
    answer_does_not_clear_mark:
        |p| { mark(p, 20); p.record_upstream_response("u", Duration::ZERO, at(21)) } => true;
    /// Guards against an upstream that came back and never gets work again.
    listed_return_clears_mark:
        |p| { mark(p, 20); list_u(p, true, 30); list_u(p, false, 40) } => false;
    return_after_absence_clears_mark:
        |p| { mark(p, 20); p.apply_list(&list(0, &[], &[]), at(30)); list_u(p, false, 40) } => false;
    return_too_quick_to_be_listed_clears_mark_late:
        |p| { mark(p, 20); list_u(p, false, 119); assert!(is_leaving(p)); list_u(p, false, 120) }
        => false;
    /// Guards against an upstream that came back and gets no work because another daemon relays the
    /// mark of its previous lifetime.
    old_mark_does_not_apply_to_next_lifetime: |p| {
        mark(p, 20);
        list_u(p, true, 30);
        list_u(p, false, 40);
        assert!(!p.mark_upstream_leaving("u", Duration::from_secs(21), at(41)));
    } => false;
}

#[test]
fn relayed_mark_applies_before_upstream_is_listed() {
    let mut sender = with_upstream();
    mark(&mut sender, 20);
    let mut receiver = view();
    for mark in sender.upstream_marks(at(21)) {
        assert!(receiver.apply_upstream_mark(&mark, Duration::ZERO, at(21)));
    }
    receiver.apply_list(&list(0, &[], &[("u", false)]), at(22));
    assert!(is_leaving(&receiver));
}

/// Under any order of events the incarnation never decreases, and neither do the state and the time
/// at which it was true within an incarnation.
#[test]
fn record_never_regresses_within_incarnation() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .with_iterations(2_000)
        .for_each(|events| {
            let mut view = view();
            let mut before = None;
            for (seconds, (kind, incarnation, state, age)) in (100..).zip(events) {
                let state = [Live, Leaving, Left][usize::from(state % 3)];
                let incarnation = u64::from(incarnation % 3) + 1;
                let age_s = u64::from(age % 50);
                match kind % 3 {
                    0 => receive(&mut view, "a", incarnation, state, at(seconds)),
                    1 => {
                        let summary = summary(incarnation, state, 1_000 * age_s);
                        view.apply_summary(&"a".into(), &summary, Duration::ZERO, at(seconds));
                    }
                    _ => view.apply_list(&list(age_s, &[("a", state != Live)], &[]), at(seconds)),
                }
                let known = view.instance("a").expect("every event names the instance");
                let now = (known.incarnation, known.state, known.as_of);
                let incarnations = (before.map(|(incarnation, _, _)| incarnation), Some(now.0));
                assert!(incarnations.0 <= incarnations.1);
                if incarnations.0 == incarnations.1 {
                    assert!(before.is_some_and(|(_, state, at)| state <= now.1 && at <= now.2));
                }
                before = Some(now);
            }
        });
}
