//! An upstream whose responses are written byte by byte by a script.

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

/// A request as received by an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ReceivedRequest {
    /// Time at which the head was read.
    pub(crate) at: Instant,
    /// Number of the connection, from 0.
    pub(crate) connection: usize,
    pub(crate) head: String,
    /// The part of the body that was read before the script was called.
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
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

/// Handles a request, given its number; returns whether to read another one from the connection.
pub(crate) type Script =
    Box<dyn Fn(usize, &ReceivedRequest, &mut Connection) -> bool + Send + Sync>;

/// Simulated process of an upstream, which a script may crash.
struct Process {
    addr: SocketAddr,
    crashed: AtomicBool,
    port_closed: AtomicBool,
    connections: Mutex<Vec<Weak<TcpStream>>>,
}

impl Process {
    fn register(&self, stream: &Arc<TcpStream>) {
        let mut connections = self
            .connections
            .lock()
            .expect("no script panics while it holds the lock");
        connections.push(Arc::downgrade(stream));
    }

    /// Simulates a crash: closes the port and resets all connections.
    fn crash(&self) {
        if self.crashed.swap(true, Ordering::Relaxed) {
            return;
        }
        while !self.port_closed.load(Ordering::Relaxed) {
            // Unblocks the listener, which then closes its port.
            let _ = TcpStream::connect(self.addr);
            thread::sleep(Duration::from_millis(1));
        }
        let connections = self
            .connections
            .lock()
            .expect("no script panics while it holds the lock");
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
        .expect("the socket is open");
}

/// The connection that a script writes to.
pub(crate) struct Connection {
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    process: Arc<Process>,
}

impl Connection {
    pub(crate) fn write(&mut self, bytes: impl AsRef<[u8]>) {
        // Fails if the entry has closed the connection, which some scripts wait for.
        let _ = (&*self.stream).write_all(bytes.as_ref());
    }

