//! Load balancing under faults, checked against the records of callers and upstreams.
//!
//! The tests run the real binaries. No test may violate a guarantee, such as that no upstream gets
//! more requests than it has slots. Service times are long compared with the machine's scheduling
//! noise, and limits are wide.

use load::{
    unix_us,
    Burst,
    CallerRegion,
    CallerResult,
    ClassLoad,
    FilingMethod,
    Scene,
    UnixUs,
    Work, //
};
use rig::{
    exclusive_test_permit,
    ClassLayout,
    Layout,
    RegionLayout,
    Rig,
    Trial, //
};
use serde_json::json;
use std::{
    thread::sleep,
    time::Duration, //
};

const HOME: &str = "arusha";
const AWAY: &str = "moshi";
/// Length of a response body, in bytes.
const RESPONSE_BYTES: u64 = 1_000;
/// Time for the system to settle under load before the fault.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Two regions with three upstreams each, which serve 270 requests per second per region.
fn layout() -> Layout {
    Layout {
        classes: vec![ClassLayout {
            service_ms: 100.0,
            ..ClassLayout::menu()
        }],
        ..Layout::two_regions()
    }
}

/// Requests of class `menu` at `rate_per_s` in each region.
fn scene(rate_per_s: f64, duration_ms: u64) -> Scene {
    let region = |name: &str, index| CallerRegion {
        name: name.to_owned().into(),
        block: Layout::block(index).into(),
        callers: 30,
        share: 1.0,
        one_way_ms: 0,
    };
    Scene {
        seed: 3,
        duration_ms,
        allowance_ms: 5_000,
        leaving_bound_ms: 3_000,
        threads: 1,
        regions: vec![region(HOME, 0), region(AWAY, 1)],
        classes: vec![ClassLoad {
            name: "menu".into(),
            rate_per_s: 2.0 * rate_per_s,
            deadline_ms: 4_000,
            work: Work::Bytes,
            bytes: RESPONSE_BYTES,
            filing: FilingMethod::None,
            tries: 6,
            attempt_ms: None,
        }],
        bursts: Vec::new(),
        events: Vec::new(),
    }
}

/// End times of requests that home entries forwarded to the other region for home callers.
fn shifted_finishes_us(trial: &Trial) -> Vec<UnixUs> {
    let answered_away = |attempt: &load::Try| {
        let instance = attempt.instance.as_ref();
        instance.is_some_and(|instance| instance.starts_with(AWAY))
    };
    // An entry that forwards a request relays the response under its own name, so shifted requests
    // are found by the runs at the other region's upstreams.
    let callers = trial.driven.callers.iter();
    let home_callers =
        callers.filter(|caller| caller.region == HOME && caller.result == CallerResult::Done);
    let answered_at_home = home_callers.filter(|caller| !caller.tries.iter().any(answered_away));
    let mut finished_us: Vec<UnixUs> = answered_at_home
        .filter(|caller| {
            let mut runs = trial.runs.iter();
            runs.any(|run| run.id == caller.id && run.upstream.starts_with(AWAY))
        })
        .map(|caller| caller.finished_us)
        .collect();
    finished_us.sort_unstable();
    finished_us
}

/// Number of an upstream's runs that started within `[from_us, to_us)`.
fn count_runs(trial: &Trial, upstream: &str, from_us: UnixUs, to_us: UnixUs) -> usize {
    let started = |run: &&load::Run| {
        let at_us = run.started_us.unwrap_or(0);
        run.upstream == upstream && (from_us..to_us).contains(&at_us)
    };
    trial.runs.iter().filter(started).count()
}

