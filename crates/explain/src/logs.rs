//! The lines of any number of processes.

use crate::{
    cause::find_cause,
    fault::Fault,
    story::{
        Story,
        Unknown, //
    },
    summary::Summary,
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

/// Unreadable lines that are kept with their place; further ones are counted.
const UNREADABLE_KEPT: usize = 20;

/// A line and where it stands.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Number of its file, in the order in which they were added.
    pub file: usize,
    /// Number of the line in it, from one.
    pub number: usize,
    /// The line.
    pub line: Line,
}

/// A line that holds no event.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Unreadable {
    /// File and line.
    pub place: String,
    /// Why.
    pub error: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.error)
    }
}

/// Lines of any number of processes.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    files: Vec<String>,
    lines: Vec<Placed>,
    /// Places of the lines that bear on an upstream's life: its answers, its leaving and its removal.
    of_upstream: FastMap<UpstreamId, Vec<usize>>,
    /// Places of the lines in which an instance tells of itself, the store and evacuations.
    of_instance: FastMap<String, Vec<usize>>,
    unreadable: Vec<Unreadable>,
    unreadable_count: usize,
}

impl Logs {
    /// Adds the text of one file; several processes may have written to it.
    pub fn add(&mut self, file: &str, text: &str) {
        let place = self.files.len();
        self.files.push(file.to_owned());
        for (before, text) in text.lines().enumerate() {
            let number = before + 1;
            match Line::parse(text) {
                None => {}
                Some(Ok(line)) => {
                    self.index(&line);
                    self.lines.push(Placed {
                        file: place,
                        number,
                        line,
                    });
                }
                Some(Err(error)) => self.note_unreadable(file, number, error.to_string()),
            }
        }
    }

    /// Notes where a line will stand, for those that causes are looked for in again and again.
    fn index(&mut self, line: &Line) {
        let place = self.lines.len();
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
            let places = self.of_upstream.entry(upstream.clone()).or_default();
            places.push(place);
        }
        if matches!(
            line.event,
            Event::Started { .. } | Event::Evacuation { .. } | Event::StoreLost { .. }
        ) {
            let places = self.of_instance.entry(line.instance.clone()).or_default();
            places.push(place);
        }
    }

    /// Lines that bear on an upstream's life.
    pub(crate) fn of_upstream(&self, upstream: &str) -> impl Iterator<Item = &Line> {
        self.at(self.of_upstream.get(upstream))
    }

    /// Lines in which an instance tells of itself, the store and evacuations.
    pub(crate) fn of_instance(&self, instance: &str) -> impl Iterator<Item = &Line> {
        self.at(self.of_instance.get(instance))
    }

    fn at<'a>(&'a self, places: Option<&'a Vec<usize>>) -> impl Iterator<Item = &'a Line> {
        let places = places.into_iter().flatten();
        places.map(|place| &self.lines[*place].line)
    }

    fn note_unreadable(&mut self, file: &str, number: usize, error: String) {
        self.unreadable_count += 1;
        if self.unreadable.len() < UNREADABLE_KEPT {
            let place = format!("{file}:{number}");
            self.unreadable.push(Unreadable { place, error });
        }
    }

    /// Lines that could be read.
    pub fn lines(&self) -> &[Placed] {
        &self.lines
    }

    /// Name of a file.
    pub fn file(&self, place: usize) -> &str {
        self.files.get(place).map_or("?", String::as_str)
    }

    /// The first lines that could not be read, and how many there are.
    pub fn unreadable(&self) -> (&[Unreadable], usize) {
        (&self.unreadable, self.unreadable_count)
    }

    /// Lines about requests that were never written.
    pub fn missing_lines(&self) -> u64 {
        let missing = self.lines.iter().map(|placed| match placed.line.event {
            Event::LinesLeftOut { lines } | Event::LinesDropped { lines, .. } => lines,
            _ => 0,
        });
        missing.sum()
    }

    /// Region of an instance, as it said at its start.
    pub(crate) fn region(&self, instance: &str) -> Option<&RegionId> {
        self.location(instance).map(|(region, _)| region)
    }

    /// Region and failure domain of an instance, as it said at its start.
    pub(crate) fn location(&self, instance: &str) -> Option<(&RegionId, &DomainId)> {
        self.of_instance(instance)
            .find_map(|line| match &line.event {
                Event::Started {
                    region,
                    failure_domain,
                    ..
                } => Some((region, failure_domain)),
                _ => None,
            })
    }

    /// The story of one request.
    ///
    /// # Errors
    ///
    /// No line has its id; with what is known of lines that are missing.
    pub fn story(&self, id: &str) -> Result<Story, Unknown> {
        let own = |placed: &&Placed| placed.line.event.request_id() == Some(id);
        let lines: Vec<&Placed> = self.lines.iter().filter(own).collect();
        if lines.is_empty() {
            return Err(Unknown::new(self, id));
        }
        Ok(Story::new(self, id, &lines))
    }

    /// Requests that failed, by fault: how many, and the id of the first.
    pub fn failures(&self) -> BTreeMap<Fault, (usize, String)> {
        let mut failures = BTreeMap::new();
        for (_, ended, fault) in self.ends().filter(|(_, _, fault)| fault.is_failure()) {
            let first = || (0, ended.id.clone());
            failures.entry(fault).or_insert_with(first).0 += 1;
        }
        failures
    }

    /// How requests ended, counted by what they have in common.
    pub fn summary(&self) -> Summary {
        Summary::new(self)
    }

    /// The end of each request and what went wrong with it.
    pub(crate) fn ends(&self) -> impl Iterator<Item = (&Line, &RequestEnded, Fault)> {
        let mut sends: FastMap<&str, Vec<&Placed>> = FastMap::default();
        for placed in &self.lines {
            if let (Some(id), false) = (placed.line.event.request_id(), is_end(&placed.line.event))
            {
                sends.entry(id).or_default().push(placed);
            }
        }
        self.lines.iter().filter_map(move |placed| {
            let Event::Request(ended) = &placed.line.event else {
                return None;
            };
            let mut lines = sends.get(ended.id.as_str()).cloned().unwrap_or_default();
            lines.push(placed);
            let fault = find_cause(self, &lines).fault;
            Some((&placed.line, ended.as_ref(), fault))
        })
    }
}

fn is_end(event: &Event) -> bool {
    matches!(event, Event::Request(_))
}

/// The end of a request among its lines.
pub(crate) fn end_of<'a>(lines: &[&'a Placed]) -> Option<(&'a Line, &'a RequestEnded)> {
    lines
        .iter()
        .rev()
        .find_map(|placed| match &placed.line.event {
            Event::Request(ended) => Some((&placed.line, ended.as_ref())),
            _ => None,
        })
}
