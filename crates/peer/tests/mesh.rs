//! Several meshes together: peers that are up, their sessions, and the frames delivered.

mod support;

use bytes::Bytes;
use peer::{
    split_config,
    ConfigAssembly,
    DownReason,
    Event,
    Frame,
    Options,
    SendResult,
    WholeConfig, //
};
use std::time::Duration;
use support::{
    beat,
    cases,
    node,
    share,
    short_timeouts,
    Node, //
};

/// Usually long enough for a duplicate to be closed; no assertion depends on it.
const SETTLE_TIME: Duration = Duration::from_millis(300);

cases! {
    a_dials: one_session_per_pair(true, false);
    b_dials: one_session_per_pair(false, true);
    both_dial: one_session_per_pair(true, true);
    slow_owner_applies_backpressure: slow_owner();
    heartbeat_overtakes_configuration: large_configuration();
    full_queue_drops_heartbeats: full_queue();
    close_flushes_queue: close_mesh();
    restart_with_higher_incarnation: restart();
    process_exit_is_detected: process_exit();
    dropped_partner_is_down: drop_partner(false);
    dropped_partner_that_dials_stays_up: drop_partner(true);
}

/// Starts two nodes and connects them.
async fn pair(a_dials: bool, b_dials: bool, options: Options) -> (Node, Node) {
    let mut a = node("a", 1, options.clone());
    let mut b = node("b", 1, options);
    if a_dials {
        a.mesh.set_partners(vec![b.partner("b")]);
    }
    if b_dials {
        b.mesh.set_partners(vec![a.partner("a")]);
    }
    assert_eq!(a.wait_for_up("b").await, 1);
    assert_eq!(b.wait_for_up("a").await, 1);
    (a, b)
}

/// Guards against flapping or lost shares when two daemons dial each other: if both dial at once
/// and both sessions are authenticated, a duplicate rule that the ends apply to different facts
/// makes each end keep a different session.
async fn one_session_per_pair(a_dials: bool, b_dials: bool) {
    let (mut a, mut b) = pair(a_dials, b_dials, Options::default()).await;
    for number in 0..200 {
        assert_eq!(a.mesh.send(&"b".into(), share(number)), SendResult::Queued);
        assert_eq!(b.mesh.send(&"a".into(), share(number)), SendResult::Queued);
        if number % 10 == 0 {
            tokio::task::yield_now().await;
        }
    }
    for node in [&mut a, &mut b] {
        while node.shares().len() < 200 {
            node.wait_for("share", |event| matches!(event, Event::Frame { .. }))
                .await;
        }
        node.collect_events(SETTLE_TIME).await;
        let mut shares = node.shares();
        shares.sort_unstable();
        assert!(shares.into_iter().eq(0..200), "each share once");
        assert_eq!(node.count(|event| matches!(event, Event::Up(_))), 1);
        assert_eq!(node.count(|event| !matches!(event, Event::Frame { .. })), 1);
        assert_eq!(node.mesh.peers().len(), 1);
        let counters = node.mesh.counters();
        let kept = counters.sessions.get() - counters.duplicate_sessions.get();
        assert_eq!(kept, 1, "one session stays");
    }
}

