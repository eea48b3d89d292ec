//! Filings over real processes: copies of one filing, entries that die or stop, keys.
//!
//! Each case files an order and then what its name says; the upstreams' records are the truth. A
//! ticket is run at most once, whoever is asked again, and every answer's claim is true.

use rig::{
    send_raw,
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

/// Longest wait for something to become visible; generous, for a busy machine.
const PATIENCE: Duration = Duration::from_secs(40);

/// What an answer claims.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Told {
    status: u16,
    outcome: String,
    body: String,
    text: String,
}

/// A look-up's first entry and its ticket.
struct Found {
    addr: String,
    instance: String,
    ticket: String,
}

fn look_up(rig: &Rig, daemon: &str) -> Found {
    let block = Layout::block(0).replace("0.0/16", "0.1");
    let path = format!("/v1/entries?class=orders&block={block}");
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let (status, text) = send_raw(&rig.daemons[daemon].callers, &request);
    assert_eq!(status, 200, "{text}");
    let body = text.split("\r\n\r\n").nth(1).expect("an answer has a body");
    let answer: Value = serde_json::from_str(body).expect("the body is JSON");
    let part = |value: &Value| value.as_str().expect("the answer has it").to_owned();
    Found {
        addr: part(&answer["entries"][0]["addr"]),
        instance: part(&answer["entries"][0]["instance"]),
        ticket: part(&answer["ticket"]),
    }
}

fn file(addr: &str, header: &str, path: &str, body: &str) -> Told {
    let length = body.len();
    let request = format!(
        "POST /v1/work/orders/{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\r\n\
         jasmine-deadline-ms: 15000\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let (status, text) = send_raw(addr, &request);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let outcome = head
        .lines()
        .find_map(|line| line.strip_prefix("jasmine-outcome: "));
    Told {
        status,
        outcome: outcome.unwrap_or("none").to_owned(),
        body: body.to_owned(),
        text: text.clone(),
    }
}

fn with_ticket(found: &Found) -> String {
    format!("jasmine-ticket: {}", found.ticket)
}

/// Waits until `seen` gives something.
fn wait_for<T>(what: &str, mut seen: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = seen() {
            return value;
        }
        assert!(started.elapsed() < PATIENCE, "waited for {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn other(instance: &str) -> &'static str {
    if instance == "arusha-0" {
        "arusha-1"
    } else {
        "arusha-0"
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: |$rig:ident| $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            #[allow(unused_mut, reason = "most cases change nothing about the rig")]
            let mut $rig = Rig::start(Layout::two_regions()).unwrap();
            $body
        }
    )*};
}

