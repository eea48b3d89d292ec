//! Searches of tickets and claims: all guards on finds nothing, each guard off is found.

mod common;

use common::{
    breaks,
    holds, //
};
use filing::Guards;
use model::{
    ClaimModel,
    TicketModel, //
};

/// One ticket at one entry: copies, pauses, restarts, expiry, a stepped clock.
fn one_entry(guards: Guards) -> TicketModel {
    TicketModel {
        guards,
        tickets: 1,
        copies: 4,
        remembered_max: 8,
        end_ms: 6,
        crashes: 2,
        step_back_ms: 3,
        sheds: true,
        hand_over: false,
        offer_fits: true,
        behind_ms: 0,
    }
}

/// Two tickets at an entry that remembers one.
fn little_memory(guards: Guards) -> TicketModel {
    TicketModel {
        tickets: 2,
        copies: 3,
        remembered_max: 1,
        crashes: 0,
        step_back_ms: 0,
        ..one_entry(guards)
    }
}

/// A planned stop; the successor may restart, and its clock is behind.
fn planned_stop(guards: Guards) -> TicketModel {
    TicketModel {
        step_back_ms: 0,
        hand_over: true,
        behind_ms: 3,
        ..one_entry(guards)
    }
}

/// A planned stop whose offer has no room for records.
fn planned_stop_without_records(guards: Guards) -> TicketModel {
    TicketModel {
        offer_fits: false,
        behind_ms: 1,
        ..planned_stop(guards)
    }
}

/// A planned stop of an entry whose memory is full, and a successor's as well.
fn planned_stop_with_little_memory(guards: Guards) -> TicketModel {
    TicketModel {
        tickets: 2,
        copies: 2,
        remembered_max: 1,
        crashes: 0,
        behind_ms: 1,
        ..planned_stop(guards)
    }
}

/// No entry refuses for reasons of its own, so that the run itself has to break the promise.
fn unshed(model: fn(Guards) -> TicketModel) -> impl Fn(Guards) -> TicketModel {
    move |guards| TicketModel {
        sheds: false,
        ..model(guards)
    }
}

fn claims(guards: Guards) -> ClaimModel {
    ClaimModel {
        guards,
        requests: 2,
        faults: 3,
        crash: false,
    }
}

fn claims_with_deaths(guards: Guards) -> ClaimModel {
    ClaimModel {
        faults: 2,
        crash: true,
        ..claims(guards)
    }
}

fn three_claims(guards: Guards) -> ClaimModel {
    ClaimModel {
        requests: 3,
        faults: 2,
        ..claims(guards)
    }
}

holds! {
    tickets_run_once_at_one_entry: one_entry;
    tickets_run_once_with_little_memory: little_memory;
    tickets_run_once_over_a_planned_stop: planned_stop;
    tickets_run_once_over_a_planned_stop_without_records: planned_stop_without_records;
    tickets_run_once_over_a_planned_stop_with_little_memory: planned_stop_with_little_memory;
    claims_run_once: claims;
    claims_run_once_when_entries_die: claims_with_deaths;
    three_claims_run_once: three_claims;
}

breaks! {
    /// Symptom: an order arrives twice. A copy comes after the first has ended, and the entry has
    /// no record of it.
    an_outcome_not_remembered: unshed(one_entry), keep_outcomes, "ran 2 times";
    /// Symptom: an order arrives twice. The entry restarts, has lost its records, and takes a copy
    /// of a ticket of its earlier life.
    a_ticket_of_an_earlier_life: unshed(one_entry), bind_incarnation, "ran 2 times";
    /// Symptom: an order that was refused as expired, and filed again, arrives twice. The wall
    /// clock was stepped back, and a late copy of the expired ticket was valid again.
    a_stepped_clock: unshed(one_entry), monotonic_clock, "told not-run";
    /// Symptom: an order was refused as `not-run`, filed again, and arrives twice. A late copy of
    /// the refused ticket ran as well.
    a_refused_ticket_not_burned: one_entry, invalidate_refused, "told not-run";
    /// As above; the refusal came from a full memory.
    a_ticket_refused_for_memory: little_memory, invalidate_refused, "told not-run";
    /// Symptom: an order arrives twice around a planned stop. Giver and successor both run it.
    a_giver_that_goes_on: unshed(planned_stop), stop_before_offer, "ran 2 times";
    /// Symptom: an order that was refused as expired, and filed again, arrives twice. The successor
    /// had run it before its end, and a copy came to the giver after.
    a_giver_that_calls_tickets_expired: unshed(planned_stop), unknown_once_offered, "told not-run";
    /// Symptom: an order arrives twice around a planned stop. The offer is repeated after a lost acknowledgement, and the successor
    /// loses what it ran since the first.
    a_repeated_offer: unshed(planned_stop), accept_once, "ran 2 times";
    /// Symptom: as above. The successor runs a ticket, restarts, and takes a copy of the offer.
    an_offer_to_an_earlier_life: unshed(planned_stop), bind_successor, "ran 2 times";
    /// Symptom: as with the stepped clock. The giver calls a ticket expired, the successor's clock
    /// is behind and calls it valid.
    a_successor_with_a_late_clock: unshed(planned_stop), transfer_watermarks, "told not-run";
    /// Symptom: an order that a stopping entry refused, and that was filed again, arrives twice.
    /// The record of the refusal didn't fit the offer, and the successor took the ticket for new.
    a_record_that_does_not_fit: unshed(planned_stop_without_records), transfer_watermarks, "told not-run";
    /// Symptom: two orders under one key. The answer to an insert was lost, it never took effect,
    /// and another entry claimed the key.
    a_lost_answer_taken_for_a_claim: claims, read_back, "ran 2 times";
    /// Symptom: as above. The row read back is another's claim, taken for one's own.
    anothers_claim_taken_for_ones_own: claims, match_token, "ran 2 times";
    /// Symptom: an order lands after its caller was told that it would not any more. The holder
    /// was paused between its claim and the send, and woke after its lease.
    a_paused_holder: claims, check_lease_before_send, "settled";
    /// Symptom: a key answers `unknown` for ever, and nothing was ever sent. The insert landed
    /// after its request had ended.
    a_claim_that_lands_late: claims, write_released_row, "blocked";
}
