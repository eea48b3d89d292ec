//! Tests of route lookups, traffic splits and findings.

use base::FastMap;
use org::{
    Credentials,
    KeyDigest,
    Quota, //
};
use route::{
    verify,
    CallerId,
    CallerLimits,
    Host,
    Kind,
    Organisation,
    Route,
    Routes,
    Service,
    ServiceShare,
    Split,
    Table,
    Unauthorized, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

fn share(service: &'static str, weight: f64) -> ServiceShare {
    ServiceShare {
        service: service.into(),
        weight,
    }
}

fn route(id: &'static str, prefix: &'static str) -> Route {
    Route {
        id: id.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(300),
        priority: 0,
        split: vec![share("s", 1.0)],
        max_attempts: 2,
        sticky: false,
        homes: Vec::new(),
        open: false,
    }
}

fn routes(host_routes: Vec<Route>) -> Routes {
    Routes {
        version: 1,
        services: vec![Service {
            id: "s".into(),
            health_path: "/health".into(),
            max_connections: 10,
            cold_start: Duration::ZERO,
            cold_per_s: 0.0,
        }],
        limits: CallerLimits::default(),
        hosts: vec![Host {
            host: "a.example".into(),
            routes: host_routes,
        }],
        organisations: None,
    }
}

/// Each case gives a host, a path and the id of the expected route.
macro_rules! found {
    ($($name:ident: $host:expr, $path:expr => $id:expr;)*) => {$(
        #[test]
        fn $name() {
            let all = vec![route("root", "/"), route("long", "/a/b/"), route("short", "/a/")];
            let table = Table::new(Arc::new(routes(all)));
            let found = table.find($host, $path).map(|route| route.id.to_string());
            assert_eq!(found.as_deref(), $id);
        }
    )*};
}

found! {
    longest_prefix_wins: "a.example", "/a/b/c" => Some("long");
    partial_segment_does_not_match: "a.example", "/a/bc" => Some("short");
    path_equal_to_the_prefix: "a.example", "/a/" => Some("short");
    path_without_the_prefix_slash: "a.example", "/a" => Some("root");
    host_with_port: "a.example:80", "/a/x" => Some("short");
    host_case_is_ignored: "A.Example", "/a/x" => Some("short");
    unknown_host: "b.example", "/a/x" => None;
}

/// Over any number of requests, each service's count is within one request of its share.
#[test]
fn split_follows_weights() {
    let shares = [
        share("a", 70.0),
        share("b", 20.0),
        share("c", 10.0),
        share("none", 0.0),
    ];
    let mut split = Split::default();
    let mut counts = [0_u32; 4];
    for requests in 1..=1000_u32 {
        counts[split.next(&shares).expect("a service")] += 1;
        for (count, share) in counts.iter().zip(&shares) {
            let expected = f64::from(requests) * share.weight / 100.0;
            assert!(
                (f64::from(*count) - expected).abs() <= 1.0,
                "{counts:?} of {requests}"
            );
        }
    }
    assert_eq!(counts[3], 0);
}

/// Guards against keeping the previous number of services when a new version removes a service from a split in use,
/// which made a process panic.
#[test]
fn split_adapts_to_removed_services() {
    let mut split = Split::default();
    let three = [share("a", 1.0), share("b", 1.0), share("c", 1.0)];
    let mut selected = FastMap::<usize, u32>::default();
    for _ in 0..30 {
        *selected
            .entry(split.next(&three).expect("a service"))
            .or_default() += 1;
    }
    assert!(split.next(&three[..1]).is_some());
    assert!(split.next(&three[..2]).is_some_and(|index| index < 2));
    assert_eq!(split.next(&[share("a", 0.0), share("b", 0.0)]), None);
}

/// All findings are returned at once, each with its location.
#[test]
fn findings_are_collected() {
    let mut bad = route("bad", "no-slash");
    bad.max_attempts = 0;
    bad.split = vec![share("unknown", 0.0)];
    let mut twice = route("twice", "/a/");
    twice.timeout = Duration::ZERO;
    let all = routes(vec![route("once", "/a/"), bad, twice]);
    let findings: Vec<String> = verify(&all).iter().map(ToString::to_string).collect();
    let expected = [
        "host a.example, route bad: the prefix must begin and end with a slash",
        "host a.example, route bad: the maximum number of attempts must not be zero",
        "host a.example, route bad: no service has a positive weight",
        "host a.example, route bad: unknown service unknown",
        "host a.example, route twice: duplicate prefix",
        "host a.example, route twice: the timeout must not be zero",
    ];
    for finding in expected {
        assert!(
            findings.iter().any(|found| found == finding),
            "{finding}: {findings:#?}"
        );
    }
    assert_eq!(findings.len(), expected.len(), "{findings:#?}");
}

#[test]
fn example_parses() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/routes.yaml");
    let text = std::fs::read_to_string(file).expect("the example file");
    let routes = route::parse("routes.yaml", &text).expect("no findings");
    assert_eq!(routes.hosts[1].routes[0].kind, Kind::NonIdempotent);
    assert_eq!(routes.hosts[1].routes[0].homes, ["arusha", "moshi"]);
    let table = Table::new(Arc::new(routes));
    assert!(table.find("menus.example", "/menus/x").is_some());
}

