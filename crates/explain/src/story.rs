//! The lines about one request, with their surroundings.

use crate::{
    cause::{
        find_cause,
        Cause, //
    },
    logs::{
        end_of,
        Logs,
        Placed, //
    },
    text::text_of,
};
use base::UpstreamId;
use event::{
    Event,
    Line, //
};
use serde::Serialize;
use std::fmt;

/// How long before its end a request's surroundings begin.
const BEFORE_MS: u64 = 10_000;
/// How long after its end they go on: the store notices a lost upstream some seconds later.
const AFTER_MS: u64 = 6_000;
/// Surroundings that are told; of more, the nearest to the end.
const SURROUNDINGS: usize = 12;

/// One line as people read it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// File and line.
    pub place: String,
    /// Time of day, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The instance that wrote it.
    pub instance: String,
    /// What happened.
    pub text: String,
}

/// The story of one request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Story {
    /// Its id.
    pub id: String,
    /// Its own lines, in order.
    pub steps: Vec<Step>,
    /// What its entries believed meanwhile, and what changed that.
    pub surroundings: Vec<Step>,
    /// The likely cause.
    pub cause: Cause,
    /// Lines about requests that were never written.
    pub missing_lines: u64,
}

impl Story {
    pub(crate) fn new(logs: &Logs, id: &str, lines: &[&Placed]) -> Self {
        let mut own = lines.to_vec();
        own.sort_by_key(|placed| (placed.line.time_ms, placed.file, placed.number));
        let cause = find_cause(logs, &own);
        Self {
            id: id.to_owned(),
            steps: own.iter().map(|placed| step(logs, placed)).collect(),
            surroundings: surroundings(logs, &own),
            cause,
            missing_lines: logs.missing_lines(),
        }
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        let begin = self.steps.first().map_or(0, |step| step.time_ms);
        for step in &self.steps {
            write_step(f, step, begin)?;
        }
        if !self.surroundings.is_empty() {
            writeln!(f, "meanwhile")?;
        }
        for step in &self.surroundings {
            write_step(f, step, begin)?;
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

fn write_step(f: &mut fmt::Formatter<'_>, step: &Step, begin_ms: u64) -> fmt::Result {
    let since_ms = step.time_ms as i64 - begin_ms as i64;
    writeln!(
        f,
        "  {since_ms:>+7} ms  {}  {}  ({})",
        step.instance, step.text, step.place
    )
}

/// No line has the id that was asked for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Unknown {
    /// The id.
    pub id: String,
    /// Instances whose lines were read.
    pub instances: Vec<String>,
    /// Instances that started anew without a planned stop: requests that they had then have no line.
    pub ended_unplanned: Vec<String>,
    /// Lines about requests that were never written.
    pub missing_lines: u64,
}

impl Unknown {
    pub(crate) fn new(logs: &Logs, id: &str) -> Self {
        let mut instances: Vec<String> = Vec::new();
        let mut running: Vec<&str> = Vec::new();
        let mut ended_unplanned: Vec<String> = Vec::new();
        for placed in logs.lines() {
            let instance = placed.line.instance.as_str();
            if !instances.iter().any(|known| known == instance) {
                instances.push(instance.to_owned());
            }
            match placed.line.event {
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

impl fmt::Display for Unknown {
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

/// Changes of belief around a request that may have to do with it.
fn surroundings(logs: &Logs, own: &[&Placed]) -> Vec<Step> {
    let Some(last) = own.last() else {
        return Vec::new();
    };
    let end_ms = last.line.time_ms;
    let range = end_ms.saturating_sub(BEFORE_MS)..=end_ms + AFTER_MS;
    let upstreams: Vec<&UpstreamId> = own
        .iter()
        .filter_map(|p| upstream_of(&p.line.event))
        .collect();
    let service = end_of(own).and_then(|(_, ended)| ended.service.as_deref());
    let mut near: Vec<&Placed> = logs
        .lines()
        .iter()
        .filter(|placed| range.contains(&placed.line.time_ms))
        .filter(|placed| {
            let entry = own
                .iter()
                .any(|own| own.line.instance == placed.line.instance);
            entry && concerns(&placed.line.event, &upstreams, service)
        })
        .collect();
    near.sort_by_key(|placed| placed.line.time_ms.abs_diff(end_ms));
    near.truncate(SURROUNDINGS);
    near.sort_by_key(|placed| (placed.line.time_ms, placed.file, placed.number));
    near.into_iter().map(|placed| step(logs, placed)).collect()
}

/// Whether an event changes what an entry believes of these upstreams, or of everything.
fn concerns(event: &Event, upstreams: &[&UpstreamId], service: Option<&str>) -> bool {
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
        | Event::UpstreamClosed { upstream, .. } => upstreams.contains(&upstream),
        Event::ColdLeases {
            upstreams: claimed, ..
        } => claimed.iter().any(|one| upstreams.contains(&one)),
        Event::RetriesSpent { service: of } => service == Some(&**of),
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

fn upstream_of(event: &Event) -> Option<&UpstreamId> {
    match event {
        Event::Request(ended) => ended.sent.as_ref().map(|sent| &sent.upstream),
        Event::SendFailed(failed) => Some(&failed.sent.upstream),
        Event::AnswerCut { upstream, .. } => Some(upstream),
        _ => None,
    }
}

fn step(logs: &Logs, placed: &Placed) -> Step {
    let Line {
        time_ms,
        instance,
        event,
        ..
    } = &placed.line;
    Step {
        place: format!("{}:{}", logs.file(placed.file), placed.number),
        time_ms: *time_ms,
        instance: instance.clone(),
        text: text_of(event),
    }
}
