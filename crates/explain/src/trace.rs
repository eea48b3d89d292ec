//! Traces of single requests: their lines in order, and the events around them.

use crate::{
    cause::{
        find_cause,
        Cause, //
    },
    logs::{
        request_end,
        LocatedLine, //
        Logs,
    },
    text::describe,
};
use base::UpstreamId;
use event::{
    Event,
    Line, //
};
use serde::Serialize;
use std::fmt;

/// Time before a request's end at which its surroundings begin.
const BEFORE_END_MS: u64 = 10_000;
/// Time after a request's end at which its surroundings end. The store notices a lost upstream only after
/// some seconds.
const AFTER_END_MS: u64 = 6_000;
/// Maximum number of surrounding events; if there are more, those closest to the end are kept.
const MAX_SURROUNDINGS: usize = 12;

/// One event of a trace in readable form.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// File and line number.
    pub place: String,
    /// Time of day, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Instance that wrote the line.
    pub instance: String,
    /// Description of the event.
    pub text: String,
}

/// Trace of one request, with the likely cause of its failure.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Id of the request.
    pub id: String,
    /// Lines about the request, in order.
    pub steps: Vec<Step>,
    /// Changes of its entries' view around the request.
    pub surroundings: Vec<Step>,
    /// The likely cause.
    pub cause: Cause,
    /// Number of lines about requests that the processes did not write.
    pub missing_lines: u64,
}

impl RequestTrace {
    pub(crate) fn new(logs: &Logs, id: &str, lines: &[&LocatedLine]) -> Self {
        let mut request_lines = lines.to_vec();
        request_lines.sort_by_key(|located| (located.line.time_ms, located.file, located.number));
        let cause = find_cause(logs, &request_lines);
        Self {
            id: id.to_owned(),
            steps: request_lines
                .iter()
                .map(|located| to_step(logs, located))
                .collect(),
            surroundings: surroundings(logs, &request_lines),
            cause,
            missing_lines: logs.missing_lines(),
        }
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        let start_ms = self.steps.first().map_or(0, |step| step.time_ms);
        for step in &self.steps {
            write_step(f, step, start_ms)?;
        }
        if !self.surroundings.is_empty() {
            writeln!(f, "meanwhile")?;
        }
        for step in &self.surroundings {
            write_step(f, step, start_ms)?;
        }
        write!(f, "likely cause: {}", self.cause.fault)?;
        for evidence in &self.cause.evidence {
            write!(f, "\n  - {evidence}")?;
        }
        if self.missing_lines > 0 {
            write!(
                f,
                "\n{} lines about requests are missing from these logs",
                self.missing_lines
            )?;
        }
        Ok(())
    }
}

fn write_step(f: &mut fmt::Formatter<'_>, step: &Step, start_ms: u64) -> fmt::Result {
    let since_ms = step.time_ms as i64 - start_ms as i64;
    writeln!(
        f,
        "  {since_ms:>+7} ms  {}  {}  ({})",
        step.instance, step.text, step.place
    )
}

/// Error: no line has the requested id.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UnknownRequest {
    /// The requested id.
    pub id: String,
    /// Instances with lines in the logs.
    pub instances: Vec<String>,
    /// Instances that restarted without a planned stop. Requests in flight at that time may have no line.
    pub ended_unplanned: Vec<String>,
    /// Number of lines about requests that the processes did not write.
    pub missing_lines: u64,
}

impl UnknownRequest {
    pub(crate) fn new(logs: &Logs, id: &str) -> Self {
        let mut instances: Vec<String> = Vec::new();
        let mut running: Vec<&str> = Vec::new();
        let mut ended_unplanned: Vec<String> = Vec::new();
        for located in logs.lines() {
            let instance = located.line.instance.as_str();
            if !instances.iter().any(|known| known == instance) {
                instances.push(instance.to_owned());
            }
            match located.line.event {
                Event::Started { .. } if running.contains(&instance) => {
                    ended_unplanned.push(instance.to_owned());
                }
                Event::Started { .. } => running.push(instance),
                Event::Stopped { .. } => running.retain(|known| *known != instance),
                _ => {}
            }
        }
        instances.sort();
        ended_unplanned.sort();
        ended_unplanned.dedup();
        Self {
            id: id.to_owned(),
            instances,
            ended_unplanned,
            missing_lines: logs.missing_lines(),
        }
    }
}

