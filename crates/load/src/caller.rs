//! One caller's request, from its look-up to what the caller knows at the end.
//!
//! A caller acts as the interface allows and no more: it caches look-ups for their `ttl_ms`, sends
//! a request again only where that is safe, and repeats a filing of unknown outcome only with the
//! same ticket to the same entry, or with the same key. What it sent and was told is recorded as it
//! happened; whether a promise was broken is for the judge.

use crate::{
    clock::Clock,
    payload::Payload,
    record::{
        CallerRecord,
        Flaw,
        Told,
        Try,
        TryEnd, //
    },
    scene::{
        CallerRegion,
        ClassLoad,
        FilingWay,
        Scene,
        Work, //
    },
    schedule::Arrival, //
};
use awc::{
    error::SendRequestError,
    http::{
        header::HeaderMap,
        Method, //
    },
    Client, //
};
use base::{
    FastMap,
    RegionId,
    RunOutcome, //
};
use bytestring::ByteString;
use futures_util::StreamExt;
use serde::Deserialize;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::{
    sleep,
    timeout, //
};

/// Pause before another round over daemons that gave no look-up.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for one look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a repeat where the answer names none.
const REPEAT_PAUSE: Duration = Duration::from_millis(20);
/// Characters of a ticket that a record keeps.
const KEPT_CHARS: usize = 24;

/// Characters of a refusal's body that a record keeps.
const KEPT_DETAIL: usize = 200;

/// Daemons that callers know from the start, by region.
pub type Daemons = BTreeMap<RegionId, Vec<ByteString>>;

/// All callers of one thread, with their connections and caches.
pub(crate) struct Callers {
    scene: Arc<Scene>,
    daemons: Arc<Daemons>,
    client: Client,
    clock: Clock,
    cache: RefCell<FastMap<(usize, u32, usize), Cached>>,
    /// Turns over the daemons, so that look-ups spread.
    turn: Cell<usize>,
}

/// Answer to a look-up, kept for its time to live.
#[derive(Clone)]
struct Cached {
    entries: Rc<[ByteString]>,
    until: Instant,
}

/// Answer to a look-up, as on the wire.
#[derive(Deserialize)]
struct Entries {
    ttl_ms: u64,
    entries: Vec<Entry>,
    ticket: Option<ByteString>,
}

/// What came of a look-up.
enum Lookup {
    /// At least one entry.
    Found(Entries),
    /// The caller's own mistake, as an unknown class; every daemon would say the same.
    Wrong,
    /// Another daemon may know more.
    Failed,
}

/// Entry in the answer to a look-up.
#[derive(Deserialize)]
struct Entry {
    addr: ByteString,
}

/// Where to send a try, and what proves that it is the same filing.
#[derive(Clone)]
struct Target {
    entry: ByteString,
    ticket: Option<ByteString>,
}

/// What an answer said besides its end.
#[derive(Default)]
struct Answer {
    status: Option<u16>,
    request: Option<ByteString>,
    instance: Option<ByteString>,
    retry_after: Option<Duration>,
    instead: Option<ByteString>,
    flaw: Option<Flaw>,
    detail: Option<ByteString>,
}

/// What a caller does after a try.
enum Next {
    Stop,
    RetryAfter(Duration),
}

impl Callers {
    pub(crate) fn new(
        scene: Arc<Scene>,
        daemons: Arc<Daemons>,
        client: Client,
        clock: Clock,
    ) -> Self {
        Self {
            scene,
            daemons,
            client,
            clock,
            cache: RefCell::default(),
            turn: Cell::new(0),
        }
    }

    /// Carries one request to its end.
    pub(crate) async fn request(self: Rc<Self>, arrival: Arrival) -> CallerRecord {
        let class = &self.scene.classes[arrival.class];
        let region = &self.scene.regions[arrival.region];
        let started = Instant::now();
        let mut asking = Asking {
            callers: &self,
            class,
            region,
            arrival: &arrival,
            deadline: started + Duration::from_millis(class.deadline_ms),
            tries: Vec::new(),
            avoid: Vec::new(),
            instead: None,
            pinned: None,
            maybe_ran: false,
            flaw: None,
        };
        asking.run().await;
        let told = asking.told();
        CallerRecord {
            told,
            flaw: asking.flaw,
            tries: asking.tries,
            id: arrival.id.clone(),
            class: class.name.clone(),
            region: region.name.clone(),
            filing: class.filing,
            scheduled_us: self.clock.at(arrival.at),
            started_us: self.clock.us(started),
            finished_us: self.clock.us(Instant::now()),
            deadline_ms: class.deadline_ms,
        }
    }

