//! Parsed log lines of any number of processes, indexed by upstream and instance.

use crate::{
    cause::find_cause,
    fault::Fault,
    summary::Summary,
    trace::{
        RequestTrace,
        UnknownRequest, //
    },
};
use base::{
    DomainId,
    FastMap,
    RegionId,
    UpstreamId, //
};
use event::{
    Event,
    Line,
    Outcome,
    RequestEnded, //
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt, //
};

/// Number of unreadable lines that are kept with their position; further ones are only counted.
const MAX_UNREADABLE_KEPT: usize = 20;

/// A line and its position in the logs.
#[derive(Clone, Debug)]
pub struct LocatedLine {
    /// Index of its file, in the order in which files were added.
    pub file: usize,
    /// Number of the line in its file, from one.
    pub number: usize,
    /// The parsed line.
    pub line: Line,
}

/// A line that could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UnreadableLine {
    /// File and line.
    pub place: String,
    /// Reason why it could not be parsed.
    pub error: String,
}

impl fmt::Display for UnreadableLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.error)
    }
}

/// Lines of any number of processes, with indexes for finding causes.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    files: Vec<String>,
    lines: Vec<LocatedLine>,
    /// Indexes of the lines about an upstream's state: its responses, its listing and its removal.
    upstream_lines: FastMap<UpstreamId, Vec<usize>>,
    /// Indexes of the lines about an instance's start, its losses of the store and evacuations.
    instance_lines: FastMap<String, Vec<usize>>,
    unreadable: Vec<UnreadableLine>,
    unreadable_count: usize,
}

