//! Entries of a large deployment that are partitioned from all upstreams, under open-loop load.
//!
//! An entry has fewer requests in flight than there are upstreams, so a request for an upstream that it has no open
//! connection to is the usual case.

mod support;

use std::{
    sync::Mutex,
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    call_open_loop,
    Call,
    Cut,
    LargeDeployment,
    NewConnections,
    OpenConnections,
    OpenLoop,
    REGION_ENTRIES, //
};

/// Time under load before the cut, in which upstreams serve all keys.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time after the start of a cut, or after its end, from which calls are counted.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Time for which calls are counted.
const COUNTED_TIME: Duration = Duration::from_secs(5);
/// A cut that ends before a restart of an upstream would be known.
const SHORT_CUT: Duration = Duration::from_millis(2000);
const LOAD: OpenLoop = OpenLoop {
    interval: Duration::from_millis(120),
    timeout: Duration::from_millis(3000),
};
/// Time within which a call is to be answered.
const TARGET: Duration = Duration::from_millis(700);
/// Fraction of the others' share that entries which are cut must serve.
const SHARE_MIN: f64 = 2.0 / 3.0;

/// The deployments would take each other's processor time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Returns the share of these calls that were served, within `target` if it is given.
fn served_share<'a>(calls: impl Iterator<Item = &'a Call>, target: Option<Duration>) -> f64 {
    let (mut served, mut all) = (0, 0);
    for call in calls {
        all += 1;
        served += u32::from(call.is_served(target));
    }
    f64::from(served) / f64::from(all.max(1))
}

/// Checks that the first `cut_count` entries serve their callers nearly as often as the others do.
fn check_shares(calls: &[Call], from: Instant, cut_count: usize, when: &str) {
    let counted = || calls.iter().filter(|call| call.sent_at >= from);
    let of_cut = || counted().filter(|call| call.entry < cut_count);
    let of_others = || counted().filter(|call| call.entry >= cut_count);
    for (target, what) in [(None, "served"), (Some(TARGET), "served in time")] {
        let [cut, others] = [
            served_share(of_cut(), target),
            served_share(of_others(), target),
        ];
        assert!(others > 0.8, "{when}: the others serve {others:.3}");
        assert!(
            cut >= others * SHARE_MIN,
            "{when}: {what}: {cut:.3} at entries that are cut, {others:.3} at the others"
        );
    }
}

/// Puts the deployment under load until `until` and cuts its links from `cut_at` to `healed_at`. Returns the calls.
fn call_while_cut(
    deployment: &LargeDeployment,
    cut: Cut,
    [cut_at, healed_at, until]: [Instant; 3],
) -> Vec<Call> {
    let wait_until = |at: Instant| thread::sleep(at.saturating_duration_since(Instant::now()));
    thread::scope(|scope| {
        scope.spawn(move || {
            wait_until(cut_at);
            for links in &deployment.links {
                scope.spawn(move || links.cut(cut));
            }
            wait_until(healed_at);
            for links in &deployment.links {
                links.heal();
            }
        });
        call_open_loop(&deployment.entries, LOAD, until)
    })
}

/// Cuts the first entries from all upstreams under load, and checks what they serve during the cut and after it.
fn serves_while_cut(cut: Cut, cut_count: usize) {
    let _guard = ONE_AT_A_TIME.lock();
    let deployment = LargeDeployment::start(cut_count);
    let cut_at = Instant::now() + WARM_UP;
    let healed_at = cut_at + STABLE_WINDOW + COUNTED_TIME;
    let counted_again_at = healed_at + STABLE_WINDOW;
    let until = counted_again_at + COUNTED_TIME / 2;
    let calls = call_while_cut(&deployment, cut, [cut_at, healed_at, until]);
    let (during, after): (Vec<Call>, Vec<Call>) =
        calls.into_iter().partition(|call| call.sent_at < healed_at);
    check_shares(&during, cut_at + STABLE_WINDOW, cut_count, "during the cut");
    check_shares(&after, counted_again_at, cut_count, "after the cut");
    assert_eq!(deployment.repeated_filings(), Vec::<String>::new());
}

/// Guards against entries that go on rejecting requests after a short partition, because they pass over upstreams that
/// refused them until these could have restarted.
#[test]
fn large_fleet_serves_after_a_short_cut() {
    let _guard = ONE_AT_A_TIME.lock();
    let cut_count = 3;
    let deployment = LargeDeployment::start(cut_count);
    let cut = Cut {
        open: OpenConnections::Reset,
        new: NewConnections::Refused,
    };
    let cut_at = Instant::now() + WARM_UP;
    let healed_at = cut_at + SHORT_CUT;
    let counted_from = healed_at + Duration::from_secs(1);
    let until = counted_from + COUNTED_TIME;
    let calls = call_while_cut(&deployment, cut, [cut_at, healed_at, until]);
    check_shares(&calls, counted_from, cut_count, "after the cut");
    assert_eq!(deployment.repeated_filings(), Vec::<String>::new());
}

/// Guards against entries that don't notice a partition because they have many more upstreams than requests, and
/// then fail, reject or delay their callers' requests.
macro_rules! serves_in_time_while_partitioned {
    ($($name:ident: $open:ident, $new:ident, $cut_count:expr;)*) => {$(
        #[test]
        fn $name() {
            let cut = Cut {
                open: OpenConnections::$open,
                new: NewConnections::$new,
            };
            serves_while_cut(cut, $cut_count);
        }
    )*};
}

serves_in_time_while_partitioned! {
    large_fleet_serves_while_entries_hang: Hang, Hang, 3;
    large_fleet_serves_while_entries_are_reset: Reset, Refused, 3;
    large_fleet_serves_while_new_connections_are_refused: Live, Refused, 3;
    large_fleet_serves_while_new_connections_hang: Live, Hang, 3;
    large_fleet_serves_while_a_region_gets_no_new_connections: Live, Refused, REGION_ENTRIES;
}
