//! Model of the routing views of two entries that follow the rows of one upstream, with store outages.
//!
//! The store writes the rows of one upstream: it is listed, may expire and be listed again while its
//! owner can't reach the store, may be marked as leaving, and is removed for good once it has left.
//! Entries read these rows one by one, or the whole table if the history of changes was lost; after a
//! store outage, an entry treats a removal as unconfirmed for a while. Entries send each other updates
//! from their views, which may arrive with any delay. A process may restart with an empty view. The store may be
//! restored from an older copy, in a new era whose versions are higher; its last rows are lost then, and entries read
//! the whole table twice, the second time after the owner has had the time to write again.
//!
//! The upstream may state in a response to one entry that it is leaving, while its rows say nothing of it.
//!
//! Invariant: once an entry is certain that the upstream is leaving or removed, it sends nothing there
//! until a row of a higher version lists it. An entry that has applied a departure of the upstream never sends there
//! again. Once all entries have read all rows and no removal is
//! unconfirmed, all views agree with the store.

use crate::Model;
use ::picture::{
    Departure,
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

/// Name of the upstream.
const NAME: &str = "u";
/// Step of the clock. Two steps are longer than a removal stays unconfirmed.
const TICK: Duration = Duration::from_millis(1000);

/// Row of the upstream as written by the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Row {
    Listed,
    Leaving,
    /// Removed by expiry, while the owner still runs.
    Expired,
    /// Removed because the owner has left.
    Removed,
}

/// Configuration of one search.
#[derive(Clone, Copy, Debug)]
pub struct RoutingViewModel {
    /// Guards of the views.
    pub guards: Guards,
    /// Number of rows that the store writes.
    pub rows: usize,
    /// Number of messages between entries.
    pub messages: u8,
    /// Number of restarts of entries.
    pub restarts: u8,
    /// Number of clock steps.
    pub ticks: u8,
    /// Number of restores of the store from an older copy.
    pub restores: u8,
    /// Number of responses which state that the upstream is leaving.
    pub departures: u8,
}

/// Transition of the model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutingViewStep(String);

impl fmt::Display for RoutingViewStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One entry with its view.
#[derive(Clone, Debug)]
struct Entry {
    view: RoutingView,
    /// Number of rows that it has read.
    rows_read: usize,
    /// Era of the store in which it last read.
    era: u64,
    /// Whether it has yet to read the whole table again after a restore.
    reads_again: bool,
    /// Version of the last row from which it was certain that the upstream is leaving or removed.
    closed_at: Option<u64>,
    /// Whether it knows from a response that the upstream is leaving.
    knows_departure: bool,
}

/// Message in flight to the entry with index `to`.
#[derive(Clone, Debug)]
struct Message {
    to: usize,
    updates: Vec<UpstreamUpdate>,
    departures: Vec<Departure>,
}

/// State of the store, the entries and the messages.
#[derive(Clone, Debug)]
pub struct RoutingViewState {
    rows: Vec<Row>,
    /// Number of times that the store was restored.
    era: u64,
    /// Number of rows in the copy from which it was last restored.
    copied_rows: usize,
    /// Last row that the owner wrote before the restore, if it is lost: what it writes again.
    lost: Option<Row>,
    entries: Vec<Entry>,
    messages: Vec<Message>,
    messages_left: u8,
    restarts_left: u8,
    restores_left: u8,
    departures_left: u8,
    ticks: u8,
}

// A view contains routes, which can't be hashed; its debug output includes everything that determines
// the transitions.
impl PartialEq for RoutingViewState {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for RoutingViewState {}

impl Hash for RoutingViewState {
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
        writes: None,
    }
}

/// Versions of an era are higher than all of the eras before.
const VERSIONS_PER_ERA: u64 = 100;

/// Version of the row with this index.
fn version(era: u64, index: usize) -> u64 {
    era * VERSIONS_PER_ERA + index as u64 + 1
}

impl Entry {
    fn new(guards: Guards) -> Self {
        Self {
            view: RoutingView::with_guards(guards),
            rows_read: 0,
            era: 0,
            reads_again: false,
            closed_at: None,
            knows_departure: false,
        }
    }

    /// Applies departures stated in a response or sent by the other entry.
    fn apply_departures(&mut self, departures: &[Departure], now: Now) {
        for departure in departures {
            self.view.apply_departure(departure, now);
            self.knows_departure = true;
        }
    }

    /// Whether the entry sends requests to the upstream.
    fn is_open(&self, now: Now) -> bool {
        let mut upstreams = self.view.upstreams(now);
        upstreams.any(|(_, closed, _)| !closed)
    }

