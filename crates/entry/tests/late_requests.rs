//! Requests that arrive late in the grace period of a planned stop.

mod support;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    eventually,
    ok_response,
    request_head,
    routes,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Response,
    Upstream, //
};

const GRACE: Duration = Duration::from_secs(12);
/// Time after the stop has begun at which a late request is sent.
const LATE: Duration = Duration::from_secs(4);
/// Time within which a request that can't be served is rejected.
const REJECTION_TIME: Duration = Duration::from_millis(500);
/// Time for which the upstream works on a request to a slow path, longer than the rest of the grace period.
const SLOW_TIME: Duration = Duration::from_secs(9);

/// A request that is sent while the entry stops.
#[derive(Clone, Copy)]
struct Case {
    method: &'static str,
    path: &'static str,
    deadline_ms: u32,
    sent_after: Duration,
    /// Whether its connection was used before the stop.
    is_kept: bool,
}

/// A filing that the upstream would still work on when the process has to exit.
const LATE_FILING: Case = Case {
    method: "POST",
    path: "/f/slow",
    deadline_ms: 9_000,
    sent_after: LATE,
    is_kept: true,
};

/// What became of a request.
struct Seen {
    /// `None` if the connection ended without a response.
    response: Option<Response>,
    took: Duration,
    /// Number of times that it reached the upstream.
    arrivals: usize,
}

fn call(case: Case) -> Seen {
    let upstream = Upstream::start(Box::new(|_, request, connection| {
        if request.head.contains("/slow") {
            thread::sleep(SLOW_TIME);
        }
        connection.write(ok_response(request, "ok"));
        true
    }));
    let store = MemoryStore::default();
    let mut routes = routes(1);
    for route in &mut routes.hosts[0].routes {
        route.timeout = Duration::from_secs(10);
    }
    store.put_routes(&routes);
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let entry = Entry::start_unready("entry-1", "region-a", &store, GRACE);
    entry.wait_ready(true);
    let read = request_head("GET", "/r/x", "aa", "");
    let kept = eventually("a response", || {
        let mut caller = Caller::connect(&entry);
        caller.send(&read);
        (caller.read_response()?.status == 200).then_some(caller)
    });
    entry.begin_stop();
    thread::sleep(case.sent_after);
    let mut caller = if case.is_kept {
        kept
    } else {
        Caller::connect(&entry)
    };
    let head = request_head(case.method, case.path, "b1", "content-length: 0\r\n");
    let deadline = format!("deadline-ms: {}", case.deadline_ms);
    let sent = Instant::now();
    caller.send(head.replace("deadline-ms: 3000", &deadline));
    let response = caller.read_response();
    let requests = upstream.requests();
    let arrivals = requests.iter().filter(|request| request.id() == "b1");
    Seen {
        response,
        took: sent.elapsed(),
        arrivals: arrivals.count(),
    }
}

/// Guards against requests that are passed on late in the grace period and cut off at its end.
macro_rules! late_request_that_may_outlast_the_grace_period_is_rejected {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let seen = call($case);
            let response = seen.response.expect("the entry responds");
            assert_eq!(response.status, 503, "{}", response.head);
            assert!(response.header("retry-after").is_some(), "{}", response.head);
            assert_eq!(seen.arrivals, 0);
            assert!(seen.took < REJECTION_TIME, "rejected after {:?}", seen.took);
        }
    )*};
}

late_request_that_may_outlast_the_grace_period_is_rejected! {
    late_filing: LATE_FILING;
    late_filing_on_a_new_connection: Case { is_kept: false, ..LATE_FILING };
    late_read: Case { method: "GET", path: "/r/slow", ..LATE_FILING };
    late_download: Case { method: "GET", path: "/d/slow", ..LATE_FILING };
    late_upload: Case { path: "/u/slow", ..LATE_FILING };
}

/// Guards against rejections of requests that end within the grace period.
macro_rules! request_that_ends_within_the_grace_period_is_answered {
    ($($name:ident: $status:expr, $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let seen = call($case);
            let response = seen.response.expect("the entry responds");
            assert_eq!(response.status, $status, "{}", response.head);
            assert_eq!(seen.arrivals, 1);
        }
    )*};
}

request_that_ends_within_the_grace_period_is_answered! {
    late_filing_with_a_short_deadline: 200, Case { path: "/f/x", deadline_ms: 3_000, ..LATE_FILING };
    late_filing_past_a_short_deadline: 504, Case { deadline_ms: 2_000, ..LATE_FILING };
    early_filing_with_a_long_deadline: 200,
        Case { path: "/f/x", sent_after: Duration::from_secs(1), ..LATE_FILING };
}