/// Guards against an upload that is sent again after it may have run.
#[test]
fn upload_runs_at_most_once() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/routes.yaml");
    let text = std::fs::read_to_string(file).expect("the example file");
    let text = text.replace("kind: non-idempotent", "kind: upload");
    let routes = route::parse("routes.yaml", &text).expect("no findings");
    let kind = routes.hosts[1].routes[0].kind;
    assert_eq!(kind, Kind::Upload);
    assert!(!kind.is_idempotent());
}

/// Each finding has its file, line and column, and all readable fields are checked in one pass.
#[test]
fn findings_of_a_file_have_locations() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/routes.yaml");
    let text = std::fs::read_to_string(file).expect("the example file");
    let bad = text
        .replace("kind: download", "kind: some")
        .replace("kind: non-idempotent", "kind: once")
        .replace("idle_timeout_ms: 15000", "idle_timeout_ms: 0\n  idle: 1");
    let findings = route::parse("r.yaml", &bad)
        .expect_err("findings")
        .to_string();
    assert_eq!(findings.lines().count(), 3, "{findings}");
    assert!(findings.contains("r.yaml:7:20: "), "{findings}");
    assert!(findings.contains("`idle`"), "{findings}");
    assert!(findings.contains("`kind`"), "{findings}");
    let unknown = text.replace("service: orderdesk, weight", "service: nobody, weight");
    let findings = route::parse("r.yaml", &unknown)
        .expect_err("findings")
        .to_string();
    let expected = "host orders.example, route orders: unknown service nobody";
    assert!(
        findings.starts_with("r.yaml:3") && findings.contains(expected),
        "{findings}"
    );
}

fn organisation(id: &'static str, keys: &[&str]) -> Organisation {
    Organisation {
        id: id.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        quota: Quota::default(),
        homes: Vec::new(),
    }
}

/// Each case gives whether the route is open, the credentials, and the expected organisation.
macro_rules! identified {
    ($($name:ident: $open:expr, $credentials:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut all = routes(Vec::new());
            all.organisations = Some(vec![organisation("o", &["k-1", "k-2"]), organisation("p", &["k-3"])]);
            let table = Table::new(Arc::new(all));
            let route = Route { open: $open, ..route("r", "/") };
            let caller = table.identify(&route, $credentials);
            let found = caller.map(|caller| caller.organisation().map(|one| one.id.to_string()));
            assert_eq!(found, $expected);
        }
    )*};
}

fn key(key: &str) -> Credentials {
    Credentials::Key(KeyDigest::of(key.as_bytes()))
}

