//! Determines the likely cause of a request's failure.

use crate::{
    fault::Fault,
    logs::{
        request_end,
        LocatedLine, //
        Logs,
    },
    text::describe_wait,
};
use base::UpstreamId;
use event::{
    Event,
    Line,
    Outcome,
    Reason,
    RequestEnded,
    SendFailed, //
};
use serde::Serialize;

/// Fraction of the deadline after which a cancellation means that the caller's time ran out.
const DEADLINE_SPENT_RATIO: f64 = 0.9;
/// An upstream counts as slow if a response took more than this many times its expected time.
const SLOW_FACTOR: u64 = 2;
/// The same factor for an upstream that may not have had the request's key. Work without the key takes some
/// three times as long, which alone doesn't make the upstream slow.
const SLOW_FACTOR_COLD: u64 = 5;
/// Time after a timeout in which responses to other requests still show that the upstream was alive. An
/// upstream that is slow by some factor responds within this time.
const LATE_RESPONSES_MS: u64 = 3_000;
/// Time after a send within which the removal of the upstream's row means that the upstream had ended.
const REMOVAL_WINDOW_MS: u64 = 12_000;

/// The likely cause of a failure, with evidence.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Cause {
    /// Kind of the failure.
    pub fault: Fault,
    /// Observations that support the fault, one sentence each.
    pub evidence: Vec<String>,
}

impl Cause {
    fn new(fault: Fault) -> Self {
        let evidence = Vec::new();
        Self { fault, evidence }
    }

    fn with_evidence(mut self, evidence: impl Into<String>) -> Self {
        self.evidence.push(evidence.into());
        self
    }
}

/// Determines the cause from the lines of one request.
pub(crate) fn find_cause(logs: &Logs, lines: &[&LocatedLine]) -> Cause {
    let cut = lines.iter().find_map(|located| match &located.line.event {
        Event::AnswerCut {
            why,
            upstream,
            sent_bytes,
            ..
        } => Some((why, upstream, *sent_bytes)),
        _ => None,
    });
    if let Some((why, upstream, sent_bytes)) = cut {
        return cause_of_cut(logs, lines, why, upstream, sent_bytes);
    }
    let Some((line, ended)) = request_end(lines) else {
        return Cause::new(Fault::Unfinished).with_evidence(
            "the logs end before it, or its process ended, or the line was left out",
        );
    };
    let last_failure = lines
        .iter()
        .rev()
        .find_map(|located| match &located.line.event {
            Event::SendFailed(failed) => Some((&located.line, failed.as_ref())),
            _ => None,
        });
    match ended.outcome {
        Outcome::Answered => cause_of_answered(logs, line, ended),
        Outcome::UpstreamError => cause_of_upstream_error(ended),
        Outcome::Refused => {
            with_failed_relays(cause_of_refusal(logs, line, ended, last_failure), lines)
        }
        Outcome::Failed | Outcome::TimedOut => cause_of_failure(logs, line, ended, last_failure),
        Outcome::Cancelled => cause_of_cancelled(logs, line, ended),
        Outcome::Closing => Cause::new(Fault::PlannedStop)
            .with_evidence("the caller was told to use another entry; nothing ran"),
        Outcome::NoRoutes => cause_of_no_routes(logs, line),
        Outcome::StaleRoutes => Cause::new(Fault::StaleRoutes).with_evidence(format!(
            "it had version {} of the routes",
            ended.picture.routes
        )),
        Outcome::NoSuchRoute | Outcome::NoRequestId => {
            Cause::new(Fault::BadRequest).with_evidence(format!(
                "{} under version {} of the routes",
                ended.outcome, ended.picture.routes
            ))
        }
        Outcome::Unauthorized => Cause::new(Fault::Unauthorized).with_evidence(format!(
            "no organisation of version {} of the routes has its key",
            ended.picture.routes
        )),
        Outcome::OverQuota => cause_over_quota(ended),
        Outcome::NoService => Cause::new(Fault::NoUpstreamListed)
            .with_evidence("all services of its route have the weight zero"),
    }
}

/// Adds why other entries did not serve the request, if it was relayed to any.
fn with_failed_relays(mut cause: Cause, lines: &[&LocatedLine]) -> Cause {
    for located in lines {
        if let Event::RelayFailed { entry, why, .. } = &located.line.event {
            cause = cause.with_evidence(format!("relayed to {entry}: {why}"));
        }
    }
    cause
}

