//! A server that spoils the head of some of its answers: a stated length beside chunks, which it contradicts.

use crate::{
    http::{ID, SEAL},
    system::{config, connect, rand, request_text, Answer, Manner, Record, System, HOST},
};
use std::{
    io::Write,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// Bytes of an answer.
const BODY_BYTES: usize = 400_000;
/// Bytes that a spoiled head states.
const STATED_BYTES: usize = 300_000;
/// One of so many answers of the faulty server is spoiled.
const ANSWERS_PER_SPOILED: usize = 50;
const CLIENTS: usize = 4;
const REQUESTS: usize = 75;

/// The whole body of the answer to a request: its id, again and again.
fn whole_body(id: &str) -> Vec<u8> {
    let line = format!("body for {id}\n");
    line.bytes().cycle().take(BODY_BYTES).collect()
}

/// Answers in chunks, with a stated length that differs in spoiled answers.
fn in_chunks(server: &'static str, is_faulty: bool, spoiled: Arc<AtomicUsize>, record: Arc<Record>) -> Manner {
    let answers = AtomicUsize::new(0);
    Box::new(move |request, connection| {
        let id = request.id();
        let number = answers.fetch_add(1, Ordering::Relaxed);
        if !(is_faulty && number % ANSWERS_PER_SPOILED == ANSWERS_PER_SPOILED - 1) {
            return Some(Answer {
                work: Duration::from_millis(2),
                body: whole_body(id),
            });
        }
        spoiled.fetch_add(1, Ordering::Relaxed);
        record.note(&format!(
            "the answer to id {id} has {BODY_BYTES} bytes in chunks and a stated length of {STATED_BYTES}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ID}: {id}\r\n{SEAL}: {server}.{id}\r\nContent-Length: {STATED_BYTES}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let _ = connection.stream.write_all(head.as_bytes());
        for part in whole_body(id).chunks(16_000) {
            let _ = connection.stream.write_all(format!("{:x}\r\n", part.len()).as_bytes());
            let _ = connection.stream.write_all(part);
            let _ = connection.stream.write_all(b"\r\n");
        }
        let _ = connection.stream.write_all(b"0\r\n\r\n");
        None
    })
}

/// Clients fetch downloads on kept connections while one of three servers spoils one of fifty answers.
pub fn two_framings(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let routes = [("/binder/", "download", "binders", 2.5)];
    let system = System::start(record.clone(), &[0, 1], &config(7, &routes));
    let spoiled = Arc::new(AtomicUsize::new(0));
    for name in ["i-faulty", "i-b", "i-c"] {
        let is_faulty = trouble && name == "i-faulty";
        system.server(
            name,
            "binders",
            0,
            6,
            in_chunks(name, is_faulty, spoiled.clone(), record.clone()),
        );
    }
    if !system.wait_until_served(HOST, "/binder/2f") {
        return Err("the processes serve nothing".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let front = system.machines[0].front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || fetch(front, &record))
        })
        .collect();
    let mut mixed = 0;
    for client in clients {
        mixed += client.join().map_err(|_| "a client failed")?;
    }
    record.note(&format!(
        "{} answers spoiled; successes without the server's whole body: {mixed}",
        spoiled.load(Ordering::Relaxed)
    ));
    Ok(mixed > 0)
}

/// Fetches downloads one after the other on a kept connection. Returns how many successes come without
/// the server's whole body.
fn fetch(front: std::net::SocketAddr, record: &Record) -> usize {
    let mut mixed = 0;
    let mut kept = None;
    for _ in 0..REQUESTS {
        let Some(mut connection) = kept.take().or_else(|| connect(front)) else {
            continue;
        };
        let id = format!("binder-{}", rand());
        let text = request_text("GET", HOST, "/binder/2f", &id, 2500, "");
        if connection.stream.write_all(text.as_bytes()).is_err() {
            continue;
        }
        let Some(answer) = connection.read_response(Duration::from_secs(4)) else {
            record.note(&format!("id {id} gets no complete answer"));
            continue;
        };
        let is_whole = answer.status != 200 || answer.body == whole_body(&id);
        record.note(&format!(
            "id {id} is answered {} with {} bytes{}",
            answer.status,
            answer.body.len(),
            if is_whole { "" } else { ", not the server's whole body" }
        ));
        mixed += usize::from(!is_whole);
        kept = Some(connection);
    }
    mixed
}
