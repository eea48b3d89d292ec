//! Drives a scene's arrivals from several threads, open loop.
//!
//! Each thread has an event loop of its own and a pacer beside it. The pacer sleeps in the
//! operating system's clock and hands each arrival over at its time: the event loop's own timers
//! are whole milliseconds, which would show in every latency.

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

/// Time between the plan and the first arrival, for threads to start.
const LEAD: Duration = Duration::from_millis(100);

/// Addresses that a scene leaves open.
#[derive(Clone, Debug, Default)]
pub struct Sites {
    /// Daemons that callers ask for entries, by region.
    pub daemons: Daemons,
    /// Addresses of the targets that events name.
    pub targets: BTreeMap<ByteString, ByteString>,
}

/// What a run gave.
#[derive(Debug, Default)]
pub struct Driven {
    /// Records of all callers, by the time of their arrival.
    pub callers: Vec<CallerRecord>,
    /// What became of the events.
    pub events: Vec<EventRecord>,
}

/// An event and its answer.
#[derive(Debug)]
pub struct EventRecord {
    /// The event.
    pub event: Event,
    /// When it was sent.
    pub asked_us: UnixUs,
    /// When it was answered.
    pub answered_us: UnixUs,
    /// Status of the answer, or why there was none.
    pub answer: Result<u16, String>,
}

/// Runs a scene and returns when its last request has ended.
pub fn drive(scene: &Scene, sites: &Sites) -> Driven {
    let scene = Arc::new(scene.clone());
    let daemons = Arc::new(sites.daemons.clone());
    let clock = Clock::starting_in(LEAD);
    let shares = shares(schedule(&scene), scene.threads.max(1));
    let events = {
        let (scene, sites) = (Arc::clone(&scene), sites.clone());
        thread::spawn(move || run_events(&scene, &sites, clock))
    };
    let threads: Vec<_> = shares
        .into_iter()
        .map(|share| {
            let (scene, daemons) = (Arc::clone(&scene), Arc::clone(&daemons));
            thread::spawn(move || run_share(scene, daemons, clock, share))
        })
        .collect();
    let mut driven = Driven::default();
    for thread in threads {
        let records = thread.join().expect("a thread of callers does not panic");
        driven.callers.extend(records);
    }
    driven.callers.sort_by_key(|caller| caller.scheduled_us);
    driven.events = events.join().expect("the thread of events does not panic");
    driven
}

/// Upstreams that left, and came back, by events that were accepted.
pub fn leaving(events: &[EventRecord]) -> Vec<Leaving> {
    let mut leaving: Vec<Leaving> = Vec::new();
    for record in events {
        if !record.answer.as_ref().is_ok_and(|status| *status < 300) {
            continue;
        }
        let returned = |gone: &&mut Leaving| record.event.returns.contains(&gone.upstream);
        for gone in leaving.iter_mut().filter(returned) {
            // Work may come again from the moment at which the return was asked for.
            gone.until_us.get_or_insert(record.asked_us);
        }
        leaving.extend(record.event.leaves.iter().map(|upstream| Leaving {
            upstream: upstream.clone(),
            asked_us: record.asked_us,
            since_us: record.answered_us,
            until_us: None,
        }));
    }
    leaving
}

/// What events did not do: requests that were not accepted, and upstreams that nobody knows.
///
/// What goes wrong otherwise: a scene that misspells an upstream breaks nothing, so that its run
/// passes without having shown anything.
pub fn not_done(
    events: &[EventRecord],
    upstreams: &BTreeMap<UpstreamId, UpstreamFacts>,
) -> Vec<String> {
    let mut found = Vec::new();
    for record in events {
        let event = &record.event;
        if !record.answer.as_ref().is_ok_and(|status| *status < 300) {
            let (at_ms, target, path) = (event.at_ms, &event.target, &event.path);
            found.push(format!("{at_ms} ms: {target} {path}: {:?}", record.answer));
        }
        let named = event.leaves.iter().chain(&event.returns);
        for id in named.filter(|id| !upstreams.contains_key(*id)) {
            found.push(format!("{} ms: no upstream `{id}`", event.at_ms));
        }
    }
    found
}

/// Deals the arrivals out to threads; all of one caller's go to the same, which has its cache.
fn shares(arrivals: Vec<Arrival>, threads: usize) -> Vec<Vec<Arrival>> {
    let mut shares = vec![Vec::new(); threads];
    for arrival in arrivals {
        let index = (arrival.caller as usize).wrapping_add(arrival.region) % threads;
        shares[index].push(arrival);
    }
    shares
}

fn run_share(
    scene: Arc<Scene>,
    daemons: Arc<Daemons>,
    clock: Clock,
    share: Vec<Arrival>,
) -> Vec<CallerRecord> {
    let (sender, mut due) = mpsc::unbounded_channel();
    let pacer = thread::spawn(move || pace(clock, share, &sender));
    let records = actix_rt::System::new().block_on(async move {
        let callers = Rc::new(Callers::new(scene, daemons, client(), clock));
        let mut requests = Vec::new();
        while let Some(arrival) = due.recv().await {
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

/// Hands arrivals over at their time.
fn pace(clock: Clock, share: Vec<Arrival>, sender: &mpsc::UnboundedSender<Arrival>) {
    for arrival in share {
        sleep_until(clock.start() + arrival.at);
        if sender.send(arrival).is_err() {
            return;
        }
    }
}

fn sleep_until(moment: Instant) {
    let left = moment.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        thread::sleep(left);
    }
}

fn run_events(scene: &Scene, sites: &Sites, clock: Clock) -> Vec<EventRecord> {
    let mut events = scene.events.clone();
    events.sort_by_key(|event| event.at_ms);
    let mut records = Vec::new();
    for event in events {
        sleep_until(clock.start() + Duration::from_millis(event.at_ms));
        let asked_us = clock.us(Instant::now());
        let answer = post(&event, sites);
        records.push(EventRecord {
            event,
            asked_us,
            answered_us: clock.us(Instant::now()),
            answer,
        });
    }
    records
}

fn post(event: &Event, sites: &Sites) -> Result<u16, String> {
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
