//! Requests that all entries combined send to an upstream that states a rate limit, as received by the upstream.

mod support;

use route::Routes;
use std::{
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    max_within,
    ok_response,
    routes,
    start_entries,
    upstream_row,
    Entry,
    Load,
    MemoryStore,
    ReceivedRequest,
    Upstream,
    ENTRY_NAMES, //
};

/// Length of the window to which the bound applies.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first response that states the limit until the bound has to hold.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which the upstream is then observed under load.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
/// Pause of each caller between a response and its next request.
const PAUSE: Duration = Duration::from_millis(20);

/// Returns the maximum number of requests allowed within [`WINDOW`].
fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0
}

/// An upstream whose responses state the current value of `limit_per_s`.
struct LimitedUpstream {
    upstream: Upstream,
    limit_per_s: Arc<Mutex<Option<f64>>>,
}

impl LimitedUpstream {
    fn start(limit_per_s: f64) -> Self {
        let limit = Arc::new(Mutex::new(Some(limit_per_s)));
        let stated = limit.clone();
        let upstream = Upstream::start(Box::new(move |_, request, connection| {
            let stated = *stated
                .lock()
                .expect("no thread panics while it holds the lock");
            let mut response = ok_response(request, "ok");
            if let Some(limit_per_s) = stated {
                let line = format!("upstream-limit: {limit_per_s}\r\ncontent-length");
                response = response.replacen("content-length", &line, 1);
            }
            thread::sleep(Duration::from_millis(20));
            connection.write(response);
            true
        }));
        Self {
            upstream,
            limit_per_s: limit,
        }
    }

    fn end_limit(&self) {
        *self
            .limit_per_s
            .lock()
            .expect("no thread panics while it holds the lock") = None;
    }

    fn requests_since(&self, since: Instant) -> Vec<ReceivedRequest> {
        let mut requests = self.upstream.requests();
        requests.retain(|request| request.at >= since);
        requests
    }
}

/// Twelve entries, an upstream that states a limit and one that doesn't.
struct Setup {
    entries: Vec<Entry>,
    limited: LimitedUpstream,
    _other: Upstream,
}

impl Setup {
    fn start(
        limit_per_s: f64,
        region: &'static str,
        routes: &Routes,
        visible: impl Fn(usize) -> Vec<&'static str>,
    ) -> Self {
        let store = MemoryStore::default();
        store.put_routes(routes);
        let limited = LimitedUpstream::start(limit_per_s);
        let mut row = upstream_row("u-1", limited.upstream.addr);
        row.region = region.into();
        row.failure_domain = region.replace("region", "domain").into();
        store.put_upstream(&row);
        // Has little capacity, so that the limited upstream is needed as well.
        let other = Upstream::start(Box::new(|_, request, connection| {
            thread::sleep(Duration::from_millis(100));
            connection.write(ok_response(request, "ok"));
            true
        }));
        let mut row = upstream_row("u-2", other.addr);
        row.slots = 2;
        store.put_upstream(&row);
        Self {
            entries: start_entries(&store, visible),
            limited,
            _other: other,
        }
    }
}

/// Returns an empty list, with which an entry sees all others.
fn all_entries(_: usize) -> Vec<&'static str> {
    Vec::new()
}

/// Returns the entries listed to an entry that sees only its group of three.
fn groups(index: usize) -> Vec<&'static str> {
    ENTRY_NAMES[index / 3 * 3..][..3].to_vec()
}

fn sticky() -> Routes {
    let mut routes = routes(1);
    routes.hosts[0].routes[0].sticky = true;
    routes
}

/// Guards against entries that combined exceed the limit, or that leave the upstream unused.
macro_rules! limit_holds {
    ($($name:ident: $limit_per_s:expr, $region:expr, $routes:expr, $headers:expr, $visible:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup::start($limit_per_s, $region, &$routes, $visible);
            let _load = Load::with_headers(&setup.entries, PAUSE, $headers);
            thread::sleep(SETTLE_TIME);
            let since = Instant::now();
            thread::sleep(OBSERVATION_TIME);
            let requests = setup.limited.requests_since(since);
            let max = max_within(WINDOW, &requests);
            assert!(max as f64 <= allowed($limit_per_s), "{max} in {WINDOW:?}");
            let expected = $limit_per_s * OBSERVATION_TIME.as_secs_f64() / 3.0;
            assert!(requests.len() as f64 >= expected, "{} in {OBSERVATION_TIME:?}", requests.len());
        }
    )*};
}

limit_holds! {
    stated_limit_holds: 6.4, "region-a", routes(1), "", all_entries;
    stated_limit_holds_for_keyed_requests: 6.4, "region-a", sticky(), "cookie: jasmine-affinity=7\r\n", all_entries;
    low_stated_limit_holds: 0.6, "region-a", routes(1), "", all_entries;
    stated_limit_holds_where_entries_know_few_others: 6.4, "region-a", routes(1), "", groups;
    stated_limit_holds_in_a_region_without_entries: 6.4, "region-b", routes(1), "", all_entries;
}

/// Guards against an upstream left unused or restricted after its limit has ended.
macro_rules! limit_ends {
    ($($name:ident: $limit_per_s:expr, $region:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup::start($limit_per_s, $region, &routes(1), all_entries);
            let load = Load::start(&setup.entries, PAUSE);
            thread::sleep(SETTLE_TIME);
            let since = Instant::now();
            thread::sleep(WINDOW);
            let limited = setup.limited.requests_since(since).len();
            assert!(limited as f64 <= allowed($limit_per_s), "{limited} in {WINDOW:?}");
            setup.limited.end_limit();
            // The response to the next request that the limit allows shows that it has ended.
            thread::sleep(Duration::from_secs(5));
            let since = Instant::now();
            thread::sleep(WINDOW);
            drop(load);
            let unlimited = setup.limited.requests_since(since).len();
            assert!(unlimited as f64 > 2.0 * allowed($limit_per_s), "{unlimited} in {WINDOW:?}");
        }
    )*};
}

limit_ends! {
    stated_limit_ends: 6.4, "region-a";
    low_stated_limit_ends: 0.3, "region-a";
    limit_of_zero_ends: 0.0, "region-a";
}