/// Guards against unbounded memory or lost frames when a peer sends faster than the owner takes
/// events, as with a busy control thread: the session has to stop reading instead.
async fn slow_owner() {
    let options = Options {
        queue_frames: 4000,
        event_bytes: 1,
        max_frame_bytes: 4096,
        ..Options::default()
    };
    let (a, mut b) = pair(true, false, options).await;
    for number in 0..2000 {
        assert_eq!(a.mesh.send(&"b".into(), share(number)), SendResult::Queued);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let taken = b.mesh.counters().received_frames.get();
    assert!(taken < 100, "{taken} frames wait for the owner");
    b.wait_for_share(1999).await;
    assert!(b.shares().into_iter().eq(0..2000), "all, in order");
}

/// Guards against a daemon that sends a large configuration counting as silent: in a common queue,
/// its heartbeat would wait behind the configuration parts.
async fn large_configuration() {
    let (a, mut b) = pair(true, false, Options::default()).await;
    let body: Vec<u8> = (0..3_000_000u32).map(|i| i.to_le_bytes()[1]).collect();
    let config = WholeConfig {
        version: 8,
        head: "head".into(),
        body: body.into(),
    };
    for part in split_config(config.version, &config.head, &config.body) {
        let sent = a.mesh.send(&"b".into(), Frame::ConfigBody(part));
        assert_eq!(sent, SendResult::Queued);
    }
    a.mesh.send(&"b".into(), Frame::Beat(beat(1)));
    let mut assembly = ConfigAssembly::new(4_000_000);
    let mut heartbeats_before = 0;
    loop {
        let event = b.wait_for("frame", |event| matches!(event, Event::Frame { .. }));
        let Event::Frame { frame, .. } = event.await else {
            unreachable!();
        };
        match frame {
            Frame::ConfigBody(part) => {
                if let Some(got) = assembly.push(part).unwrap() {
                    assert_eq!(got, config);
                    break;
                }
            }
            _ => heartbeats_before += 1,
        }
    }
    assert_eq!(heartbeats_before, 1);
}

/// Guards against a send that blocks, or that drops a share instead of an old heartbeat, when the
/// queue of a peer that does not read is full.
async fn full_queue() {
    let options = Options {
        queue_frames: 3,
        ..Options::default()
    };
    let (a, mut b) = pair(true, false, options).await;
    let to = "b".into();
    let results = [
        a.mesh.send(&to, share(0)),
        a.mesh.send(&to, Frame::Beat(beat(1))),
        a.mesh.send(&to, Frame::Beat(beat(2))),
        a.mesh.send(&to, Frame::Beat(beat(3))),
        a.mesh.send(&to, share(1)),
        a.mesh.send(&to, share(2)),
        a.mesh.send(&to, share(3)),
        a.mesh.send(&to, Frame::Beat(beat(4))),
        a.mesh.send(&"c".into(), share(5)),
    ];
    use SendResult::*;
    assert_eq!(
        results,
        [
            Queued,
            Queued,
            Queued,
            DroppedBeat,
            DroppedBeat,
            DroppedBeat,
            Full,
            Full,
            NotConnected
        ]
    );
    b.wait_for_share(2).await;
    assert_eq!(b.shares(), [0, 1, 2]);
    let huge = Frame::Share(peer::Share {
        pool: "menu".into(),
        payload: Bytes::from(vec![0; 1 << 20]),
    });
    assert_eq!(a.mesh.send(&to, huge), TooLarge);
    assert_eq!(a.mesh.counters().dropped_beats.get(), 3);
    assert_eq!(a.mesh.counters().refused_frames.get(), 2);
}

/// Guards against connections that are closed before the queue is empty: the peers of a stopping
/// daemon would miss its last frames or wait for it to reopen the session.
async fn close_mesh() {
    let (a, mut b) = pair(true, true, Options::default()).await;
    for number in 0..100 {
        a.mesh.send(&"b".into(), share(number));
    }
    a.mesh.close(Duration::from_secs(30)).await;
    let down = b.wait_for("down", |event| matches!(event, Event::Down { .. }));
    let expected = Event::Down {
        instance: "a".into(),
        incarnation: 1,
        reason: DownReason::Stopping,
    };
    assert_eq!(down.await, expected);
    assert_eq!(b.shares().len(), 100);
    assert!(b.mesh.peers().is_empty());
}

/// Guards against sessions accepted by instance id alone: an instance that was paused, replaced by
/// a higher incarnation and then resumed dials again, and its frames must not count as those of
/// the new incarnation.
async fn restart() {
    let mut a = node("a", 1, short_timeouts());
    let old = node("b", 1, short_timeouts());
    old.mesh.set_partners(vec![a.partner("a")]);
    assert_eq!(a.wait_for_up("b").await, 1);
    let new = node("b", 2, short_timeouts());
    new.mesh.set_partners(vec![a.partner("a")]);
    assert_eq!(a.wait_for_up("b").await, 2);
    let restarted = |event: &Event| {
        matches!(
            event,
            Event::Down {
                incarnation: 1,
                reason: DownReason::Restarted,
                ..
            }
        )
    };
    assert_eq!(a.count(restarted), 1, "before the new one is up");
    let stale = peer::Refusal::Stale;
    a.wait_for(
        "refusal",
        |event| matches!(event, Event::Refused { reason, .. } if *reason == stale),
    )
    .await;
    assert_eq!(a.mesh.peers()[0].incarnation, 2);
    assert_eq!(a.count(|event| matches!(event, Event::Up(_))), 2);
}

/// Guards against an exited daemon counting as up for the whole reopen timeout: its dials are
/// refused by the kernel, which must not be treated as silence.
async fn process_exit() {
    let options = Options {
        reopen_timeout: Duration::from_secs(3600),
        ..short_timeouts()
    };
    let (mut a, b) = pair(true, false, options).await;
    drop(b);
    let down = a.wait_for("down", |event| matches!(event, Event::Down { .. }));
    let expected = Event::Down {
        instance: "b".into(),
        incarnation: 1,
        reason: DownReason::Lost,
    };
    assert_eq!(down.await, expected);
}

/// Guards against a removed partner that keeps its session, and against a spurious "down" at a
/// remote end that still has the local instance as a partner. Both come about when the goodbye does
/// not say why the session is closed.
async fn drop_partner(b_wants: bool) {
    let (mut a, mut b) = pair(true, false, short_timeouts()).await;
    if b_wants {
        b.mesh.set_partners(vec![a.partner("a")]);
    }
    a.mesh.set_partners(Vec::new());
    if b_wants {
        b.wait_for("reopening", |event| matches!(event, Event::Reopened(_)))
            .await;
        assert_eq!(b.count(|event| matches!(event, Event::Down { .. })), 0);
        b.mesh.send(&"a".into(), share(1));
        a.wait_for_share(1).await;
        return;
    }
    for (node, expected) in [
        (&mut a, DownReason::Dropped),
        (&mut b, DownReason::Unwanted),
    ] {
        let down =
            |event: &Event| matches!(event, Event::Down { reason, .. } if *reason == expected);
        node.wait_for("down", down).await;
        assert!(node.mesh.peers().is_empty());
    }
}