impl fmt::Display for UnknownRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no line has the id {}", self.id)?;
        if self.instances.is_empty() {
            return write!(f, ": these files hold no lines of an entry");
        }
        write!(f, "; lines were read of {}", self.instances.join(", "))?;
        if !self.ended_unplanned.is_empty() {
            let names = self.ended_unplanned.join(", ");
            write!(
                f,
                "\n{names} ended without a planned stop: what they had then has no line"
            )?;
        }
        if self.missing_lines > 0 {
            write!(
                f,
                "\n{} lines about requests were not written",
                self.missing_lines
            )?;
        }
        write!(f, "\nelse it never reached an entry whose log is here")
    }
}

/// Collects changes of the entries' view around a request that may be related to it.
fn surroundings(logs: &Logs, request_lines: &[&LocatedLine]) -> Vec<Step> {
    let Some(last) = request_lines.last() else {
        return Vec::new();
    };
    let end_ms = last.line.time_ms;
    let range = end_ms.saturating_sub(BEFORE_END_MS)..=end_ms + AFTER_END_MS;
    let upstreams: Vec<&UpstreamId> = request_lines
        .iter()
        .filter_map(|located| target_upstream(&located.line.event))
        .collect();
    let service = request_end(request_lines).and_then(|(_, ended)| ended.service.as_deref());
    let mut nearby: Vec<&LocatedLine> = logs
        .lines()
        .iter()
        .filter(|located| range.contains(&located.line.time_ms))
        .filter(|located| {
            let same_entry = request_lines
                .iter()
                .any(|request_line| request_line.line.instance == located.line.instance);
            same_entry && is_relevant(&located.line.event, &upstreams, service)
        })
        .collect();
    nearby.sort_by_key(|located| located.line.time_ms.abs_diff(end_ms));
    nearby.truncate(MAX_SURROUNDINGS);
    nearby.sort_by_key(|located| (located.line.time_ms, located.file, located.number));
    nearby
        .into_iter()
        .map(|located| to_step(logs, located))
        .collect()
}

/// Whether an event changes an entry's view of these upstreams or this service, or concerns the whole entry.
fn is_relevant(event: &Event, upstreams: &[&UpstreamId], service: Option<&str>) -> bool {
    match event {
        Event::UpstreamListed {
            upstream,
            leaving,
            cold_left_ms,
            ..
        } => upstreams.contains(&upstream) && (*leaving || *cold_left_ms > 0),
        Event::UpstreamRemoved { upstream, .. }
        | Event::UpstreamPassedOver { upstream, .. }
        | Event::UpstreamBack { upstream, .. }
        | Event::UpstreamPaused { upstream, .. }
        | Event::UpstreamLeaving { upstream, .. }
        | Event::UpstreamClosed { upstream, .. } => upstreams.contains(&upstream),
        Event::ColdLeases {
            upstreams: claimed, ..
        } => claimed.iter().any(|upstream| upstreams.contains(&upstream)),
        Event::RetriesSpent { service: spent } => service == Some(&**spent),
        Event::Request(_)
        | Event::SendFailed(_)
        | Event::AnswerCut { .. }
        | Event::RequestNotRead { .. }
        | Event::EntryConnected { .. }
        | Event::UpstreamsHeard { .. }
        | Event::ColdLeasesRemoved { .. }
        | Event::TableRead { .. } => false,
        _ => true,
    }
}

fn target_upstream(event: &Event) -> Option<&UpstreamId> {
    match event {
        Event::Request(ended) => ended.sent.as_ref().map(|sent| &sent.upstream),
        Event::SendFailed(failed) => Some(&failed.sent.upstream),
        Event::AnswerCut { upstream, .. } => Some(upstream),
        _ => None,
    }
}

fn to_step(logs: &Logs, located: &LocatedLine) -> Step {
    let Line {
        time_ms,
        instance,
        event,
        ..
    } = &located.line;
    Step {
        place: format!("{}:{}", logs.file_name(located.file), located.number),
        time_ms: *time_ms,
        instance: instance.clone(),
        text: describe(event),
    }
}
