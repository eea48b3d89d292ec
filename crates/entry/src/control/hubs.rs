//! What a hub does for its leaves: rosters of the entries that are up, and the rows that it reads from the store.
//!
//! Each hub advertises the entries of its failure domain that it is in session with to the other hubs and to its
//! leaves, and forwards the other hubs' rosters to the latter. Which roster a session has had is kept, so that each
//! goes out once for each change, whoever changes roles meanwhile.

use crate::{
    control::{
        Control,
        Known, //
    },
    message::{
        Followed,
        ForwardedRows,
        Message,
        WholePicture, //
    },
    metric,
    rows::RowReader,
};
use base::{
    FastMap,
    InstanceId,
    Now, //
};
use event::{
    emit,
    Event, //
};
use overlay::{
    Continuity, //
    Roster,
};
use peer::SendResult;
use plat::{
    Feed,
    Rows,
    Table as StoreTable, //
};
use std::time::Duration;

/// Time without a message of any reader after which a hub reads the store itself: the longest call, one that fails, and a
/// moment.
const READER_SILENCE: Duration = Duration::from_millis(3500);
/// Time without a message of any hub after which a leaf does: what its hub needs to notice the same, and to read.
const HUB_SILENCE: Duration = Duration::from_millis(5000);
/// Least time between two keep-alives of a hub to its leaves for a table in which nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of a roster that has not been advertised.
const NEVER: u64 = 0;

/// Rosters that were advertised.
#[derive(Debug, Default)]
pub(super) struct Rosters {
    /// This hub's own, and a number that grows with each change.
    own: Option<(u64, Roster)>,
    /// Number of the roster that each session was sent last, by session and hub.
    sent: FastMap<InstanceId, FastMap<InstanceId, u64>>,
}

impl Rosters {
    /// A session is new: nothing was sent on it.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.sent.remove(instance);
    }

    /// Takes the present own roster; gives its number.
    fn note_own(&mut self, roster: Roster) -> u64 {
        match &mut self.own {
            Some((number, own)) if *own == roster => *number,
            own => {
                let number = own.as_ref().map_or(NEVER, |(number, _)| *number) + 1;
                *own = Some((number, roster));
                number
            }
        }
    }
}

/// One message about a roster that is due.
struct Due {
    to: InstanceId,
    hub: InstanceId,
    number: u64,
    message: Message,
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Sends each session the rosters that it has not had.
    pub(super) fn send_rosters(&self, now: Now) {
        let mut known = self.known.borrow_mut();
        let is_hub = known.overlay.is_hub(now);
        metrics::gauge!(metric::HUB).set(f64::from(u8::from(is_hub)));
        let due = due_rosters(&mut known, now);
        drop(known);
        for Due {
            to,
            hub,
            number,
            message,
        } in due
        {
            // What finds no room is due again.
            if self.send(&to, &message) != Some(SendResult::Queued) {
                continue;
            }
            let mut known = self.known.borrow_mut();
            let sent = known.rosters.sent.entry(to).or_default();
            if number == NEVER {
                sent.remove(&hub);
            } else {
                sent.insert(hub, number);
            }
        }
    }

    pub(super) fn on_roster(&self, from: &InstanceId, roster: Roster, now: Now) {
        let mut known = self.known.borrow_mut();
        known.overlay.update_roster(from, roster, now);
    }

    pub(super) fn on_roster_gone(&self, from: &InstanceId, hub: &InstanceId, now: Now) {
        let mut known = self.known.borrow_mut();
        known.overlay.mark_roster_lost(from, hub, now);
    }

    /// Whether others forward a table to this entry, so that it need not call the store.
    pub(super) fn is_forwarded(&self, known: &mut Known, table: Followed, now: Now) -> bool {
        let silence = if known.overlay.is_hub(now) {
            READER_SILENCE
        } else {
            HUB_SILENCE
        };
        let is_reader = known.overlay.is_reader(now);
        !is_reader && known.followed(table).follow.is_forwarded(silence, now)
    }

