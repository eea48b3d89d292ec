//! Events of a scene: which of them had no effect, and which upstreams left by them.

use load::{
    failed_events,
    leaving,
    Event,
    EventRecord,
    UpstreamFacts, //
};

/// An event that drains `upstream`, with the status or error of its response.
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
        sent_us: 10,
        answered_us: 20,
        answer,
    }
}

fn failures(record: EventRecord) -> Vec<String> {
    let facts = UpstreamFacts {
        service: "menu".into(),
        region: "arusha".into(),
        slots: 1,
        max_queued: 0,
    };
    failed_events(&[record], &[("u1".into(), facts)].into())
}

macro_rules! events {
    ($($name:ident: $record:expr => [$($expected:expr),*];)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(failures($record), [$($expected),*] as [&str; _]);
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
fn leaving_starts_at_the_response_and_is_requested_before() {
    let departure = leaving(&[event("u1", Ok(200))]).remove(0);
    assert_eq!(
        (
            &*departure.upstream,
            departure.requested_us,
            departure.since_us
        ),
        ("u1", 10, 20)
    );
    assert!(leaving(&[event("u1", Ok(503))]).is_empty());
}
