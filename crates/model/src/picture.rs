//! Entries that follow one upstream's rows, some of them cut off from the store for a while.
//!
//! The store writes the rows of one upstream: it is listed, may expire and be listed again while the
//! store is away for its owner, may be marked as leaving, and is removed for good once it has left.
//! Entries read those rows one after the other, or the whole table after a lost history; an entry
//! for which the store was away doubts a removal for a moment. Entries tell each other their pictures,
//! and a message may arrive long after it was sent. A process may start anew and know nothing.
//!
//! What must hold: once an entry knew without doubt that the upstream leaves or is gone, it sends
//! nothing there until a row of a higher version lists it. And once all have read everything and no doubt
//! is left, all know the same, and it is what the store says.

use crate::Model;
use ::picture::{
    Guards,
    ListedUpstream,
    RoutingView,
    UpstreamUpdate, //
};
use base::Now;
use std::{
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
    time::Duration, //
};

/// The one upstream.
const NAME: &str = "u";
/// A step of time: two of them are longer than a removal is doubted.
const STEP: Duration = Duration::from_millis(1000);

/// One row as the store wrote it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Row {
    Listed,
    Leaving,
    /// It expired; the owner lives.
    Expired,
    /// The owner has left.
    Removed,
}

/// Entries that follow one upstream.
#[derive(Clone, Copy, Debug)]
pub struct PictureModel {
    /// Guards of the pictures.
    pub guards: Guards,
    /// Rows that the store writes.
    pub rows: usize,
    /// Messages between entries.
    pub messages: u8,
    /// Entries that are started anew.
    pub restarts: u8,
    /// Steps of time.
    pub ticks: u8,
}

/// One thing that happens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PictureStep(String);

impl fmt::Display for PictureStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One entry.
#[derive(Clone, Debug)]
struct Entry {
    picture: RoutingView,
    /// Rows that it has read.
    read: usize,
    /// Version at which it knew without doubt that the upstream gets nothing more.
    sure_at: Option<u64>,
}

/// A message on its way to the entry of this number.
#[derive(Clone, Debug)]
struct Message {
    to: usize,
    updates: Vec<UpstreamUpdate>,
}

/// State of the store, the entries and the messages.
#[derive(Clone, Debug)]
pub struct PictureState {
    rows: Vec<Row>,
    entries: Vec<Entry>,
    messages: Vec<Message>,
    messages_left: u8,
    restarts_left: u8,
    ticks: u8,
}

// A picture holds routes, which have no hash; what it shows decides everything that may happen.
impl PartialEq for PictureState {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for PictureState {}

impl Hash for PictureState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

fn listed(leaving: bool) -> ListedUpstream {
    ListedUpstream {
        id: NAME.into(),
        service: "s".into(),
        region: "r".into(),
        failure_domain: "f".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        slots: 1,
        leaving,
        cold_left: Duration::ZERO,
        started_ms: 0,
    }
}

/// Version of the row of this number.
fn version(number: usize) -> u64 {
    number as u64 + 1
}

impl Entry {
    fn new(guards: Guards) -> Self {
        Self {
            picture: RoutingView::with_guards(guards),
            read: 0,
            sure_at: None,
        }
    }

    /// Whether it sends requests to the upstream.
    fn is_open(&self, now: Now) -> bool {
        let mut upstreams = self.picture.upstreams(now);
        upstreams.any(|(_, closed, _)| !closed)
    }

    /// Takes the next row of the feed.
    fn read_next(&mut self, row: Row, after_outage: bool, now: Now) {
        let version = version(self.read);
        self.read += 1;
        self.picture.advance_read_position(version);
        match row {
            Row::Listed | Row::Leaving => {
                let leaving = row == Row::Leaving;
                self.picture.apply_upstream(&listed(leaving), version, now);
                self.sure_at = leaving.then_some(version).or(self.sure_at);
            }
            Row::Expired | Row::Removed => {
                let name = NAME.into();
                self.picture
                    .apply_removal(&name, version, after_outage, now);
                if !after_outage {
                    self.sure_at = Some(version);
                }
            }
        }
    }

    /// Reads the whole table, as after a lost history or at the start.
    fn read_whole(&mut self, rows: &[Row], after_outage: bool, now: Now) {
        self.read = rows.len();
        let position = rows.len() as u64;
        let standing = rows
            .last()
            .filter(|row| matches!(row, Row::Listed | Row::Leaving));
        let row = standing.map(|row| (position, listed(*row == Row::Leaving)));
        let table: Vec<_> = row.into_iter().collect();
        self.picture
            .apply_upstream_table(&table, position, after_outage, now);
    }
}

impl PictureModel {
    /// Rows that the store may write next.
    fn next_rows(rows: &[Row]) -> &'static [Row] {
        match rows.last() {
            None | Some(Row::Expired) => &[Row::Listed],
            Some(Row::Listed) => &[Row::Leaving, Row::Expired, Row::Removed],
            Some(Row::Leaving) => &[Row::Removed],
            Some(Row::Removed) => &[],
        }
    }
}

