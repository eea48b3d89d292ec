//! Test support: nodes with an event log, a relay, and a peer implemented independently of the
//! mesh.
#![expect(dead_code, reason = "each test file uses only some items")]

use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use peer::{
    encode,
    Beat,
    BeatState,
    Event,
    Events,
    Frame,
    Hello,
    Identity,
    Key,
    Mesh,
    Options,
    Partner,
    Proof,
    Share, //
};
use std::{
    cell::Cell,
    future::Future,
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        tcp::{
            ReadHalf,
            WriteHalf, //
        },
        TcpStream, //
    },
    task::{
        spawn_local,
        LocalSet, //
    },
    time::{
        sleep,
        timeout,
        timeout_at,
        Instant, //
    }, //
};
use tokio_tungstenite::{
    client_async,
    tungstenite::Message,
    WebSocketStream, //
};

/// Shared key of nodes that may connect.
pub(crate) const KEY: &str = "the key of the tests";
/// Time limit of all waits; generous, so that a busy machine does not fail a test.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Runs a test on one thread, like the daemon's control thread.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Declares one test per table row: `name: function(arguments);`.
macro_rules! cases {
    ($($name:ident: $test:ident($($argument:expr),* $(,)?);)*) => {
        $(#[test]
        fn $name() {
            crate::support::run($test($($argument),*));
        })*
    };
}
pub(crate) use cases;

/// Options with short timeouts, for tests that wait for them.
pub(crate) fn short_timeouts() -> Options {
    Options {
        ping_interval: Duration::from_millis(50),
        pong_timeout: Duration::from_millis(400),
        handshake_timeout: Duration::from_millis(2000),
        reopen_timeout: Duration::from_millis(6000),
        backoff_min: Duration::from_millis(20),
        backoff_max: Duration::from_millis(200),
        ..Options::default()
    }
}

/// A mesh and the events seen so far.
pub(crate) struct Node {
    pub(crate) mesh: Mesh,
    pub(crate) events: Events,
    pub(crate) seen: Vec<Event>,
}

/// Starts instance `name` with the shared key.
pub(crate) fn node(name: &'static str, incarnation: u64, options: Options) -> Node {
    node_with_key(name, incarnation, KEY, options)
}

/// Starts instance `name` with the given key.
pub(crate) fn node_with_key(
    name: &'static str,
    incarnation: u64,
    key: &str,
    options: Options,
) -> Node {
    let identity = Identity {
        instance: name.into(),
        incarnation,
        region: "arusha".into(),
        failure_domain: "arusha-1".into(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mesh, events) = Mesh::start(listener, identity, Key::from_text(key), options).unwrap();
    Node {
        mesh,
        events,
        seen: Vec::new(),
    }
}

impl Node {
    /// This node as a partner for other nodes.
    pub(crate) fn partner(&self, name: &'static str) -> Partner {
        Partner {
            instance: name.into(),
            addr: self.mesh.local_addr(),
        }
    }

    /// Reads events until one satisfies `wanted`.
    pub(crate) async fn wait_for(&mut self, what: &str, wanted: impl Fn(&Event) -> bool) -> Event {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let next = timeout_at(deadline, self.events.recv()).await;
            let Ok(Some(event)) = next else {
                panic!("{what} was not received; seen: {:?}", self.seen);
            };
            self.seen.push(event.clone());
            if wanted(&event) {
                return event;
            }
        }
    }

    /// Waits for `name` to be up; returns its incarnation.
    pub(crate) async fn wait_for_up(&mut self, name: &'static str) -> u64 {
        let up = |event: &Event| matches!(event, Event::Up(info) if info.instance == name);
        match self.wait_for("up", up).await {
            Event::Up(info) => info.incarnation,
            _ => unreachable!(),
        }
    }

    /// Waits for the share numbered `number`.
    pub(crate) async fn wait_for_share(&mut self, number: u32) {
        let wanted = share(number);
        self.wait_for(
            "share",
            |event| matches!(event, Event::Frame { frame, .. } if *frame == wanted),
        )
        .await;
    }

    /// Reads the events that arrive within `time`.
    pub(crate) async fn collect_events(&mut self, time: Duration) {
        let deadline = Instant::now() + time;
        while let Ok(Some(event)) = timeout_at(deadline, self.events.recv()).await {
            self.seen.push(event);
        }
    }

    /// Number of events seen that satisfy `wanted`.
    pub(crate) fn count(&self, wanted: impl Fn(&Event) -> bool) -> usize {
        self.seen.iter().filter(|event| wanted(event)).count()
    }

    /// Numbers of the shares received, in order.
    pub(crate) fn shares(&self) -> Vec<u32> {
        self.seen.iter().filter_map(share_number).collect()
    }
}

/// Waits until `holds` returns true.
pub(crate) async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let poll = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(
        timeout(WAIT_LIMIT, poll).await.is_ok(),
        "timed out waiting for {what}"
    );
}

/// A share that carries a number.
pub(crate) fn share(number: u32) -> Frame {
    Frame::Share(Share {
        pool: "menu".into(),
        payload: peer::to_payload(&number).unwrap(),
    })
}

