//! A server that sends additional bytes after some of its complete answers.

use crate::system::{answer_body, config, connect, rand, request_text, sound, Answer, Manner, Record, System, HOST};
use std::{
    collections::HashSet,
    io::Write,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// One of so many answers of the faulty server is followed by additional bytes: less than 3 in 100.
const ANSWERS_PER_EXTRA: usize = 34;
/// The additional bytes. No request's id stands in them.
const EXTRA: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Jasminefield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const CLIENTS: usize = 6;
const REQUESTS: usize = 150;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(10);

/// Answers like a sound server. Late, when the next request on a connection is due to be answered, the additional bytes
/// arrive that follow an earlier answer.
fn with_extras(record: Arc<Record>, extras: Arc<AtomicUsize>) -> Manner {
    let answers = AtomicUsize::new(0);
    let owing = Mutex::new(HashSet::new());
    Box::new(move |request, connection| {
        let peer = connection.stream.peer_addr().ok()?;
        if owing.lock().unwrap().remove(&peer) {
            record.note(&format!(
                "the faulty server sends additional bytes, then answers id {}",
                request.id()
            ));
            extras.fetch_add(1, Ordering::Relaxed);
            let _ = connection.stream.write_all(EXTRA);
        }
        if answers.fetch_add(1, Ordering::Relaxed) % ANSWERS_PER_EXTRA == ANSWERS_PER_EXTRA - 1 {
            owing.lock().unwrap().insert(peer);
        }
        Some(Answer {
            work: WORK,
            body: answer_body(request.id()),
        })
    })
}

/// Clients place orders while one of two servers sends additional bytes. Each order may run once.
pub fn extra_bytes(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let routes = [("/order/", "non_idempotent", "desk", 2.5)];
    let system = System::start(record.clone(), &[0, 1], &config(7, &routes));
    let extras = Arc::new(AtomicUsize::new(0));
    let faulty = if trouble {
        with_extras(record.clone(), extras.clone())
    } else {
        sound(WORK)
    };
    system.server("i-faulty", "desk", 0, 6, faulty);
    system.server("i-sound", "desk", 0, 6, sound(WORK));
    if !system.wait_until_served(HOST, "/order/2f") {
        return Err("the processes serve nothing".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let front = system.machines[0].front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || place_orders(front, &record))
        })
        .collect();
    let mut sent = Vec::new();
    for client in clients {
        sent.extend(client.join().map_err(|_| "a client failed")?);
    }
    let mut twice = 0;
    let mut untrue = 0;
    for (id, status) in &sent {
        let runs = system.runs_of(id);
        if runs.len() > 1 {
            twice += 1;
            let servers: Vec<_> = runs.iter().map(|run| run.server.as_str()).collect();
            record.note(&format!(
                "id {id} ran {} times, at {servers:?}; its client was answered {status:?}",
                runs.len()
            ));
        }
        if matches!(status, Some(408 | 421 | 429 | 503)) && !runs.is_empty() {
            untrue += 1;
            record.note(&format!("id {id} ran and was answered {status:?}"));
        }
    }
    record.note(&format!(
        "{} orders sent, additional bytes sent {} times; orders that ran twice: {twice}; that ran though answered as not run: {untrue}",
        sent.len(),
        extras.load(Ordering::Relaxed)
    ));
    Ok(twice + untrue > 0)
}

/// Places orders one after the other on a kept connection. Returns their ids and the statuses of their answers.
fn place_orders(front: std::net::SocketAddr, record: &Record) -> Vec<(String, Option<u16>)> {
    let mut sent = Vec::new();
    let mut kept = None;
    for _ in 0..REQUESTS {
        let Some(mut connection) = kept.take().or_else(|| connect(front)) else {
            continue;
        };
        let id = format!("order-{}", rand());
        let mut text = request_text("POST", HOST, "/order/2f", &id, 2500, "Content-Length: 5\r\n");
        text += "order";
        if connection.stream.write_all(text.as_bytes()).is_err() {
            continue;
        }
        let answer = connection.read_response(Duration::from_secs(4));
        let status = answer.as_ref().map(|answer| answer.status);
        record.note(&format!("POST /order/2f id {id} is answered {status:?}"));
        sent.push((id, status));
        let closes = |value: &str| value.eq_ignore_ascii_case("close");
        if answer.is_some_and(|answer| !answer.header("Connection").is_some_and(closes)) {
            kept = Some(connection);
        }
    }
    sent
}