    /// Daemons in the order in which a caller asks them: of its own region first.
    fn daemons_for(&self, region: &RegionId) -> Vec<ByteString> {
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let mut order = Vec::new();
        let home = self.daemons.get(region);
        let others = self.daemons.iter().filter(|(name, _)| *name != region);
        for daemons in home.into_iter().chain(others.map(|(_, list)| list)) {
            for i in 0..daemons.len() {
                order.push(daemons[turn.wrapping_add(i) % daemons.len()].clone());
            }
        }
        order
    }
}

/// The state of one request.
struct Asking<'a> {
    callers: &'a Callers,
    class: &'a ClassLoad,
    region: &'a CallerRegion,
    arrival: &'a Arrival,
    deadline: Instant,
    tries: Vec<Try>,
    /// Entries that did not serve this request.
    avoid: Vec<ByteString>,
    /// Entry that a refusal named.
    instead: Option<ByteString>,
    /// Where a ticketed filing was sent.
    pinned: Option<Target>,
    /// Whether some try may have run.
    maybe_ran: bool,
    flaw: Option<Flaw>,
}

impl Asking<'_> {
    async fn run(&mut self) {
        while (self.tries.len() as u64) < u64::from(self.class.tries) && !self.left().is_zero() {
            let Some(target) = self.target().await else {
                return;
            };
            let (end, answer) = self.attempt(&target).await;
            match self.next(target, end, answer) {
                Next::Stop => return,
                Next::RetryAfter(pause) if pause >= self.left() => return,
                Next::RetryAfter(pause) => sleep(pause).await,
            }
        }
    }

    /// Time until the deadline.
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Delay between the caller and its entries, each way.
    async fn travel(&self) {
        if self.region.one_way_ms > 0 {
            sleep(Duration::from_millis(self.region.one_way_ms)).await;
        }
    }

    /// Decides where the next try goes; none when nobody answers a look-up in time.
    async fn target(&mut self) -> Option<Target> {
        if self.class.filing == FilingWay::Ticket {
            if self.maybe_ran {
                return self.pinned.clone();
            }
            return self.ticketed().await;
        }
        if let Some(entry) = self.instead.take() {
            return Some(Target {
                entry,
                ticket: None,
            });
        }
        let entries = self.entries().await?;
        let fresh = entries.iter().find(|entry| !self.avoid.contains(entry));
        // When all were tried, another round may find one recovered.
        let entry = fresh.or_else(|| entries.first())?.clone();
        Some(Target {
            entry,
            ticket: None,
        })
    }

    /// Entry and ticket by a look-up of their own.
    async fn ticketed(&self) -> Option<Target> {
        let found = self.look_up().await?;
        Some(Target {
            entry: found.entries.first()?.addr.clone(),
            ticket: found.ticket,
        })
    }

    /// Entries from the cache, or by a look-up.
    async fn entries(&self) -> Option<Rc<[ByteString]>> {
        let key = (self.arrival.region, self.arrival.caller, self.arrival.class);
        if let Some(cached) = self.callers.cache.borrow().get(&key) {
            if Instant::now() < cached.until {
                return Some(Rc::clone(&cached.entries));
            }
        }
        let found = self.look_up().await?;
        let entries: Rc<[ByteString]> = found.entries.into_iter().map(|e| e.addr).collect();
        let until = Instant::now() + Duration::from_millis(found.ttl_ms);
        let cached = Cached {
            entries: Rc::clone(&entries),
            until,
        };
        self.callers.cache.borrow_mut().insert(key, cached);
        Some(entries)
    }

    /// Asks daemons until one names an entry or the deadline passes.
    async fn look_up(&self) -> Option<Entries> {
        while !self.left().is_zero() {
            for daemon in self.callers.daemons_for(&self.region.name) {
                let limit = LOOKUP_TIMEOUT.min(self.left());
                match timeout(limit, self.look_up_at(&daemon)).await {
                    Ok(Lookup::Found(found)) => return Some(found),
                    Ok(Lookup::Wrong) => return None,
                    Ok(Lookup::Failed) | Err(_) => {}
                }
            }
            sleep(LOOKUP_PAUSE.min(self.left())).await;
        }
        None
    }

    async fn look_up_at(&self, daemon: &ByteString) -> Lookup {
        let block = self.region.address(self.arrival.caller);
        let class = &self.class.name;
        let url = format!("http://{daemon}/v1/entries?class={class}&block={block}");
        self.travel().await;
        let Ok(mut answer) = self.callers.client.get(url).send().await else {
            return Lookup::Failed;
        };
        let body = answer.body().await;
        self.travel().await;
        if answer.status().is_client_error() {
            return Lookup::Wrong;
        }
        let found = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        match found {
            Some(found @ Entries { .. }) if !found.entries.is_empty() => Lookup::Found(found),
            _ => Lookup::Failed,
        }
    }

    /// Sends one try and waits for its end.
    async fn attempt(&mut self, target: &Target) -> (TryEnd, Answer) {
        let number = self.number(target);
        let limit = self.limit();
        let sent = Instant::now();
        let mut answer = Answer::default();
        let end = timeout(limit, self.exchange(target, number, &mut answer))
            .await
            .unwrap_or(TryEnd::TimedOut);
        let clock = self.callers.clock;
        self.tries.push(Try {
            number,
            entry: target.entry.clone(),
            filing: self.filing(target).map(|text| shortened(&text)),
            sent_us: clock.us(sent),
            ended_us: clock.us(Instant::now()),
            end,
            request: answer.request.clone(),
            instance: answer.instance.clone(),
            status: answer.status,
            detail: answer.detail.clone(),
        });
        (end, answer)
    }

    /// How long to wait for the next try: to the deadline and some more for the last one, so that
    /// a late final answer is told from none.
    fn limit(&self) -> Duration {
        let whole = self.left() + Duration::from_millis(self.callers.scene.allowance_ms);
        let last = self.tries.len() as u64 + 1 >= u64::from(self.class.tries);
        match self.class.attempt_ms.map(Duration::from_millis) {
            Some(attempt) if !last && attempt < self.left() => attempt,
            _ => whole,
        }
    }

    /// Number of the next try: a copy of a filing is the same request to the last byte.
    fn number(&self, target: &Target) -> u32 {
        let last = self.tries.last().map_or(0, |last| last.number);
        let copy = match self.class.filing {
            FilingWay::None => false,
            FilingWay::Ticket => self.maybe_ran && target.ticket.is_some(),
            FilingWay::Key => true,
        };
        if copy {
            last.max(1)
        } else {
            last + 1
        }
    }

    /// Ticket or key that goes with a try.
    fn filing(&self, target: &Target) -> Option<ByteString> {
        match self.class.filing {
            FilingWay::None => None,
            FilingWay::Ticket => target.ticket.clone(),
            FilingWay::Key => Some(self.arrival.id.clone()),
        }
    }

    /// One request and its answer on the wire.
    async fn exchange(&self, target: &Target, number: u32, answer: &mut Answer) -> TryEnd {
        self.travel().await;
        let id = &self.arrival.id;
        let payload = Payload::new(self.class.work, self.class.bytes, id, number);
        let url = format!(
            "http://{}/v1/work/{}{}",
            target.entry, self.class.name, payload.path
        );
        let method = match self.class.work {
            Work::Bytes | Work::Chunked => Method::GET,
            Work::Echo => Method::POST,
        };
        let left_ms = self.left().as_millis().to_string();
        let mut request = self
            .callers
            .client
            .request(method, url)
            .insert_header(("Jasmine-Deadline-Ms", left_ms));
        if let Some(filing) = self.filing(target) {
            let name = match self.class.filing {
                FilingWay::Ticket => "Jasmine-Ticket",
                FilingWay::None | FilingWay::Key => "Idempotency-Key",
            };
            request = request.insert_header((name, filing.to_string()));
        }
        let mut response = match request.send_body(payload.body.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_)) => return TryEnd::NotConnected,
            Err(SendRequestError::Timeout) => return TryEnd::TimedOut,
            Err(_) => return TryEnd::Cut,
        };
        answer.read_head(response.status().as_u16(), response.headers());
        let outcome = header(response.headers(), "jasmine-outcome")
            .and_then(|text| text.parse::<RunOutcome>().ok());
        let mut checker = payload.checker();
        while let Some(part) = response.next().await {
            let Ok(part) = part else {
                return TryEnd::Cut;
            };
            if outcome != Some(RunOutcome::Done) && answer.detail.is_none() {
                answer.detail = Some(detail(&part));
            }
            checker.feed(&part);
        }
        self.travel().await;
        match outcome {
            None => {
                answer.flaw = Some(Flaw::NoOutcome);
                TryEnd::Unclaimed
            }
            Some(outcome) => {
                if outcome == RunOutcome::Done && answer.is_success() {
                    answer.flaw = checker.finish();
                }
                TryEnd::Answered(outcome)
            }
        }
    }

    /// Decides what follows a try.
    fn next(&mut self, target: Target, end: TryEnd, answer: Answer) -> Next {
        self.flaw = answer.flaw;
        self.avoid.push(target.entry.clone());
        match end {
            TryEnd::Answered(RunOutcome::Done) | TryEnd::Unclaimed => Next::Stop,
            TryEnd::Answered(RunOutcome::NotRun) => {
                // A caller's mistake is refused each time alike.
                if answer
                    .status
                    .is_some_and(|status| status < 500 && status != 429)
                {
                    return Next::Stop;
                }
                self.instead = answer.instead;
                let pause = match &self.instead {
                    Some(_) => Duration::ZERO,
                    None => answer.retry_after.unwrap_or(REPEAT_PAUSE),
                };
                Next::RetryAfter(pause)
            }
            TryEnd::NotConnected => Next::RetryAfter(REPEAT_PAUSE),
            TryEnd::Answered(RunOutcome::Unknown) | TryEnd::Cut | TryEnd::TimedOut => {
                self.maybe_ran = true;
                self.pinned = Some(target);
                Next::RetryAfter(REPEAT_PAUSE)
            }
        }
    }

    /// What the caller knows at the end.
    fn told(&self) -> Told {
        let any = |end: TryEnd| self.tries.iter().any(|attempt| attempt.end == end);
        let not_run = any(TryEnd::Answered(RunOutcome::NotRun));
        let unknown = any(TryEnd::Answered(RunOutcome::Unknown));
        let lost = any(TryEnd::Cut) || any(TryEnd::TimedOut);
        let Some(last) = self.tries.last() else {
            return Told::Unreached;
        };
        match last.end {
            TryEnd::Answered(RunOutcome::Done) => {
                let success = last.status.is_some_and(is_success);
                if success {
                    Told::Done
                } else {
                    Told::Failed
                }
            }
            TryEnd::Unclaimed => Told::Failed,
            TryEnd::Answered(RunOutcome::Unknown) => Told::Unknown,
            // A filing that may have run stays unknown, whatever a copy was told later.
            _ if self.maybe_ran && unknown => Told::Unknown,
            TryEnd::Answered(RunOutcome::NotRun)
                if self.maybe_ran && self.class.filing != FilingWay::None =>
            {
                Told::Unknown
            }
            TryEnd::Answered(RunOutcome::NotRun) => Told::Refused,
            TryEnd::Cut | TryEnd::TimedOut => Told::NoAnswer,
            TryEnd::NotConnected if lost => Told::NoAnswer,
            TryEnd::NotConnected if not_run => Told::Refused,
            TryEnd::NotConnected => Told::Unreached,
        }
    }
}

impl Answer {
    fn read_head(&mut self, status: u16, headers: &HeaderMap) {
        self.status = Some(status);
        self.request = header(headers, "jasmine-request").map(ByteString::from);
        self.instance = header(headers, "jasmine-instance").map(ByteString::from);
        self.instead = header(headers, "jasmine-entry").map(ByteString::from);
        let ms = header(headers, "jasmine-retry-after-ms")
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        let s = header(headers, "retry-after")
            .and_then(|text| text.parse().ok())
            .map(Duration::from_secs);
        self.retry_after = ms.or(s);
    }

    fn is_success(&self) -> bool {
        self.status.is_some_and(is_success)
    }
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Start of a body, on one line.
fn detail(body: &[u8]) -> ByteString {
    let text = String::from_utf8_lossy(body).replace('\n', " ");
    text.chars().take(KEPT_DETAIL).collect::<String>().into()
}

/// Start of a long text.
fn shortened(text: &ByteString) -> ByteString {
    text.chars().take(KEPT_CHARS).collect::<String>().into()
}
