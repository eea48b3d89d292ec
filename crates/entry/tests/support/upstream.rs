//! An upstream that follows a script, byte by byte.

use std::{
    collections::HashSet,
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
        Weak, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// A request as an upstream read it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Sent {
    /// When its head was read.
    pub(crate) at: Instant,
    /// Number of the connection, from 0.
    pub(crate) connection: usize,
    pub(crate) head: String,
    /// What of the body was read before the script went on.
    pub(crate) body: Vec<u8>,
}

impl Sent {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| {
            let (found, value) = line.split_once(": ")?;
            found.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    pub(crate) fn id(&self) -> &str {
        self.header("jasmine-request").unwrap_or("none")
    }
}

/// What an upstream does with a request; gives whether it goes on with the connection.
pub(crate) type Script = Box<dyn Fn(usize, &Sent, &mut Connection) -> bool + Send + Sync>;

/// Simulated process of an upstream, which a script may crash.
struct Process {
    addr: SocketAddr,
    ended: AtomicBool,
    port_closed: AtomicBool,
    connections: Mutex<Vec<Weak<TcpStream>>>,
}

impl Process {
    fn register(&self, stream: &Arc<TcpStream>) {
        let mut connections = self.connections.lock().expect("no script panics with it");
        connections.push(Arc::downgrade(stream));
    }

    /// Simulates a crash: closes the port and resets all connections.
    fn crash(&self) {
        if self.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        while !self.port_closed.load(Ordering::Relaxed) {
            // Unblocks the listener, which then closes its port.
            let _ = TcpStream::connect(self.addr);
            thread::sleep(Duration::from_millis(1));
        }
        let connections = self.connections.lock().expect("no script panics with it");
        for stream in connections.iter().filter_map(Weak::upgrade) {
            reset(&stream);
            // Fails if the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("an open socket");
}

/// The connection that a script writes to.
pub(crate) struct Connection {
    stream: Arc<TcpStream>,
    read: Vec<u8>,
    process: Arc<Process>,
}

impl Connection {
    pub(crate) fn write(&mut self, bytes: impl AsRef<[u8]>) {
        // An entry that has gone is what some scripts wait for.
        let _ = (&*self.stream).write_all(bytes.as_ref());
    }

    pub(crate) fn close(&mut self) {
        // It may be closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends the connection by a reset.
    pub(crate) fn reset(&mut self) {
        reset(&self.stream);
    }

    /// Crashes the upstream's process.
    pub(crate) fn crash(&mut self) {
        self.process.crash();
    }

    /// Waits until the other end has closed; what comes is read over.
    pub(crate) fn wait_for_end(&mut self) {
        while matches!((&*self.stream).read(&mut [0; 4096]), Ok(1..)) {}
    }

    fn fill(&mut self) -> bool {
        let mut buf = [0; 65536];
        match (&*self.stream).read(&mut buf) {
            Ok(0) | Err(_) => false,
            Ok(read) => {
                self.read.extend_from_slice(&buf[..read]);
                true
            }
        }
    }

    /// The next request; its body only if `whole`.
    fn request(&mut self, connection: usize, whole: bool) -> Option<Sent> {
        let end = loop {
            if let Some(at) = self.read.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill() {
                return None;
            }
        };
        let head: Vec<u8> = self.read.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut sent = Sent {
            at: Instant::now(),
            connection,
            head,
            body: Vec::new(),
        };
        if !whole {
            return Some(sent);
        }
        if let Some(length) = sent.header("content-length").and_then(|l| l.parse().ok()) {
            while self.read.len() < length {
                if !self.fill() {
                    return Some(sent);
                }
            }
            sent.body = self.read.drain(..length).collect();
        } else if sent.header("transfer-encoding").is_some() {
            while !self.read.ends_with(b"0\r\n\r\n") {
                if !self.fill() {
                    return Some(sent);
                }
            }
            sent.body = std::mem::take(&mut self.read);
        }
        Some(sent)
    }
}

/// A whole answer of a well-behaved upstream.
pub(crate) fn good(sent: &Sent, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\
         content-length: {}\r\n\r\n{body}",
        sent.id(),
        body.len()
    )
}

/// An upstream on a port of its own.
pub(crate) struct Upstream {
    pub(crate) addr: SocketAddr,
    seen: Arc<Mutex<Vec<Sent>>>,
}

impl Upstream {
    /// Starts one; `script` is called with the number of each request, from 0.
    pub(crate) fn start(script: Script) -> Self {
        Self::start_reading(true, script)
    }

    /// Starts one that answers before it has read bodies.
    pub(crate) fn start_reading(whole: bool, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self::serve(listener, whole, script)
    }

    /// Starts one at a listener that is bound already, whoever waits there.
    pub(crate) fn serve(listener: TcpListener, whole: bool, script: Script) -> Self {
        let addr = listener.local_addr().expect("bound");
        let seen = Arc::new(Mutex::new(Vec::<Sent>::new()));
        let log = seen.clone();
        let script = Arc::new(script);
        let process = Arc::new(Process {
            addr,
            ended: AtomicBool::new(false),
            port_closed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if process.ended.load(Ordering::Relaxed) {
                    break;
                }
                let stream = Arc::new(stream);
                process.register(&stream);
                let (log, script, process) = (log.clone(), script.clone(), process.clone());
                thread::spawn(move || {
                    let mut connection = Connection {
                        stream,
                        read: Vec::new(),
                        process,
                    };
                    while let Some(sent) = connection.request(number, whole) {
                        let count = {
                            let mut log = log.lock().expect("no script panics with it");
                            log.push(sent.clone());
                            log.len() - 1
                        };
                        if !script(count, &sent, &mut connection) {
                            return;
                        }
                    }
                });
            }
            drop(listener);
            process.port_closed.store(true, Ordering::Relaxed);
        });
        Self { addr, seen }
    }

    /// One that answers all requests with this body.
    pub(crate) fn good(body: &'static str) -> Self {
        Self::start(Box::new(move |_, sent, connection| {
            connection.write(good(sent, body));
            true
        }))
    }

    /// One that takes `cold` for a key's first request, and a fifth of it for its next ones.
    pub(crate) fn caching(body: &'static str, cold: Duration) -> Self {
        let had = Mutex::new(HashSet::new());
        Self::start(Box::new(move |_, sent, connection| {
            let key = sent.header("cookie").unwrap_or("").to_owned();
            let is_new = had.lock().expect("no script panics with it").insert(key);
            thread::sleep(if is_new { cold } else { cold / 5 });
            connection.write(good(sent, body));
            true
        }))
    }

    pub(crate) fn seen(&self) -> Vec<Sent> {
        self.seen.lock().expect("no script panics with it").clone()
    }
}