fn cause_over_quota(ended: &RequestEnded) -> Cause {
    let organisation = ended.organisation.as_deref().unwrap_or("?");
    let retry_after_ms = ended.retry_after_ms.unwrap_or_default();
    Cause::new(Fault::OverQuota).with_evidence(format!(
        "organisation {organisation} under version {} of the routes; the caller was told to \
         return after {retry_after_ms} ms",
        ended.picture.routes
    ))
}

fn cause_of_cut(
    logs: &Logs,
    lines: &[&LocatedLine],
    why: &str,
    upstream: &UpstreamId,
    sent_bytes: u64,
) -> Cause {
    if why.contains("caller") {
        return Cause::new(Fault::CallerLeft)
            .with_evidence(format!("after {sent_bytes} bytes of the answer"));
    }
    let at_ms = lines.last().map_or(0, |located| located.line.time_ms);
    let evidence = format!("{upstream} after {sent_bytes} bytes: {why}");
    cause_of_broken_send(logs, upstream, at_ms).with_evidence(evidence)
}

fn cause_of_answered(logs: &Logs, line: &Line, ended: &RequestEnded) -> Cause {
    let target_ms = ended.target_ms.unwrap_or(u64::MAX);
    if ended.took_ms <= target_ms {
        return Cause::new(Fault::None);
    }
    let evidence = format!("{} ms for a target of {target_ms} ms", ended.took_ms);
    let Some(sent) = &ended.sent else {
        return Cause::new(Fault::Late).with_evidence(evidence);
    };
    let expected = sent.expected;
    let entry_region = logs.region(&line.instance);
    let other_region = entry_region.is_some_and(|entry_region| *entry_region != sent.region);
    let fault = if ended.hedge.is_some() {
        // Only a request whose upstream takes unusually long is hedged.
        Fault::UpstreamSlow
    } else if ended.sends > 1 {
        // The earlier sends took the time.
        Fault::UpstreamBrokeOff
    } else if expected.wait_ms > 0 {
        Fault::Queued
    } else if ended.took_ms
        > expected.answer_ms.saturating_mul(if sent.warm {
            SLOW_FACTOR
        } else {
            SLOW_FACTOR_COLD
        })
    {
        Fault::UpstreamSlow
    } else if !sent.warm {
        Fault::ColdCache
    } else if other_region {
        Fault::FarAway
    } else {
        Fault::Late
    };
    let load = format!(
        "{} in {} had {:.0} requests for {} slots; an answer was expected after {} ms, {} of them waiting",
        sent.upstream, sent.region, sent.load, sent.slots, expected.answer_ms, expected.wait_ms
    );
    let cause = Cause::new(fault)
        .with_evidence(evidence)
        .with_evidence(load);
    match ended.hedge {
        Some(_) => cause.with_evidence("it was sent to a second upstream as well"),
        None => cause,
    }
}

fn cause_of_upstream_error(ended: &RequestEnded) -> Cause {
    let status = ended.status.unwrap_or(0);
    let upstream = ended.sent.as_ref().map_or("?", |sent| &sent.upstream);
    let retry_note = match ended.sends {
        0 | 1 => "it was not sent again".to_owned(),
        sends => format!("{sends} upstreams had it"),
    };
    let evidence = format!("status {status} of {upstream} was passed on; {retry_note}");
    Cause::new(Fault::UpstreamFailed).with_evidence(evidence)
}

