//! Connections of strangers and of newer peers: one clear answer, counted, nothing changed.

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
    eventually,
    hello,
    node,
    node_with,
    quick,
    share,
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
    junk: not_websocket(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03junk\r\n\r\n", true);
    plain_http: not_websocket(b"GET /v1/live HTTP/1.1\r\nHost: a\r\n\r\n", true);
    post: not_websocket(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", true);
    says_nothing: not_websocket(b"", true);
    closes_at_once: not_websocket(b"", false);
    no_frame: first_message(Bytes::from_static(b"\xffjunk"), INVALID_DATA, Refusal::Malformed);
    oversize_hello: first_message(Bytes::from(vec![0; 5000]), TOO_BIG, Refusal::Oversize);
    beat_first: first_message(frame(Frame::Beat(beat(1))), PROTOCOL_ERROR, Refusal::Unexpected);
    unknown_first: first_message(unknown_kind(), PROTOCOL_ERROR, Refusal::Unexpected);
    our_name: first_message(greeting(hello("a")), POLICY, Refusal::Ourselves);
    short_nonce: first_message(
        greeting(Hello { nonce: Bytes::from_static(b"short"), ..hello("b") }),
        INVALID_DATA,
        Refusal::Malformed,
    );
    too_old: first_message(
        greeting(Hello { protocol: 0, min_protocol: 0, ..hello("b") }),
        PROTOCOL_ERROR,
        Refusal::Protocol,
    );
    too_new: first_message(
        greeting(Hello { protocol: 9, min_protocol: 9, ..hello("b") }),
        PROTOCOL_ERROR,
        Refusal::Protocol,
    );
    wrong_key: wrong_proof();
    meshes_of_two_keys: two_keys();
    our_own_proof_sent_back: reflected();
    another_instance_at_the_address: another_instance();
    newer_peer: newer();
    proven_sends_no_frame: bad_frame(Message::Binary(Bytes::from_static(b"\xa1")), INVALID_DATA);
    proven_sends_text: bad_frame(Message::Text("{}".into()), INVALID_DATA);
    proven_sends_too_much: bad_frame(Message::Binary(vec![0; (1 << 20) + 1].into()), TOO_BIG);
    proven_says_hello_again: bad_frame(Message::Binary(greeting(hello("b"))), PROTOCOL_ERROR);
}

/// A frame's message.
fn frame(frame: Frame) -> Bytes {
    encode(&frame).unwrap()
}

/// A hello's message.
fn greeting(hello: Hello) -> Bytes {
    frame(Frame::Hello(hello))
}

/// A frame of a kind that comes with some later release: `{"tomorrow": {"x": 1}}`.
fn unknown_kind() -> Bytes {
    Bytes::from_static(b"\xa1\x68tomorrow\xa1\x61x\x01")
}

/// A node that does not wait long for strangers.
fn target() -> Node {
    let options = Options {
        handshake_timeout: Duration::from_millis(500),
        ..Options::default()
    };
    node("a", 1, options)
}

/// The node told of one stranger, counted it, has nobody up, and takes a real peer.
async fn refused(mut a: Node, why: Refusal) {
    let stranger = |event: &Event| matches!(event, Event::Stranger { .. });
    let Event::Stranger { why: told, .. } = a.until("stranger", stranger).await else {
        unreachable!();
    };
    assert_eq!(told, why);
    assert_eq!(a.mesh.counters().strangers.get(), 1);
    assert!(a.mesh.peers().is_empty());
    let c = node("c", 1, Options::default());
    c.mesh.set_partners(vec![a.partner("a")]);
    a.until_up("c").await;
    assert_eq!(a.count(|event| matches!(event, Event::Up(_))), 1);
}

/// Symptom: a probe or browser hangs, or the daemon keeps its connection. Sequence: something that
/// is no websocket arrives at the peers' port. Cause: a handshake without an end or an answer.
async fn not_websocket(bytes: &'static [u8], waits: bool) {
    let a = target();
    let mut stream = TcpStream::connect(a.mesh.local_addr()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if !waits {
        drop(stream);
        return refused(a, Refusal::Closed).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400 Bad Request\r\n"));
    assert!(answer.ends_with("not a websocket handshake\n"));
    let why = if bytes.is_empty() {
        Refusal::Timeout
    } else {
        Refusal::NotWebsocket
    };
    refused(a, why).await;
}

/// Symptom: a stranger's frames change what the daemon knows, or its bytes fill the memory.
/// Sequence: a websocket whose first message is anything but a good hello. Cause: a frame taken
/// before the proof.
async fn first_message(message: Bytes, code: u16, why: Refusal) {
    let a = target();
    let mut stranger = RawPeer::connect(a.mesh.local_addr()).await;
    stranger.send(message).await;
    let closed = stranger.receive().await.unwrap_err();
    assert_eq!(closed, (code, why.to_string()));
    refused(a, why).await;
}

/// Symptom: an instance of another deployment joins. Sequence: a dialler proves another key.
/// Cause: a proof that is not checked.
async fn wrong_proof() {
    let a = target();
    let addr = a.mesh.local_addr();
    let mut stranger = RawPeer::prove(addr, "another key", greeting(hello("b"))).await;
    let closed = stranger.receive().await.unwrap_err();
    assert_eq!(closed, (POLICY, "wrong proof".to_owned()));
    assert!(!format!("{:?}", Key::from_text(KEY)).contains(KEY));
    refused(a, Refusal::WrongProof).await;
}

/// Symptom and cause as in `wrong_proof`, with a mesh at both ends.
async fn two_keys() {
    let a = target();
    let b = node_with("b", 1, "another key", Options::default());
    b.mesh.set_partners(vec![a.partner("a")]);
    let counters = b.mesh.counters();
    eventually("a failed dial", || counters.failed_dials.get() > 0).await;
    b.mesh.set_partners(Vec::new());
    assert!(b.mesh.peers().is_empty());
    refused(a, Refusal::WrongProof).await;
}

/// Symptom: someone without the key counts as a partner. Sequence: we dial an address that the list
/// gives wrongly; who listens there names itself as the partner and sends our proof back to us.
/// Cause: a proof that is the same in both directions.
async fn reflected() {
    let mut a = node("a", 1, quick());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.mesh.set_partners(vec![Partner {
        instance: "b".into(),
        addr: listener.local_addr().unwrap(),
    }]);
    let (stream, _) = listener.accept().await.unwrap();
    let socket = accept_async(stream).await.unwrap();
    let mut mirror = RawPeer { socket };
    mirror.receive().await.expect("a hello");
    mirror.send(greeting(hello("b"))).await;
    let proof = mirror.receive().await.expect("a proof");
    mirror.send(proof).await;
    let closed = mirror.receive().await.unwrap_err();
    assert_eq!(closed, (POLICY, "wrong proof".to_owned()));
    a.until(
        "stranger",
        |event| matches!(event, Event::Stranger { why, .. } if *why == Refusal::WrongProof),
    )
    .await;
    assert!(a.mesh.peers().is_empty());
}

/// Symptom: frames for one instance reach another. Sequence: an address is given to a new
/// instance while the list still names the old one. Cause: trust in the list's address.
async fn another_instance() {
    let mut a = node("a", 1, quick());
    let b = node("b", 1, quick());
    let mut wrong = b.partner("c");
    wrong.instance = "c".into();
    a.mesh.set_partners(vec![wrong]);
    a.until(
        "stranger",
        |event| matches!(event, Event::Stranger { why, .. } if *why == Refusal::WrongInstance),
    )
    .await;
    assert!(a.mesh.peers().is_empty() && b.mesh.peers().is_empty());
}

/// Symptom: sessions break while a new release is rolled out. Sequence: a newer peer sends a kind
/// and a field that this build does not know. Cause: the unknown taken for an error.
async fn newer() {
    let mut a = node("a", 1, Options::default());
    let newer = Hello {
        protocol: 2,
        ..hello("b")
    };
    let addr = a.mesh.local_addr();
    let mut b = RawPeer::prove(addr, KEY, greeting(newer)).await;
    b.receive().await.expect("a proof");
    b.send(unknown_kind()).await;
    // `{"share": {"new": 1, "pool": "menu", "payload": h'07'}}`.
    let extended = b"\xa1\x65share\xa3\x63new\x01\x64pool\x64menu\x67payload\x41\x07";
    b.send(Bytes::from_static(extended)).await;
    a.until_share(7).await;
    assert_eq!(a.mesh.counters().unknown_frames.get(), 1);
    a.mesh.send(&"b".into(), share(8));
    assert_eq!(b.receive().await.expect("a share"), frame(share(8)));
}

/// Symptom: a peer with a fault disturbs the owner. Sequence: a proven peer sends what is no frame
/// or has no place. Cause: trust that goes further than the proof.
async fn bad_frame(message: Message, code: u16) {
    use futures_util::SinkExt;
    let options = Options {
        reopen_timeout: Duration::from_millis(100),
        ..Options::default()
    };
    let mut a = node("a", 1, options);
    let addr = a.mesh.local_addr();
    let mut b = RawPeer::prove(addr, KEY, greeting(hello("b"))).await;
    b.receive().await.expect("a proof");
    b.socket.send(message).await.unwrap();
    assert_eq!(b.receive().await.unwrap_err().0, code);
    a.until("down", |event| matches!(event, Event::Down { .. }))
        .await;
    assert_eq!(a.mesh.counters().bad_frames.get(), 1);
    assert_eq!(a.mesh.counters().received_frames.get(), 0);
    assert_eq!(a.seen.len(), 2, "up and down, nothing else");
}
