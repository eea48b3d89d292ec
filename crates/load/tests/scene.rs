//! Scene files, the schedule of arrivals, and the check of responses.

use load::{
    schedule,
    Checker,
    Flaw,
    Payload,
    Plan,
    Scene,
    Work, //
};
use standin::pattern::Pattern;
use std::{
    fs,
    time::Duration, //
};
use steer::Policy;

const SCENE: &str = "
seed: 7
duration_ms: 10000
regions:
  - {name: arusha, block: 10.1.0.0/16, share: 3}
  - {name: moshi, block: 10.2.0.0/16}
classes:
  - {name: menu, rate_per_s: 200, deadline_ms: 1000, work: bytes}
  - {name: orders, rate_per_s: 40, deadline_ms: 1000, work: echo, filing: ticket}
bursts:
  - {class: menu, region: moshi, from_ms: 4000, to_ms: 6000, factor: 5}
";

/// Optional fields: the system under test, the policies, events and kills.
const OPTIONAL_FIELDS: &str = "
user: kilima
policies: [ours, hot-cold]
focus: arusha
back_at_ms: 5000
events:
  - {at_ms: 1000, target: upstreams, path: '/fault?id={id}', each: [m0, m1], body: '{\"cold\":true}'}
  - {at_ms: 2000, target: operator, path: /op/v1/drain, body: '{}', leaves: [m0]}
kills:
  - {at_ms: 3000, instances: [arusha-0, arusha-1]}
";

fn scene() -> Scene {
    Scene::read("scene.yaml", SCENE).unwrap()
}

macro_rules! findings {
    ($($name:ident: $from:expr => $to:expr, [$($finding:expr),+ $(,)?];)*) => {$(
        #[test]
        fn $name() {
            let original = format!("{SCENE}{OPTIONAL_FIELDS}");
            let text = original.replace($from, $to);
            assert_ne!(text, original);
            let found = Scene::read("scene.yaml", &text).unwrap_err().to_string();
            let found: Vec<_> = found.lines().collect();
            assert_eq!(found, [$($finding),+]);
        }
    )*};
}

findings! {
    all_findings_are_reported_together: "share: 3" => "share: -3, caller: 1", [
        "scene.yaml:5:47: `share` must be a number of 0 or more",
        "scene.yaml:5:51: unknown field `caller`, did you mean `callers`?",
    ];
    invalid_block: "10.2.0.0/16" => "10.2.0.1/16", [
        "scene.yaml:6:26: `block` must be an IPv4 block as in 10.1.0.0/16",
    ];
    filing_with_a_download: "work: echo" => "work: bytes", [
        "scene.yaml:9:61: `work` of a filing must be echo",
    ];
    burst_of_an_unknown_class: "{class: menu" => "{class: menus", [
        "scene.yaml:11:13: `class` names no class of this scene",
    ];
    duplicate_region: "name: moshi" => "name: arusha", [
        "scene.yaml:6:5: `regions` names `arusha` twice",
        "scene.yaml:11:27: `region` names no region of this scene",
    ];
    unknown_policy: "hot-cold" => "hot", [
        "scene.yaml:14:18: `policies` must be the name of a policy, found `hot`",
    ];
    focus_on_an_unknown_region: "focus: arusha" => "focus: dar", [
        "scene.yaml:15:8: `focus` names no region of this scene",
    ];
    back_at_without_focus: "focus: arusha\n" => "", [
        "scene.yaml:15:13: `back_at_ms` needs `focus` to say which region is back",
    ];
    path_without_placeholder_for_each: "?id={id}" => "?id=m0", [
        "scene.yaml:18:44: `path` must have `{id}` exactly if there is `each`",
    ];
    placeholder_without_each: "each: [m0, m1], " => "", [
        "scene.yaml:18:44: `path` must have `{id}` exactly if there is `each`",
    ];
    body_that_is_not_json: "body: '{}'" => "body: '{'", [
        "scene.yaml:19:63: `body` must be JSON",
    ];
    kill_without_instances: "instances: [arusha-0, arusha-1]" => "instance: arusha-0", [
        "scene.yaml:21:5: missing field `instances`",
        "scene.yaml:21:19: unknown field `instance`, did you mean `instances`?",
    ];
}

#[test]
fn plan_contains_the_system_and_the_policies() {
    let plan = Plan::read("scene.yaml", &format!("{SCENE}{OPTIONAL_FIELDS}")).unwrap();
    assert_eq!(plan.user.as_deref(), Some("kilima"));
    assert_eq!(plan.policies, [Policy::LeastLoaded, Policy::HotCold]);
    assert_eq!(
        (plan.focus.as_deref(), plan.back_at_ms),
        (Some("arusha"), Some(5_000))
    );
    assert_eq!(plan.kills[0].instances, ["arusha-0", "arusha-1"]);
    assert!(plan.warm_up().events.is_empty() && plan.warm_up().bursts.is_empty());
}

#[test]
fn each_expands_to_one_event_per_id() {
    let scene = Plan::read("scene.yaml", &format!("{SCENE}{OPTIONAL_FIELDS}"))
        .unwrap()
        .scene;
    let paths: Vec<_> = scene.events.iter().map(|event| &*event.path).collect();
    assert_eq!(paths, ["/fault?id=m0", "/fault?id=m1", "/op/v1/drain"]);
}

#[test]
fn policies_default_to_all() {
    let plan = Plan::read("scene.yaml", SCENE).unwrap();
    assert_eq!(plan.policies, Policy::ALL);
}