    /// Forwards changes that were read from the store to the leaves of this hub and, if it is a reader, to the other
    /// hubs.
    pub(super) fn forward_rows(
        &self,
        table: Followed,
        after: u64,
        rows: &Rows,
        after_outage: bool,
    ) {
        let message = Message::Rows(ForwardedRows {
            table,
            after,
            position: rows.position,
            rows: rows.rows.clone(),
            after_outage,
        });
        self.tell_followers(&self.known.borrow(), &message);
    }

    /// Tells a session that is new how far this hub has read the tables, if it forwards them.
    pub(super) fn send_positions(&self, to: &InstanceId) {
        for table in [Followed::Operator, Followed::Upstreams] {
            let mut known = self.known.borrow_mut();
            let is_hub = known.overlay.is_hub(self.now());
            let followed = known.followed(table);
            let position = followed.follow.position();
            let reads = is_hub && !followed.lost;
            drop(known);
            if let Some(position) = position.filter(|_| reads) {
                self.send(to, &Message::Position(table, position));
            }
        }
    }

    /// Tells whoever this entry forwards a table to that it can't read it.
    pub(super) fn note_reading(&self, table: Followed, reads: bool) {
        let mut known = self.known.borrow_mut();
        let lost = std::mem::replace(&mut known.followed(table).lost, !reads);
        if !reads && !lost {
            self.tell_followers(&known, &Message::NotReading(table));
        }
    }

    fn tell_followers(&self, known: &Known, message: &Message) {
        let is_reader = known.overlay.is_reader(self.now());
        let hubs = known.overlay.other_hubs().filter(|_| is_reader);
        self.send_to(hubs.chain(known.overlay.leaves()), message);
    }

    pub(super) fn on_rows(&self, from: &InstanceId, forwarded: ForwardedRows, now: Now) {
        let ForwardedRows {
            table,
            after,
            position,
            ..
        } = forwarded;
        let mut known = self.known.borrow_mut();
        let follow = &mut known.followed(table).follow;
        let step = follow.on_forwarded(from, after, position, now);
        drop(known);
        let name = match step {
            Continuity::Next => "taken",
            Continuity::Known => "known",
            Continuity::Gap => "gap",
        };
        metrics::counter!(metric::FORWARDED_ROWS, "step" => name).increment(1);
        match step {
            Continuity::Next => {
                self.take_changes(table, &forwarded.rows, position, forwarded.after_outage);
                self.tell_leaves(&Message::Rows(forwarded), Some(from));
                self.known.borrow_mut().followed(table).told_at = now;
            }
            Continuity::Known => self.send_keep_alive(table, now),
            Continuity::Gap => {}
        }
        self.feed_due.notify_waiters();
    }

    /// Sends the leaves of this hub a keep-alive for a table in which nothing changes.
    fn send_keep_alive(&self, table: Followed, now: Now) {
        let mut known = self.known.borrow_mut();
        let followed = known.followed(table);
        let Some(position) = followed.follow.position() else {
            return;
        };
        if now.saturating_sub(followed.told_at) < KEEP_ALIVE_INTERVAL {
            return;
        }
        followed.told_at = now;
        drop(known);
        self.tell_leaves(&Message::Position(table, position), None);
    }

    pub(super) fn on_position(&self, from: &InstanceId, table: Followed, position: u64, now: Now) {
        let mut known = self.known.borrow_mut();
        let follow = &mut known.followed(table).follow;
        follow.on_hub_position(from, position, now);
    }

    pub(super) fn on_not_reading(&self, from: &InstanceId, table: Followed) {
        let mut known = self.known.borrow_mut();
        known.followed(table).follow.remove_hub(from);
        drop(known);
        emit(&Event::HubNotReading {
            hub: from.clone(),
            table: table.name().to_owned(),
        });
        self.feed_due.notify_waiters();
    }

