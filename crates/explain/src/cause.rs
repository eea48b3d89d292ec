//! What went wrong with a request.

use crate::{
    fault::Fault,
    logs::{
        end_of,
        Logs,
        Placed, //
    },
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

/// Part of the caller's time after which its leaving means that the time ran out.
const TIME_SPENT: f64 = 0.9;
/// An answer that took so many times what was expected came from an upstream that is slow, ...
const SLOW: u64 = 2;
/// ... or so many times, where it may only have lacked the request's key: work without it takes some three
/// times as long.
const SLOW_COLD: u64 = 5;
/// Time after a wait in which others' answers still say whether its upstream was alive: one that is slow
/// by some factor answers by then.
const AROUND_MS: u64 = 3_000;
/// Time after a send in which the removal of its upstream's row means that it had ended.
const REMOVED_WITHIN_MS: u64 = 12_000;

/// The likely cause, with what speaks for it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Cause {
    /// What went wrong.
    pub fault: Fault,
    /// What speaks for it, a sentence each.
    pub evidence: Vec<String>,
}

impl Cause {
    fn new(fault: Fault) -> Self {
        let evidence = Vec::new();
        Self { fault, evidence }
    }

    fn with(mut self, evidence: impl Into<String>) -> Self {
        self.evidence.push(evidence.into());
        self
    }
}

/// The cause of what one request's lines tell.
pub(crate) fn find_cause(logs: &Logs, lines: &[&Placed]) -> Cause {
    let cut = lines.iter().find_map(|placed| match &placed.line.event {
        Event::AnswerCut {
            why,
            upstream,
            sent_bytes,
            ..
        } => Some((why, upstream, *sent_bytes)),
        _ => None,
    });
    if let Some((why, upstream, sent_bytes)) = cut {
        return of_cut(logs, lines, why, upstream, sent_bytes);
    }
    let Some((line, ended)) = end_of(lines) else {
        return Cause::new(Fault::Unfinished)
            .with("the logs end before it, or its process ended, or the line was left out");
    };
    let last_failure = lines
        .iter()
        .rev()
        .find_map(|placed| match &placed.line.event {
            Event::SendFailed(failed) => Some((&placed.line, failed.as_ref())),
            _ => None,
        });
    match ended.outcome {
        Outcome::Answered => of_answer(logs, line, ended),
        Outcome::UpstreamError => of_upstream_error(ended),
        Outcome::Refused => of_refusal(logs, line, ended, last_failure),
        Outcome::Failed | Outcome::TimedOut => of_failure(logs, line, ended, last_failure),
        Outcome::Cancelled => of_cancelled(logs, line, ended),
        Outcome::Closing => Cause::new(Fault::PlannedStop)
            .with("the caller was told to use another entry; nothing ran"),
        Outcome::NoRoutes => of_no_routes(logs, line),
        Outcome::NoSuchRoute | Outcome::NoRequestId => Cause::new(Fault::BadRequest).with(format!(
            "{} under version {} of the routes",
            ended.outcome, ended.picture.routes
        )),
        Outcome::NoService => Cause::new(Fault::NoUpstreamListed)
            .with("all services of its route have the weight zero"),
    }
}

fn of_cut(
    logs: &Logs,
    lines: &[&Placed],
    why: &str,
    upstream: &UpstreamId,
    sent_bytes: u64,
) -> Cause {
    if why.contains("caller") {
        return Cause::new(Fault::CallerLeft)
            .with(format!("after {sent_bytes} bytes of the answer"));
    }
    let at_ms = lines.last().map_or(0, |placed| placed.line.time_ms);
    let said = format!("{upstream} after {sent_bytes} bytes: {why}");
    of_broken(logs, upstream, at_ms).with(said)
}