/// Number of a share that was received.
fn share_number(event: &Event) -> Option<u32> {
    match event {
        Event::Frame {
            frame: Frame::Share(share),
            ..
        } => peer::from_payload(&share.payload).ok(),
        _ => None,
    }
}

/// A heartbeat without summaries.
pub(crate) fn beat(seq: u64) -> Beat {
    Beat {
        seq,
        instance: "a".into(),
        incarnation: 1,
        state: BeatState::Live,
        version: 3,
        digest: Bytes::from_static(&[7; 32]),
        instances: Vec::new(),
        regions: Vec::new(),
        leaving_upstreams: Vec::new(),
        shares: Vec::new(),
    }
}

/// TCP relay that can silence its connections, like a middlebox that drops their state.
#[derive(Clone)]
pub(crate) struct Relay {
    /// Address to dial.
    pub(crate) addr: SocketAddr,
    /// Connections up to this number are silent.
    silent_up_to: Rc<Cell<usize>>,
    /// Number of connections so far.
    connections: Rc<Cell<usize>>,
    /// Delay in each direction.
    delay: Rc<Cell<Duration>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Self {
            addr: listener.local_addr().unwrap(),
            silent_up_to: Rc::default(),
            connections: Rc::default(),
            delay: Rc::default(),
        };
        let acceptor = relay.clone();
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                acceptor.connections.set(acceptor.connections.get() + 1);
                let number = acceptor.connections.get();
                spawn_local(acceptor.clone().forward(client, target, number));
            }
        });
        relay
    }

    /// Silences all existing connections but leaves them open.
    pub(crate) fn silence_existing(&self) {
        self.silent_up_to.set(self.connections.get());
    }

    /// Silences all existing and future connections.
    pub(crate) fn silence_all(&self) {
        self.silent_up_to.set(usize::MAX);
    }

    /// Delays all further data, in each direction.
    pub(crate) fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Copies both ways until the connection is silenced.
    async fn forward(self, client: TcpStream, target: SocketAddr, number: usize) {
        let mut server = TcpStream::connect(target).await.unwrap();
        let mut client = client;
        {
            let (mut client_read, mut client_write) = client.split();
            let (mut server_read, mut server_write) = server.split();
            tokio::select! {
                biased;
                () = self.wait_until_silent(number) => {}
                () = self.copy(&mut client_read, &mut server_write) => return,
                () = self.copy(&mut server_read, &mut client_write) => return,
            }
        }
        // Both sockets stay open, but nothing is transferred.
        std::future::pending::<()>().await;
    }

    /// Copies one way until either end closes.
    async fn copy(&self, from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) {
        let mut chunk = [0; 16 * 1024];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            sleep(self.delay.get()).await;
            if to.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until connection `number` is silenced.
    async fn wait_until_silent(&self, number: usize) {
        while number > self.silent_up_to.get() {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// A peer implemented independently from docs/design/peer.md; it shares no handshake code with the
/// mesh.
pub(crate) struct RawPeer {
    pub(crate) socket: WebSocketStream<TcpStream>,
}

/// A hello of protocol version 1.
pub(crate) fn hello(name: &'static str) -> Hello {
    Hello {
        protocol: 1,
        min_protocol: 1,
        instance: name.into(),
        incarnation: 1,
        region: "moshi".into(),
        failure_domain: "moshi-1".into(),
        nonce: Bytes::from_static(&[9; 32]),
        reopens: None,
    }
}

impl RawPeer {
    /// Connects and performs only the WebSocket handshake.
    pub(crate) async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.unwrap();
        let (socket, _) = client_async(format!("ws://{addr}/"), stream).await.unwrap();
        Self { socket }
    }

    /// Connects, sends the message `hello` and proves that it holds `key`.
    pub(crate) async fn authenticate(addr: SocketAddr, key: &str, hello: Bytes) -> Self {
        let mut peer = Self::connect(addr).await;
        peer.send(hello.clone()).await;
        let remote_hello = peer.receive().await.expect("a hello");
        let mut mac_input = vec![1];
        for message in [&hello, &remote_hello] {
            mac_input.extend_from_slice(&(message.len() as u64).to_le_bytes());
            mac_input.extend_from_slice(message);
        }
        let key = blake3::derive_key("jasminefield peer sessions shared key v1", key.as_bytes());
        let mac = blake3::keyed_hash(&key, &mac_input);
        let mac = Bytes::copy_from_slice(mac.as_bytes());
        peer.send(encode(&Frame::Proof(Proof { mac })).unwrap())
            .await;
        peer
    }

    /// Sends one message.
    pub(crate) async fn send(&mut self, message: Bytes) {
        self.socket.send(Message::Binary(message)).await.unwrap();
    }

    /// Next message, or the code and reason of a close frame.
    pub(crate) async fn receive(&mut self) -> Result<Bytes, (u16, String)> {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            match timeout_at(deadline, self.socket.next()).await.unwrap() {
                Some(Ok(Message::Binary(message))) => return Ok(message),
                Some(Ok(Message::Close(Some(close)))) => {
                    return Err((close.code.into(), close.reason.as_str().to_owned()));
                }
                Some(Ok(_)) => {}
                other => panic!("expected a message or close frame, got {other:?}"),
            }
        }
    }
}