    /// A leaf that is new asks its hub for all that it would have to read from the store.
    pub(super) fn ask_for_picture(&self, now: Now) {
        let known = self.known.borrow();
        let has_none = known.operator.follow.position().is_none();
        let primary = known.overlay.primary_hub(now);
        let Some(primary) = primary.filter(|_| has_none && known.is_new == Some(true)) else {
            return;
        };
        self.send(primary, &Message::WantPicture);
    }

    pub(super) fn answer_want_picture(&self, from: &InstanceId, now: Now) {
        let known = self.known.borrow();
        let positions = (
            known.operator.follow.position(),
            known.upstreams.follow.position(),
        );
        let (Some(operator_position), Some(upstreams_position)) = positions else {
            return;
        };
        let picture = &known.picture;
        let whole = WholePicture {
            operator_position,
            upstreams_position,
            routes: picture.routes().cloned(),
            evacuations: picture.evacuation_updates(),
            upstreams: picture.upstream_updates(0, now),
        };
        self.send(from, &Message::Picture(whole));
    }

    pub(super) fn on_picture(&self, from: &InstanceId, whole: WholePicture, now: Now) {
        let mut guard = self.known.borrow_mut();
        let known = &mut *guard;
        if known.operator.follow.position().is_some() {
            return;
        }
        if let Some(routes) = &whole.routes {
            known.picture.apply_routes(routes);
        }
        let standing = whole.evacuations.iter().filter(|(_, told)| told.on);
        let standing: Vec<_> = standing.map(|(domain, _)| domain.clone()).collect();
        known
            .picture
            .apply_evacuation_updates(&whole.evacuations, now);
        known
            .picture
            .end_evacuations_without_row(&standing, whole.operator_position, now);
        known.picture.apply_upstream_updates(&whole.upstreams, now);
        known
            .picture
            .advance_read_position(whole.upstreams_position);
        known.operator.follow.on_table_read(whole.operator_position);
        known
            .upstreams
            .follow
            .on_table_read(whole.upstreams_position);
        for followed in [&mut known.operator, &mut known.upstreams] {
            let position = followed.follow.position().unwrap_or_default();
            followed.follow.on_hub_position(from, position, now);
        }
        emit(&Event::PictureTaken {
            from: from.clone(),
            routes_version: known.picture.routes_version(),
            upstreams: whole.upstreams.len(),
            position: whole.upstreams_position,
        });
        drop(guard);
        self.feed_due.notify_waiters();
        self.publish();
    }

    /// Sends a message to each leaf of this hub but one.
    pub(super) fn tell_leaves(&self, message: &Message, but: Option<&InstanceId>) {
        let known = self.known.borrow();
        let leaves = known.overlay.leaves();
        let leaves = leaves.filter(|leaf| Some(*leaf) != but);
        self.send_to(leaves, message);
    }
}

/// Rosters that sessions have not had, and those that they are to forget.
fn due_rosters(known: &mut Known, now: Now) -> Vec<Due> {
    let own = known.overlay.own_roster();
    let own_number = known.rosters.note_own(own.clone());
    let mut due = Vec::new();
    let overlay = &known.overlay;
    for to in overlay.roster_receivers(now).chain(overlay.leaves()) {
        let sent = known.rosters.sent.get(to);
        let had = |hub: &InstanceId| sent.and_then(|sent| sent.get(hub)).copied();
        let others = overlay.forwarded_rosters(to, now);
        let others = others.filter(|(_, roster)| roster.hub != *to);
        let wanted = std::iter::once((own_number, &own)).chain(others);
        let mut present = Vec::new();
        for (number, roster) in wanted {
            present.push(&roster.hub);
            if had(&roster.hub) != Some(number) {
                due.push(Due {
                    to: to.clone(),
                    hub: roster.hub.clone(),
                    number,
                    message: Message::Roster(roster.clone()),
                });
            }
        }
        let gone = sent.into_iter().flat_map(FastMap::keys);
        for hub in gone.filter(|hub| !present.contains(hub)) {
            due.push(Due {
                to: to.clone(),
                hub: hub.clone(),
                number: NEVER,
                message: Message::RosterGone(hub.clone()),
            });
        }
    }
    due
}