    /// Applies the next row of the table's changes.
    fn apply_next_row(&mut self, row: Row, after_outage: bool, now: Now) {
        let version = version(self.era, self.rows_read);
        self.rows_read += 1;
        self.view.advance_read_position(version);
        match row {
            Row::Listed | Row::Leaving => {
                let leaving = row == Row::Leaving;
                self.view.apply_upstream(&listed(leaving), version, now);
                self.closed_at = leaving.then_some(version).or(self.closed_at);
            }
            Row::Expired | Row::Removed => {
                let name = NAME.into();
                self.view.apply_removal(&name, version, after_outage, now);
                if !after_outage {
                    self.closed_at = Some(version);
                }
            }
        }
    }

    /// Applies the whole table, as at the start or after the history of changes was lost.
    fn apply_table(&mut self, rows: &[Row], era: u64, after_outage: bool, now: Now) {
        self.rows_read = rows.len();
        self.era = era;
        self.reads_again = false;
        let position = version(era, rows.len()) - 1;
        let table = table(rows, position);
        self.view
            .apply_upstream_table(&table, position, after_outage, now);
    }

    /// Applies the whole table of a restored store for the first time.
    fn apply_restored_table(&mut self, rows: &[Row], era: u64, now: Now) {
        self.rows_read = rows.len();
        self.era = era;
        self.reads_again = true;
        let position = version(era, rows.len()) - 1;
        self.view
            .apply_restored_upstreams(&table(rows, position), now);
    }
}

/// Returns the upstream's row in a whole table.
fn table(rows: &[Row], position: u64) -> Vec<(u64, ListedUpstream)> {
    let current = rows
        .last()
        .filter(|row| matches!(row, Row::Listed | Row::Leaving));
    let row = current.map(|row| (position, listed(*row == Row::Leaving)));
    row.into_iter().collect()
}

impl RoutingViewModel {
    /// Possible successors of the last row.
    fn next_rows(rows: &[Row]) -> &'static [Row] {
        match rows.last() {
            None | Some(Row::Expired) => &[Row::Listed],
            Some(Row::Listed) => &[Row::Leaving, Row::Expired, Row::Removed],
            Some(Row::Leaving) => &[Row::Removed],
            Some(Row::Removed) => &[],
        }
    }
}

impl RoutingViewState {
    fn now(&self) -> Now {
        TICK * u32::from(self.ticks)
    }

    /// Whether all entries have read all rows, the owner has written again, and no message is in flight.
    fn is_settled(&self) -> bool {
        let is_read = |entry: &Entry| {
            entry.era == self.era && !entry.reads_again && entry.rows_read == self.rows.len()
        };
        if self.is_copy() {
            return false;
        }
        self.messages.is_empty() && self.entries.iter().all(is_read)
    }

    /// Whether the store has nothing but the rows of the copy from which it was restored.
    fn is_copy(&self) -> bool {
        self.era > 0 && self.rows.len() == self.copied_rows
    }

    fn write_row(&self, row: Row) -> Self {
        let mut next = self.clone();
        next.rows.push(row);
        next.lost = None;
        next
    }

    /// Whether the upstream was listed after a version, other than by the copy from which the store was restored.
    fn is_listed_after(&self, closed_at: u64) -> bool {
        let rows = self.rows.iter().enumerate().skip(self.copied_rows);
        rows.filter(|(_, row)| **row == Row::Listed)
            .any(|(index, _)| version(self.era, index) > closed_at)
    }

    /// Restores the store from a copy with the first `copied_rows` rows.
    fn restore(&self, copied_rows: usize) -> Self {
        let mut next = self.clone();
        next.lost = self.lost.or(self.rows.last().copied());
        for entry in &mut next.entries {
            // An upstream that was listed again may be used, although the row is lost.
            entry.closed_at = entry.closed_at.filter(|at| !self.is_listed_after(*at));
        }
        next.rows.truncate(copied_rows);
        next.era += 1;
        next.copied_rows = copied_rows;
        next.restores_left -= 1;
        next
    }

    /// Possible next rows: what is lost is written again first.
    fn next_rows(&self) -> Vec<Row> {
        match self.lost {
            // The row of an upstream that has left expires.
            Some(Row::Expired | Row::Removed) => vec![Row::Removed],
            Some(row) => vec![row],
            None => RoutingViewModel::next_rows(&self.rows).to_vec(),
        }
    }

    fn with_entry(&self, index: usize, change: impl FnOnce(&mut Entry, Now)) -> Self {
        let mut next = self.clone();
        let now = self.now();
        change(&mut next.entries[index], now);
        next
    }
}

impl Model for RoutingViewModel {
    type State = RoutingViewState;
    type Step = RoutingViewStep;

    fn start(&self) -> RoutingViewState {
        RoutingViewState {
            rows: vec![Row::Listed],
            era: 0,
            copied_rows: 0,
            lost: None,
            entries: vec![Entry::new(self.guards), Entry::new(self.guards)],
            messages: Vec::new(),
            messages_left: self.messages,
            restarts_left: self.restarts,
            restores_left: self.restores,
            departures_left: self.departures,
            ticks: 0,
        }
    }