/// Symptom: callers of one region wait or are refused while the other region is idle, or the link
/// is saturated and the other region's callers wait as well. Sequence: the load of one region
/// quadruples for three seconds. Cause: load above a region's capacity must be shifted, within the
/// cap.
#[test]
fn burst_spills_under_the_cap() {
    let _permit = exclusive_test_permit();
    let cap = 60_000;
    let mut rig = Rig::start(Layout {
        cap_bytes_per_s: cap,
        ..layout()
    })
    .unwrap();
    let mut scene = scene(100.0, 8_000);
    scene.bursts.push(Burst {
        class: None,
        region: Some(HOME.into()),
        from_ms: 2_000,
        to_ms: 5_000,
        factor: 4.0,
    });
    let trial = rig.run(&scene, |_| {});
    trial.assert_guarantees_kept(0.97);
    let shifted_us = shifted_finishes_us(&trial);
    assert!(shifted_us.len() >= 30, "only {} shifted", shifted_us.len());
    // Callers' timestamps are inexact, so two seconds may carry two and a half times the cap.
    for (index, &from_us) in shifted_us.iter().enumerate() {
        let in_window = shifted_us[index..].iter();
        let in_window = in_window.take_while(|&&at_us| at_us < from_us + 2_000_000);
        let bytes = in_window.count() as u64 * RESPONSE_BYTES;
        assert!(bytes <= cap * 5 / 2, "{bytes} bytes in two seconds");
    }
    let away = &trial.report.regions[AWAY];
    assert_eq!(away.done, away.offered, "\n{}", trial.report);
}

/// Symptom: one in three requests takes ten times as long. Sequence: one of three upstreams becomes
/// ten times slower. Cause: it looks idle if only its responses are counted.
#[test]
fn slow_upstream_is_avoided() {
    let _permit = exclusive_test_permit();
    let mut rig = Rig::start(layout()).unwrap();
    let mut slowed_us = 0;
    let trial = rig.run(&scene(80.0, 10_000), |rig| {
        sleep(SETTLE_TIME);
        rig.fault_upstream("arusha-menu-0", &json!({"slow_factor": 10.0}));
        slowed_us = unix_us();
    });
    trial.assert_guarantees_kept(0.99);
    let window_us = (slowed_us + 3_000_000, slowed_us + 8_000_000);
    let slow = count_runs(&trial, "arusha-menu-0", window_us.0, window_us.1);
    let other = count_runs(&trial, "arusha-menu-1", window_us.0, window_us.1);
    assert!(
        slow * 5 < other,
        "{slow} runs on the slow upstream, {other} on another"
    );
}

/// Symptom: requests queue at upstreams. Sequence: all upstreams of a region report no load and ten
/// times their slots while the offered load exceeds their capacity. Cause: load reports can be
/// wrong, so they may only lower the number of slots in use.
#[test]
fn lying_reports_raise_nothing() {
    let _permit = exclusive_test_permit();
    let mut rig = Rig::start(layout()).unwrap();
    let mut scene = scene(100.0, 7_000);
    scene.bursts.push(Burst {
        class: None,
        region: Some(HOME.into()),
        from_ms: 2_000,
        to_ms: 4_000,
        factor: 4.0,
    });
    let trial = rig.run(&scene, |rig| {
        let lie = json!({"slots": 90, "in_flight": 0, "queued": 0, "state": "up"});
        for index in 0..3 {
            rig.fault_upstream(&format!("{HOME}-menu-{index}"), &json!({"lie": lie}));
        }
    });
    trial.assert_guarantees_kept(0.97);
    let used = &trial.report.uses["arusha/menu"];
    assert!(used.peak_in_flight <= used.slots, "\n{}", trial.report);
}