fn cause_of_refusal(
    logs: &Logs,
    line: &Line,
    ended: &RequestEnded,
    last_failure: Option<(&Line, &SendFailed)>,
) -> Cause {
    let fault = match (ended.reason, last_failure) {
        (Some(Reason::NoSlotInTime), None) => Fault::Overload,
        (Some(Reason::Quarantined), _) => Fault::Quarantined,
        (Some(Reason::NoUpstreamListed), _) => Fault::NoUpstreamListed,
        (Some(Reason::Partitioned), _) => Fault::Partitioned,
        (_, Some((_, failed))) if failed.why.starts_with("status") => Fault::UpstreamRefused,
        (_, Some(_)) => Fault::UpstreamUnreachable,
        (Some(Reason::NoUpstreamOpen), None) => Fault::NoUpstreamOpen,
        _ => Fault::Overload,
    };
    let mut cause = Cause::new(fault);
    if let Some((_, failed)) = last_failure {
        cause = cause.with_evidence(format!("{}: {}", failed.sent.upstream, failed.why));
    }
    if let Some(census) = ended.census {
        cause = cause.with_evidence(format!(
            "upstreams of the service: {} open, {} leaving, gone or evacuated, {} cold, {} failing, {} that asked for a \
             pause",
            census.open, census.closed, census.cold, census.failing, census.paused
        ));
    }
    if let (Some(expected), Some(target_ms)) = (ended.expected, ended.target_ms) {
        if fault == Fault::Overload {
            cause = cause.with_evidence(format!(
                "the best of them was expected to answer after {} ms, {} of them waiting; the target is \
                 {target_ms} ms",
                expected.answer_ms, expected.wait_ms
            ));
        }
    }
    if let Some(wait) = ended.wait {
        cause = cause.with_evidence(describe_wait(wait));
    }
    if ended.census.is_some_and(|census| census.closed > 0) {
        for domain in evacuated_domains(logs, line) {
            cause = cause.with_evidence(format!("{domain} was evacuated"));
        }
    }
    if fault == Fault::Quarantined {
        cause = cause.with_evidence(describe_crashes(logs, ended));
    }
    cause
}

/// Lists the upstreams that crashed while they ran an attempt of the request, by its fingerprint.
fn describe_crashes(logs: &Logs, ended: &RequestEnded) -> String {
    let crashed = logs
        .lines()
        .iter()
        .filter_map(|located| match &located.line.event {
            Event::UpstreamCrashed {
                fingerprint,
                upstream,
                ..
            } if Some(fingerprint) == ended.fingerprint.as_ref() => Some(&**upstream),
            _ => None,
        });
    let mut crashed: Vec<&str> = crashed.collect();
    crashed.sort_unstable();
    crashed.dedup();
    let fingerprint = ended.fingerprint.as_deref().unwrap_or("?");
    format!(
        "fingerprint {fingerprint}; crashed in these logs: {}",
        crashed.join(", ")
    )
}

fn cause_of_failure(
    logs: &Logs,
    line: &Line,
    ended: &RequestEnded,
    last_failure: Option<(&Line, &SendFailed)>,
) -> Cause {
    let Some(sent) = &ended.sent else {
        return Cause::new(Fault::UpstreamBrokeOff).with_evidence("it was sent, and has no answer");
    };
    let cause = if ended.outcome == Outcome::TimedOut {
        cause_of_no_response(logs, &sent.upstream, line, ended)
    } else {
        let at_ms = last_failure.map_or(line.time_ms, |(line, _)| line.time_ms);
        cause_of_broken_send(logs, &sent.upstream, at_ms)
    };
    match last_failure {
        Some((_, failed)) => {
            cause.with_evidence(format!("{}: {}", failed.sent.upstream, failed.why))
        }
        None => cause,
    }
}

/// Determines the cause of a send that broke off.
fn cause_of_broken_send(logs: &Logs, upstream: &UpstreamId, at_ms: u64) -> Cause {
    match removal_delay_ms(logs, upstream, at_ms) {
        Some(after_ms) => Cause::new(Fault::UpstreamEnded).with_evidence(format!(
            "the store dropped {upstream} {after_ms} ms later: it had ended without leaving"
        )),
        None => Cause::new(Fault::UpstreamBrokeOff),
    }
}

