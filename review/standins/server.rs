//! Servers of the platform: they register in the store, run requests, drain, crash and start again.

use crate::{
    http::{Connection, Message},
    json::quoted,
    record::Record,
    store::Store,
};
use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Parts in which a long answer is sent.
const PARTS: usize = 20;

pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What a server is; the same for all its starts.
#[derive(Clone)]
pub struct Spec {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub work: Duration,
    /// Length of its answers.
    pub answer_bytes: usize,
    /// Time in which it sends one.
    pub answer_time: Duration,
}

/// A request that has reached a server and was not answered 421 or rejected.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub request: String,
    pub path: String,
    pub server: &'static str,
    pub service: &'static str,
    /// Whether the server has answered it.
    pub answered: bool,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// One start of a server.
#[derive(Clone)]
pub struct Server {
    pub spec: Spec,
    pub addr: SocketAddr,
    /// What it says is the Unix millisecond of its start.
    pub born_ms: u64,
    inner: Arc<Inner>,
}

struct Inner {
    store: Store,
    record: Record,
    runs: Runs,
    up: AtomicBool,
    draining: AtomicBool,
    sequence: AtomicU32,
    running: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
}

/// Returns the time of day.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_epoch.as_millis()).unwrap()
}

impl Server {
    /// Starts a server, at the address of an earlier start if it had one, and registers it.
    pub fn start(
        spec: &Spec,
        addr: Option<SocketAddr>,
        born_ms: u64,
        store: &Store,
        record: &Record,
        runs: &Runs,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))))?;
        listener.set_nonblocking(true)?;
        let server = Self {
            spec: spec.clone(),
            addr: listener.local_addr()?,
            born_ms,
            inner: Arc::new(Inner {
                store: store.clone(),
                record: record.clone(),
                runs: runs.clone(),
                up: AtomicBool::new(true),
                draining: AtomicBool::new(false),
                sequence: AtomicU32::new(0),
                running: AtomicU32::new(0),
                connections: Mutex::default(),
            }),
        };
        record.note(&format!(
            "server {} of {} starts at {}, born {born_ms}",
            spec.id, spec.service, server.addr
        ));
        server.beat();
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = server.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if !beating.is_up() {
                return;
            }
            beating.beat();
        });
        Ok(server)
    }

    pub fn is_up(&self) -> bool {
        self.inner.up.load(Ordering::SeqCst)
    }

    /// Writes its entry to the store.
    fn beat(&self) {
        let sequence = self.inner.sequence.fetch_add(1, Ordering::SeqCst);
        let draining = self.inner.draining.load(Ordering::SeqCst);
        let state = if draining { "draining" } else { "ready" };
        let spec = &self.spec;
        let entry = format!(
            "{{\"born\":{},\"address\":\"{}\",\"details\":{{\"service\":{},\"version\":\"v1\",\"zone\":{},\"slots\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"cold-left-s\":0}}}}",
            self.born_ms,
            self.addr,
            quoted(spec.service),
            quoted(spec.zone),
            spec.slots,
        );
        self.inner.store.put("servers", spec.id, &entry);
        self.inner
            .record
            .note(&format!("server {} writes {entry}", spec.id));
    }

    /// Reports that it is leaving. Returns when the store has accepted the report, with the time of that.
    pub fn drain(&self) -> Duration {
        self.inner.draining.store(true, Ordering::SeqCst);
        self.beat();
        self.inner.record.now()
    }

    /// Ends: its listener and its connections are closed, whatever it is at work on.
    pub fn end(&self, why: &str) {
        self.inner.up.store(false, Ordering::SeqCst);
        for stream in self.inner.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let running = self.inner.running.load(Ordering::SeqCst);
        self.inner.record.tell(&format!(
            "server {} ends ({why}), at work on {running} requests",
            self.spec.id
        ));
    }

    fn accept(&self, listener: &TcpListener) {
        while self.is_up() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.inner.connections.lock().unwrap().push(copy);
            }
            let server = self.clone();
            thread::spawn(move || server.serve(Connection::new(stream)));
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            let served = self.answer(&mut connection, &request);
            if served.is_err() || !self.is_up() {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let (spec, inner) = (&self.spec, &self.inner);
        let draining = inner.draining.load(Ordering::SeqCst);
        let path = request.word(1).to_owned();
        if path == "/health" {
            let start = if draining {
                "HTTP/1.1 503 Draining"
            } else {
                "HTTP/1.1 200 OK"
            };
            return connection.write(start, &[("X-Jasminefield-Instance-Id", spec.id)], b"");
        }
        let id = request
            .header("x-jasminefield-request-id")
            .unwrap_or("")
            .to_owned();
        let target = request.header("x-jasminefield-target-instance");
        if target.is_some_and(|target| target != spec.id) {
            inner.record.note(&format!(
                "request {id} {path} gets 421 from server {}",
                spec.id
            ));
            let headers = [("X-Jasminefield-Instance-Id", spec.id)];
            return connection.write("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let running = inner.running.fetch_add(1, Ordering::SeqCst);
        if running >= spec.slots * 4 {
            inner.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [
                ("X-Jasminefield-Not-Executed", "1"),
                ("X-Jasminefield-Request-Id", &id),
            ];
            return connection.write("HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        inner.record.note(&format!(
            "request {id} {} {path} runs at server {} of {}",
            request.word(0),
            spec.id,
            spec.service
        ));
        let index = {
            let mut runs = inner.runs.lock().unwrap();
            runs.push(Run {
                at: inner.record.now(),
                request: id.clone(),
                path,
                server: spec.id,
                service: spec.service,
                answered: false,
            });
            runs.len() - 1
        };
        // A request that waits for a slot takes longer.
        let turns = 1 + running / spec.slots;
        thread::sleep(spec.work * turns);
        inner.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_up() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let mut headers = vec![
            ("X-Jasminefield-Request-Id", id.as_str()),
            ("X-Jasminefield-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Keep-Alive", "timeout=10"),
        ];
        if draining {
            headers.push(("Connection", "close"));
        }
        self.send_answer(connection, &headers)?;
        inner.runs.lock().unwrap()[index].answered = true;
        if draining {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Sends the answer in parts over the time that it takes.
    fn send_answer(&self, connection: &mut Connection, headers: &[(&str, &str)]) -> io::Result<()> {
        let spec = &self.spec;
        let body = vec![b'x'; spec.answer_bytes];
        if spec.answer_time.is_zero() {
            return connection.write("HTTP/1.1 200 OK", headers, &body);
        }
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        connection.stream.write_all(head.as_bytes())?;
        for part in body.chunks(spec.answer_bytes.div_ceil(PARTS).max(1)) {
            connection.stream.write_all(part)?;
            thread::sleep(spec.answer_time / PARTS as u32);
        }
        Ok(())
    }
}
