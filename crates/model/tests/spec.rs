//! Searches of accepts and adoptions: all guards on finds nothing, each guard off is found.

mod common;

use common::{
    breaks,
    holds, //
};
use model::{
    AcceptModel,
    AcceptRequest,
    AdoptModel, //
};
use spec::{
    Config,
    Guards, //
};

fn request(id: u128, base: u64) -> AcceptRequest {
    AcceptRequest { id, base }
}

/// Two operators race, and one repeats through another daemon.
fn racing(guards: Guards) -> AcceptModel {
    AcceptModel {
        guards,
        requests: vec![request(1, 0), request(2, 0), request(1, 0)],
        faults: 4,
    }
}

/// One operator accepts on what another made; both repeat, one of them on a later base.
fn in_a_row(guards: Guards) -> AcceptModel {
    AcceptModel {
        requests: vec![request(1, 0), request(2, 1), request(1, 2)],
        ..racing(guards)
    }
}

/// One operator, and a platform that fails often enough to give up.
fn alone(guards: Guards) -> AcceptModel {
    AcceptModel {
        requests: vec![request(1, 0), request(1, 0)],
        faults: 7,
        ..racing(guards)
    }
}

/// Configuration of a version; each has another headroom.
fn config(version: usize) -> Config {
    let text = format!(
        "name: small\n\
         regions: [{{id: arusha, failure_domains: [a]}}, {{id: moshi, failure_domains: [a]}}]\n\
         services: [menu]\n\
         classes: [{{id: menu, service: menu, idempotent: true, priority: 0, latency_ms: 100, \
         headroom_pct: {}, deadline_ms: 3000, success_pct: 99.9}}]\n\
         caps: [{{from: arusha, to: moshi, bytes_per_s: 1000, in_flight: 3, growth_per_s: 1}}, \
         {{from: moshi, to: arusha, bytes_per_s: 1000, in_flight: 3, growth_per_s: 1}}]\n",
        10 + version
    );
    spec::parse("small.yaml", &text).unwrap_or_else(|findings| panic!("{findings}"))
}

fn adopting(guards: Guards) -> AdoptModel {
    AdoptModel::new(guards, true, true, config)
}

fn with_the_table_down(guards: Guards) -> AdoptModel {
    AdoptModel::new(guards, false, true, config)
}

fn with_the_peer_cut_off(guards: Guards) -> AdoptModel {
    AdoptModel::new(guards, true, false, config)
}

fn with_neither(guards: Guards) -> AdoptModel {
    AdoptModel::new(guards, false, false, config)
}

holds! {
    racing_operators_are_told_the_truth: racing;
    accepts_in_a_row_are_told_the_truth: in_a_row;
    a_repeat_is_told_the_truth_in_a_long_outage: alone;
    daemons_adopt_and_never_go_back: adopting;
    a_daemon_starts_while_the_table_is_down: with_the_table_down;
    a_daemon_starts_while_a_peer_is_cut_off: with_the_peer_cut_off;
    a_daemon_starts_among_cut_off_ones: with_neither;
}

breaks! {
    /// Symptom: daemons hear of a version whose body nobody has. The head was written first, and
    /// the daemon that ran the accept died.
    a_head_before_its_objects: racing, objects_first, "isn't stored";
    /// Symptom: an operator's change vanishes. Two read the same head and both wrote the next.
    a_head_written_without_condition: racing, check_head, "follow each other";
    /// Symptom: a change is made twice, or its operator is told that it wasn't made. A lost answer
    /// was not looked up by the accept's name.
    an_accept_not_looked_up: in_a_row, find_accept_id, "told";
    /// Symptom: as above. A lost answer was taken for "not accepted".
    a_lost_answer_taken_for_not_accepted: racing, read_back, "told Some(NotAccepted)";
    /// Symptom: an accepted change is undone at one daemon. It heard of an old head late.
    an_older_head_adopted: adopting, only_higher, "went back";
    /// Symptom: two daemons of one version act differently. The late answer to a fetch that was
    /// given up was put in force under the new head.
    a_late_body_under_a_new_head: adopting, match_digest, "another body";
    /// Symptom: a new daemon steers to what has been drained. It was ready on the word of a peer
    /// that had been cut off.
    a_daemon_ready_too_early: with_the_table_down, ready_after_all, "ready below";
}