identified! {
    first_key: false, key("k-1") => Ok(Some("o".to_owned()));
    second_key: false, key("k-2") => Ok(Some("o".to_owned()));
    key_of_another_organisation: false, key("k-3") => Ok(Some("p".to_owned()));
    unknown_key: false, key("k-4") => Err(Unauthorized::Unknown);
    missing_key: false, Credentials::Missing => Err(Unauthorized::Missing);
    malformed_key: false, Credentials::Malformed => Err(Unauthorized::Malformed);
    key_on_an_open_route: true, key("k-1") => Ok(Some("o".to_owned()));
    unknown_key_on_an_open_route: true, key("k-4") => Ok(None);
    no_key_on_an_open_route: true, Credentials::Missing => Ok(None);
}

/// Guards against routes that are open to everyone because the last organisation was removed.
#[test]
fn routes_with_an_empty_list_of_organisations_require_a_key() {
    let mut all = routes(Vec::new());
    all.organisations = Some(Vec::new());
    let table = Table::new(Arc::new(all.clone()));
    let required = table.identify(&route("r", "/"), Credentials::Missing);
    assert_eq!(required, Err(Unauthorized::Missing));
    all.organisations = None;
    let table = Table::new(Arc::new(all));
    let required = table.identify(&route("r", "/"), Credentials::Missing);
    assert_eq!(required, Ok(CallerId::NotRequired));
}

/// All findings about organisations are returned at once, and none contains a digest.
#[test]
fn findings_about_organisations_are_collected() {
    let mut all = routes(vec![route("r", "/")]);
    let mut bad = organisation("two words", &["k-1"]);
    bad.quota.rate_per_s = -1.0;
    bad.quota.burst = f64::NAN;
    all.organisations = Some(vec![
        organisation("o", &["k-1"]),
        bad,
        organisation("o", &["k-2"]),
    ]);
    let findings: Vec<String> = verify(&all).iter().map(ToString::to_string).collect();
    let expected = [
        "organisation two words: key 1 is a duplicate",
        "organisation two words: the name must be printable ASCII characters without spaces",
        "organisation two words: the rate must not be negative",
        "organisation two words: the burst must not be negative",
        "organisation o: duplicate organisation",
    ];
    assert_eq!(findings, expected);
}

const ORGANISATIONS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/routes-with-organisations.yaml"
);

#[test]
fn example_with_organisations_parses() {
    let text = std::fs::read_to_string(ORGANISATIONS).expect("the example file");
    let routes = route::parse("o.yaml", &text).expect("no findings");
    assert!(routes.hosts[0].routes[1].open);
    let organisations = routes.organisations.expect("organisations");
    assert_eq!(organisations[0].keys.len(), 2);
    assert_eq!(organisations[0].priority, Some(1));
    assert_eq!(organisations[0].quota.rate_per_s, 40.0);
    assert_eq!(organisations[0].homes, ["arusha", "moshi"]);
    assert!(!organisations[1].quota.is_limited());
}

/// Each finding about an organisation has its place, and a key that was entered in place of a digest isn't repeated.
#[test]
fn findings_about_organisations_have_locations() {
    let text = std::fs::read_to_string(ORGANISATIONS).expect("the example file");
    let bad = text.replace("rate_per_s: 40", "rate_per_s: -1").replace(
        "[9c56cc51b374c3ba189210d5b6d4bf57790d351c96c47c02190ecf1e43063503]",
        "[k-secret]",
    );
    let findings = route::parse("o.yaml", &bad)
        .expect_err("findings")
        .to_string();
    assert_eq!(findings.lines().count(), 2, "{findings}");
    assert!(
        findings.contains("o.yaml:") && findings.contains("64 hexadecimal digits"),
        "{findings}"
    );
    assert!(!findings.contains("k-secret"), "{findings}");
    let twice = text.replace("id: meru-huts", "id: kibo-chalets");
    let findings = route::parse("o.yaml", &twice)
        .expect_err("findings")
        .to_string();
    assert!(
        findings.contains("organisation kibo-chalets: duplicate organisation"),
        "{findings}"
    );
    assert!(findings.starts_with("o.yaml:"), "{findings}");
}