cases! {
    /// Symptom: a guest is billed twice. Sequence: an order is filed, its answer is lost on the
    /// way, the caller sends it again. Cause: a copy can't be told from a new order.
    a_copy_gets_the_first_answer: |rig| {
        let found = look_up(&rig, "arusha-0");
        let first = file(&found.addr, &with_ticket(&found), "chalet", "rice");
        let second = file(&found.addr, &with_ticket(&found), "chalet", "rice");
        assert_eq!((first.status, first.outcome.as_str()), (200, "done"), "{}", first.text);
        assert_eq!((second.status, &second.outcome, &second.body),
            (200, &first.outcome, &first.body), "{}", second.text);
        assert_eq!(rig.ran(), 1);
    }

    /// Symptom: two crews at one crossing. Sequence: ten copies arrive at once while the first is
    /// running. Cause: each finds no outcome recorded yet.
    copies_at_once_run_once: |rig| {
        for index in 0..2 {
            rig.fault_upstream(&format!("arusha-orders-{index}"), &json!({"service_ms": 400.0}));
        }
        let found = look_up(&rig, "arusha-0");
        let told: Vec<Told> = thread::scope(|scope| {
            let send = || scope.spawn(|| file(&found.addr, &with_ticket(&found), "c", "rice"));
            let sent: Vec<_> = (0..10).map(|_| send()).collect();
            sent.into_iter().map(|sent| sent.join().unwrap()).collect()
        });
        for one in &told {
            assert_eq!((&one.outcome, &one.body), (&told[0].outcome, &told[0].body));
        }
        assert_eq!(told[0].outcome, "done", "{}", told[0].text);
        assert_eq!(rig.ran(), 1);
    }

    /// Symptom: an order runs at two entries. Sequence: the caller takes the ticket of one entry to
    /// another. Cause: the other can't know whether the first ran it.
    another_entrys_ticket_does_not_run: |rig| {
        let found = look_up(&rig, "arusha-0");
        let addr = rig.daemons[other(&found.instance)].callers.clone();
        let named = format!("jasmine-entry: {}", found.addr);
        // It names the ticket's entry as soon as it has heard of it.
        wait_for("the ticket's entry to be named", || {
            let told = file(&addr, &with_ticket(&found), "chalet", "rice");
            assert_eq!(told.outcome, "unknown", "{}", told.text);
            told.text.contains(&named).then_some(())
        });
        assert_eq!(rig.ran(), 0);
        let told = file(&found.addr, &with_ticket(&found), "chalet", "rice");
        assert_eq!(told.outcome, "done", "{}", told.text);
        assert_eq!(rig.ran(), 1);
    }

    /// Symptom: the caller of a dead entry never learns whether the order stands. Sequence: the
    /// order runs, its entry is killed a while later, the caller asks another entry. Cause: the
    /// outcome was in the dead process's memory only.
    a_killed_entrys_outcome_is_in_the_table: |rig| {
        let found = look_up(&rig, "arusha-0");
        let first = file(&found.addr, &with_ticket(&found), "chalet", "rice");
        assert_eq!(first.outcome, "done", "{}", first.text);
        let addr = rig.daemons[other(&found.instance)].callers.clone();
        // Asked before the kill, the other entry reads the table as well.
        let told = wait_for("the outcome in the table", || {
            let told = file(&addr, &with_ticket(&found), "chalet", "rice");
            (told.outcome == "done").then_some(told)
        });
        assert_eq!(told.body, first.body);
        rig.kill(&found.instance);
        let told = file(&addr, &with_ticket(&found), "chalet", "rice");
        assert_eq!((told.outcome.as_str(), &told.body), ("done", &first.body), "{}", told.text);
        assert_eq!(rig.ran(), 1);
    }

    /// Symptom: an order filed again after a roll-out runs twice, or nobody knows of it. Sequence:
    /// the order runs, its entry stops as planned, the caller asks the successor, also with a
    /// ticket that was never used. Cause: records and rights would go with the process.
    a_planned_stop_hands_over: |rig| {
        let used = look_up(&rig, "arusha-0");
        let mut unused = look_up(&rig, "arusha-0");
        while unused.instance != used.instance {
            unused = look_up(&rig, "arusha-0");
        }
        let first = file(&used.addr, &with_ticket(&used), "chalet", "rice");
        assert_eq!(first.outcome, "done", "{}", first.text);
        let status = rig.terminate(&used.instance).expect("the entry ends");
        assert!(status.success(), "{status}");
        let addr = rig.daemons[other(&used.instance)].callers.clone();
        let told = file(&addr, &with_ticket(&used), "chalet", "rice");
        assert_eq!((told.outcome.as_str(), &told.body), ("done", &first.body), "{}", told.text);
        assert_eq!(rig.ran(), 1);
        let told = file(&addr, &with_ticket(&unused), "chalet", "beans");
        assert_eq!(told.outcome, "done", "{}", told.text);
        assert_eq!(rig.ran(), 2);
    }

    /// Symptom: an order with the caller's own key runs once at each entry. Sequence: it is filed
    /// at one entry and again, with the same key, at another. Cause: entries share no memory.
    a_key_runs_once_at_any_entry: |rig| {
        let [one, two] = ["arusha-0", "moshi-1"].map(|id| rig.daemons[id].callers.clone());
        let key = "idempotency-key: guest-7-dinner";
        let first = file(&one, key, "chalet", "rice");
        assert_eq!(first.outcome, "done", "{}", first.text);
        let second = wait_for("the recorded outcome", || {
            let told = file(&two, key, "chalet", "rice");
            (told.outcome == "done").then_some(told)
        });
        assert_eq!(second.body, first.body);
        assert_eq!(rig.ran(), 1);
        let reused = file(&two, key, "chalet", "beans");
        assert_eq!((reused.status, reused.outcome.as_str()), (400, "not-run"), "{}", reused.text);
        assert_eq!(rig.ran(), 1);
    }

    /// Symptom: an order is refused though it ran, or runs though it was refused. Sequence: the
    /// table is down, an order with a key is filed, the table comes back, it is filed again.
    /// Cause: a claim that could not be made must not be taken for one.
    a_key_is_refused_while_the_table_is_down: |rig| {
        let addr = rig.daemons["arusha-0"].callers.clone();
        let key = "idempotency-key: guest-8-dinner";
        rig.fault_platform(&json!({"table": {"kind": "down"}}));
        let refused = file(&addr, key, "chalet", "rice");
        assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{}", refused.text);
        assert!(refused.text.contains("retry-after: "), "{}", refused.text);
        assert_eq!(rig.ran(), 0);
        rig.fault_platform(&json!({"table": {"kind": "none"}}));
        wait_for("the key to be taken", || {
            let told = file(&addr, key, "chalet", "rice");
            (told.outcome == "done").then_some(())
        });
        assert_eq!(rig.ran(), 1);
    }

    /// Symptom: orders stop whenever the platform does. Sequence: the platform is frozen whole and
    /// an order is filed by ticket. Cause: a ledger that had to ask would wait.
    a_ticket_needs_no_platform: |rig| {
        let frozen = json!({"kind": "freeze"});
        rig.fault_platform(&json!({"table": frozen, "objects": frozen, "list": frozen}));
        let found = look_up(&rig, "arusha-0");
        let told = file(&found.addr, &with_ticket(&found), "chalet", "rice");
        assert_eq!(told.outcome, "done", "{}", told.text);
        let well = json!({"kind": "none"});
        rig.fault_platform(&json!({"table": well, "objects": well, "list": well}));
        assert_eq!(rig.ran(), 1);
    }
}
