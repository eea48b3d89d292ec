//! Filings with real processes: copies of a filing, entries that die or stop, idempotency keys.
//!
//! Each case files an order and then does what its name says. The upstreams' records show what ran:
//! a ticket or key runs at most once, whichever entry gets the copies, and the outcome in every
//! response is true.

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

/// Limit on waits for a condition; generous, for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// Response to a filing.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Response {
    status: u16,
    outcome: String,
    body: String,
    text: String,
}

/// First entry and ticket of a look-up's result.
struct FoundEntry {
    addr: String,
    instance: String,
    ticket: String,
}

/// Looks up entries for an order at a daemon.
fn look_up(rig: &Rig, daemon: &str) -> FoundEntry {
    let block = Layout::block(0).replace("0.0/16", "0.1");
    let path = format!("/v1/entries?class=orders&block={block}");
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let (status, text) = send_raw(&rig.daemons[daemon].callers_addr, &request);
    assert_eq!(status, 200, "{text}");
    let body = text
        .split("\r\n\r\n")
        .nth(1)
        .expect("the response has a body");
    let result: Value = serde_json::from_str(body).expect("the body is JSON");
    let string = |value: &Value| value.as_str().expect("a string").to_owned();
    FoundEntry {
        addr: string(&result["entries"][0]["addr"]),
        instance: string(&result["entries"][0]["instance"]),
        ticket: string(&result["ticket"]),
    }
}

/// Files an order with a header that identifies it.
fn file(addr: &str, header: &str, path: &str, body: &str) -> Response {
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
    Response {
        status,
        outcome: outcome.unwrap_or("none").to_owned(),
        body: body.to_owned(),
        text: text.clone(),
    }
}

fn ticket_header(entry: &FoundEntry) -> String {
    format!("jasmine-ticket: {}", entry.ticket)
}