/// Without this test, an invalid scene file is found only when a run of minutes reaches it.
#[test]
fn every_scene_of_the_repository_reads() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenes");
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let plan = Plan::read(&path.display().to_string(), &text);
        let plan = plan.unwrap_or_else(|findings| panic!("{findings}"));
        assert!(plan.user.is_some(), "{} names no user", path.display());
    }
}

#[test]
fn same_seed_gives_the_same_schedule() {
    assert_eq!(schedule(&scene()), schedule(&scene()));
    let other = Scene { seed: 8, ..scene() };
    assert_ne!(schedule(&scene()), schedule(&other));
}

/// Counts the arrivals of a class in a region from second `from_s` to second `to_s`.
fn count(scene: &Scene, class: usize, region: usize, from_s: u64, to_s: u64) -> f64 {
    let within = Duration::from_secs(from_s)..Duration::from_secs(to_s);
    let arrivals = schedule(scene);
    let matching = arrivals
        .iter()
        .filter(|a| a.class == class && a.region == region && within.contains(&a.at));
    matching.count() as f64
}

macro_rules! rates {
    ($($name:ident: class $class:expr, region $region:expr, $from:expr, $to:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let counted = count(&scene(), $class, $region, $from, $to);
            let expected: f64 = $expected;
            // Five standard deviations of a Poisson count; the seed is fixed.
            let tolerance = 5.0 * expected.sqrt();
            assert!((counted - expected).abs() < tolerance, "{counted} arrivals");
        }
    )*};
}

rates! {
    share_of_a_region: class 0, region 0, 0, 10 => 1_500.0;
    before_the_burst: class 0, region 1, 0, 4 => 200.0;
    in_the_burst: class 0, region 1, 4, 6 => 500.0;
    after_the_burst: class 0, region 1, 6, 10 => 200.0;
    class_without_burst: class 1, region 1, 4, 6 => 20.0;
}

#[test]
fn schedule_is_sorted_and_its_ids_are_unique() {
    let arrivals = schedule(&scene());
    assert!(arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let mut ids: Vec<_> = arrivals.iter().map(|a| a.id.clone()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), arrivals.len());
}

#[test]
fn burst_of_one_class_leaves_the_others_unchanged() {
    let without_bursts = Scene {
        bursts: Vec::new(),
        ..scene()
    };
    let orders = |scene: &Scene| -> Vec<_> {
        schedule(scene)
            .into_iter()
            .filter(|a| a.class == 1)
            .collect()
    };
    assert_eq!(orders(&without_bursts), orders(&scene()));
}

#[test]
fn callers_of_a_region_have_different_addresses_within_its_block() {
    let region = &scene().regions[1];
    let mut addresses: Vec<_> = (0..50).map(|i| region.address(i)).collect();
    assert!(addresses.iter().all(|a| a.octets()[..2] == [10, 2]));
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 50);
}

fn id(digit: &str) -> bytestring::ByteString {
    digit.repeat(32).into()
}

fn check(feed: impl FnOnce(&mut Checker<'_>)) -> Option<Flaw> {
    let payload = Payload::new(Work::Bytes, 1_000, &id("a"), 1);
    let mut checker = payload.checker();
    feed(&mut checker);
    checker.finish()
}

/// Complete response to the request of [`check`], as the stand-in generates it.
fn body() -> Vec<u8> {
    let path = Payload::new(Work::Bytes, 1_000, &id("a"), 1).path;
    Pattern::new(&path, 1_000).chunk(0, 1_000).to_vec()
}

#[test]
fn complete_response_in_parts_has_no_flaw() {
    let body = body();
    let flaw = check(|checker| body.chunks(33).for_each(|part| checker.feed(part)));
    assert_eq!(flaw, None);
}

#[test]
fn truncated_response_is_found() {
    let body = body();
    let flaw = check(|checker| checker.feed(&body[..body.len() - 1]));
    let (expected, received) = (1_000, 999);
    assert_eq!(flaw, Some(Flaw::Length { expected, received }));
}

#[test]
fn changed_byte_is_found() {
    let mut body = body();
    body[40] ^= 1;
    let flaw = check(|checker| body.chunks(33).for_each(|part| checker.feed(part)));
    assert_eq!(flaw, Some(Flaw::Content { at: 33 }));
}

#[test]
fn response_to_another_download_is_found() {
    let other = Payload::new(Work::Bytes, 1_000, &id("b"), 1).path;
    let body = Pattern::new(&other, 1_000).chunk(0, 1_000);
    assert_eq!(
        check(|checker| checker.feed(&body)),
        Some(Flaw::Content { at: 0 })
    );
}

/// Echo of a filing, as the stand-in generates it.
fn echo(payload: &Payload) -> String {
    let digest = blake3::hash(&payload.body).to_hex();
    let (path, bytes) = (&payload.path, payload.body.len());
    format!("{{\"path\":\"{path}\",\"body_bytes\":{bytes},\"body_digest\":\"{digest}\"}}")
}

fn check_echo(echoed: &Payload) -> Option<Flaw> {
    let sent = Payload::new(Work::Echo, 100, &id("a"), 2);
    let mut checker = sent.checker();
    checker.feed(echo(echoed).as_bytes());
    checker.finish()
}

#[test]
fn echo_of_an_earlier_try_has_no_flaw() {
    assert_eq!(
        check_echo(&Payload::new(Work::Echo, 100, &id("a"), 1)),
        None
    );
}

#[test]
fn echo_of_another_request_is_crossed() {
    let flaw = check_echo(&Payload::new(Work::Echo, 100, &id("b"), 2));
    assert!(matches!(flaw, Some(Flaw::Crossed { .. })));
}
