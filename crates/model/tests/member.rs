//! Searches of leases and joins: with all guards on the invariant holds; with any one guard off the
//! search finds a counterexample.

mod common;

use common::{
    breaks,
    holds, //
};
use member::Guards;
use model::{
    JoinModel,
    LeaseModel, //
};

fn lease(guards: Guards) -> LeaseModel {
    LeaseModel {
        guards,
        ticks: 6,
        faults: 1,
    }
}

fn join(guards: Guards) -> JoinModel {
    JoinModel {
        guards,
        processes: 3,
        faults: 3,
    }
}

holds! {
    a_lease_lapses_first_for_its_holder: lease;
    each_process_gets_its_own_incarnation: join;
}

breaks! {
    /// Two instances use one slot: the answer to a renewal is slow, and the holder counts its lease
    /// from the answer, but others from the row, which they saw long before.
    a_lease_counted_from_the_answer: lease, count_from_send, "seen lapse";
    /// As above, on instances whose clocks run at different rates.
    a_lease_without_margin_for_drift: lease, drift, "seen lapse";
    /// As above: the observer can't read the table for a while, and takes its own missing reads for
    /// missing renewals of the holder.
    a_lapse_concluded_without_a_read: lease, fresh_read, "seen lapse";
    /// As above: the holder is paused past its lapse, its renewal commits afterwards, and it
    /// continues to use what others have taken meanwhile.
    a_gap_in_a_lease_not_counted: lease, count_gaps, "seen lapse";
    /// Tickets of one process run at another: both start with one name, and one takes the incarnation
    /// without a condition on the row.
    an_incarnation_taken_unconditionally: join, compare_and_set, "the same incarnation";
}
