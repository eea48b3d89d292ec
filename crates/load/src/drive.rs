//! Sends a scene's requests at their arrival times from several threads, open loop.
//!
//! Each thread runs an event loop and has a separate pacer thread. The pacer sleeps by the
//! operating system's clock and passes each arrival on at its time. The event loop's own timers
//! have a resolution of one millisecond, which would distort every latency.

use crate::{
    caller::{
        Callers,
        Daemons, //
    },
    client::client,
    clock::Clock,
    judge::Leaving,
    record::{
        CallerRecord,
        UnixUs,
        UpstreamFacts, //
    },
    scene::{
        Event,
        Scene, //
    },
    schedule::{
        schedule,
        Arrival, //
    },
};
use base::UpstreamId;
use bytestring::ByteString;
use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::sync::mpsc;

/// Delay before the start of the run, for threads to start.
const START_DELAY: Duration = Duration::from_millis(100);

/// Addresses that a scene does not contain.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    /// Daemons that callers use for look-ups, by region.
    pub daemons: Daemons,
    /// Addresses of the events' targets, by name.
    pub targets: BTreeMap<ByteString, ByteString>,
}

/// Records of a scene's run.
#[derive(Debug, Default)]
pub struct LoadRecords {
    /// Records of all requests, sorted by scheduled time.
    pub callers: Vec<CallerRecord>,
    /// The events with their responses.
    pub events: Vec<EventRecord>,
}

/// An event with its response.
#[derive(Debug)]
pub struct EventRecord {
    /// The event.
    pub event: Event,
    /// Time at which it was sent.
    pub sent_us: UnixUs,
    /// Time at which its response arrived.
    pub answered_us: UnixUs,
    /// Status of the response, or the error if there was none.
    pub answer: Result<u16, String>,
}

/// Runs a scene to the end of its last request.
pub fn drive(scene: &Scene, sites: &Addresses) -> LoadRecords {
    let scene = Arc::new(scene.clone());
    let daemons = Arc::new(sites.daemons.clone());
    let clock = Clock::starting_in(START_DELAY);
    let partitions = partition_by_caller(schedule(&scene), scene.threads.max(1));
    let events = {
        let (scene, sites) = (Arc::clone(&scene), sites.clone());
        thread::spawn(move || run_events(&scene, &sites, clock))
    };
    let threads: Vec<_> = partitions
        .into_iter()
        .map(|partition| {
            let (scene, daemons) = (Arc::clone(&scene), Arc::clone(&daemons));
            thread::spawn(move || run_partition(scene, daemons, clock, partition))
        })
        .collect();
    let mut load_records = LoadRecords::default();
    for thread in threads {
        let records = thread.join().expect("a thread of callers does not panic");
        load_records.callers.extend(records);
    }
    load_records
        .callers
        .sort_by_key(|caller| caller.scheduled_us);
    load_records.events = events.join().expect("the thread of events does not panic");
    load_records
}

/// Upstreams that left and came back by accepted events.
pub fn leaving(events: &[EventRecord]) -> Vec<Leaving> {
    let mut leaving: Vec<Leaving> = Vec::new();
    for record in events {
        if !record.answer.as_ref().is_ok_and(|status| *status < 300) {
            continue;
        }
        let has_returned =
            |earlier: &&mut Leaving| record.event.returns.contains(&earlier.upstream);
        for earlier in leaving.iter_mut().filter(has_returned) {
            // New work is allowed again from the request for the return on.
            earlier.until_us.get_or_insert(record.sent_us);
        }
        leaving.extend(record.event.leaves.iter().map(|upstream| Leaving {
            upstream: upstream.clone(),
            requested_us: record.sent_us,
            since_us: record.answered_us,
            until_us: None,
        }));
    }
    leaving
}

/// Events that had no effect: rejected requests, and ids of unknown upstreams.
///
/// Without this check, a scene that misspells an upstream's id would pass, although its fault was
/// never injected.
pub fn failed_events(
    events: &[EventRecord],
    upstreams: &BTreeMap<UpstreamId, UpstreamFacts>,
) -> Vec<String> {
    let mut failures = Vec::new();
    for record in events {
        let event = &record.event;
        if !record.answer.as_ref().is_ok_and(|status| *status < 300) {
            let (at_ms, target, path) = (event.at_ms, &event.target, &event.path);
            failures.push(format!("{at_ms} ms: {target} {path}: {:?}", record.answer));
        }
        let ids = event.leaves.iter().chain(&event.returns);
        for id in ids.filter(|id| !upstreams.contains_key(*id)) {
            failures.push(format!("{} ms: no upstream `{id}`", event.at_ms));
        }
    }
    failures
}

/// Distributes the arrivals to threads. All arrivals of a caller go to one thread, which has its
/// cache.
fn partition_by_caller(arrivals: Vec<Arrival>, threads: usize) -> Vec<Vec<Arrival>> {
    let mut partitions = vec![Vec::new(); threads];
    for arrival in arrivals {
        let index = (arrival.caller as usize).wrapping_add(arrival.region) % threads;
        partitions[index].push(arrival);
    }
    partitions
}

fn run_partition(
    scene: Arc<Scene>,
    daemons: Arc<Daemons>,
    clock: Clock,
    partition: Vec<Arrival>,
) -> Vec<CallerRecord> {
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    let pacer = thread::spawn(move || pace(clock, partition, &sender));
    let records = actix_rt::System::new().block_on(async move {
        let callers = Rc::new(Callers::new(scene, daemons, client(), clock));
        let mut requests = Vec::new();
        while let Some(arrival) = arrivals.recv().await {
            requests.push(actix_rt::spawn(Rc::clone(&callers).request(arrival)));
        }
        let mut records = Vec::with_capacity(requests.len());
        for request in requests {
            records.push(request.await.expect("a caller does not panic"));
        }
        records
    });
    pacer.join().expect("the pacer does not panic");
    records
}

/// Sends each arrival to the event loop at its time.
fn pace(clock: Clock, partition: Vec<Arrival>, sender: &mpsc::UnboundedSender<Arrival>) {
    for arrival in partition {
        sleep_until(clock.start() + arrival.at);
        if sender.send(arrival).is_err() {
            return;
        }
    }
}

fn sleep_until(instant: Instant) {
    let left = instant.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        thread::sleep(left);
    }
}

fn run_events(scene: &Scene, sites: &Addresses, clock: Clock) -> Vec<EventRecord> {
    let mut events = scene.events.clone();
    events.sort_by_key(|event| event.at_ms);
    let mut records = Vec::new();
    for event in events {
        sleep_until(clock.start() + Duration::from_millis(event.at_ms));
        let sent_us = clock.wall_us(Instant::now());
        let answer = post(&event, sites);
        records.push(EventRecord {
            event,
            sent_us,
            answered_us: clock.wall_us(Instant::now()),
            answer,
        });
    }
    records
}

fn post(event: &Event, sites: &Addresses) -> Result<u16, String> {
    let Some(address) = sites.targets.get(&event.target) else {
        return Err(format!("no address for target `{}`", event.target));
    };
    let url = format!("http://{address}{}", event.path);
    let body = event.body.to_string();
    actix_rt::System::new().block_on(async move {
        let request = client()
            .post(url)
            .insert_header(("Content-Type", "application/json"));
        match request.send_body(body).await {
            Ok(response) => Ok(response.status().as_u16()),
            Err(error) => Err(error.to_string()),
        }
    })
}