    pub(crate) fn close(&mut self) {
        // Fails if the connection is already closed.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Writes a beginning and then the same bytes again and again until the peer closes the connection. Returns how many
    /// bytes it took.
    pub(crate) fn write_without_end(&mut self, begin: &[u8], repeated: &[u8]) -> u64 {
        let repeated = repeated.repeat((16 << 10) / repeated.len());
        let mut part = begin;
        let mut written = 0;
        loop {
            match (&*self.stream).write(part) {
                Ok(0) | Err(_) => return written,
                Ok(length) => {
                    written += length as u64;
                    part = &part[length..];
                }
            }
            if part.is_empty() {
                part = &repeated;
            }
        }
    }

    /// Makes the connection end by a reset when it is closed.
    pub(crate) fn reset(&mut self) {
        reset(&self.stream);
    }

    /// Crashes the upstream's process.
    pub(crate) fn crash(&mut self) {
        self.process.crash();
    }

    /// Waits until the peer has closed the connection; discards what it sends until then.
    pub(crate) fn wait_for_close(&mut self) {
        while matches!((&*self.stream).read(&mut [0; 4096]), Ok(1..)) {}
    }

    fn fill(&mut self) -> bool {
        let mut buf = [0; 65536];
        match (&*self.stream).read(&mut buf) {
            Ok(0) | Err(_) => false,
            Ok(read) => {
                self.buffer.extend_from_slice(&buf[..read]);
                true
            }
        }
    }

    /// Reads the next request, with its body only if `read_body`; `None` if the connection ended.
    fn read_request(&mut self, connection: usize, read_body: bool) -> Option<ReceivedRequest> {
        let end = loop {
            if let Some(at) = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                break at + 4;
            }
            if !self.fill() {
                return None;
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut request = ReceivedRequest {
            at: Instant::now(),
            connection,
            head,
            body: Vec::new(),
        };
        if !read_body {
            return Some(request);
        }
        if let Some(length) = request
            .header("content-length")
            .and_then(|l| l.parse().ok())
        {
            while self.buffer.len() < length {
                if !self.fill() {
                    return Some(request);
                }
            }
            request.body = self.buffer.drain(..length).collect();
        } else if request.header("transfer-encoding").is_some() {
            while !self.buffer.ends_with(b"0\r\n\r\n") {
                if !self.fill() {
                    return Some(request);
                }
            }
            request.body = std::mem::take(&mut self.buffer);
        }
        Some(request)
    }
}

/// A complete 200 response with all headers that an entry expects of an upstream.
pub(crate) fn ok_response(request: &ReceivedRequest, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\
         content-length: {}\r\n\r\n{body}",
        request.id(),
        body.len()
    )
}

/// An upstream that listens on its own port.
pub(crate) struct Upstream {
    pub(crate) addr: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Upstream {
    /// Starts an upstream that calls `script` with the number of each request, from 0.
    pub(crate) fn start(script: Script) -> Self {
        Self::start_with(true, script)
    }

    /// Like [`Self::start`]; without `read_bodies`, the script is called once a head has been read.
    pub(crate) fn start_with(read_bodies: bool, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        Self::serve(listener, read_bodies, script)
    }

    /// Like [`Self::start_with`], on a listener that is already bound and may have pending connections.
    pub(crate) fn serve(listener: TcpListener, read_bodies: bool, script: Script) -> Self {
        let addr = listener.local_addr().expect("the listener is bound");
        let requests = Arc::new(Mutex::new(Vec::<ReceivedRequest>::new()));
        let request_log = requests.clone();
        let script = Arc::new(script);
        let process = Arc::new(Process {
            addr,
            crashed: AtomicBool::new(false),
            port_closed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if process.crashed.load(Ordering::Relaxed) {
                    break;
                }
                let stream = Arc::new(stream);
                process.register(&stream);
                let (request_log, script, process) =
                    (request_log.clone(), script.clone(), process.clone());
                thread::spawn(move || {
                    let mut connection = Connection {
                        stream,
                        buffer: Vec::new(),
                        process,
                    };
                    while let Some(request) = connection.read_request(number, read_bodies) {
                        let count = {
                            let mut request_log = request_log
                                .lock()
                                .expect("no script panics while it holds the lock");
                            request_log.push(request.clone());
                            request_log.len() - 1
                        };
                        if !script(count, &request, &mut connection) {
                            return;
                        }
                    }
                });
            }
            drop(listener);
            process.port_closed.store(true, Ordering::Relaxed);
        });
        Self { addr, requests }
    }

    /// Starts an upstream that responds to all requests with this body.
    pub(crate) fn responding(body: &'static str) -> Self {
        Self::start(Box::new(move |_, request, connection| {
            connection.write(ok_response(request, body));
            true
        }))
    }

    /// Starts an upstream that takes `cold` for the first request with a key, and a fifth of it for later ones.
    pub(crate) fn caching(body: &'static str, cold: Duration) -> Self {
        let cached_keys = Mutex::new(HashSet::new());
        Self::start(Box::new(move |_, request, connection| {
            let key = request.header("cookie").unwrap_or("").to_owned();
            let is_new = cached_keys
                .lock()
                .expect("no script panics while it holds the lock")
                .insert(key);
            thread::sleep(if is_new { cold } else { cold / 5 });
            connection.write(ok_response(request, body));
            true
        }))
    }

    pub(crate) fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests
            .lock()
            .expect("no script panics while it holds the lock")
            .clone()
    }
}

/// Returns the ids of filings that reached one of these upstreams more than once, or several of them.
pub(crate) fn repeated_filings(upstreams: &[Upstream]) -> Vec<String> {
    let requests = upstreams.iter().flat_map(Upstream::requests);
    let filings = requests.filter(|request| request.head.starts_with("POST"));
    let mut ids: Vec<String> = filings.map(|filing| filing.id().to_owned()).collect();
    ids.sort_unstable();
    let repeated = ids.windows(2).filter(|pair| pair[0] == pair[1]);
    repeated.map(|pair| pair[0].clone()).collect()
}