fn of_answer(logs: &Logs, line: &Line, ended: &RequestEnded) -> Cause {
    let target_ms = ended.target_ms.unwrap_or(u64::MAX);
    if ended.took_ms <= target_ms {
        return Cause::new(Fault::None);
    }
    let said = format!("{} ms for a target of {target_ms} ms", ended.took_ms);
    let Some(sent) = &ended.sent else {
        return Cause::new(Fault::Late).with(said);
    };
    let expected = sent.expected;
    let here = logs.region(&line.instance);
    let far = here.is_some_and(|here| *here != sent.region);
    let fault = if ended.sends > 1 {
        // The time went to the sends before it.
        Fault::UpstreamBrokeOff
    } else if expected.wait_ms > 0 {
        Fault::Queued
    } else if ended.took_ms
        > expected
            .answer_ms
            .saturating_mul(if sent.warm { SLOW } else { SLOW_COLD })
    {
        Fault::UpstreamSlow
    } else if !sent.warm {
        Fault::ColdCache
    } else if far {
        Fault::FarAway
    } else {
        Fault::Late
    };
    let at = format!(
        "{} in {} had {:.0} requests for {} slots; an answer was expected after {} ms, {} of them waiting",
        sent.upstream, sent.region, sent.load, sent.slots, expected.answer_ms, expected.wait_ms
    );
    Cause::new(fault).with(said).with(at)
}

fn of_upstream_error(ended: &RequestEnded) -> Cause {
    let status = ended.status.unwrap_or(0);
    let upstream = ended.sent.as_ref().map_or("?", |sent| &sent.upstream);
    let again = match ended.sends {
        0 | 1 => "it was not sent again".to_owned(),
        sends => format!("{sends} upstreams had it"),
    };
    let said = format!("status {status} of {upstream} was passed on; {again}");
    Cause::new(Fault::UpstreamFailed).with(said)
}

fn of_refusal(
    logs: &Logs,
    line: &Line,
    ended: &RequestEnded,
    last_failure: Option<(&Line, &SendFailed)>,
) -> Cause {
    let fault = match (ended.reason, last_failure) {
        (Some(Reason::NoSlotInTime), None) => Fault::Overload,
        (Some(Reason::Quarantined), _) => Fault::Quarantined,
        (Some(Reason::NoUpstreamListed), _) => Fault::NoUpstreamListed,
        (_, Some((_, failed))) if failed.why.starts_with("status") => Fault::UpstreamRefused,
        (_, Some(_)) => Fault::UpstreamUnreachable,
        (Some(Reason::NoUpstreamOpen), None) => Fault::NoUpstreamOpen,
        _ => Fault::Overload,
    };
    let mut cause = Cause::new(fault);
    if let Some((_, failed)) = last_failure {
        cause = cause.with(format!("{}: {}", failed.sent.upstream, failed.why));
    }
    if let Some(census) = ended.census {
        cause = cause.with(format!(
            "upstreams of the service: {} open, {} leaving, gone or evacuated, {} cold, {} failing",
            census.open, census.closed, census.cold, census.failing
        ));
    }
    if let (Some(expected), Some(target_ms)) = (ended.expected, ended.target_ms) {
        if fault == Fault::Overload {
            cause = cause.with(format!(
                "the best of them was expected to answer after {} ms, {} of them waiting; the target is \
                 {target_ms} ms",
                expected.answer_ms, expected.wait_ms
            ));
        }
    }
    if ended.census.is_some_and(|census| census.closed > 0) {
        for domain in evacuated(logs, line) {
            cause = cause.with(format!("{domain} was evacuated"));
        }
    }
    if fault == Fault::Quarantined {
        cause = cause.with(crashes_of(logs, ended));
    }
    cause
}

