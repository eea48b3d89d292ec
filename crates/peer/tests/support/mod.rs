//! What the tests of meshes share: nodes with an event log, a relay, and a peer made by hand.
#![expect(dead_code, reason = "each test file uses its part")]

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

/// Key of all nodes that are to agree.
pub(crate) const KEY: &str = "the key of the tests";
/// Longest wait for anything; generous, since a busy machine is no failure.
const PATIENCE: Duration = Duration::from_secs(60);

/// Runs a test on one thread, as the daemon's control does.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Names each case of a table: `name: function(arguments);`.
macro_rules! cases {
    ($($name:ident: $test:ident($($argument:expr),* $(,)?);)*) => {
        $(#[test]
        fn $name() {
            crate::support::run($test($($argument),*));
        })*
    };
}
pub(crate) use cases;

/// Options with short waits where the tests await them.
pub(crate) fn quick() -> Options {
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

/// A mesh and what it told so far.
pub(crate) struct Node {
    pub(crate) mesh: Mesh,
    pub(crate) events: Events,
    pub(crate) seen: Vec<Event>,
}

/// Starts `name` in its life `incarnation`.
pub(crate) fn node(name: &'static str, incarnation: u64, options: Options) -> Node {
    node_with(name, incarnation, KEY, options)
}

/// Starts a node with a key of its own.
pub(crate) fn node_with(name: &'static str, incarnation: u64, key: &str, options: Options) -> Node {
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
    /// This node as a partner of others.
    pub(crate) fn partner(&self, name: &'static str) -> Partner {
        Partner {
            instance: name.into(),
            addr: self.mesh.local_addr(),
        }
    }

    /// Reads events until `wanted` says yes to one.
    pub(crate) async fn until(&mut self, what: &str, wanted: impl Fn(&Event) -> bool) -> Event {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let next = timeout_at(deadline, self.events.recv()).await;
            let Ok(Some(event)) = next else {
                panic!("{what} did not come; seen: {:?}", self.seen);
            };
            self.seen.push(event.clone());
            if wanted(&event) {
                return event;
            }
        }
    }

    /// Waits for `name` to be up; its incarnation.
    pub(crate) async fn until_up(&mut self, name: &'static str) -> u64 {
        let up = |event: &Event| matches!(event, Event::Up(info) if info.instance == name);
        match self.until("up", up).await {
            Event::Up(info) => info.incarnation,
            _ => unreachable!(),
        }
    }

    /// Waits for the share numbered `number`.
    pub(crate) async fn until_share(&mut self, number: u32) {
        let wanted = share(number);
        self.until(
            "share",
            |event| matches!(event, Event::Frame { frame, .. } if *frame == wanted),
        )
        .await;
    }

    /// Takes the events that come within `time`.
    pub(crate) async fn settle(&mut self, time: Duration) {
        let deadline = Instant::now() + time;
        while let Ok(Some(event)) = timeout_at(deadline, self.events.recv()).await {
            self.seen.push(event);
        }
    }

    /// Events seen that `wanted` says yes to.
    pub(crate) fn count(&self, wanted: impl Fn(&Event) -> bool) -> usize {
        self.seen.iter().filter(|event| wanted(event)).count()
    }

    /// Numbers of the shares seen, in order.
    pub(crate) fn shares(&self) -> Vec<u32> {
        self.seen.iter().filter_map(share_number).collect()
    }
}

/// Waits until `holds` says yes.
pub(crate) async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let poll = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(PATIENCE, poll).await.is_ok(), "{what} did not come");
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

/// A beat without summaries.
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

/// Relay that can lose track of its connections.
#[derive(Clone)]
pub(crate) struct Relay {
    /// Where to dial.
    pub(crate) addr: SocketAddr,
    /// Connections up to this number are silent.
    silent: Rc<Cell<usize>>,
    /// Connections so far.
    count: Rc<Cell<usize>>,
    /// Delay in each direction.
    delay: Rc<Cell<Duration>>,
}

impl Relay {
    /// Relays to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Self {
            addr: listener.local_addr().unwrap(),
            silent: Rc::default(),
            count: Rc::default(),
            delay: Rc::default(),
        };
        let accepting = relay.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                accepting.count.set(accepting.count.get() + 1);
                let number = accepting.count.get();
                spawn_local(accepting.clone().carry(near, target, number));
            }
        });
        relay
    }

    /// Makes all connections of now silent, and leaves them open.
    pub(crate) fn silence_old(&self) {
        self.silent.set(self.count.get());
    }

    /// Makes all connections silent, also those to come.
    pub(crate) fn silence_all(&self) {
        self.silent.set(usize::MAX);
    }

    /// Delays what comes from now on, in each direction.
    pub(crate) fn slow_down(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Copies both ways while the connection is not silent.
    async fn carry(self, near: TcpStream, target: SocketAddr, number: usize) {
        let mut far = TcpStream::connect(target).await.unwrap();
        let mut near = near;
        {
            let (mut near_read, mut near_write) = near.split();
            let (mut far_read, mut far_write) = far.split();
            tokio::select! {
                biased;
                () = self.until_silent(number) => {}
                () = self.copy(&mut near_read, &mut far_write) => return,
                () = self.copy(&mut far_read, &mut near_write) => return,
            }
        }
        // Both sockets stay open and nothing moves.
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

    /// Waits until connection `number` is to be silent.
    async fn until_silent(&self, number: usize) {
        while number > self.silent.get() {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// A peer made by hand: it follows docs/design/peer.md and shares no code with the mesh.
pub(crate) struct RawPeer {
    pub(crate) socket: WebSocketStream<TcpStream>,
}

/// A hello of protocol 1.
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
    /// Connects and speaks websocket, no more.
    pub(crate) async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.unwrap();
        let (socket, _) = client_async(format!("ws://{addr}/"), stream).await.unwrap();
        Self { socket }
    }

    /// Connects and proves the key `key` after the message `hello`.
    pub(crate) async fn prove(addr: SocketAddr, key: &str, hello: Bytes) -> Self {
        let mut peer = Self::connect(addr).await;
        peer.send(hello.clone()).await;
        let theirs = peer.receive().await.expect("a hello");
        let mut proved = vec![1];
        for message in [&hello, &theirs] {
            proved.extend_from_slice(&(message.len() as u64).to_le_bytes());
            proved.extend_from_slice(message);
        }
        let key = blake3::derive_key("jasminefield peer sessions shared key v1", key.as_bytes());
        let mac = blake3::keyed_hash(&key, &proved);
        let mac = Bytes::copy_from_slice(mac.as_bytes());
        peer.send(encode(&Frame::Proof(Proof { mac })).unwrap())
            .await;
        peer
    }

    /// Sends one message.
    pub(crate) async fn send(&mut self, message: Bytes) {
        self.socket.send(Message::Binary(message)).await.unwrap();
    }

    /// Next message, or the close's code and reason.
    pub(crate) async fn receive(&mut self) -> Result<Bytes, (u16, String)> {
        let deadline = Instant::now() + PATIENCE;
        loop {
            match timeout_at(deadline, self.socket.next()).await.unwrap() {
                Some(Ok(Message::Binary(message))) => return Ok(message),
                Some(Ok(Message::Close(Some(close)))) => {
                    return Err((close.code.into(), close.reason.as_str().to_owned()));
                }
                Some(Ok(_)) => {}
                other => panic!("neither message nor close: {other:?}"),
            }
        }
    }
}
