//! Routes whose upstreams were slow for a time: the estimates from then must not keep requests away for good.

mod support;

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
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
    Cut,
    Deployment,
    Entry,
    MemoryStore,
    NewConnections,
    OpenConnections,
    Upstream,
    LONG_BODY_BYTES,
    LONG_PATH,
    SLOW_PATH,
    SLOW_TIME, //
};

/// Time of a request while its upstream is slow: just within [`TIMEOUT`].
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(1_900);
/// Time of a request at other times.
const USUAL_SERVICE_TIME: Duration = Duration::from_millis(40);
/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(2);
const LATENCY_TARGET: Duration = Duration::from_millis(400);
/// Time within which a route whose upstreams are as fast as usual again has to serve its requests.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Time of a rejection that waits for nothing.
const AT_ONCE: Duration = Duration::from_millis(150);
/// Requests of which each has to be served after [`RECOVERY_TIME`].
const REQUESTS: usize = 20;
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(100);

/// Affinity keys of a caller's requests.
#[derive(Clone, Copy)]
enum Keys {
    None,
    /// Another one for each request.
    New,
    /// The same one for all requests.
    Same,
}

/// What a caller does until [`RECOVERY_TIME`] is over.
#[derive(Clone, Copy)]
enum Meanwhile {
    Calls,
    Waits,
}

/// A route of which all upstreams become slow.
#[derive(Clone, Copy)]
struct Case {
    method: &'static str,
    path: &'static str,
    keys: Keys,
    upstreams: usize,
    meanwhile: Meanwhile,
}

const FILINGS: Case = Case {
    method: "POST",
    path: "/f/x",
    keys: Keys::New,
    upstreams: 1,
    meanwhile: Meanwhile::Calls,
};

/// An entry and the upstreams of its routes.
struct Setup {
    case: Case,
    entry: Entry,
    upstreams: Vec<Upstream>,
    are_slow: Arc<AtomicBool>,
    sent: usize,
}

impl Setup {
    fn new(case: Case) -> Self {
        let store = MemoryStore::default();
        let mut routes = routes(1);
        for route in &mut routes.hosts[0].routes {
            route.timeout = TIMEOUT;
            route.latency_target = LATENCY_TARGET;
            route.sticky = !matches!(case.keys, Keys::None);
        }
        store.put_routes(&routes);
        let are_slow = Arc::new(AtomicBool::new(true));
        let upstreams = (0..case.upstreams).map(|number| {
            let are_slow = are_slow.clone();
            let upstream = Upstream::start(Box::new(move |_, request, connection| {
                let is_slow = are_slow.load(Ordering::Relaxed);
                thread::sleep(if is_slow {
                    SLOW_SERVICE_TIME
                } else {
                    USUAL_SERVICE_TIME
                });
                // Responses while the upstreams are slow are short, so that their times are known.
                let is_long = request.head.contains(LONG_PATH) && !is_slow;
                let body = "x".repeat(if is_long { LONG_BODY_BYTES } else { 2 });
                connection.write(ok_response(request, &body));
                true
            }));
            store.put_upstream(&upstream_row(format!("u-{number}"), upstream.addr));
            upstream
        });
        let upstreams = upstreams.collect();
        let entry = Entry::start("entry-1", &store);
        Self {
            case,
            entry,
            upstreams,
            are_slow,
            sent: 0,
        }
    }

    /// Sends a request. Returns the status of its response, and how long that took.
    fn call(&mut self) -> (u16, Duration) {
        self.sent += 1;
        let cookie = |key| format!("cookie: jasmine-affinity={key}\r\n");
        let mut headers = match self.case.keys {
            Keys::None => String::new(),
            Keys::New => cookie(self.sent),
            Keys::Same => cookie(0),
        };
        if self.case.method == "POST" {
            headers += "content-length: 0\r\n";
        }
        let began = Instant::now();
        let mut caller = Caller::connect(&self.entry);
        let id = format!("{:x}", self.sent);
        caller.send(request_head(
            self.case.method,
            self.case.path,
            &id,
            &headers,
        ));
        let response = caller.read_response().expect("the entry responds");
        (response.status, began.elapsed())
    }

