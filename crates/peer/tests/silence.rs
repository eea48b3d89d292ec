//! Connections that go silent for good while new ones work.

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
    eventually,
    node,
    quick,
    share,
    Node,
    Relay, //
};

cases! {
    smaller_dials: reopens(true, false, 1);
    larger_dials: reopens(false, true, 1);
    both_dial: reopens(true, true, 1);
    silent_twice: reopens(true, false, 2);
    both_dial_silent_twice: reopens(true, true, 2);
    new_ones_silent_too: gives_up();
    one_end_notices: one_notices();
    slow_is_not_silent: slow();
}

/// `name` as it is reached through `relay`.
fn through(relay: &Relay, name: &'static str) -> Partner {
    Partner {
        instance: name.into(),
        addr: relay.addr,
    }
}

/// Nothing of `node` says down.
fn never_down(node: &Node) -> bool {
    node.count(|event| matches!(event, Event::Down { .. })) == 0
}

/// Two nodes with a session that `a` dialled through the relay.
async fn connected(a_options: Options, b_options: Options) -> (Node, Node, Relay) {
    let mut a = node("a", 1, a_options);
    let mut b = node("b", 1, b_options);
    let relay = Relay::start(b.mesh.local_addr()).await;
    a.mesh.set_partners(vec![through(&relay, "b")]);
    a.until_up("b").await;
    b.until_up("a").await;
    (a, b, relay)
}

/// Symptom: two healthy daemons count each other as gone, or hear nothing of each other and do
/// not notice. Sequence: a middlebox forgets the connection, both sockets stay open, nothing
/// moves; a new connection would work. Cause: silence taken for the peer's end, or not seen.
async fn reopens(a_dials: bool, b_dials: bool, times: u32) {
    let mut a = node("a", 1, quick());
    let mut b = node("b", 1, quick());
    let to_a = Relay::start(a.mesh.local_addr()).await;
    let to_b = Relay::start(b.mesh.local_addr()).await;
    if a_dials {
        a.mesh.set_partners(vec![through(&to_b, "b")]);
    }
    if b_dials {
        b.mesh.set_partners(vec![through(&to_a, "a")]);
    }
    a.until_up("b").await;
    b.until_up("a").await;
    for time in 0..times {
        a.mesh.send(&"b".into(), share(time * 2));
        b.until_share(time * 2).await;
        to_a.silence_old();
        to_b.silence_old();
        let reopened = |event: &Event| matches!(event, Event::Reopened(_));
        tokio::join!(a.until("reopening", reopened), async {
            b.until("reopening", reopened).await;
        });
        b.mesh.send(&"a".into(), share(time * 2 + 1));
        a.until_share(time * 2 + 1).await;
    }
    assert!(never_down(&a) && never_down(&b));
    let found = a.mesh.counters().silent_sessions.get() + b.mesh.counters().silent_sessions.get();
    assert!(found >= u64::from(times), "{found} found silent");
}

/// Symptom: new connections are refused as duplicates of a dead one. Sequence: the session dialled
/// by the smaller id goes silent, only the larger one notices yet and dials. Cause: the rule for
/// duplicates applied to a session that one end knows to be silent.
async fn one_notices() {
    let patient = Options {
        pong_timeout: Duration::from_secs(3600),
        ..quick()
    };
    let (mut a, mut b, relay) = connected(patient, quick()).await;
    b.mesh.set_partners(vec![a.partner("a")]);
    relay.silence_old();
    b.until("reopening", |event| matches!(event, Event::Reopened(_)))
        .await;
    a.mesh.send(&"b".into(), share(1));
    b.mesh.send(&"a".into(), share(2));
    b.until_share(1).await;
    a.until_share(2).await;
    assert!(never_down(&a) && never_down(&b));
    assert_eq!(a.mesh.counters().silent_sessions.get(), 0);
}

/// Symptom: a peer that cannot be reached counts as up for ever. Sequence: old and new connections
/// go silent. Cause: reopening without an end.
async fn gives_up() {
    let options = Options {
        reopen_timeout: Duration::from_millis(1500),
        handshake_timeout: Duration::from_millis(300),
        ..quick()
    };
    let (mut a, mut b, relay) = connected(options.clone(), options).await;
    relay.silence_all();
    for node in [&mut a, &mut b] {
        let down = node.until("down", |event| matches!(event, Event::Down { .. }));
        let Event::Down { why, .. } = down.await else {
            unreachable!();
        };
        assert_eq!(why, DownReason::Silent);
        assert!(node.mesh.peers().is_empty());
    }
}

/// Symptom: a session over a slow link is reopened again and again, or the far region looks near.
/// Sequence: the link grows slow under a standing session. Cause: a late pong taken for silence,
/// or a round trip measured once.
async fn slow() {
    let options = Options {
        pong_timeout: Duration::from_secs(30),
        ..quick()
    };
    let (a, b, relay) = connected(options.clone(), options).await;
    relay.slow_down(Duration::from_millis(200));
    let measured = |node: &Node| node.mesh.peers()[0].rtt >= Duration::from_millis(400);
    eventually("both measure", || measured(&a) && measured(&b)).await;
    assert_eq!(a.mesh.counters().sessions.get(), 1);
}