impl PictureState {
    fn now(&self) -> Now {
        STEP * u32::from(self.ticks)
    }

    /// Whether all have read everything, nothing is under way, and no doubt can be left.
    fn is_settled(&self) -> bool {
        let read = |entry: &Entry| entry.read == self.rows.len();
        self.messages.is_empty() && self.entries.iter().all(read)
    }

    fn write_row(&self, row: Row) -> Self {
        let mut next = self.clone();
        next.rows.push(row);
        next
    }

    fn with_entry(&self, number: usize, change: impl FnOnce(&mut Entry, Now)) -> Self {
        let mut next = self.clone();
        let now = self.now();
        change(&mut next.entries[number], now);
        next
    }
}

impl Model for PictureModel {
    type State = PictureState;
    type Step = PictureStep;

    fn start(&self) -> PictureState {
        PictureState {
            rows: vec![Row::Listed],
            entries: vec![Entry::new(self.guards), Entry::new(self.guards)],
            messages: Vec::new(),
            messages_left: self.messages,
            restarts_left: self.restarts,
            ticks: 0,
        }
    }

    fn transitions(&self, state: &PictureState) -> Vec<(PictureStep, PictureState)> {
        let mut steps = Vec::new();
        let mut step = |name: String, next: PictureState| steps.push((PictureStep(name), next));
        if state.rows.len() < self.rows {
            for row in Self::next_rows(&state.rows) {
                step(format!("the store writes {row:?}"), state.write_row(*row));
            }
        }
        for (number, entry) in state.entries.iter().enumerate() {
            if entry.read < state.rows.len() {
                let row = state.rows[entry.read];
                for after_outage in [false, true] {
                    // A row that expired did so during an outage, at least for its owner.
                    let next = state.with_entry(number, |entry, now| {
                        entry.read_next(row, after_outage, now);
                    });
                    let how = if after_outage { " after an outage" } else { "" };
                    step(format!("{number} reads {row:?}{how}"), next);
                }
                let next = state.with_entry(number, |entry, now| {
                    entry.read_whole(&state.rows, true, now);
                });
                step(
                    format!("{number} reads the whole table after an outage"),
                    next,
                );
            }
            if state.messages_left > 0 && entry.read > 0 {
                let mut next = state.clone();
                next.messages_left -= 1;
                // The other one says with its request how far it has read.
                let after = state.entries[1 - number].picture.upstreams_read_position();
                next.messages.push(Message {
                    to: 1 - number,
                    updates: entry.picture.upstream_updates(after, state.now()),
                });
                step(format!("{number} tells its picture"), next);
            }
            if state.restarts_left > 0 && entry.read > 0 {
                let mut next = state.with_entry(number, |entry, _| {
                    *entry = Entry::new(self.guards);
                });
                next.restarts_left -= 1;
                step(format!("{number} starts anew"), next);
            }
        }
        for place in 0..state.messages.len() {
            let mut next = state.clone();
            let message = next.messages.remove(place);
            let now = state.now();
            let entry = &mut next.entries[message.to];
            entry.picture.apply_upstream_updates(&message.updates, now);
            step(format!("{} hears", message.to), next);
        }
        if state.ticks < self.ticks {
            let mut next = state.clone();
            next.ticks += 1;
            step("time passes".to_owned(), next);
        }
        steps
    }

    fn check(&self, state: &PictureState) -> Result<(), String> {
        let now = state.now();
        for (number, entry) in state.entries.iter().enumerate() {
            let Some(sure_at) = entry.sure_at else {
                continue;
            };
            let rows = state.rows.iter().enumerate();
            let listed_since = rows
                .filter(|(_, row)| **row == Row::Listed)
                .any(|(place, _)| version(place) > sure_at);
            if entry.is_open(now) && !listed_since {
                return Err(format!(
                    "{number} knew at version {sure_at} that it is gone, and sends to it"
                ));
            }
        }
        if !state.is_settled() {
            return Ok(());
        }
        let doubt_over = now + STEP * 2;
        let stands = state.rows.last() == Some(&Row::Listed);
        for (number, entry) in state.entries.iter().enumerate() {
            let open = entry.is_open(doubt_over);
            if open != stands {
                return Err(format!("all is read, and {number} has it open: {open}"));
            }
        }
        Ok(())
    }
}