    /// Sends requests until the estimates rule them out, or a number of them has been answered.
    fn learn_that_upstreams_are_slow(&mut self) {
        for _ in 0..4 {
            let (status, _) = self.call();
            if status == 503 {
                return;
            }
            assert_eq!(status, 200);
        }
    }

    fn received(&self) -> usize {
        let requests = self.upstreams.iter().map(|one| one.requests().len());
        requests.sum()
    }
}

/// Guards against a route whose requests are all rejected for good after its upstreams were slow for a time.
macro_rules! route_recovers {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut setup = Setup::new($case);
            setup.learn_that_upstreams_are_slow();
            setup.are_slow.store(false, Ordering::Relaxed);
            let until = Instant::now() + RECOVERY_TIME;
            while Instant::now() < until {
                if matches!(setup.case.meanwhile, Meanwhile::Calls) {
                    setup.call();
                }
                thread::sleep(PAUSE);
            }
            let statuses: Vec<u16> = (0..REQUESTS).map(|_| setup.call().0).collect();
            assert_eq!(statuses, [200; REQUESTS]);
        }
    )*};
}

route_recovers! {
    sticky_route_recovers: FILINGS;
    sticky_route_without_requests_meanwhile_recovers:
        Case { meanwhile: Meanwhile::Waits, ..FILINGS };
    sticky_route_with_several_upstreams_recovers: Case { upstreams: 3, ..FILINGS };
    sticky_route_with_a_known_key_recovers: Case { keys: Keys::Same, ..FILINGS };
    route_without_keys_recovers: Case { keys: Keys::None, ..FILINGS };
    route_of_reads_recovers: Case { method: "GET", path: "/r/x", ..FILINGS };
    route_of_streamed_responses_recovers:
        Case { method: "GET", path: LONG_PATH, upstreams: 3, ..FILINGS };
}

/// Guards against requests that wait for an upstream which can't answer them in time: few find that out, and the others are
/// rejected at once.
#[test]
fn route_that_stays_slow_gets_few_requests() {
    const SLOW_FOR: Duration = Duration::from_secs(8);
    /// One request in two seconds, and the first.
    const REQUESTS_MAX: usize = 5;
    let mut setup = Setup::new(FILINGS);
    setup.learn_that_upstreams_are_slow();
    let (before, until) = (setup.received(), Instant::now() + SLOW_FOR);
    let mut rejected = 0;
    while Instant::now() < until {
        let (status, took) = setup.call();
        if status == 503 {
            rejected += 1;
            assert!(took < AT_ONCE, "rejected after {took:?}");
        }
        thread::sleep(PAUSE);
    }
    let received = setup.received() - before;
    assert!((1..=REQUESTS_MAX).contains(&received), "{received}");
    assert!(rejected > 0);
}

/// Guards against relayed requests that are rejected for good because the entries that relay them have outdated estimates.
#[test]
fn route_of_relayed_requests_recovers() {
    let mut routes = routes(1);
    let filings = &mut routes.hosts[0].routes[1];
    filings.latency_target = LATENCY_TARGET;
    // A request of the slow path ends just within it.
    filings.timeout = SLOW_TIME + Duration::from_millis(40);
    let deployment = Deployment::start_with(&routes);
    deployment.links[0].cut(Cut {
        open: OpenConnections::Hang,
        new: NewConnections::Hang,
    });
    let call = |id: &str, path: &str| {
        let mut caller = Caller::connect(&deployment.entries[0]);
        caller.send(request_head("POST", path, id, "content-length: 0\r\n"));
        caller.read_response().expect("the entry responds").status
    };
    // Until the entry relays its requests, and the entries that do so reject them.
    let mut number = 0;
    eventually("rejections", || {
        let statuses = [(); 3].map(|()| {
            number += 1;
            call(&format!("{number:x}"), SLOW_PATH)
        });
        (statuses == [503; 3]).then_some(())
    });
    thread::sleep(RECOVERY_TIME);
    let served = (0..REQUESTS).filter(|number| call(&format!("c{number:x}"), "/f/x") == 200);
    assert_eq!(served.count(), REQUESTS);
}