impl Logs {
    /// Adds the text of one file; several processes may have written to it.
    pub fn add(&mut self, file: &str, text: &str) {
        let file_index = self.files.len();
        self.files.push(file.to_owned());
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            match Line::parse(text) {
                None => {}
                Some(Ok(line)) => {
                    self.index_line(&line);
                    self.lines.push(LocatedLine {
                        file: file_index,
                        number,
                        line,
                    });
                }
                Some(Err(error)) => self.record_unreadable(file, number, error.to_string()),
            }
        }
    }

    /// Adds the next line to the indexes, if the search for causes reads lines of its kind often.
    fn index_line(&mut self, line: &Line) {
        let position = self.lines.len();
        let upstream = match &line.event {
            Event::Request(ended) if ended.outcome == Outcome::Answered => {
                ended.sent.as_ref().map(|sent| &sent.upstream)
            }
            Event::UpstreamListed { upstream, .. } | Event::UpstreamRemoved { upstream, .. } => {
                Some(upstream)
            }
            _ => None,
        };
        if let Some(upstream) = upstream {
            let positions = self.upstream_lines.entry(upstream.clone()).or_default();
            positions.push(position);
        }
        if matches!(
            line.event,
            Event::Started { .. } | Event::Evacuation { .. } | Event::StoreLost { .. }
        ) {
            let positions = self
                .instance_lines
                .entry(line.instance.clone())
                .or_default();
            positions.push(position);
        }
    }

    /// Lines about an upstream's state: its responses, its listing and its removal.
    pub(crate) fn upstream_lines(&self, upstream: &str) -> impl Iterator<Item = &Line> {
        self.lines_at(self.upstream_lines.get(upstream))
    }

    /// Lines about an instance's start, its losses of the store and evacuations.
    pub(crate) fn instance_lines(&self, instance: &str) -> impl Iterator<Item = &Line> {
        self.lines_at(self.instance_lines.get(instance))
    }

    fn lines_at<'a>(&'a self, positions: Option<&'a Vec<usize>>) -> impl Iterator<Item = &'a Line> {
        let positions = positions.into_iter().flatten();
        positions.map(|position| &self.lines[*position].line)
    }

    fn record_unreadable(&mut self, file: &str, number: usize, error: String) {
        self.unreadable_count += 1;
        if self.unreadable.len() < MAX_UNREADABLE_KEPT {
            let place = format!("{file}:{number}");
            self.unreadable.push(UnreadableLine { place, error });
        }
    }

    /// Lines that could be parsed.
    pub fn lines(&self) -> &[LocatedLine] {
        &self.lines
    }

    /// Name of a file by its index.
    pub fn file_name(&self, file_index: usize) -> &str {
        self.files.get(file_index).map_or("?", String::as_str)
    }

    /// The first lines that could not be parsed, and the number of all such lines.
    pub fn unreadable(&self) -> (&[UnreadableLine], usize) {
        (&self.unreadable, self.unreadable_count)
    }

    /// Number of lines about requests that the processes did not write.
    pub fn missing_lines(&self) -> u64 {
        let line_counts = self.lines.iter().map(|located| match located.line.event {
            Event::LinesLeftOut { lines } | Event::LinesDropped { lines, .. } => lines,
            _ => 0,
        });
        line_counts.sum()
    }

    /// Region of an instance, from the line of its start.
    pub(crate) fn region(&self, instance: &str) -> Option<&RegionId> {
        self.location(instance).map(|(region, _)| region)
    }

    /// Region and failure domain of an instance, from the line of its start.
    pub(crate) fn location(&self, instance: &str) -> Option<(&RegionId, &DomainId)> {
        self.instance_lines(instance)
            .find_map(|line| match &line.event {
                Event::Started {
                    region,
                    failure_domain,
                    ..
                } => Some((region, failure_domain)),
                _ => None,
            })
    }

    /// Returns the trace of one request.
    ///
    /// # Errors
    ///
    /// No line has this id. The error lists what is known of missing lines.
    pub fn trace(&self, id: &str) -> Result<RequestTrace, UnknownRequest> {
        let has_id = |located: &&LocatedLine| located.line.event.request_id() == Some(id);
        let lines: Vec<&LocatedLine> = self.lines.iter().filter(has_id).collect();
        if lines.is_empty() {
            return Err(UnknownRequest::new(self, id));
        }
        Ok(RequestTrace::new(self, id, &lines))
    }

    /// Requests that failed, by fault: their number, and the id of the first.
    pub fn failures(&self) -> BTreeMap<Fault, (usize, String)> {
        let mut failures = BTreeMap::new();
        for (_, ended, fault) in self
            .ended_requests()
            .filter(|(_, _, fault)| fault.is_failure())
        {
            let first = || (0, ended.id.clone());
            failures.entry(fault).or_insert_with(first).0 += 1;
        }
        failures
    }

    /// Counts the outcomes of all requests by several groupings.
    pub fn summary(&self) -> Summary {
        Summary::new(self)
    }

    /// Returns the end of each request with its fault.
    pub(crate) fn ended_requests(&self) -> impl Iterator<Item = (&Line, &RequestEnded, Fault)> {
        let mut preceding: FastMap<&str, Vec<&LocatedLine>> = FastMap::default();
        for located in &self.lines {
            if let (Some(id), false) = (
                located.line.event.request_id(),
                is_request_end(&located.line.event),
            ) {
                preceding.entry(id).or_default().push(located);
            }
        }
        self.lines.iter().filter_map(move |located| {
            let Event::Request(ended) = &located.line.event else {
                return None;
            };
            let mut lines = preceding
                .get(ended.id.as_str())
                .cloned()
                .unwrap_or_default();
            lines.push(located);
            let fault = find_cause(self, &lines).fault;
            Some((&located.line, ended.as_ref(), fault))
        })
    }
}

fn is_request_end(event: &Event) -> bool {
    matches!(event, Event::Request(_))
}

/// Finds the end of a request among its lines.
pub(crate) fn request_end<'a>(lines: &[&'a LocatedLine]) -> Option<(&'a Line, &'a RequestEnded)> {
    lines
        .iter()
        .rev()
        .find_map(|located| match &located.line.event {
            Event::Request(ended) => Some((&located.line, ended.as_ref())),
            _ => None,
        })
}
