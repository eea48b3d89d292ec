//! Searches of pictures: all guards on finds nothing, each guard off is found.

mod common;

use common::{
    breaks,
    holds, //
};
use model::PictureModel;
use picture::Guards;

/// Two entries, four rows of one upstream, two messages.
fn pictures(guards: Guards) -> PictureModel {
    PictureModel {
        guards,
        rows: 4,
        messages: 2,
        restarts: 0,
        ticks: 1,
    }
}

/// The same with one message, and an entry that is started anew.
fn restarted(guards: Guards) -> PictureModel {
    PictureModel {
        messages: 1,
        restarts: 1,
        ticks: 2,
        ..pictures(guards)
    }
}

holds! {
    what_is_gone_stays_gone_until_it_is_listed_anew: pictures;
    what_is_gone_stays_gone_for_who_starts_anew: restarted;
}

breaks! {
    /// Symptom: an upstream that left gets work. A message of an entry that had not heard of it yet
    /// arrives late.
    an_older_statement_that_counts: pictures, versions, "sends to it";
    /// Symptom: as above, at all entries at once. One entry, which the store served again just then,
    /// doubts the removal and tells its picture.
    a_removal_in_doubt_told_as_a_listing: pictures, unconfirmed_removals, "sends to it";
    /// Symptom: as above, at a process that has just started: it reads the table, in which the row is
    /// missing, and then hears of it from an entry that is behind.
    an_unknown_upstream_taken_from_an_entry_behind: restarted, read_position, "has it open";
}