/// Polls until `poll` returns a value.
fn wait_for<T>(description: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "timed out waiting for {description}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// The other entry of the region.
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
    /// Symptom: a guest is billed twice. Sequence: an order is filed, the response is lost, and the
    /// caller sends the order again. Cause: the entry can't distinguish a copy from a new order.
    a_copy_gets_the_first_answer: |rig| {
        let entry = look_up(&rig, "arusha-0");
        let first = file(&entry.addr, &ticket_header(&entry), "chalet", "rice");
        let second = file(&entry.addr, &ticket_header(&entry), "chalet", "rice");
        assert_eq!((first.status, first.outcome.as_str()), (200, "done"), "{}", first.text);
        assert_eq!((second.status, &second.outcome, &second.body),
            (200, &first.outcome, &first.body), "{}", second.text);
        assert_eq!(rig.run_count(), 1);
    }

    /// Symptom: an order runs more than once. Sequence: ten copies arrive concurrently. Cause:
    /// none of them finds a recorded outcome yet.
    copies_at_once_run_once: |rig| {
        for index in 0..2 {
            rig.fault_upstream(&format!("arusha-orders-{index}"), &json!({"service_ms": 400.0}));
        }
        let entry = look_up(&rig, "arusha-0");
        let responses: Vec<Response> = thread::scope(|scope| {
            let send = || scope.spawn(|| file(&entry.addr, &ticket_header(&entry), "c", "rice"));
            let threads: Vec<_> = (0..10).map(|_| send()).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        for response in &responses {
            assert_eq!((&response.outcome, &response.body), (&responses[0].outcome, &responses[0].body));
        }
        assert_eq!(responses[0].outcome, "done", "{}", responses[0].text);
        assert_eq!(rig.run_count(), 1);
    }

    /// Symptom: an order runs at two entries. Sequence: the caller uses the ticket of one entry at
    /// another. Cause: the other entry can't know whether the first one ran the order.
    another_entrys_ticket_does_not_run: |rig| {
        let entry = look_up(&rig, "arusha-0");
        let addr = rig.daemons[other(&entry.instance)].callers_addr.clone();
        let entry_header = format!("jasmine-entry: {}", entry.addr);
        // The entry names the ticket's entry as soon as that is in its view.
        wait_for("the ticket's entry to be named", || {
            let response = file(&addr, &ticket_header(&entry), "chalet", "rice");
            assert_eq!(response.outcome, "unknown", "{}", response.text);
            response.text.contains(&entry_header).then_some(())
        });
        assert_eq!(rig.run_count(), 0);
        let response = file(&entry.addr, &ticket_header(&entry), "chalet", "rice");
        assert_eq!(response.outcome, "done", "{}", response.text);
        assert_eq!(rig.run_count(), 1);
    }

    /// Symptom: the caller of a dead entry never learns whether the order ran. Sequence: the order
    /// runs, its entry is killed some time later, and the caller sends it to another entry. Cause:
    /// the outcome was only in the dead process's memory.
    a_killed_entrys_outcome_is_in_the_table: |rig| {
        let entry = look_up(&rig, "arusha-0");
        let first = file(&entry.addr, &ticket_header(&entry), "chalet", "rice");
        assert_eq!(first.outcome, "done", "{}", first.text);
        let addr = rig.daemons[other(&entry.instance)].callers_addr.clone();
        // The other entry reads the table even while the ticket's entry is alive.
        let response = wait_for("the outcome in the table", || {
            let response = file(&addr, &ticket_header(&entry), "chalet", "rice");
            (response.outcome == "done").then_some(response)
        });
        assert_eq!(response.body, first.body);
        rig.kill(&entry.instance);
        let response = file(&addr, &ticket_header(&entry), "chalet", "rice");
        assert_eq!((response.outcome.as_str(), &response.body), ("done", &first.body), "{}", response.text);
        assert_eq!(rig.run_count(), 1);
    }

    /// Symptom: an order filed again after a roll-out runs twice, or its outcome is unknown.
    /// Sequence: the order runs, its entry is stopped as planned, and the caller sends it to the
    /// successor, as well as an order with an unused ticket. Cause: without a hand-over, outcomes
    /// and the right to run tickets are lost with the process.
    a_planned_stop_hands_over: |rig| {
        let used = look_up(&rig, "arusha-0");
        let mut unused = look_up(&rig, "arusha-0");
        while unused.instance != used.instance {
            unused = look_up(&rig, "arusha-0");
        }
        let first = file(&used.addr, &ticket_header(&used), "chalet", "rice");
        assert_eq!(first.outcome, "done", "{}", first.text);
        let status = rig.terminate(&used.instance).expect("the entry ends");
        assert!(status.success(), "{status}");
        let addr = rig.daemons[other(&used.instance)].callers_addr.clone();
        let response = file(&addr, &ticket_header(&used), "chalet", "rice");
        assert_eq!((response.outcome.as_str(), &response.body), ("done", &first.body), "{}", response.text);
        assert_eq!(rig.run_count(), 1);
        let response = file(&addr, &ticket_header(&unused), "chalet", "beans");
        assert_eq!(response.outcome, "done", "{}", response.text);
        assert_eq!(rig.run_count(), 2);
    }

    /// Symptom: an order with an idempotency key runs once at each entry. Sequence: it is filed at
    /// one entry and again, with the same key, at another. Cause: entries share no memory.
    a_key_runs_once_at_any_entry: |rig| {
        let [addr, other_addr] = ["arusha-0", "moshi-1"].map(|id| rig.daemons[id].callers_addr.clone());
        let key = "idempotency-key: guest-7-dinner";
        let first = file(&addr, key, "chalet", "rice");
        assert_eq!(first.outcome, "done", "{}", first.text);
        let second = wait_for("the recorded outcome", || {
            let response = file(&other_addr, key, "chalet", "rice");
            (response.outcome == "done").then_some(response)
        });
        assert_eq!(second.body, first.body);
        assert_eq!(rig.run_count(), 1);
        let reused = file(&other_addr, key, "chalet", "beans");
        assert_eq!((reused.status, reused.outcome.as_str()), (400, "not-run"), "{}", reused.text);
        assert_eq!(rig.run_count(), 1);
    }

    /// Symptom: an order is refused although it ran, or runs although it was refused. Sequence: an
    /// order with a key is filed while the table is down, and again after the table has recovered.
    /// Cause: a claim whose write failed is treated as made.
    a_key_is_refused_while_the_table_is_down: |rig| {
        let addr = rig.daemons["arusha-0"].callers_addr.clone();
        let key = "idempotency-key: guest-8-dinner";
        rig.fault_platform(&json!({"table": {"kind": "down"}}));
        let refused = file(&addr, key, "chalet", "rice");
        assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{}", refused.text);
        assert!(refused.text.contains("retry-after: "), "{}", refused.text);
        assert_eq!(rig.run_count(), 0);
        rig.fault_platform(&json!({"table": {"kind": "none"}}));
        wait_for("the key to be accepted", || {
            let response = file(&addr, key, "chalet", "rice");
            (response.outcome == "done").then_some(())
        });
        assert_eq!(rig.run_count(), 1);
    }

    /// Symptom: orders fail whenever the platform is down. Sequence: the whole platform is frozen,
    /// and an order is filed by ticket. Cause: the entry consults the platform before it runs a
    /// ticket.
    a_ticket_needs_no_platform: |rig| {
        let freeze = json!({"kind": "freeze"});
        rig.fault_platform(&json!({"table": freeze, "objects": freeze, "list": freeze}));
        let entry = look_up(&rig, "arusha-0");
        let response = file(&entry.addr, &ticket_header(&entry), "chalet", "rice");
        assert_eq!(response.outcome, "done", "{}", response.text);
        let no_fault = json!({"kind": "none"});
        rig.fault_platform(&json!({"table": no_fault, "objects": no_fault, "list": no_fault}));
        assert_eq!(rig.run_count(), 1);
    }
}
