//! What becomes of a scene's events.

use load::{
    leaving,
    not_done,
    Event,
    EventRecord,
    UpstreamFacts, //
};

/// An event that drains `u1` and was answered so.
fn event(upstream: &str, answer: Result<u16, String>) -> EventRecord {
    EventRecord {
        event: Event {
            at_ms: 5,
            target: "operator".into(),
            path: "/op/v1/drain".into(),
            body: "{}".into(),
            leaves: vec![upstream.into()],
            returns: Vec::new(),
        },
        asked_us: 10,
        answered_us: 20,
        answer,
    }
}

fn found(record: EventRecord) -> Vec<String> {
    let facts = UpstreamFacts {
        service: "menu".into(),
        region: "arusha".into(),
        slots: 1,
        max_queued: 0,
    };
    not_done(&[record], &[("u1".into(), facts)].into())
}

macro_rules! events {
    ($($name:ident: $record:expr => [$($found:expr),*];)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(found($record), [$($found),*] as [&str; _]);
        }
    )*};
}

events! {
    accepted: event("u1", Ok(200)) => [];
    refused: event("u1", Ok(404)) => ["5 ms: operator /op/v1/drain: Ok(404)"];
    not_answered: event("u1", Err("gone".into())) => ["5 ms: operator /op/v1/drain: Err(\"gone\")"];
    unknown_upstream: event("u2", Ok(200)) => ["5 ms: no upstream `u2`"];
}

#[test]
fn upstream_leaves_since_the_answer_and_is_asked_before() {
    let left = leaving(&[event("u1", Ok(200))]).remove(0);
    assert_eq!(
        (&*left.upstream, left.asked_us, left.since_us),
        ("u1", 10, 20)
    );
    assert!(leaving(&[event("u1", Ok(503))]).is_empty());
}
