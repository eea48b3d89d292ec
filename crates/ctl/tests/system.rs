//! Tests of `jasminectl` against real daemons, with and without faults of the platform.

mod support;

use rig::{
    test_permit,
    Layout,
    Rig, //
};
use serde_json::{
    json,
    Value, //
};
use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    ctl,
    ctl_at,
    spawn_ctl,
    wait_for_exit,
    RunResult,
    TempFile, //
};

/// Timeout of waits for conditions that normally take less than a tenth of it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn one_region() -> Rig {
    Rig::start(Layout::one_region()).unwrap()
}

/// File with the rig's configuration under another name.
fn config_named(rig: &Rig, name: &str) -> TempFile {
    let text = rig.layout.config();
    let text = text.replace("name: rig", &format!("name: {name}"));
    TempFile::new(&format!("{name}.yaml"), text.as_bytes())
}

fn version(rig: &Rig, id: &str) -> u64 {
    let reply = rig.operator_request(id, "/op/v1/status", None);
    reply.body["version"].as_u64().unwrap_or(0)
}

/// Newest version in the platform's table.
fn newest_version(rig: &Rig) -> u64 {
    let reply = rig.operator_request("arusha-0", "/op/v1/history?limit=1", None);
    let version = reply.body[0]["version"].as_u64();
    version.unwrap_or_else(|| panic!("{reply:?}"))
}

fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(
            Instant::now() < deadline,
            "{condition}: not within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

fn set_table_fault(rig: &Rig, kind: &str) {
    rig.fault_platform(&json!({"table": {"kind": kind}}));
}

/// Arguments of the command after `run next:`.
fn next_command(ran: &RunResult) -> Vec<String> {
    let line = ran
        .stderr
        .lines()
        .find_map(|line| line.strip_prefix("run next: jasminectl "));
    let line = line.unwrap_or_else(|| panic!("no next command in {ran:?}"));
    line.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn a_configuration_is_compared_accepted_and_listed() {
    let _turn = test_permit();
    let rig = one_region();
    let file = config_named(&rig, "second");
    let ran = ctl_at(&rig, "arusha-0", &["diff", file.path()]).expect(0, "version 1");
    assert!(
        ran.stdout.contains("deployment: name rig -> second"),
        "{ran:?}"
    );

    let ran = ctl_at(&rig, "arusha-0", &["accept", file.path(), "--wait"])
        .expect(0, "accepted as version 2");
    assert!(
        ran.stdout.contains("in force at all 2 live instances"),
        "{ran:?}"
    );
    assert_eq!(version(&rig, "arusha-1"), 2);

    let ran = ctl_at(&rig, "arusha-1", &["--output", "json", "history"]).expect(0, "");
    let versions: Vec<u64> = ran
        .json()
        .as_array()
        .unwrap()
        .iter()
        .map(|head| head["version"].as_u64().unwrap())
        .collect();
    assert_eq!(versions, [2, 1]);
    ctl_at(&rig, "arusha-1", &["history"]).expect(0, "tester");
    ctl_at(&rig, "arusha-1", &["history", "1"]).expect(0, "name: rig");
    ctl_at(&rig, "arusha-1", &["history", "7"]).expect(1, "there is no version 7");
    ctl_at(&rig, "arusha-1", &["diff", "1", "2"]).expect(0, "name rig -> second");
    ctl_at(&rig, "arusha-0", &["status"]).expect(0, "serving, version 2");
    ctl_at(&rig, "arusha-0", &["instances"]).expect(0, "arusha-1");
    ctl_at(&rig, "arusha-0", &["shares"]).expect(0, "slots/arusha/menu");
}

#[test]
fn targets_and_drains_create_versions() {
    let _turn = test_permit();
    let rig = one_region();
    let at = |args: &[&str]| ctl_at(&rig, "arusha-0", args);
    at(&[
        "target",
        "set",
        "menu",
        "--latency-ms",
        "90",
        "--success-pct",
        "99.95",
        "--wait",
    ])
    .expect(0, "latency_ms 200 -> 90");
    at(&["target", "show"]).expect(0, "99.95%");
    at(&["target", "show", "menus"]).expect(2, "there are: menu");
    at(&["target", "set", "menus", "--latency-ms", "90"]).expect(2, "menu");
    at(&["target", "set", "menu", "--headroom-pct", "200"]).expect(2, "headroom_pct");

    at(&["drain", "start", "failure-domain:arusha/a", "--wait"]).expect(0, "version 3");
    at(&["drain", "start", "failure-domain:arusha/a"]).expect(0, "nothing to change");
    at(&["drain", "start", "failure-domain:arusha/c"]).expect(2, "arusha/c");
    let ran = at(&["--output", "json", "drain", "status"]).expect(0, "");
    let drain = &ran.json()["drains"][0];
    assert_eq!(drain["target"]["id"], "a", "{ran:?}");
    assert_eq!(drain["instances"], json!({"arusha-0": 0}), "{ran:?}");
    assert_eq!(ran.json()["not_answered"], json!([]));
    at(&["drain", "stop", "failure-domain:arusha/a", "--wait"]).expect(0, "version 4");
    at(&["drain", "status"]).expect(0, "none");
    assert_eq!(version(&rig, "arusha-1"), 4);
}

/// Guards against a drain that shows as done while a request is in flight in its domain. Each
/// daemon knows only its own requests, so the command has to query all daemons.
#[test]
fn requests_in_flight_are_counted_over_all_daemons() {
    let _turn = test_permit();
    let rig = one_region();
    for index in 0..3 {
        rig.fault_upstream(
            &format!("arusha-menu-{index}"),
            &json!({"slow_factor": 400}),
        );
    }
    let callers = rig.daemons["arusha-1"].callers_addr.clone();
    let (response_sender, responses) = std::sync::mpsc::channel();
    let work = thread::spawn(move || {
        let mut stream = std::net::TcpStream::connect(callers).unwrap();
        let head = "GET /v1/work/menu/slow HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        std::io::Write::write_all(&mut stream, head.as_bytes()).unwrap();
        let response = std::io::read_to_string(stream).unwrap();
        response_sender.send(response).unwrap();
    });
    // An entry whose slots are not settled yet hands the request to the other entry, which then
    // uses a slot.
    let in_flight = || {
        let used = |id: &str| {
            let status = rig.operator_request(id, "/op/v1/status", None).body;
            status["pools"][0]["slots"]["used"].as_u64()
        };
        let total: u64 = ["arusha-0", "arusha-1"].into_iter().filter_map(used).sum();
        // A request that was answered already will not show as in flight.
        if let Ok(response) = responses.try_recv() {
            panic!("answered before it was in flight: {response}");
        }
        total == 1
    };
    wait_for("a request in flight", in_flight);
    let at = |args: &[&str]| ctl_at(&rig, "arusha-0", args);
    for domain in ["a", "b"] {
        let target = format!("failure-domain:arusha/{domain}");
        at(&["drain", "start", &target, "--wait"]).expect(0, "accepted");
    }
    let ran = at(&["--output", "json", "drain", "status"]).expect(0, "");
    let drains = ran.json()["drains"].as_array().unwrap().clone();
    let requests: u64 = drains
        .iter()
        .flat_map(|drain| drain["upstreams"].as_object().unwrap().values())
        .filter_map(Value::as_u64)
        .sum();
    assert_eq!(requests, 1, "{ran:?}");
    work.join().unwrap();
    let idle = || {
        let ran = at(&["--output", "json", "drain", "status"]);
        let drains = ran.json()["drains"].as_array().unwrap().clone();
        drains.iter().all(|drain| drain["upstreams"] == json!({}))
    };
    wait_for("nothing in flight", idle);
}

/// Guards against a lost update: two operators read the same version and accept one after the
/// other. Without a check of its base, the later accept would silently replace the earlier one.
#[test]
fn the_later_of_two_accepts_on_one_base_is_refused() {
    let _turn = test_permit();
    let rig = one_region();
    let [earlier, later] = ["one", "two"].map(|name| config_named(&rig, name));
    ctl_at(
        &rig,
        "arusha-0",
        &["accept", earlier.path(), "--base", "1", "--author", "first"],
    )
    .expect(0, "version 2");
    for id in ["arusha-0", "arusha-1"] {
        let ran = ctl_at(&rig, id, &["accept", later.path(), "--base", "1"])
            .expect(1, "first made version 2 meanwhile");
        assert!(ran.stderr.contains("name rig -> one"), "{ran:?}");
    }
    assert_eq!(version(&rig, "arusha-0"), 2);
    ctl_at(&rig, "arusha-0", &["accept", later.path(), "--base", "9"]).expect(1, "no version 9");
}

/// Guards against drains that are lost when several start at once through two daemons. Each is an
/// accept, and all but one lose the race; as drains commute, they are retried on the new version.
#[test]
fn concurrent_drains_all_come_into_force() {
    let _turn = test_permit();
    let rig = one_region();
    let targets = ["upstream:u1", "upstream:u2", "upstream:u3", "upstream:u4"];
    let children: Vec<_> = targets
        .iter()
        .enumerate()
        .map(|(index, target)| {
            let daemon = &rig.daemons[&format!("arusha-{}", index % 2)].operator_addr;
            spawn_ctl(&["--daemon", daemon, "drain", "start", target, "--wait"])
        })
        .collect();
    for child in children {
        wait_for_exit(child).expect(0, "accepted as version");
    }
    let ran = ctl_at(&rig, "arusha-0", &["--output", "json", "drain", "status"]);
    assert_eq!(ran.json()["drains"].as_array().unwrap().len(), 4, "{ran:?}");
    assert_eq!(version(&rig, "arusha-0"), 5);
}

/// Guards against a change that is reported as not accepted and comes into force all the same. Some
/// of the table's responses are lost, also those of commits that took effect; only a read of the
/// accept id's row shows whether the change was accepted.
#[test]
fn a_lost_response_never_gives_a_false_outcome() {
    let _turn = test_permit();
    let rig = one_region();
    for (index, ratio) in [0.3, 0.5, 0.6, 0.8, 1.0].into_iter().enumerate() {
        let id = format!("lost-{index}");
        let file = config_named(&rig, &id);
        let base = newest_version(&rig);
        let base_text = base.to_string();
        let accept = [
            "accept",
            file.path(),
            "--base",
            &base_text,
            "--accept-id",
            &id,
        ];
        rig.fault_platform(&json!({"table": {"kind": "lost-answer", "ratio": ratio}}));
        let ran = ctl_at(&rig, "arusha-0", &accept);
        set_table_fault(&rig, "none");
        match ran.code {
            0 => assert_eq!(newest_version(&rig), base + 1, "{ran:?}"),
            1 => {
                let ran = ran.expect(1, "nothing was changed");
                assert_eq!(newest_version(&rig), base, "{ran:?}");
            }
            _ => {
                let next = next_command(&ran.expect(3, "run next: jasminectl"));
                let next: Vec<&str> = next.iter().map(String::as_str).collect();
                let was_accepted = newest_version(&rig) == base + 1;
                let message = if was_accepted {
                    "by an earlier request"
                } else {
                    "accepted as"
                };
                ctl(&next).expect(0, message);
                assert_eq!(newest_version(&rig), base + 1);
            }
        }
    }
    let newest = newest_version(&rig);
    wait_for("newest adopted", || version(&rig, "arusha-1") == newest);
}

/// Guards against a second version from the repeat of an accept whose response was lost. Without
/// the accept id's row, the repeat would be a new accept.
#[test]
fn a_repeat_reports_the_earlier_accept() {
    let _turn = test_permit();
    let rig = one_region();
    let file = config_named(&rig, "repeated");
    let accept = [
        "accept",
        file.path(),
        "--base",
        "1",
        "--accept-id",
        "change-7",
    ];
    ctl_at(&rig, "arusha-0", &accept).expect(0, "accepted as version 2");
    for id in ["arusha-0", "arusha-1"] {
        ctl_at(&rig, id, &accept).expect(0, "accepted already by an earlier request");
    }
    let drain = ["drain", "start", "upstream:u1", "--accept-id", "change-8"];
    ctl_at(&rig, "arusha-1", &drain).expect(0, "accepted as version 3");
    ctl_at(&rig, "arusha-0", &drain).expect(0, "accepted already by an earlier request");
    ctl_at(&rig, "arusha-0", &["drain", "stop", "upstream:u1"]).expect(0, "version 4");
    // The drain was stopped since, but this request was accepted as version 3.
    ctl_at(&rig, "arusha-0", &drain).expect(0, "as version 3");

    let other = config_named(&rig, "other");
    let reused = ["accept", other.path(), "--accept-id", "change-7"];
    ctl_at(&rig, "arusha-0", &reused).expect(1, "this accept id was used before");
    assert_eq!(version(&rig, "arusha-0"), 4);
}

/// Guards against a command that hangs or reports success while the platform is down or frozen. No
/// version can be accepted then, which has to be reported within the client's timeout.
#[test]
fn an_outage_of_the_platform_is_reported_and_changes_nothing() {
    let _turn = test_permit();
    let rig = one_region();
    let file = config_named(&rig, "outage");
    for kind in ["down", "freeze"] {
        set_table_fault(&rig, kind);
        let at = |args: &[&str]| ctl_at(&rig, "arusha-0", args);
        at(&["accept", file.path(), "--base", "1"]).expect(1, "nothing was changed");
        at(&["drain", "start", "region:arusha"]).expect(1, "nothing was changed");
        at(&["target", "set", "menu", "--latency-ms", "9"]).expect(1, "nothing was changed");
        at(&["history"]).expect(1, "can't be read");
        at(&["status"]).expect(0, "version 1");
        at(&["target", "show"]).expect(0, "version 1");
        at(&["drain", "status"]).expect(0, "none");
        set_table_fault(&rig, "none");
    }
    assert_eq!(version(&rig, "arusha-1"), 1);
    ctl_at(&rig, "arusha-0", &["accept", file.path(), "--wait"]).expect(0, "version 2");
}

/// Guards against a command that hangs or reports a false success when its daemon is dead. Another
/// daemon of the list can respond as well.
#[test]
fn a_dead_daemon_is_replaced_by_the_next_in_the_list() {
    let _turn = test_permit();
    let mut rig = one_region();
    let file = config_named(&rig, "next");
    let daemons = ["arusha-0", "arusha-1"].map(|id| rig.daemons[id].operator_addr.clone());
    let addrs = daemons.join(",");
    rig.kill("arusha-0");
    let ran = ctl(&[
        "--daemon",
        &addrs,
        "accept",
        file.path(),
        "--wait",
        "--timeout-s",
        "60",
    ]);
    let ran = ran.expect(0, "accepted as version 2");
    // The killed daemon never confirms; once its lease has lapsed, the wait no longer includes it.
    assert!(ran.stdout.contains("lease has lapsed: arusha-0"), "{ran:?}");
}

/// Guards against `accept --wait` reporting a version as in force everywhere while a daemon still
/// runs on the previous one. A daemon is frozen during the accept; unreachable, but with its lease
/// not lapsed, it counts as not having confirmed.
#[test]
fn a_wait_names_the_daemons_that_have_not_confirmed() {
    let _turn = test_permit();
    let mut rig = Rig::start(Layout {
        terms: {
            let mut terms = Layout::quick_terms();
            terms.retain(|(name, _)| *name != "lease_ms");
            terms.push(("lease_ms", 60_000));
            terms
        },
        ..Layout::one_region()
    })
    .unwrap();
    let file = config_named(&rig, "frozen");
    let daemon = rig.daemons["arusha-0"].operator_addr.clone();
    let wait = [
        "--daemon",
        &daemon,
        "accept",
        file.path(),
        "--wait",
        "--timeout-s",
        "3",
    ];
    let ran = rig.freeze_while("arusha-1", || ctl(&wait));
    let ran = ran.expect(3, "accepted as version 2");
    assert!(ran.stderr.contains("missing: arusha-1"), "{ran:?}");
    let next = next_command(&ran);
    let next: Vec<&str> = next.iter().map(String::as_str).collect();
    ctl(&next).expect(0, "in force at all 2 live instances");
}

/// Guards against a daemon that keeps an old version for as long as it can't reach the platform.
/// Its connection to the platform is cut before a version is accepted at its peer. The head's row
/// is not the only source: heartbeats announce the version, and the peer has the body.
#[test]
fn a_daemon_cut_from_the_platform_adopts_through_its_peer() {
    let _turn = test_permit();
    let rig = Rig::start(Layout {
        platform_relays: true,
        ..Layout::one_region()
    })
    .unwrap();
    rig.fault_platform_relay("arusha-1", "cut");
    let file = config_named(&rig, "cut");
    ctl_at(&rig, "arusha-0", &["accept", file.path(), "--wait"]).expect(0, "at all 2 live");
    assert_eq!(version(&rig, "arusha-1"), 2);
    ctl_at(&rig, "arusha-1", &["history", "2"]).expect(0, "name: cut");
    ctl_at(&rig, "arusha-1", &["accept", file.path()]).expect(1, "nothing was changed");
    // Blocks too: a snapshot from the peer's table, then a difference to it.
    let blocks = TempFile::new("cut.blocks", b"10.9.0.0/16 arusha\n10.8.0.0/16 arusha\n");
    let accept = ["accept", file.path(), "--wait", "--blocks"];
    ctl_at(&rig, "arusha-0", &[&accept[..], &[blocks.path()]].concat()).expect(0, "block table");
    let blocks = TempFile::new("cut-difference.blocks", b"-10.8.0.0/16\n");
    ctl_at(&rig, "arusha-0", &[&accept[..], &[blocks.path()]].concat()).expect(0, "version 4");
    assert_eq!(version(&rig, "arusha-1"), 4);
}

/// Guards against a restarted daemon that does not become ready while the object store is down. It
/// can get the body, the snapshot and the differences from its peers, and its lease from the table.
#[test]
fn a_new_daemon_gets_all_objects_from_peers() {
    let _turn = test_permit();
    let mut rig = one_region();
    let file = config_named(&rig, "store");
    for blocks in ["10.9.0.0/16 arusha\n10.8.0.0/16 arusha\n", "-10.8.0.0/16\n"] {
        let blocks = TempFile::new("store.blocks", blocks.as_bytes());
        let accept = ["accept", file.path(), "--wait", "--blocks", blocks.path()];
        ctl_at(&rig, "arusha-0", &accept).expect(0, "block table");
    }
    rig.fault_platform(&json!({"objects": {"kind": "down"}}));
    rig.kill("arusha-1");
    rig.start_daemon("arusha-1").unwrap();
    rig.wait_ready("arusha-1").unwrap();
    assert_eq!(version(&rig, "arusha-1"), 3);
}

/// Guards against a slow platform, here 1.5 s per call, that delays an accepted version at each
/// daemon. Only the accepting daemon needs the platform; the others learn of the version and fetch
/// it from that daemon.
#[test]
fn a_slow_platform_delays_only_the_accept() {
    let _turn = test_permit();
    let rig = Rig::start(Layout::two_regions()).unwrap();
    let slow = json!({"kind": "slow", "delay_ms": 1500});
    rig.fault_platform(&json!({"table": slow, "objects": slow}));
    let file = config_named(&rig, "slow");
    let ran = ctl_at(
        &rig,
        "arusha-0",
        &["accept", file.path(), "--base", "1", "--wait"],
    );
    ran.expect(0, "in force at all 4 live instances");
}

#[test]
fn commands_without_the_key_are_refused() {
    let _turn = test_permit();
    let key = "the-operators-key-of-the-rig";
    let rig = Rig::start(Layout {
        operator_key: Some(key),
        ..Layout::one_region()
    })
    .unwrap();
    let file = config_named(&rig, "key");
    let right_key = TempFile::new("right.key", format!("{key}\n").as_bytes());
    let wrong_key = TempFile::new("wrong.key", b"another-key-of-the-same-sort\n");
    let commands: [&[&str]; 15] = [
        &["accept", file.path()],
        &["accept", file.path(), "--base", "1"],
        &["status"],
        &["history"],
        &["diff", "1"],
        &["drain", "start", "region:arusha"],
        &["drain", "status"],
        &["target", "set", "menu", "--latency-ms", "9"],
        &["shares"],
        &["drain", "stop", "region:arusha"],
        &["history", "1"],
        &["instances"],
        &["status", "--watch"],
        &["target", "show"],
        &["accept", file.path(), "--base", "1", "--wait"],
    ];
    for command in commands {
        for keys in [&[][..], &["--key-file", wrong_key.path()]] {
            let ran = ctl_at(&rig, "arusha-0", &[keys, command].concat())
                .expect(1, "the operators' key is missing or wrong");
            assert!(!ran.stderr.contains("another-key"), "{ran:?}");
        }
    }
    assert_eq!(version(&rig, "arusha-0"), 1);
    let with_key = ["--key-file", right_key.path(), "accept", file.path()];
    ctl_at(&rig, "arusha-0", &with_key).expect(0, "version 2");
    let empty_key = TempFile::new("empty.key", b"\n");
    let with_empty = ["--key-file", empty_key.path(), "status"];
    ctl_at(&rig, "arusha-0", &with_empty).expect(2, "not a key");
}
