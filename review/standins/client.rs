//! Clients: each asks the directory where to connect, and sends one request after the other on a kept connection.

use crate::{entry::get, http::Connection, json::Json, record::Record};
use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Time for which an answer of the directory is kept.
const LOOKUP_KEPT: Duration = Duration::from_secs(2);

/// Number of objects that the requests concern.
const OBJECTS: u32 = 47;

/// Requests that a client sends.
#[derive(Clone)]
pub struct Traffic {
    pub name: String,
    pub method: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub body: &'static [u8],
    pub interval: Duration,
    pub deadline: Duration,
    pub region: &'static str,
    pub zone: &'static str,
}

/// Picks addresses at random.
pub struct Random(u64);

impl Random {
    pub fn new(name: &str) -> Self {
        let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = started.map_or(1, |since_epoch| since_epoch.subsec_nanos());
        Self(name.bytes().fold(u64::from(seed), |seed, byte| {
            seed.wrapping_mul(31) + u64::from(byte)
        }))
    }

    /// Returns a number of at least 0 and below 1.
    pub fn fraction(&mut self) -> f64 {
        self.step();
        (self.0 >> 33) as f64 / f64::from(1_u32 << 31)
    }

    fn step(&mut self) {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
    }

    pub fn pick(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        self.step();
        let index = (self.0 >> 33) as usize % addresses.len().max(1);
        addresses.get(index).copied()
    }
}

/// How one request ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub id: String,
    /// Entry that the request was sent to, if there was a connection.
    pub front: Option<SocketAddr>,
    /// Status of the answer; 0 if there was no whole answer.
    pub status: u16,
}

pub type AllSent = Arc<Mutex<Vec<Sent>>>;

/// Asks a directory where to connect.
pub fn lookup(traffic: &Traffic, directories: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let path = format!(
        "/v1/resolve?name={}&region={}&zone={}",
        traffic.host, traffic.region, traffic.zone
    );
    let answers = directories.iter().filter_map(|addr| get(*addr, &path).ok());
    let answer = answers.into_iter().find(|answer| answer.status() == 200)?;
    let body = Json::parse(&String::from_utf8_lossy(&answer.body))?;
    let listed = body.get("addresses").list().iter();
    Some(listed.filter_map(|one| one.text().parse().ok()).collect())
}

/// Starts a client, which sends until `stop` is set.
pub fn start(
    traffic: Traffic,
    directories: Vec<SocketAddr>,
    record: &Record,
    sent: &AllSent,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
    thread::spawn(move || {
        let mut connection: Option<Connection> = None;
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut asked: Option<Instant> = None;
        let mut failed: Option<SocketAddr> = None;
        let mut random = Random::new(&traffic.name);
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            if asked.is_none_or(|at| at.elapsed() >= LOOKUP_KEPT) {
                if let Some(listed) = lookup(&traffic, &directories) {
                    addresses = listed;
                    asked = Some(Instant::now());
                }
            }
            let started = Instant::now();
            let object = (random.fraction() * f64::from(OBJECTS)) as u32;
            let id = format!("{}-{number}", traffic.name);
            let at = record.now();
            let (front, status) = {
                let other = addresses.iter().filter(|addr| Some(**addr) != failed);
                let other: Vec<SocketAddr> = other.copied().collect();
                exchange(&traffic, &id, &mut connection, random.pick(&other), object)
            };
            if status == 0 {
                failed = front;
            }
            let to = front.map_or("nobody".to_owned(), |front| front.to_string());
            record.note(&format!(
                "client sends {id} to {to} at {:.3}, gets {status}",
                at.as_secs_f64()
            ));
            sent.lock().unwrap().push(Sent {
                at,
                id,
                front,
                status,
            });
            thread::sleep(traffic.interval.saturating_sub(started.elapsed()));
        }
    })
}

fn exchange(
    traffic: &Traffic,
    id: &str,
    connection: &mut Option<Connection>,
    addr: Option<SocketAddr>,
    object: u32,
) -> (Option<SocketAddr>, u16) {
    if let (None, Some(addr)) = (&connection, addr) {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1));
        *connection = stream.ok().map(Connection::new);
    }
    let Some(open) = connection else {
        return (None, 0);
    };
    let front = open.stream.peer_addr().ok();
    let _ = open
        .stream
        .set_read_timeout(Some(traffic.deadline + Duration::from_millis(500)));
    let start = format!("{} {}2f HTTP/1.1", traffic.method, traffic.prefix);
    let deadline = traffic.deadline.as_millis().to_string();
    let cookie = format!("X-Jasminefield-Affinity-Key={object}");
    let headers = [
        ("Cookie", cookie.as_str()),
        ("Host", traffic.host),
        ("X-Jasminefield-Request-Id", id),
        ("X-Jasminefield-Request-Deadline", deadline.as_str()),
    ];
    let answer = open
        .write(&start, &headers, traffic.body)
        .and_then(|()| open.read());
    let (status, closes) = answer.map_or((0, true), |answer| (answer.status(), answer.closes()));
    if closes {
        *connection = None;
    }
    (front, status)
}
