//! Meshes that work together: who is up, by how many sessions, and what arrives.

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
    quick,
    share,
    Node, //
};

/// Long enough for a duplicate to be closed, as a rule; no verdict hangs on it.
const A_WHILE: Duration = Duration::from_millis(300);

cases! {
    one_dials: sessions(true, false);
    other_dials: sessions(false, true);
    both_dial: sessions(true, true);
    owner_is_slow: slow_owner();
    configuration_in_parts: configuration();
    full_queue_drops_beats: full_queue();
    planned_stop: stop();
    restart_with_higher_incarnation: restart();
    process_dies: death();
    dropped_partner_is_down: drop_partner(false);
    dropped_partner_who_dials_stays_up: drop_partner(true);
}

/// Two nodes that know each other.
async fn pair(a_dials: bool, b_dials: bool, options: Options) -> (Node, Node) {
    let mut a = node("a", 1, options.clone());
    let mut b = node("b", 1, options);
    if a_dials {
        a.mesh.set_partners(vec![b.partner("b")]);
    }
    if b_dials {
        b.mesh.set_partners(vec![a.partner("a")]);
    }
    assert_eq!(a.until_up("b").await, 1);
    assert_eq!(b.until_up("a").await, 1);
    (a, b)
}

/// Symptom: one of two daemons that dial each other is told "down" and "up" again, or shares sent
/// around that moment never arrive. Sequence: both dial at once, both sessions are proven, each
/// end keeps another one. Cause: a rule for duplicates that the ends apply to different facts.
async fn sessions(a_dials: bool, b_dials: bool) {
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
            node.until("share", |event| matches!(event, Event::Frame { .. }))
                .await;
        }
        node.settle(A_WHILE).await;
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

/// Symptom: memory of a daemon grows while its control thread is busy, or frames are lost.
/// Sequence: a peer sends faster than the owner takes events. Cause: a queue without a bound, or
/// one that drops; the session has to stop reading instead.
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
    tokio::time::sleep(A_WHILE).await;
    let taken = b.mesh.counters().received_frames.get();
    assert!(taken < 100, "{taken} frames wait for the owner");
    b.until_share(1999).await;
    assert!(b.shares().into_iter().eq(0..2000), "all, in order");
}

/// Symptom: a daemon that sends a large configuration counts as silent. Sequence: parts fill the
/// queue, the heartbeat waits behind them. Cause: one queue for both.
async fn configuration() {
    let (a, mut b) = pair(true, false, Options::default()).await;
    let body: Vec<u8> = (0..3_000_000u32).map(|i| i.to_le_bytes()[1]).collect();
    let whole = WholeConfig {
        version: 8,
        head: "head".into(),
        body: body.into(),
    };
    for part in split_config(whole.version, &whole.head, &whole.body) {
        let sent = a.mesh.send(&"b".into(), Frame::ConfigBody(part));
        assert_eq!(sent, SendResult::Queued);
    }
    a.mesh.send(&"b".into(), Frame::Beat(beat(1)));
    let mut assembly = ConfigAssembly::new(4_000_000);
    let mut beats_before = 0;
    loop {
        let event = b.until("frame", |event| matches!(event, Event::Frame { .. }));
        let Event::Frame { frame, .. } = event.await else {
            unreachable!();
        };
        match frame {
            Frame::ConfigBody(part) => {
                if let Some(got) = assembly.push(part).unwrap() {
                    assert_eq!(got, whole);
                    break;
                }
            }
            _ => beats_before += 1,
        }
    }
    assert_eq!(beats_before, 1);
}

/// Symptom: control hangs, or a share is lost while old heartbeats are delivered. Sequence: a
/// peer does not read, its queue fills. Cause: a send that waits, or drops the wrong frame.
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
    b.until_share(2).await;
    assert_eq!(b.shares(), [0, 1, 2]);
    let huge = Frame::Share(peer::Share {
        pool: "menu".into(),
        payload: Bytes::from(vec![0; 1 << 20]),
    });
    assert_eq!(a.mesh.send(&to, huge), TooLarge);
    assert_eq!(a.mesh.counters().dropped_beats.get(), 3);
    assert_eq!(a.mesh.counters().refused_frames.get(), 2);
}

