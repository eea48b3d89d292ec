//! Clients that send further idempotent requests before the first has been answered, over a link with a delay.

use crate::{
    client::{lookup, Random, Traffic},
    http::Connection,
    record::Record,
};
use std::{
    collections::VecDeque,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc, Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Most requests of one connection without an answer.
const OUTSTANDING_MAX: usize = 4;

/// A request that was sent and whose connection ended without its whole answer.
#[derive(Clone, Debug)]
pub struct Unanswered {
    pub request: String,
    pub sent: Duration,
    pub ended: Duration,
    pub front: SocketAddr,
}

#[derive(Default)]
pub struct Outcome {
    pub answered: usize,
    pub refused: usize,
    pub unanswered: Vec<Unanswered>,
}

/// Connects over a link that takes `delay` each way.
fn connect(front: SocketAddr, delay: Duration) -> io::Result<TcpStream> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let far = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    let near = TcpStream::connect(listener.local_addr()?)?;
    let (middle, _) = listener.accept()?;
    for stream in [&far, &near, &middle] {
        stream.set_nodelay(true)?;
    }
    pump(middle.try_clone()?, far.try_clone()?, delay);
    pump(far, middle, delay);
    Ok(near)
}

/// Passes on what is read from one stream to the other, `delay` later.
fn pump(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, parts) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut part = vec![0; 64 << 10];
        loop {
            let read = from.read(&mut part).unwrap_or(0);
            let sent = sender.send((Instant::now() + delay, part[..read].to_vec()));
            if read == 0 || sent.is_err() {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, part) in parts {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if part.is_empty() || to.write_all(&part).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Starts a client, which sends until `stop` is set.
pub fn start(
    traffic: Traffic,
    delay: Duration,
    directories: Arc<Mutex<Vec<SocketAddr>>>,
    record: &Record,
    outcome: &Arc<Mutex<Outcome>>,
    stop: &Arc<AtomicBool>,
) {
    let (record, outcome, stop) = (record.clone(), outcome.clone(), stop.clone());
    thread::spawn(move || {
        let mut random = Random::new(&traffic.name);
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            let directories = directories.lock().unwrap().clone();
            let addresses = lookup(&traffic, &directories).unwrap_or_default();
            let front = random.pick(&addresses);
            let stream = front.and_then(|front| connect(front, delay).ok());
            let (Some(front), Some(stream)) = (front, stream) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            use_connection(
                &traffic,
                front,
                stream,
                &mut number,
                &mut random,
                &record,
                &outcome,
                &stop,
            );
        }
    });
}

/// Uses one connection until it ends.
#[allow(clippy::too_many_arguments)]
fn use_connection(
    traffic: &Traffic,
    front: SocketAddr,
    stream: TcpStream,
    number: &mut u32,
    random: &mut Random,
    record: &Record,
    outcome: &Arc<Mutex<Outcome>>,
    stop: &Arc<AtomicBool>,
) {
    let outstanding: Arc<Mutex<VecDeque<(String, Duration)>>> = Arc::default();
    // Set as soon as the head of an answer says that the connection closes, or the connection has ended.
    let closes = Arc::new(AtomicBool::new(false));
    let Ok(mut writer) = stream.try_clone().map(Connection::new) else {
        return;
    };
    let reader = {
        let (outstanding, closes) = (outstanding.clone(), closes.clone());
        let (record, outcome) = (record.clone(), outcome.clone());
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            loop {
                let Ok(mut answer) = connection.read_head() else {
                    break;
                };
                if answer.closes() {
                    closes.store(true, Ordering::SeqCst);
                }
                if connection.read_body(&mut answer).is_err() {
                    break;
                }
                let Some((id, sent)) = outstanding.lock().unwrap().pop_front() else {
                    break;
                };
                let echoed = answer.header("x-jasminefield-request-id").unwrap_or("");
                record.note(&format!(
                    "client sent {id} at {:.3} to {front}, gets {} for {echoed}{}",
                    sent.as_secs_f64(),
                    answer.status(),
                    if answer.closes() {
                        ", the connection closes"
                    } else {
                        ""
                    }
                ));
                let mut outcome = outcome.lock().unwrap();
                if answer.status() == 200 {
                    outcome.answered += 1;
                } else {
                    outcome.refused += 1;
                }
                // The connection is read until the entry ends it: an answer that still came would count.
                if answer.closes() {
                    let _ = connection
                        .stream
                        .set_read_timeout(Some(Duration::from_secs(2)));
                }
            }
            closes.store(true, Ordering::SeqCst);
            let _ = connection.stream.shutdown(Shutdown::Both);
        })
    };
    let deadline = traffic.deadline.as_millis().to_string();
    while !closes.load(Ordering::SeqCst) && !stop.load(Ordering::SeqCst) {
        if outstanding.lock().unwrap().len() < OUTSTANDING_MAX {
            let id = format!("{}-{number}", traffic.name);
            *number += 1;
            outstanding
                .lock()
                .unwrap()
                .push_back((id.clone(), record.now()));
            let headers = [
                ("Host", traffic.host),
                ("X-Jasminefield-Request-Id", id.as_str()),
                ("X-Jasminefield-Request-Deadline", deadline.as_str()),
            ];
            if writer
                .write(&format!("GET {}2f HTTP/1.1", traffic.prefix), &headers, b"")
                .is_err()
            {
                break;
            }
        }
        // Half of the interval to one and a half times of it.
        thread::sleep(traffic.interval.mul_f64(0.5 + random.fraction()));
    }
    // Answers that are due still arrive.
    let until = Instant::now() + traffic.deadline;
    while !closes.load(Ordering::SeqCst)
        && Instant::now() < until
        && !outstanding.lock().unwrap().is_empty()
    {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = writer.stream.shutdown(Shutdown::Both);
    let _ = reader.join();
    let ended = record.now();
    for (request, sent) in outstanding.lock().unwrap().drain(..) {
        record.note(&format!(
            "client sent {request} at {:.3} to {front}, the connection ended without an answer",
            sent.as_secs_f64()
        ));
        let unanswered = Unanswered {
            request,
            sent,
            ended,
            front,
        };
        outcome.lock().unwrap().unanswered.push(unanswered);
    }
}
