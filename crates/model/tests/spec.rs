//! Searches of accepts and adoptions: with all guards on the invariant holds; with any one guard off
//! the search finds a counterexample.

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

/// Two operators race, and one repeats its request through another daemon.
fn racing(guards: Guards) -> AcceptModel {
    AcceptModel {
        guards,
        requests: vec![request(1, 0), request(2, 0), request(1, 0)],
        faults: 4,
    }
}

/// One operator accepts a version based on another operator's, whose request is then repeated on a
/// later base.
fn in_a_row(guards: Guards) -> AcceptModel {
    AcceptModel {
        requests: vec![request(1, 0), request(2, 1), request(1, 2)],
        ..racing(guards)
    }
}

/// One operator that repeats its request, and a platform that fails often enough for an accept to give
/// up.
fn alone(guards: Guards) -> AcceptModel {
    AcceptModel {
        requests: vec![request(1, 0), request(1, 0)],
        faults: 7,
        ..racing(guards)
    }
}

/// Configuration of a version; the headroom differs between versions.
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
    racing_accepts_get_true_outcomes: racing;
    consecutive_accepts_get_true_outcomes: in_a_row;
    a_repeat_in_a_long_outage_gets_a_true_outcome: alone;
    daemons_never_revert_to_a_lower_version: adopting;
    a_daemon_starts_while_the_table_is_down: with_the_table_down;
    a_daemon_starts_while_a_peer_is_cut_off: with_the_peer_cut_off;
    a_daemon_starts_with_only_a_cut_off_peer: with_neither;
}

breaks! {
    /// Daemons are offered a version whose body is not stored: the head is written first, and the
    /// daemon that ran the accept crashes.
    a_head_before_its_objects: racing, objects_first, "isn't stored";
    /// An operator's change is lost: two accepts read the same head and both write the next one.
    a_head_written_unconditionally: racing, check_head, "not consecutive";
    /// A change is made twice, or its operator is told that it wasn't made: after a lost answer, the
    /// accept is not looked up by its id.
    an_accept_not_looked_up: in_a_row, find_accept_id, "got the outcome";
    /// As above: a lost answer is taken for "not accepted".
    a_lost_answer_taken_for_not_accepted: racing, read_back, "got the outcome Some(NotAccepted)";
    /// An accepted change is reverted at one daemon, to which an old head was offered late.
    an_older_head_adopted: adopting, only_higher, "reverted to";
    /// Two daemons with one version behave differently: the late answer to a fetch that was given up
    /// is adopted under the new head.
    a_late_body_under_a_new_head: adopting, match_digest, "body other than that";
    /// A new daemon routes to drained targets: it became ready with the version of a peer that had
    /// been cut off.
    a_daemon_ready_too_early: with_the_table_down, ready_after_all, "ready below";
}