    fn transitions(&self, state: &RoutingViewState) -> Vec<(RoutingViewStep, RoutingViewState)> {
        let mut steps = Vec::new();
        let mut step =
            |name: String, next: RoutingViewState| steps.push((RoutingViewStep(name), next));
        if state.rows.len() < self.rows {
            for row in state.next_rows() {
                step(format!("the store writes {row:?}"), state.write_row(row));
            }
        }
        if state.restores_left > 0 {
            for copied_rows in 1..state.rows.len() {
                let name = format!("the store is restored with {copied_rows} rows");
                step(name, state.restore(copied_rows));
            }
        }
        for (index, entry) in state.entries.iter().enumerate() {
            let is_new = entry.rows_read == 0;
            if entry.era < state.era && !is_new {
                let next = state.with_entry(index, |entry, now| {
                    entry.apply_restored_table(&state.rows, state.era, now);
                });
                step(format!("entry {index} reads the restored table"), next);
            }
            let was_rewritten = entry.era == state.era && !state.is_copy();
            if entry.reads_again && was_rewritten {
                let next = state.with_entry(index, |entry, now| {
                    entry.apply_table(&state.rows, state.era, true, now);
                });
                step(format!("entry {index} reads the table again"), next);
            }
            if is_new && entry.era < state.era {
                let next = state.with_entry(index, |entry, now| {
                    entry.apply_table(&state.rows, state.era, true, now);
                });
                step(format!("entry {index} reads its first table"), next);
            }
            if entry.era == state.era && entry.rows_read < state.rows.len() {
                let row = state.rows[entry.rows_read];
                for after_outage in [false, true] {
                    // Both cases apply to every row: one that expired did so during an outage, at least
                    // for its owner.
                    let next = state.with_entry(index, |entry, now| {
                        entry.apply_next_row(row, after_outage, now);
                    });
                    let how = if after_outage { " after an outage" } else { "" };
                    step(format!("entry {index} reads {row:?}{how}"), next);
                }
                let next = state.with_entry(index, |entry, now| {
                    entry.apply_table(&state.rows, state.era, true, now);
                });
                step(
                    format!("entry {index} reads the whole table after an outage"),
                    next,
                );
            }
            if state.messages_left > 0 && entry.rows_read > 0 {
                let mut next = state.clone();
                next.messages_left -= 1;
                // The recipient's request contains its read position.
                let after = state.entries[1 - index].view.upstreams_read_position();
                next.messages.push(Message {
                    to: 1 - index,
                    updates: entry.view.upstream_updates(after, state.now()),
                    departures: entry.view.departures(Duration::MAX, state.now()),
                });
                step(format!("entry {index} sends its updates"), next);
            }
            if state.departures_left > 0 && entry.is_open(state.now()) {
                let departure = Departure {
                    upstream: NAME.into(),
                    started_ms: 0,
                };
                let mut next = state.with_entry(index, |entry, now| {
                    entry.apply_departures(&[departure], now);
                });
                next.departures_left -= 1;
                let name = format!("entry {index} gets a response of the leaving upstream");
                step(name, next);
            }
            if state.restarts_left > 0 && entry.rows_read > 0 {
                let mut next = state.with_entry(index, |entry, _| {
                    *entry = Entry::new(self.guards);
                });
                next.restarts_left -= 1;
                step(format!("entry {index} restarts"), next);
            }
        }
        for index in 0..state.messages.len() {
            let mut next = state.clone();
            let message = next.messages.remove(index);
            let now = state.now();
            let entry = &mut next.entries[message.to];
            entry.view.apply_upstream_updates(&message.updates, now);
            entry.apply_departures(&message.departures, now);
            step(format!("entry {} receives updates", message.to), next);
        }
        if state.ticks < self.ticks {
            let mut next = state.clone();
            next.ticks += 1;
            step("the clock advances".to_owned(), next);
        }
        steps
    }

    fn check(&self, state: &RoutingViewState) -> Result<(), String> {
        let now = state.now();
        for (index, entry) in state.entries.iter().enumerate() {
            if entry.knows_departure && entry.is_open(now) {
                return Err(format!(
                    "entry {index} had a response of the leaving upstream, and sends to it"
                ));
            }
            let Some(closed_at) = entry.closed_at else {
                continue;
            };
            if entry.is_open(now) && !state.is_listed_after(closed_at) {
                return Err(format!(
                    "entry {index} closed the upstream at version {closed_at}, and sends to it"
                ));
            }
        }
        // Rows say nothing of a departure, so that not all entries need to know of it.
        let has_departed = state.departures_left < self.departures;
        if !state.is_settled() || has_departed {
            return Ok(());
        }
        let confirmed_at = now + TICK * 2;
        let is_listed = state.rows.last() == Some(&Row::Listed);
        for (index, entry) in state.entries.iter().enumerate() {
            let open = entry.is_open(confirmed_at);
            if open != is_listed {
                return Err(format!(
                    "all rows are read, and entry {index} has it open: {open}"
                ));
            }
        }
        Ok(())
    }
}
