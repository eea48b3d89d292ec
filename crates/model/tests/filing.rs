//! Searches of tickets and claims: with all guards on the invariant holds; with any one guard off the
//! search finds a counterexample.

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

/// One ticket at one entry: duplicates, pauses, restarts, expiry, a stepped clock.
fn one_entry(guards: Guards) -> TicketModel {
    TicketModel {
        guards,
        tickets: 1,
        copies: 4,
        tickets_max: 8,
        end_ms: 6,
        crashes: 2,
        step_back_ms: 3,
        shedding: true,
        hand_over: false,
        offer_fits: true,
        clock_lag_ms: 0,
    }
}

/// Two tickets at an entry whose ledger stores one.
fn small_ledger(guards: Guards) -> TicketModel {
    TicketModel {
        tickets: 2,
        copies: 3,
        tickets_max: 1,
        crashes: 0,
        step_back_ms: 0,
        ..one_entry(guards)
    }
}

/// A planned stop; the successor may restart, and its clock lags.
fn planned_stop(guards: Guards) -> TicketModel {
    TicketModel {
        step_back_ms: 0,
        hand_over: true,
        clock_lag_ms: 3,
        ..one_entry(guards)
    }
}

/// A planned stop whose offer has no room for records.
fn planned_stop_without_records(guards: Guards) -> TicketModel {
    TicketModel {
        offer_fits: false,
        clock_lag_ms: 1,
        ..planned_stop(guards)
    }
}

/// A planned stop where the ledgers of both entries store one ticket.
fn planned_stop_with_small_ledgers(guards: Guards) -> TicketModel {
    TicketModel {
        tickets: 2,
        copies: 2,
        tickets_max: 1,
        crashes: 0,
        clock_lag_ms: 1,
        ..planned_stop(guards)
    }
}

/// The same model without shedding, so that only a run can violate the invariant.
fn without_shedding(model: fn(Guards) -> TicketModel) -> impl Fn(Guards) -> TicketModel {
    move |guards| TicketModel {
        shedding: false,
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

fn claims_with_crashes(guards: Guards) -> ClaimModel {
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
    tickets_run_once_with_a_small_ledger: small_ledger;
    tickets_run_once_over_a_planned_stop: planned_stop;
    tickets_run_once_over_a_planned_stop_without_records: planned_stop_without_records;
    tickets_run_once_over_a_planned_stop_with_small_ledgers: planned_stop_with_small_ledgers;
    claims_run_once: claims;
    claims_run_once_when_entries_crash: claims_with_crashes;
    three_claims_run_once: three_claims;
}

breaks! {
    /// An order arrives twice: a duplicate comes after the first copy has finished, and the entry has
    /// no record of it.
    an_outcome_not_stored: without_shedding(one_entry), keep_outcomes, "sent 2 times";
    /// An order arrives twice: the entry restarts without its records and accepts a copy of a ticket
    /// of its earlier incarnation.
    a_ticket_of_an_earlier_incarnation: without_shedding(one_entry), bind_incarnation, "sent 2 times";
    /// An order that was refused as expired and filed again arrives twice: the wall clock is stepped
    /// back, and a late copy of the expired ticket is valid again.
    a_stepped_clock: without_shedding(one_entry), monotonic_clock, "got not-run";
    /// An order that was refused as `not-run` and filed again arrives twice: a late copy of the
    /// refused ticket runs as well.
    a_refused_ticket_not_invalidated: one_entry, invalidate_refused, "got not-run";
    /// As above, where the ticket was refused because the ledger was full.
    a_ticket_refused_by_a_full_ledger: small_ledger, invalidate_refused, "got not-run";
    /// An order arrives twice around a planned stop: predecessor and successor both run it.
    a_predecessor_that_continues: without_shedding(planned_stop), stop_before_offer, "sent 2 times";
    /// An order that was refused as expired and filed again arrives twice: the successor ran it before
    /// its expiry, and a copy reached the predecessor afterwards.
    a_predecessor_that_reports_tickets_expired: without_shedding(planned_stop), unknown_once_offered, "got not-run";
    /// An order arrives twice around a planned stop: the offer is repeated after a lost
    /// acknowledgement, and the successor loses the records of what it ran since the first.
    a_repeated_offer: without_shedding(planned_stop), accept_once, "sent 2 times";
    /// As above: the successor runs a ticket, restarts, and accepts a copy of the offer.
    an_offer_to_an_earlier_incarnation: without_shedding(planned_stop), bind_successor, "sent 2 times";
    /// As with the stepped clock: the predecessor refuses a ticket as expired, which the successor,
    /// whose clock lags, accepts as valid.
    a_successor_whose_clock_lags: without_shedding(planned_stop), transfer_watermarks, "got not-run";
    /// An order that a stopping entry refused and that was filed again arrives twice: the record of
    /// the refusal didn't fit into the offer, and the successor took the ticket for new.
    a_record_that_does_not_fit: without_shedding(planned_stop_without_records), transfer_watermarks, "got not-run";
    /// Two orders run under one key: the answer to an insert is lost, the insert never takes effect,
    /// and another entry claims the key.
    a_lost_answer_taken_for_a_commit: claims, read_back, "sent 2 times";
    /// As above: the row that is read back is the claim of another request, taken for the own.
    a_foreign_claim_taken_for_the_own: claims, match_token, "sent 2 times";
    /// An order is sent after its filing was reported as settled: the holder was paused between its
    /// claim and the send, and resumed after its lease had lapsed.
    a_paused_holder: claims, check_lease_before_send, "reported as settled";
    /// A key answers `unknown` for ever although nothing was sent: the insert committed after its
    /// request had ended.
    a_claim_that_commits_late: claims, write_released_row, "blocked by an unused claim";
}