/// Symptom: a cold upstream gets its full share of requests at once and serves them all slowly, or
/// gets no requests again. Sequence: an upstream is drained, its cache goes cold, the drain ends.
/// Cause: slow start has to raise the upstream's share by the requests that it completes.
#[test]
fn cold_upstream_gets_growing_work() {
    let _permit = exclusive_test_permit();
    let mut layout = layout();
    layout.classes[0].cold_requests = 20;
    layout.classes[0].cold_factor = 4.0;
    let mut rig = Rig::start(layout).unwrap();
    let drain = |rig: &Rig, action: &str| {
        let body = json!({
            "accept_id": action, "author": "rig", "action": action,
            "target": {"kind": "upstream", "id": "arusha-menu-0"},
        });
        let response = rig.operator_request("moshi-0", "/op/v1/drain", Some(&body));
        assert_eq!(response.status, 200, "{}", response.body);
    };
    let mut drain_end_us = 0;
    let trial = rig.run(&scene(80.0, 15_000), |rig| {
        sleep(Duration::from_secs(3));
        drain(rig, "start");
        sleep(Duration::from_secs(3));
        rig.fault_upstream("arusha-menu-0", &json!({"cold": true}));
        drain(rig, "stop");
        drain_end_us = unix_us();
    });
    trial.assert_guarantees_kept(0.99);
    let runs = trial
        .runs
        .iter()
        .filter(|run| run.upstream == "arusha-menu-0");
    let starts_us = runs.filter_map(|run| run.started_us);
    let first_us = starts_us.filter(|&at_us| at_us > drain_end_us).min();
    let first_us = first_us.expect("the upstream gets requests again");
    let early = count_runs(&trial, "arusha-menu-0", first_us, first_us + 500_000);
    let other = count_runs(&trial, "arusha-menu-1", first_us, first_us + 500_000);
    assert!(
        early * 2 < other,
        "{early} runs at first, {other} on another"
    );
    let late_us = (drain_end_us + 5_000_000, drain_end_us + 9_000_000);
    let grown = count_runs(&trial, "arusha-menu-0", late_us.0, late_us.1);
    let other = count_runs(&trial, "arusha-menu-1", late_us.0, late_us.1);
    assert!(grown * 2 > other, "{grown} runs later, {other} on another");
}

/// Symptom: a drained region still gets requests, or its callers are refused. Sequence: operators
/// drain one region under load. Cause: callers use cached look-ups, so entries of the drained
/// region have to forward the requests that still arrive to the other region, within the link's
/// cap.
#[test]
fn drained_region_is_empty_of_new_work() {
    let _permit = exclusive_test_permit();
    let mut rig = Rig::start(layout()).unwrap();
    let trial = rig.run(&scene(80.0, 10_000), |rig| {
        sleep(SETTLE_TIME);
        for index in 0..3 {
            rig.note_leaving(&format!("{HOME}-menu-{index}"));
        }
        let body = json!({
            "accept_id": "drain", "author": "rig", "action": "start",
            "target": {"kind": "region", "id": HOME},
        });
        let response = rig.operator_request("moshi-0", "/op/v1/drain", Some(&body));
        assert_eq!(response.status, 200, "{}", response.body);
    });
    trial.assert_guarantees_kept(0.99);
}

/// Symptom: callers of one entry wait and are refused while another entry of the region has free
/// slots. Sequence: four callers offer load for nine tenths of a region's slots, and each uses one
/// of its three entries for two seconds at a time. Cause: slots move between entries more slowly
/// than callers do.
#[test]
fn work_that_comes_to_one_entry_uses_the_slots_of_all() {
    let _permit = exclusive_test_permit();
    let mut terms = Layout::quick_terms();
    terms.retain(|(name, _)| *name != "lookup_ttl_ms");
    terms.push(("lookup_ttl_ms", 2_000));
    let mut rig = Rig::start(Layout {
        regions: vec![RegionLayout {
            name: HOME,
            entries: 3,
        }],
        classes: layout().classes,
        terms,
        ..Layout::one_region()
    })
    .unwrap();
    let mut scene = scene(0.0, 20_000);
    scene.regions.truncate(1);
    scene.regions[0].callers = 4;
    scene.classes[0].rate_per_s = 240.0;
    scene.classes[0].deadline_ms = 700;
    scene.classes[0].tries = 1;
    let trial = rig.run(&scene, |_| {});
    trial.assert_guarantees_kept(0.99);
}