/// Lists the upstreams that crashed while they ran any attempt of a request.
fn crashes_of(logs: &Logs, ended: &RequestEnded) -> String {
    let crashed = logs
        .lines()
        .iter()
        .filter_map(|placed| match &placed.line.event {
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

fn of_failure(
    logs: &Logs,
    line: &Line,
    ended: &RequestEnded,
    last_failure: Option<(&Line, &SendFailed)>,
) -> Cause {
    let Some(sent) = &ended.sent else {
        return Cause::new(Fault::UpstreamBrokeOff).with("it was sent, and has no answer");
    };
    let cause = if ended.outcome == Outcome::TimedOut {
        of_silence(logs, &sent.upstream, line, ended)
    } else {
        let at_ms = last_failure.map_or(line.time_ms, |(line, _)| line.time_ms);
        of_broken(logs, &sent.upstream, at_ms)
    };
    match last_failure {
        Some((_, failed)) => cause.with(format!("{}: {}", failed.sent.upstream, failed.why)),
        None => cause,
    }
}

/// A send to an upstream broke.
fn of_broken(logs: &Logs, upstream: &UpstreamId, at_ms: u64) -> Cause {
    match removed_after(logs, upstream, at_ms) {
        Some(after_ms) => Cause::new(Fault::UpstreamEnded).with(format!(
            "the store dropped {upstream} {after_ms} ms later: it had ended without leaving"
        )),
        None => Cause::new(Fault::UpstreamBrokeOff),
    }
}

/// There was no answer in time.
fn of_silence(logs: &Logs, upstream: &UpstreamId, line: &Line, ended: &RequestEnded) -> Cause {
    let sent_ms = line.time_ms.saturating_sub(ended.took_ms);
    // An upstream that died while it had the request may have answered others just before.
    let later_half_ms = line.time_ms - ended.took_ms / 2;
    let answered = answers_of(logs, upstream, later_half_ms, line.time_ms);
    if let Some(after_ms) = removed_after(logs, upstream, sent_ms) {
        if answered.is_empty() {
            return Cause::new(Fault::UpstreamEnded).with(format!(
                "{upstream} answered nobody any more, and the store dropped it {after_ms} ms after the send"
            ));
        }
    }
    if answered.is_empty() {
        let said = format!("{upstream} answered nobody any more, in these logs");
        return Cause::new(Fault::UpstreamSilent).with(said);
    }
    let longest = answered.iter().max().copied().unwrap_or(0);
    let said = format!(
        "{upstream} answered {} other requests about then, the slowest after {longest} ms",
        answered.len()
    );
    let expected_ms = ended
        .sent
        .as_ref()
        .map_or(0, |sent| sent.expected.answer_ms);
    let fault = if longest > expected_ms.saturating_mul(SLOW) {
        Fault::UpstreamSlow
    } else {
        Fault::UpstreamBrokeOff
    };
    Cause::new(fault).with(said)
}

fn of_cancelled(logs: &Logs, line: &Line, ended: &RequestEnded) -> Cause {
    let deadline_ms = ended.deadline_ms.unwrap_or(u64::MAX);
    let said = format!("after {} of {deadline_ms} ms", ended.took_ms);
    if (ended.took_ms as f64) < deadline_ms as f64 * TIME_SPENT {
        return Cause::new(Fault::CallerLeft).with(said);
    }
    match &ended.sent {
        Some(sent) => of_silence(logs, &sent.upstream, line, ended).with(said),
        None => Cause::new(Fault::Overload).with(said),
    }
}

fn of_no_routes(logs: &Logs, line: &Line) -> Cause {
    let cause = Cause::new(Fault::NoRoutes).with(format!("{} ms after its start", line.up_ms));
    let mut before = logs.of_instance(&line.instance);
    let lost = before.any(|other| {
        other.time_ms <= line.time_ms && matches!(other.event, Event::StoreLost { .. })
    });
    if lost {
        cause.with("its calls to the store failed")
    } else {
        cause
    }
}

/// How long after a moment the store dropped an upstream that had not said that it leaves.
fn removed_after(logs: &Logs, upstream: &UpstreamId, at_ms: u64) -> Option<u64> {
    let mut said_leaving = false;
    let mut removed: Option<u64> = None;
    for line in logs.of_upstream(upstream) {
        let time_ms = line.time_ms;
        match &line.event {
            Event::UpstreamListed { leaving: true, .. } => {
                said_leaving |= time_ms <= at_ms;
            }
            Event::UpstreamRemoved { .. } if time_ms >= at_ms => {
                let first = removed.is_none_or(|known| time_ms < known);
                removed = if first { Some(time_ms) } else { removed };
            }
            _ => {}
        }
    }
    let after_ms = removed? - at_ms;
    (!said_leaving && after_ms <= REMOVED_WITHIN_MS).then_some(after_ms)
}

/// Times of the answers that an upstream gave to anybody between two moments and a little after.
fn answers_of(logs: &Logs, upstream: &UpstreamId, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let within = from_ms..=to_ms + AROUND_MS;
    let answers = logs.of_upstream(upstream).filter_map(|line| {
        let Event::Request(other) = &line.event else {
            return None;
        };
        within.contains(&line.time_ms).then_some(other.took_ms)
    });
    answers.collect()
}

/// Failure domains that an instance held for evacuated when it wrote a line.
fn evacuated(logs: &Logs, at: &Line) -> Vec<String> {
    let mut domains: Vec<String> = Vec::new();
    for line in logs.of_instance(&at.instance) {
        if line.time_ms > at.time_ms {
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
