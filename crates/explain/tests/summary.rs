//! Counts of request outcomes by several groupings.

use explain::{
    Fault,
    Logs, //
    OutcomeCounts,
};

/// Line of an instance's start.
fn start(instance: &str, domain: &str) -> String {
    format!(
        r#"{{"time_ms":1000,"level":"info","instance":"{instance}","event":"started","region":"moshi","failure_domain":"{domain}","callers_addr":"127.0.0.1:1"}}"#
    )
}

/// Line of a request that arrived at `arrival_ms` and took `took_ms`, with a target of 400 ms.
fn request(instance: &str, arrival_ms: u64, took_ms: u64, outcome: &str, sent: &str) -> String {
    let time_ms = arrival_ms + took_ms;
    format!(
        r#"{{"time_ms":{time_ms},"level":"info","instance":"{instance}","event":"request","id":"{time_ms}","outcome":"{outcome}","status":200,"route":"menu","took_ms":{took_ms},"target_ms":400,{sent}"picture":{{"routes":1,"number":1,"age_ms":0}}}}"#
    )
}

/// The field `sent` of a request's line.
fn sent(region: &str, domain: &str, warm: bool) -> String {
    format!(
        r#""sent":{{"upstream":"u","region":"{region}","failure_domain":"{domain}","load":0.0,"slots":4,"warm":{warm},"expected":{{"wait_ms":0,"answer_ms":100}}}},"#
    )
}

#[test]
fn each_request_is_counted_once_in_each_table() {
    let lines = [
        start("e-1", "moshi-a"),
        start("e-2", "moshi-b"),
        request(
            "e-1",
            5000,
            100,
            "answered",
            &sent("moshi", "moshi-a", true),
        ),
        request(
            "e-1",
            5900,
            700,
            "answered",
            &sent("moshi", "moshi-b", false),
        ),
        request(
            "e-2",
            6100,
            90,
            "answered",
            &sent("arusha", "arusha-a", true),
        ),
        request("e-2", 6200, 0, "refused", ""),
        request("e-2", 7000, 50, "failed", &sent("moshi", "moshi-b", true)),
    ];
    let mut logs = Logs::default();
    logs.add("all.log", &lines.join("\n"));
    assert_eq!(logs.unreadable().1, 0, "{:?}", logs.unreadable());
    let summary = logs.summary();
    let counts = |in_target, late, refused, failed| OutcomeCounts {
        in_target,
        late,
        refused,
        failed,
        other: 0,
    };
    assert_eq!(summary.by_route["menu"], counts(2, 1, 1, 1));
    assert_eq!(summary.by_domain["moshi-a"], counts(1, 1, 0, 0));
    assert_eq!(summary.by_domain["moshi-b"], counts(1, 0, 1, 1));
    assert_eq!(
        summary.by_way["within the region, not known warm"],
        counts(0, 1, 0, 0)
    );
    assert_eq!(
        summary.by_way["to another region, warm"],
        counts(1, 0, 0, 0)
    );
    assert_eq!(summary.by_way["not sent"], counts(0, 0, 1, 0));
    assert_eq!(summary.by_second[&0], counts(1, 1, 0, 0));
    assert_eq!(summary.by_second[&1], counts(1, 0, 1, 0));
    assert_eq!(summary.by_second[&2], counts(0, 0, 0, 1));
    let counted: u64 = summary.by_cause.values().map(OutcomeCounts::total).sum();
    assert_eq!(counted, 5);
    assert_eq!(summary.by_cause[&Fault::None].in_target, 2);
}

#[test]
fn no_lines_give_empty_tables() {
    let summary = Logs::default().summary();
    assert!(summary.by_second.is_empty());
    assert!(summary.to_string().contains("by route"));
}