/// Determines the cause of a send without a response in time.
fn cause_of_no_response(
    logs: &Logs,
    upstream: &UpstreamId,
    line: &Line,
    ended: &RequestEnded,
) -> Cause {
    let sent_ms = line.time_ms.saturating_sub(ended.took_ms);
    // An upstream that died while it had the request may have responded to others shortly before, so only
    // responses in the second half of the wait count.
    let second_half_ms = line.time_ms - ended.took_ms / 2;
    let other_times_ms = response_times(logs, upstream, second_half_ms, line.time_ms);
    if let Some(after_ms) = removal_delay_ms(logs, upstream, sent_ms) {
        if other_times_ms.is_empty() {
            return Cause::new(Fault::UpstreamEnded).with_evidence(format!(
                "{upstream} answered nobody any more, and the store dropped it {after_ms} ms after the send"
            ));
        }
    }
    if other_times_ms.is_empty() {
        let evidence = format!("{upstream} answered nobody any more, in these logs");
        return Cause::new(Fault::UpstreamSilent).with_evidence(evidence);
    }
    let slowest_ms = other_times_ms.iter().max().copied().unwrap_or(0);
    let evidence = format!(
        "{upstream} answered {} other requests about then, the slowest after {slowest_ms} ms",
        other_times_ms.len()
    );
    let expected_ms = ended
        .sent
        .as_ref()
        .map_or(0, |sent| sent.expected.answer_ms);
    let fault = if slowest_ms > expected_ms.saturating_mul(SLOW_FACTOR) {
        Fault::UpstreamSlow
    } else {
        Fault::UpstreamBrokeOff
    };
    Cause::new(fault).with_evidence(evidence)
}

fn cause_of_cancelled(logs: &Logs, line: &Line, ended: &RequestEnded) -> Cause {
    let deadline_ms = ended.deadline_ms.unwrap_or(u64::MAX);
    let evidence = format!("after {} of {deadline_ms} ms", ended.took_ms);
    if (ended.took_ms as f64) < deadline_ms as f64 * DEADLINE_SPENT_RATIO {
        return Cause::new(Fault::CallerLeft).with_evidence(evidence);
    }
    match &ended.sent {
        Some(sent) => {
            cause_of_no_response(logs, &sent.upstream, line, ended).with_evidence(evidence)
        }
        None => Cause::new(Fault::Overload).with_evidence(evidence),
    }
}

fn cause_of_no_routes(logs: &Logs, line: &Line) -> Cause {
    let cause =
        Cause::new(Fault::NoRoutes).with_evidence(format!("{} ms after its start", line.up_ms));
    let mut instance_lines = logs.instance_lines(&line.instance);
    let store_lost = instance_lines.any(|other| {
        other.time_ms <= line.time_ms && matches!(other.event, Event::StoreLost { .. })
    });
    if store_lost {
        cause.with_evidence("its calls to the store failed")
    } else {
        cause
    }
}

/// Time from a moment to the removal of an upstream from the store, unless the upstream had announced its leaving.
fn removal_delay_ms(logs: &Logs, upstream: &UpstreamId, at_ms: u64) -> Option<u64> {
    let mut announced_leaving = false;
    let mut removed: Option<u64> = None;
    for line in logs.upstream_lines(upstream) {
        let time_ms = line.time_ms;
        match &line.event {
            Event::UpstreamListed { leaving: true, .. } => {
                announced_leaving |= time_ms <= at_ms;
            }
            Event::UpstreamRemoved { .. } if time_ms >= at_ms => {
                let is_earliest = removed.is_none_or(|known| time_ms < known);
                removed = if is_earliest { Some(time_ms) } else { removed };
            }
            _ => {}
        }
    }
    let after_ms = removed? - at_ms;
    (!announced_leaving && after_ms <= REMOVAL_WINDOW_MS).then_some(after_ms)
}

/// Durations of the requests that an upstream answered from one moment until [`LATE_RESPONSES_MS`] after another.
fn response_times(logs: &Logs, upstream: &UpstreamId, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let window_ms = from_ms..=to_ms + LATE_RESPONSES_MS;
    let times_ms = logs.upstream_lines(upstream).filter_map(|line| {
        let Event::Request(other) = &line.event else {
            return None;
        };
        window_ms.contains(&line.time_ms).then_some(other.took_ms)
    });
    times_ms.collect()
}

/// Failure domains that were evacuated in an instance's view when it wrote a line.
fn evacuated_domains(logs: &Logs, reference_line: &Line) -> Vec<String> {
    let mut domains: Vec<String> = Vec::new();
    for line in logs.instance_lines(&reference_line.instance) {
        if line.time_ms > reference_line.time_ms {
            continue;
        }
        if let Event::Evacuation {
            failure_domain, on, ..
        } = &line.event
        {
            domains.retain(|known| **known != **failure_domain);
            if *on {
                domains.push(failure_domain.to_string());
            }
        }
    }
    domains
}
