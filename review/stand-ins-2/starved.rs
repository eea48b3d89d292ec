//! A route whose requests are refused for good after a server was slow for some seconds.

use crate::system::{answer_body, config, connect, rand, request_text, sound, Answer, Manner, Record, System, HOST};
use std::{
    io::Write,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Usual time of the work, and how many times as long it takes while the server is slow.
const WORK: Duration = Duration::from_millis(480);
const SLOWDOWN: u32 = 5;
/// How long the server is slow.
const SLOW_TIME: Duration = Duration::from_millis(6_500);
/// Time after which all machines are in touch again, and some more.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Requests on each route in steady state.
const REQUESTS: usize = 40;
/// Objects that the first orders on the added route are about; the later ones are about others.
const OBJECTS: usize = 20;
/// Deadline of the clients and timeout of the routes.
const DEADLINE_MS: u64 = 2_500;

const FIRST: &str = "/order/";
const LATER: &str = "/local/";

/// Six servers; one is slow for a time. A route that is added later is served in one region, where that server is.
pub fn slow_once(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let timeout_s = DEADLINE_MS as f64 / 1000.0;
    let first = (FIRST, "non_idempotent", "desk", timeout_s);
    let later = (LATER, "non_idempotent", "desk", timeout_s);
    let system = System::start(record.clone(), &[0, 3], &config(7, &[first]));
    let is_slow = Arc::new(AtomicBool::new(false));
    let slow = is_slow.clone();
    let at_times_slow: Manner = Box::new(move |request, _| {
        let factor = if slow.load(Ordering::Relaxed) { SLOWDOWN } else { 1 };
        Some(Answer {
            work: WORK * factor,
            body: answer_body(request.id()),
        })
    });
    system.server("i-home", "desk", 0, 6, at_times_slow);
    for (number, zone) in [1, 4, 1, 2, 5].into_iter().enumerate() {
        system.server(&format!("i-other{number}"), "desk", zone, 6, sound(WORK));
    }
    if !system.wait_until_served(HOST, "/order/2f") {
        return Err("the processes serve nothing".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    // A route that only servers in `arusha` may serve.
    let added = config(8, &[first, later]);
    let (before, after) = added.rsplit_once("\"allowed-regions\":[]").ok_or("no regions")?;
    let added = format!("{before}\"allowed-regions\":[\"arusha\"]{after}");
    record.note(&format!("the operator adds {LATER}, which arusha alone may serve"));
    system.store.put("op", "config", &added);
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.note(&format!(
            "server i-home, one of six, is {SLOWDOWN} times as slow for {SLOW_TIME:?}"
        ));
        is_slow.store(true, Ordering::Relaxed);
    }
    let until = Instant::now() + SLOW_TIME;
    let fronts: Vec<_> = system.machines.iter().map(|machine| machine.front).collect();
    let clients: Vec<_> = fronts
        .iter()
        .map(|front| {
            let (front, record) = (*front, record.clone());
            thread::spawn(move || {
                // The last one is answered while the server is slow.
                let mut objects = (0..OBJECTS).cycle();
                while Instant::now() + Duration::from_millis(DEADLINE_MS) < until {
                    order(front, LATER, objects.next().unwrap_or(0), &record);
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    thread::sleep(until.saturating_duration_since(Instant::now()));
    is_slow.store(false, Ordering::Relaxed);
    record.note("all servers are as usual");
    thread::sleep(SETTLE_TIME);
    let served: Arc<Mutex<[usize; 2]>> = Arc::default();
    let clients: Vec<_> = [FIRST, LATER]
        .into_iter()
        .enumerate()
        .flat_map(|(index, prefix)| fronts.iter().map(move |front| (index, prefix, *front)))
        .map(|(index, prefix, front)| {
            let (record, served) = (record.clone(), served.clone());
            thread::spawn(move || {
                for number in 0..REQUESTS / 2 {
                    if order(front, prefix, OBJECTS * (index + 1) + number, &record) {
                        served.lock().unwrap()[index] += 1;
                    }
                    thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let [first, later] = *served.lock().unwrap();
    record.note(&format!(
        "in steady state, of {REQUESTS} requests each: {first} served on the first route, {later} on the one that was added"
    ));
    if first == 0 {
        return Err("the first route isn't served".to_owned());
    }
    Ok(later * 4 < first)
}

/// Places an order about one of the objects. Returns whether it was served.
fn order(front: std::net::SocketAddr, prefix: &str, object: usize, record: &Record) -> bool {
    let id = format!("order-{}", rand());
    let started = Instant::now();
    let more = format!("Cookie: X-Jasminefield-Affinity-Key={object}\r\nContent-Length: 5\r\n");
    let text = request_text("POST", HOST, &format!("{prefix}2f"), &id, DEADLINE_MS, &more) + "order";
    let answer = connect(front).and_then(|mut connection| {
        connection.stream.write_all(text.as_bytes()).ok()?;
        connection.read_response(Duration::from_millis(DEADLINE_MS + 1000))
    });
    let status = answer.map(|answer| answer.status);
    let took = started.elapsed().as_secs_f64();
    record.note(&format!(
        "POST {prefix}2f id {id} about object {object} to {front} is answered {status:?} after {took:.2} s"
    ));
    status == Some(200)
}
