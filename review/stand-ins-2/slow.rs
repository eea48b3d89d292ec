//! Clients that read a large answer slowly.

use crate::system::{config, connect, rand, request_text, Answer, Record, System, HOST};
use std::{
    io::{Read, Write},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Clients that read slowly at a time.
const CLIENTS: usize = 6;
/// Length of a large answer.
const BODY_BYTES: usize = 500_000;
/// Time for which such a client stops reading.
const PAUSE: Duration = Duration::from_millis(5_500);
/// Deadline of the clients and timeout of the route, in seconds.
const DEADLINE_S: u64 = 10;

/// Clients stop reading a large answer for some seconds, and go on well before their deadline.
pub fn paused_readers(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let routes = [
        ("/read/", "idempotent", "menu", 2.0),
        ("/binder/", "download", "binders", DEADLINE_S as f64),
    ];
    let system = System::start(record.clone(), &[0, 1], &config(7, &routes));
    for zone in [0, 1] {
        let work = Duration::from_millis(20);
        system.server(&format!("i-menu{zone}"), "menu", zone, 9, crate::system::sound(work));
        for copy in 0..2 {
            let large = move |_: &_, _: &mut _| {
                Some(Answer {
                    work,
                    body: vec![b'.'; BODY_BYTES],
                })
            };
            system.server(&format!("i-bind{zone}{copy}"), "binders", zone, 3, Box::new(large));
        }
    }
    if !system.wait_until_served(HOST, "/read/2f") {
        return Err("the processes serve nothing".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let front = system.machines[0].front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("slow{number}-{}", rand());
                let read = read_slowly(front, &id, if trouble { PAUSE } else { Duration::ZERO }, &record);
                (id, read)
            })
        })
        .collect();
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let lost = results
        .iter()
        .filter(|(id, read)| !read && !system.runs_of(id).is_empty())
        .count();
    record.note(&format!(
        "requests that a server ran and whose answer broke off: {lost} of {CLIENTS}"
    ));
    Ok(lost > 3)
}

/// Reads an answer with a pause after its first bytes. Returns whether it arrived whole, before the deadline.
fn read_slowly(front: std::net::SocketAddr, id: &str, pause: Duration, record: &Record) -> bool {
    let Some(mut connection) = connect(front) else {
        record.note(&format!("id {id} gets no connection"));
        return true;
    };
    // The connection is kept from an earlier request.
    let first = format!("first-{}", rand());
    let text = request_text("GET", HOST, "/read/2f", &first, 2000, "");
    let sent = connection.stream.write_all(text.as_bytes());
    if sent.is_err() || connection.read_response(Duration::from_secs(3)).is_none() {
        record.note(&format!("id {first} is not answered"));
        return true;
    }
    let started = Instant::now();
    let text = request_text("GET", HOST, "/binder/2f", id, DEADLINE_S * 1000, "");
    record.note(&format!(
        "a client sends GET /binder/2f id {id} with {DEADLINE_S} s until its deadline"
    ));
    if connection.stream.write_all(text.as_bytes()).is_err() {
        return true;
    }
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(DEADLINE_S)));
    let mut part = vec![0; 64 << 10];
    let mut received = connection.stream.read(&mut part).unwrap_or(0);
    let is_success = part.starts_with(b"HTTP/1.1 200");
    if !is_success {
        record.note(&format!(
            "id {id} is refused: {:?}",
            String::from_utf8_lossy(&part[..received.min(60)])
        ));
        return true;
    }
    let head = part
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .map_or(0, |at| at + 4);
    thread::sleep(pause);
    let whole = head + BODY_BYTES;
    let error = loop {
        if received >= whole {
            break None;
        }
        match connection.stream.read(&mut part) {
            Ok(0) => break Some("the connection was closed".to_owned()),
            Ok(read) => received += read,
            Err(error) => break Some(error.to_string()),
        }
    };
    let took = started.elapsed().as_secs_f64();
    record.note(&format!(
        "id {id} has {} of {BODY_BYTES} bytes after {took:.2} s: {}",
        received - head,
        error.as_deref().unwrap_or("whole")
    ));
    error.is_none() || took >= DEADLINE_S as f64
}
