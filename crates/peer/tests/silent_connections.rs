//! Connections that go silent permanently while new ones work.

mod support;

use peer::{
    DownReason,
    Event,
    Options,
    Partner, //
};
use std::time::Duration;
use support::{
    cases,
    node,
    share,
    short_timeouts,
    wait_until,
    Node,
    Relay, //
};

cases! {
    smaller_id_dials: reopens(true, false, 1);
    larger_id_dials: reopens(false, true, 1);
    both_dial: reopens(true, true, 1);
    silent_twice: reopens(true, false, 2);
    both_dial_silent_twice: reopens(true, true, 2);
    new_connections_also_silent: reopening_times_out();
    only_one_end_detects_silence: one_end_detects();
    slow_link_is_not_silent: slow_link();
}

/// Partner `name`, reached through `relay`.
fn via_relay(relay: &Relay, name: &'static str) -> Partner {
    Partner {
        instance: name.into(),
        addr: relay.addr,
    }
}

/// Whether `node` has reported no peer as down.
fn never_down(node: &Node) -> bool {
    node.count(|event| matches!(event, Event::Down { .. })) == 0
}

/// Starts two nodes with a session that `a` dialled through a relay.
async fn connect_via_relay(a_options: Options, b_options: Options) -> (Node, Node, Relay) {
    let mut a = node("a", 1, a_options);
    let mut b = node("b", 1, b_options);
    let relay = Relay::start(b.mesh.local_addr()).await;
    a.mesh.set_partners(vec![via_relay(&relay, "b")]);
    a.wait_for_up("b").await;
    b.wait_for_up("a").await;
    (a, b, relay)
}

/// Guards against silence that is not detected, or is mistaken for the peer's exit: a middlebox
/// drops the state of a connection, both sockets stay open and nothing is transferred, while a new
/// connection would work.
async fn reopens(a_dials: bool, b_dials: bool, times: u32) {
    let mut a = node("a", 1, short_timeouts());
    let mut b = node("b", 1, short_timeouts());
    let to_a = Relay::start(a.mesh.local_addr()).await;
    let to_b = Relay::start(b.mesh.local_addr()).await;
    if a_dials {
        a.mesh.set_partners(vec![via_relay(&to_b, "b")]);
    }
    if b_dials {
        b.mesh.set_partners(vec![via_relay(&to_a, "a")]);
    }
    a.wait_for_up("b").await;
    b.wait_for_up("a").await;
    for time in 0..times {
        a.mesh.send(&"b".into(), share(time * 2));
        b.wait_for_share(time * 2).await;
        to_a.silence_existing();
        to_b.silence_existing();
        let reopened = |event: &Event| matches!(event, Event::Reopened(_));
        tokio::join!(a.wait_for("reopening", reopened), async {
            b.wait_for("reopening", reopened).await;
        });
        b.mesh.send(&"a".into(), share(time * 2 + 1));
        a.wait_for_share(time * 2 + 1).await;
    }
    assert!(never_down(&a) && never_down(&b));
    let found = a.mesh.counters().silent_sessions.get() + b.mesh.counters().silent_sessions.get();
    assert!(found >= u64::from(times), "{found} found silent");
}

/// Guards against new connections being closed as duplicates of a silent one: the session dialled
/// by the smaller id goes silent, and only the larger id has detected it and dials.
async fn one_end_detects() {
    let patient = Options {
        pong_timeout: Duration::from_secs(3600),
        ..short_timeouts()
    };
    let (mut a, mut b, relay) = connect_via_relay(patient, short_timeouts()).await;
    b.mesh.set_partners(vec![a.partner("a")]);
    relay.silence_existing();
    b.wait_for("reopening", |event| matches!(event, Event::Reopened(_)))
        .await;
    a.mesh.send(&"b".into(), share(1));
    b.mesh.send(&"a".into(), share(2));
    b.wait_for_share(1).await;
    a.wait_for_share(2).await;
    assert!(never_down(&a) && never_down(&b));
    assert_eq!(a.mesh.counters().silent_sessions.get(), 0);
}

/// Guards against an unreachable peer counting as up forever: old and new connections are silent,
/// so that reopening has to time out.
async fn reopening_times_out() {
    let options = Options {
        reopen_timeout: Duration::from_millis(1500),
        handshake_timeout: Duration::from_millis(300),
        ..short_timeouts()
    };
    let (mut a, mut b, relay) = connect_via_relay(options.clone(), options).await;
    relay.silence_all();
    for node in [&mut a, &mut b] {
        let down = node.wait_for("down", |event| matches!(event, Event::Down { .. }));
        let Event::Down { reason: why, .. } = down.await else {
            unreachable!();
        };
        assert_eq!(why, DownReason::Silent);
        assert!(node.mesh.peers().is_empty());
    }
}

/// Guards against a late pong being treated as silence, which would reopen the session again and
/// again, and against a round trip that is measured only once, which would make a remote region
/// look close: the link of an established session becomes slow.
async fn slow_link() {
    let options = Options {
        pong_timeout: Duration::from_secs(30),
        ..short_timeouts()
    };
    let (a, b, relay) = connect_via_relay(options.clone(), options).await;
    relay.set_delay(Duration::from_millis(200));
    let measured = |node: &Node| node.mesh.peers()[0].rtt >= Duration::from_millis(400);
    wait_until("both measure", || measured(&a) && measured(&b)).await;
    assert_eq!(a.mesh.counters().sessions.get(), 1);
}