/// Symptom: peers of a daemon that stops wait for its reopening, or miss its last frames.
/// Sequence: frames are queued, the mesh closes. Cause: connections cut before the queue is empty.
async fn stop() {
    let (a, mut b) = pair(true, true, Options::default()).await;
    for number in 0..100 {
        a.mesh.send(&"b".into(), share(number));
    }
    a.mesh.close(Duration::from_secs(30)).await;
    let down = b.until("down", |event| matches!(event, Event::Down { .. }));
    let expected = Event::Down {
        instance: "a".into(),
        incarnation: 1,
        why: DownReason::Stopping,
    };
    assert_eq!(down.await, expected);
    assert_eq!(b.shares().len(), 100);
    assert!(b.mesh.peers().is_empty());
}

/// Symptom: frames of an instance's former life count as its present one's. Sequence: an instance
/// is paused, replaced under its name with a higher incarnation, wakes up and dials again. Cause:
/// a session accepted by name alone.
async fn restart() {
    let mut a = node("a", 1, quick());
    let old = node("b", 1, quick());
    old.mesh.set_partners(vec![a.partner("a")]);
    assert_eq!(a.until_up("b").await, 1);
    let new = node("b", 2, quick());
    new.mesh.set_partners(vec![a.partner("a")]);
    assert_eq!(a.until_up("b").await, 2);
    let restarted = |event: &Event| {
        matches!(
            event,
            Event::Down {
                incarnation: 1,
                why: DownReason::Restarted,
                ..
            }
        )
    };
    assert_eq!(a.count(restarted), 1, "before the new one is up");
    let stale = peer::Refusal::Stale;
    a.until(
        "refusal",
        |event| matches!(event, Event::Stranger { why, .. } if *why == stale),
    )
    .await;
    assert_eq!(a.mesh.peers()[0].incarnation, 2);
    assert_eq!(a.count(|event| matches!(event, Event::Up(_))), 2);
}

/// Symptom: a dead daemon counts as up for the whole reopening time. Sequence: its process dies,
/// the kernel closes its sockets, dials are refused. Cause: a refused dial taken for silence.
async fn death() {
    let options = Options {
        reopen_timeout: Duration::from_secs(3600),
        ..quick()
    };
    let (mut a, b) = pair(true, false, options).await;
    drop(b);
    let down = a.until("down", |event| matches!(event, Event::Down { .. }));
    let expected = Event::Down {
        instance: "b".into(),
        incarnation: 1,
        why: DownReason::Lost,
    };
    assert_eq!(down.await, expected);
}

/// Symptom: a partner that is no longer wanted keeps its session, or one that still wants us is
/// told that we are down. Sequence: the set of partners changes at one end. Cause: a goodbye that
/// says no more than that the connection ends.
async fn drop_partner(b_wants: bool) {
    let (mut a, mut b) = pair(true, false, quick()).await;
    if b_wants {
        b.mesh.set_partners(vec![a.partner("a")]);
    }
    a.mesh.set_partners(Vec::new());
    if b_wants {
        b.until("reopening", |event| matches!(event, Event::Reopened(_)))
            .await;
        assert_eq!(b.count(|event| matches!(event, Event::Down { .. })), 0);
        b.mesh.send(&"a".into(), share(1));
        a.until_share(1).await;
        return;
    }
    for (node, expected) in [
        (&mut a, DownReason::Dropped),
        (&mut b, DownReason::Unwanted),
    ] {
        let down = |event: &Event| matches!(event, Event::Down { why, .. } if *why == expected);
        node.until("down", down).await;
        assert!(node.mesh.peers().is_empty());
    }
}
