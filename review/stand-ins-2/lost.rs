//! Requests behind a long answer that breaks off.

use crate::{
    http::SEAL,
    system::{answer_body, config, connect, rand, request_text, Answer, Manner, Record, System, HOST},
};
use std::{
    collections::HashMap,
    io::Write,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// Bytes of a long answer.
const LONG_BYTES: usize = 600_000;
/// Bytes of it that arrive if it breaks off.
const SENT_BYTES: usize = 400_000;
/// Fewest requests of a server that breaks off one answer: one in fifty at most.
const ANSWERS_MIN: usize = 50;
/// Clients that make requests before, and how many each.
const CLIENTS: usize = 8;
const REQUESTS: usize = 100;
/// Requests that the client sends one behind the other.
const PIPELINED: usize = 12;

/// Answers requests for a long body with one, which breaks off while `breaks` is set, and all others with a short one.
fn long_answers(breaks: Arc<AtomicBool>, broken_by: Arc<Mutex<Vec<String>>>, server: &'static str) -> Manner {
    Box::new(move |request, connection| {
        let id = request.id().to_owned();
        if !request.path.contains("/long") {
            return Some(Answer {
                work: Duration::from_millis(60),
                body: answer_body(&id),
            });
        }
        let mut body = answer_body(&id);
        body.resize(LONG_BYTES, b'.');
        if !breaks.load(Ordering::Relaxed) {
            return Some(Answer {
                work: Duration::from_millis(20),
                body,
            });
        }
        broken_by.lock().unwrap().push(server.to_owned());
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{SEAL}: {server}.{id}\r\nContent-Length: {LONG_BYTES}\r\n\r\n",
            crate::http::ID
        );
        let _ = connection.stream.write_all(head.as_bytes());
        let _ = connection.stream.write_all(&body[..SENT_BYTES]);
        // The other servers have answered by now.
        thread::sleep(Duration::from_millis(300));
        None
    })
}

/// A client sends idempotent requests behind the first, whose answer is long and breaks off. Those behind it have run.
pub fn behind_long(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let routes = [("/read/", "idempotent", "menu", 2.0)];
    let system = System::start(record.clone(), &[0, 1], &config(7, &routes));
    let breaks = Arc::new(AtomicBool::new(trouble));
    let broken_by = Arc::new(Mutex::new(Vec::new()));
    for (zone, name) in [(0, "i-a"), (0, "i-b"), (0, "i-c"), (1, "i-d"), (1, "i-e"), (1, "i-f")] {
        let manner = long_answers(breaks.clone(), broken_by.clone(), name);
        system.server(name, "menu", zone, 9, manner);
    }
    if !system.wait_until_served(HOST, "/read/2f") {
        return Err("the processes serve nothing".to_owned());
    }
    // By then each server has given so many answers that one is a small part of them, and the machines are in touch.
    let front = system.machines[0].front;
    let clients: Vec<_> = (0..CLIENTS).map(|_| thread::spawn(move || look_up(front))).collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    thread::sleep(Duration::from_secs(1));
    let mut connection = connect(front).ok_or("no connection")?;
    // A kept connection, which has had an answer before.
    let first = format!("first-{}", rand());
    let text = request_text("GET", HOST, "/read/2f", &first, 2000, "");
    connection
        .stream
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())?;
    let kept = connection
        .read_response(Duration::from_secs(3))
        .ok_or("no answer to the first request")?;
    record.note(&format!("id {first} is answered {}", kept.status));
    let ids: Vec<String> = (0..PIPELINED).map(|number| format!("p{number}-{}", rand())).collect();
    let mut text = String::new();
    for (number, id) in ids.iter().enumerate() {
        let path = if number == 0 { "/read/long" } else { "/read/2f" };
        text += &request_text("GET", HOST, path, id, 2000, "");
    }
    connection
        .stream
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())?;
    record.note(&format!(
        "the client sends {PIPELINED} requests, the first for a long answer"
    ));
    let mut answered = HashMap::new();
    for id in &ids {
        let Some(answer) = connection.read_response(Duration::from_secs(4)) else {
            record.note(&format!("id {id} gets no complete answer; the connection has ended"));
            break;
        };
        record.note(&format!(
            "id {id} is answered {} with {} bytes",
            answer.status,
            answer.body.len()
        ));
        answered.insert(id.clone(), answer.status);
    }
    thread::sleep(Duration::from_millis(500));
    let faulty = broken_by.lock().unwrap().clone();
    let lost = ids[1..].iter().filter(|id| {
        let runs = system.runs_of(id);
        !answered.contains_key(*id) && runs.iter().any(|run| !faulty.contains(&run.server))
    });
    let lost: Vec<_> = lost.collect();
    for server in &faulty {
        let runs = system.runs.lock().unwrap();
        let answers = runs.iter().filter(|run| run.server == *server).count();
        record.note(&format!(
            "server {server} has run {answers} requests, and broken off one answer"
        ));
        if answers < ANSWERS_MIN {
            return Err("the faulty server has given too few answers".to_owned());
        }
    }
    record.note(&format!(
        "servers that broke off an answer: {faulty:?}; requests passed on to other servers and not answered: {}",
        lost.len()
    ));
    Ok(lost.len() > 3)
}

/// Makes requests one after the other on a kept connection.
fn look_up(front: std::net::SocketAddr) {
    let mut connection = connect(front);
    for _ in 0..REQUESTS {
        let id = format!("before-{}", rand());
        let text = request_text("GET", HOST, "/read/2f", &id, 2000, "");
        let answer = connection.as_mut().and_then(|connection| {
            connection.stream.write_all(text.as_bytes()).ok()?;
            connection.read_response(Duration::from_secs(3))
        });
        if answer.is_none() {
            connection = connect(front);
        }
    }
}
