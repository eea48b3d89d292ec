//! Refused connections and protocol violations: the remote end is told why, the connection is
//! counted, and the set of peers does not change. Also sessions with peers of a newer release.

mod support;

use bytes::Bytes;
use peer::{
    encode,
    Event,
    Frame,
    Hello,
    Key,
    Options,
    Partner,
    Refusal, //
};
use std::time::Duration;
use support::{
    beat,
    cases,
    hello,
    node,
    node_with_key,
    share,
    short_timeouts,
    wait_until,
    Node,
    RawPeer,
    KEY, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};
use tokio_tungstenite::{
    accept_async,
    tungstenite::Message, //
};

/// Close codes of RFC 6455, section 7.4.1.
const PROTOCOL_ERROR: u16 = 1002;
const INVALID_DATA: u16 = 1007;
const POLICY: u16 = 1008;
const TOO_BIG: u16 = 1009;

cases! {
    binary_junk: not_websocket(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03junk\r\n\r\n", true);
    http_get: not_websocket(b"GET /v1/live HTTP/1.1\r\nHost: a\r\n\r\n", true);
    http_post: not_websocket(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", true);
    client_sends_nothing: not_websocket(b"", true);
    client_closes_immediately: not_websocket(b"", false);
    first_message_not_a_frame: first_message(
        Bytes::from_static(b"\xffjunk"),
        INVALID_DATA,
        Refusal::Malformed,
    );
    oversize_hello: first_message(Bytes::from(vec![0; 5000]), TOO_BIG, Refusal::Oversize);
    heartbeat_before_hello: first_message(
        frame_message(Frame::Beat(beat(1))),
        PROTOCOL_ERROR,
        Refusal::Unexpected,
    );
    unknown_kind_before_hello: first_message(unknown_kind(), PROTOCOL_ERROR, Refusal::Unexpected);
    hello_with_local_id: first_message(hello_message(hello("a")), POLICY, Refusal::Ourselves);
    short_nonce: first_message(
        hello_message(Hello { nonce: Bytes::from_static(b"short"), ..hello("b") }),
        INVALID_DATA,
        Refusal::Malformed,
    );
    protocol_too_old: first_message(
        hello_message(Hello { protocol: 0, min_protocol: 0, ..hello("b") }),
        PROTOCOL_ERROR,
        Refusal::Protocol,
    );
    protocol_too_new: first_message(
        hello_message(Hello { protocol: 9, min_protocol: 9, ..hello("b") }),
        PROTOCOL_ERROR,
        Refusal::Protocol,
    );
    wrong_key: wrong_proof();
    meshes_with_different_keys: different_keys();
    reflected_proof: reflected();
    wrong_instance_at_address: another_instance();
    newer_peer_is_accepted: newer_release();
    authenticated_peer_sends_malformed_frame: protocol_violation(
        Message::Binary(Bytes::from_static(b"\xa1")),
        INVALID_DATA,
    );
    authenticated_peer_sends_text: protocol_violation(Message::Text("{}".into()), INVALID_DATA);
    authenticated_peer_sends_oversize_frame: protocol_violation(
        Message::Binary(vec![0; (1 << 20) + 1].into()),
        TOO_BIG,
    );
    authenticated_peer_repeats_hello: protocol_violation(
        Message::Binary(hello_message(hello("b"))),
        PROTOCOL_ERROR,
    );
}

/// Encodes a frame.
fn frame_message(frame: Frame) -> Bytes {
    encode(&frame).unwrap()
}

/// Encodes a hello.
fn hello_message(hello: Hello) -> Bytes {
    frame_message(Frame::Hello(hello))
}

/// A frame of a kind that this build does not know: `{"tomorrow": {"x": 1}}`.
fn unknown_kind() -> Bytes {
    Bytes::from_static(b"\xa1\x68tomorrow\xa1\x61x\x01")
}

/// A node with a short handshake timeout.
fn target() -> Node {
    let options = Options {
        handshake_timeout: Duration::from_millis(500),
        ..Options::default()
    };
    node("a", 1, options)
}

/// Checks that the node reported and counted one refused connection, has no peer up, and still
/// accepts a valid peer.
async fn assert_refused(mut a: Node, refusal: Refusal) {
    let is_refused = |event: &Event| matches!(event, Event::Refused { .. });
    let Event::Refused {
        reason: reported, ..
    } = a.wait_for("refusal", is_refused).await
    else {
        unreachable!();
    };
    assert_eq!(reported, refusal);
    assert_eq!(a.mesh.counters().refused_connections.get(), 1);
    assert!(a.mesh.peers().is_empty());
    let c = node("c", 1, Options::default());
    c.mesh.set_partners(vec![a.partner("a")]);
    a.wait_for_up("c").await;
    assert_eq!(a.count(|event| matches!(event, Event::Up(_))), 1);
}

/// Guards against a handshake without a timeout or response: when something other than a WebSocket
/// client connects to the peers' port, a probe or browser would hang, or the daemon would keep its
/// connection.
async fn not_websocket(bytes: &'static [u8], awaits_answer: bool) {
    let a = target();
    let mut stream = TcpStream::connect(a.mesh.local_addr()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if !awaits_answer {
        drop(stream);
        return assert_refused(a, Refusal::Closed).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400 Bad Request\r\n"));
    assert!(answer.ends_with("not a websocket handshake\n"));
    let refusal = if bytes.is_empty() {
        Refusal::Timeout
    } else {
        Refusal::NotWebsocket
    };
    assert_refused(a, refusal).await;
}

/// Guards against frames accepted before authentication, which could change the daemon's state or
/// exhaust its memory: the first message on a WebSocket is anything but a valid hello.
async fn first_message(message: Bytes, code: u16, refusal: Refusal) {
    let a = target();
    let mut dialler = RawPeer::connect(a.mesh.local_addr()).await;
    dialler.send(message).await;
    let closed = dialler.receive().await.unwrap_err();
    assert_eq!(closed, (code, refusal.to_string()));
    assert_refused(a, refusal).await;
}

/// Guards against an instance of another deployment joining because a proof is not verified: the
/// dialler uses a different key.
async fn wrong_proof() {
    let a = target();
    let addr = a.mesh.local_addr();
    let mut dialler = RawPeer::authenticate(addr, "another key", hello_message(hello("b"))).await;
    let closed = dialler.receive().await.unwrap_err();
    assert_eq!(closed, (POLICY, "wrong proof".to_owned()));
    assert!(!format!("{:?}", Key::from_text(KEY)).contains(KEY));
    assert_refused(a, Refusal::WrongProof).await;
}

/// As `wrong_proof`, with a mesh at both ends.
async fn different_keys() {
    let a = target();
    let b = node_with_key("b", 1, "another key", Options::default());
    b.mesh.set_partners(vec![a.partner("a")]);
    let counters = b.mesh.counters();
    wait_until("a failed dial", || counters.failed_dials.get() > 0).await;
    b.mesh.set_partners(Vec::new());
    assert!(b.mesh.peers().is_empty());
    assert_refused(a, Refusal::WrongProof).await;
}

/// Guards against a proof that is the same in both directions: a listener without the key, at a
/// wrongly listed address, claims the partner's id and reflects the dialler's proof.
async fn reflected() {
    let mut a = node("a", 1, short_timeouts());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.mesh.set_partners(vec![Partner {
        instance: "b".into(),
        addr: listener.local_addr().unwrap(),
    }]);
    let (stream, _) = listener.accept().await.unwrap();
    let socket = accept_async(stream).await.unwrap();
    let mut reflector = RawPeer { socket };
    reflector.receive().await.expect("a hello");
    reflector.send(hello_message(hello("b"))).await;
    let proof = reflector.receive().await.expect("a proof");
    reflector.send(proof).await;
    let closed = reflector.receive().await.unwrap_err();
    assert_eq!(closed, (POLICY, "wrong proof".to_owned()));
    a.wait_for(
        "refusal",
        |event| matches!(event, Event::Refused { reason, .. } if *reason == Refusal::WrongProof),
    )
    .await;
    assert!(a.mesh.peers().is_empty());
}

/// Guards against frames that reach the wrong instance: an address was reassigned to a new instance
/// while the list still names the old one.
async fn another_instance() {
    let mut a = node("a", 1, short_timeouts());
    let b = node("b", 1, short_timeouts());
    let mut wrong = b.partner("c");
    wrong.instance = "c".into();
    a.mesh.set_partners(vec![wrong]);
    a.wait_for(
        "refusal",
        |event| matches!(event, Event::Refused { reason, .. } if *reason == Refusal::WrongInstance),
    )
    .await;
    assert!(a.mesh.peers().is_empty() && b.mesh.peers().is_empty());
}

/// Guards against sessions that break during the rollout of a new release: a newer peer sends a
/// frame kind and a field that this build does not know, which must not count as errors.
async fn newer_release() {
    let mut a = node("a", 1, Options::default());
    let newer = Hello {
        protocol: 2,
        ..hello("b")
    };
    let addr = a.mesh.local_addr();
    let mut b = RawPeer::authenticate(addr, KEY, hello_message(newer)).await;
    b.receive().await.expect("a proof");
    b.send(unknown_kind()).await;
    // `{"share": {"new": 1, "pool": "menu", "payload": h'07'}}`.
    let extended = b"\xa1\x65share\xa3\x63new\x01\x64pool\x64menu\x67payload\x41\x07";
    b.send(Bytes::from_static(extended)).await;
    a.wait_for_share(7).await;
    assert_eq!(a.mesh.counters().unknown_frames.get(), 1);
    a.mesh.send(&"b".into(), share(8));
    assert_eq!(b.receive().await.expect("a share"), frame_message(share(8)));
}

/// Guards against a faulty peer affecting the owner: an authenticated peer sends a message that is
/// malformed or not allowed.
async fn protocol_violation(message: Message, code: u16) {
    use futures_util::SinkExt;
    let options = Options {
        reopen_timeout: Duration::from_millis(100),
        ..Options::default()
    };
    let mut a = node("a", 1, options);
    let addr = a.mesh.local_addr();
    let mut b = RawPeer::authenticate(addr, KEY, hello_message(hello("b"))).await;
    b.receive().await.expect("a proof");
    b.socket.send(message).await.unwrap();
    assert_eq!(b.receive().await.unwrap_err().0, code);
    a.wait_for("down", |event| matches!(event, Event::Down { .. }))
        .await;
    assert_eq!(a.mesh.counters().invalid_frames.get(), 1);
    assert_eq!(a.mesh.counters().received_frames.get(), 0);
    assert_eq!(a.seen.len(), 2, "up and down, nothing else");
}
