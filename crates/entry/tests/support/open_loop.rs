//! Callers that send requests at a fixed rate, however long the responses take.

use crate::support::{
    Caller,
    Entry, //
};
use std::{
    net::SocketAddr,
    sync::mpsc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Affinity keys of each kind.
const KEYS: u32 = 24;

/// Load on each of several entries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenLoop {
    /// Time between two requests to an entry.
    pub(crate) interval: Duration,
    /// Time after which a caller gives a request up.
    pub(crate) timeout: Duration,
}

/// A first try.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    /// Index of the entry.
    pub(crate) entry: usize,
    pub(crate) sent_at: Instant,
    /// Time until the response; `None` without one.
    pub(crate) took: Option<Duration>,
    pub(crate) status: Option<u16>,
}

impl Call {
    /// Returns whether it was served, and within `target` if that is given.
    pub(crate) fn is_served(&self, target: Option<Duration>) -> bool {
        let is_in_time = |took| target.is_none_or(|target| took <= target);
        self.status == Some(200) && self.took.is_some_and(is_in_time)
    }
}

/// Calls all entries until `until`, and returns the calls.
pub(crate) fn call_open_loop(entries: &[Entry], load: OpenLoop, until: Instant) -> Vec<Call> {
    let (calls, made) = mpsc::channel();
    let addrs: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
    let began = Instant::now();
    for (entry, addr) in addrs.into_iter().enumerate() {
        let calls = calls.clone();
        thread::spawn(move || {
            for number in 0.. {
                let sent_at = began + load.interval * number;
                if sent_at >= until {
                    break;
                }
                thread::sleep(sent_at.saturating_duration_since(Instant::now()));
                let calls = calls.clone();
                thread::spawn(move || {
                    let call = call_once(addr, entry, number, load.timeout);
                    // Fails only if the test has ended.
                    let _ = calls.send(call);
                });
            }
        });
    }
    drop(calls);
    made.into_iter().collect()
}

fn call_once(addr: SocketAddr, entry: usize, number: u32, timeout: Duration) -> Call {
    let (method, path) = kind(number);
    let key = (number.wrapping_mul(7) + entry as u32 * 5) % KEYS;
    let id = format!("{entry:x}c{number:x}");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: app.example\r\njasmine-request: {id}\r\n\
         jasmine-deadline-ms: {}\r\ncookie: jasmine-affinity={key}\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n",
        timeout.as_millis()
    );
    let sent_at = Instant::now();
    let response = Caller::try_connect_to(addr).and_then(|mut caller| {
        let stream = &caller.stream;
        stream.set_read_timeout(Some(timeout)).ok()?;
        caller.try_send(head);
        caller.read_response()
    });
    Call {
        entry,
        sent_at,
        took: response.is_some().then(|| sent_at.elapsed()),
        status: response.map(|response| response.status),
    }
}

/// Returns the method and the path of a request: six of ten may be repeated, three run once, and one is a download.
fn kind(number: u32) -> (&'static str, &'static str) {
    match number % 10 {
        0..=5 => ("GET", "/r/x"),
        6..=8 => ("POST", "/f/x"),
        _ => ("GET", "/d/x"),
    }
}
