//! The verifier: everything that must hold of a configuration, whoever built it.
//!
//! It stands apart from the parser, collects every fault and knows no places. A fault names its
//! [`Subject`]; the parser remembers where it read each one.

use crate::{
    limits,
    Config,
    DrainTarget, //
};
use bytestring::ByteString;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    error::Error,
    fmt::{
        self,
        Display, //
    },
    ops::RangeInclusive, //
};

/// List of a configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Section {
    /// The document itself.
    Document,
    /// `regions`.
    Regions,
    /// `services`.
    Services,
    /// `classes`.
    Classes,
    /// `caps`.
    Caps,
    /// `drains`.
    Drains,
    /// `blocks`.
    Blocks,
}

impl Section {
    /// Field of the document that holds the list.
    pub(crate) fn field(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Regions => "regions",
            Self::Services => "services",
            Self::Classes => "classes",
            Self::Caps => "caps",
            Self::Drains => "drains",
            Self::Blocks => "blocks",
        }
    }
}

/// Part of a configuration that a fault is about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Subject {
    /// List that holds the part.
    pub section: Section,
    /// Index in the list, unless the list itself is meant.
    pub index: Option<usize>,
    /// Field of the entry, or empty for the whole.
    pub field: &'static str,
}

impl Subject {
    /// A list as a whole, or a field of the document.
    pub(crate) fn section(section: Section) -> Self {
        Self {
            section,
            index: None,
            field: "",
        }
    }

    /// An entry of a list, or one field of it.
    pub(crate) fn entry(section: Section, index: usize, field: &'static str) -> Self {
        Self {
            section,
            index: Some(index),
            field,
        }
    }
}

impl Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.section.field())?;
        if let Some(index) = self.index {
            write!(f, "[{index}]")?;
        }
        if !self.field.is_empty() {
            write!(f, ".{}", self.field)?;
        }
        Ok(())
    }
}

/// Something that does not hold of a configuration.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// Part that it is about.
    pub subject: Subject,
    /// What does not hold, in one line.
    pub message: String,
}

impl Fault {
    /// A class that an edit names and the configuration lacks.
    pub(crate) fn unknown_class<'a>(id: &str, known: impl Iterator<Item = &'a str>) -> Self {
        Self {
            subject: Subject::section(Section::Classes),
            message: unknown("class", id, known),
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.message)
    }
}

impl Error for Fault {}

/// Collects everything that does not hold of `config`, sorted; empty if all holds.
pub fn verify(config: &Config) -> Vec<Fault> {
    let mut verifier = Verifier {
        config,
        faults: Vec::new(),
    };
    verifier.deployment();
    verifier.regions();
    verifier.services();
    verifier.classes();
    verifier.caps();
    verifier.drains();
    verifier.block_rules();
    verifier.faults.sort();
    verifier.faults
}

/// Message about a name that nothing has.
fn unknown<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let hint = conf::nearest(name, known)
        .map_or_else(String::new, |name| format!(", did you mean `{name}`?"));
    format!("unknown {what} `{name}`{hint}")
}

/// Run of the verifier over one configuration.
struct Verifier<'a> {
    /// What is verified.
    config: &'a Config,
    /// Faults so far.
    faults: Vec<Fault>,
}

impl Verifier<'_> {
    /// Records a fault.
    fn fault(&mut self, subject: Subject, message: impl Into<String>) {
        self.faults.push(Fault {
            subject,
            message: message.into(),
        });
    }

    /// The name of the deployment.
    fn deployment(&mut self) {
        let subject = Subject {
            section: Section::Document,
            index: None,
            field: "name",
        };
        self.name(subject, "name", &self.config.name);
    }

    /// Regions and their failure domains.
    fn regions(&mut self) {
        let regions = &self.config.regions;
        self.not_empty(Section::Regions, regions.len(), "region");
        self.names(
            Section::Regions,
            "region",
            regions.iter().map(|region| &region.id),
        );
        for (index, region) in regions.iter().enumerate() {
            let subject = Subject::entry(Section::Regions, index, "failure_domains");
            if region.failure_domains.is_empty() {
                self.fault(subject, "a region needs at least one failure domain");
            }
            for id in &region.failure_domains {
                self.name(subject, "failure domain", id);
            }
            self.once(subject, "failure domain", &region.failure_domains);
        }
    }

    /// Services.
    fn services(&mut self) {
        let services = &self.config.services;
        self.not_empty(Section::Services, services.len(), "service");
        self.names(Section::Services, "service", services.iter());
    }

    /// Classes and their targets.
    fn classes(&mut self) {
        let config = self.config;
        self.not_empty(Section::Classes, config.classes.len(), "class");
        self.names(
            Section::Classes,
            "class",
            config.classes.iter().map(|class| &class.id),
        );
        for (index, class) in config.classes.iter().enumerate() {
            let subject = |field| Subject::entry(Section::Classes, index, field);
            if !config.services.contains(&class.service) {
                let known = config.services.iter().map(|id| &**id);
                self.fault(
                    subject("service"),
                    unknown("service", &class.service, known),
                );
            }
            let latency_ms = class.latency_target.as_millis();
            let deadline_ms = class.deadline.as_millis();
            let latency_range = wide(limits::LATENCY_MS);
            let deadline_range = wide(limits::DEADLINE_MS);
            self.range(subject("latency_ms"), latency_ms, latency_range);
            self.range(subject("deadline_ms"), deadline_ms, deadline_range);
            self.range(
                subject("headroom_pct"),
                class.headroom_pct,
                limits::HEADROOM_PCT,
            );
            self.range(subject("priority"), class.priority, limits::PRIORITY);
            self.range(
                subject("success_pct"),
                class.success_target_ppm,
                limits::SUCCESS_PPM,
            );
            if deadline_ms < latency_ms {
                self.fault(
                    subject("deadline_ms"),
                    format!(
                        "the deadline of {deadline_ms} ms is before the latency target of \
                         {latency_ms} ms"
                    ),
                );
            }
        }
    }

    /// Caps: each ordered pair of regions has exactly one.
    fn caps(&mut self) {
        let config = self.config;
        let mut pairs = BTreeMap::new();
        for (index, cap) in config.caps.iter().enumerate() {
            let subject = |field| Subject::entry(Section::Caps, index, field);
            self.region(subject("from"), &cap.from);
            self.region(subject("to"), &cap.to);
            self.range(subject("bytes_per_s"), cap.bytes_per_s, limits::BYTES_PER_S);
            self.range(subject("in_flight"), cap.in_flight, limits::IN_FLIGHT);
            self.range(
                subject("growth_per_s"),
                cap.growth_per_s,
                limits::GROWTH_PER_S,
            );
            if cap.from == cap.to {
                let message = format!("a cap of `{}` to itself", cap.from);
                self.fault(subject("to"), message);
            }
            if pairs.insert((&cap.from, &cap.to), index).is_some() {
                let message = format!("second cap from `{}` to `{}`", cap.from, cap.to);
                self.fault(subject(""), message);
            }
        }
        for from in &config.regions {
            for to in &config.regions {
                if from.id != to.id && !pairs.contains_key(&(&from.id, &to.id)) {
                    let message = format!("no cap from `{}` to `{}`", from.id, to.id);
                    self.fault(Subject::section(Section::Caps), message);
                }
            }
        }
    }

    /// Drains of what the configuration names; upstreams it does not name.
    fn drains(&mut self) {
        let config = self.config;
        let mut seen = BTreeSet::new();
        for (index, drain) in config.drains.iter().enumerate() {
            let subject = Subject::entry(Section::Drains, index, "");
            match &drain.target {
                DrainTarget::Upstream(id) => self.name(subject, "upstream", id),
                DrainTarget::Region(region) => self.region(subject, region),
                DrainTarget::FailureDomain(region, id) => {
                    self.region(subject, region);
                    let domains = config.region(region).map(|region| &region.failure_domains);
                    if let Some(domains) = domains.filter(|domains| !domains.contains(id)) {
                        let known = domains.iter().map(|id| &**id);
                        let message = unknown("failure domain", id, known);
                        self.fault(subject, format!("{message} (of region `{region}`)"));
                    }
                }
            }
            if !seen.insert(&drain.target) {
                self.fault(subject, format!("second drain of `{}`", drain.target));
            }
        }
    }

    /// Client blocks of the file.
    fn block_rules(&mut self) {
        let mut seen = BTreeSet::new();
        for (index, rule) in self.config.block_rules.iter().enumerate() {
            let regions = Subject::entry(Section::Blocks, index, "regions");
            if rule.regions.is_empty() {
                self.fault(regions, "a block needs at least one region");
            }
            for region in &rule.regions {
                self.region(regions, region);
            }
            self.once(regions, "region", &rule.regions);
            if !seen.insert(rule.block) {
                let block = Subject::entry(Section::Blocks, index, "block");
                self.fault(block, format!("second entry of block `{}`", rule.block));
            }
        }
    }

    /// A list that needs an entry.
    fn not_empty(&mut self, section: Section, len: usize, what: &str) {
        if len == 0 {
            let message = format!("at least one {what} is needed");
            self.fault(Subject::section(section), message);
        }
    }

    /// Names of a list's entries: well formed, each once.
    fn names<'a>(
        &mut self,
        section: Section,
        what: &str,
        ids: impl Iterator<Item = &'a ByteString>,
    ) {
        let mut seen = BTreeSet::new();
        for (index, id) in ids.enumerate() {
            let field = if section == Section::Services {
                ""
            } else {
                "id"
            };
            let subject = Subject::entry(section, index, field);
            self.name(subject, what, id);
            if !seen.insert(id) {
                self.fault(subject, format!("second {what} `{id}`"));
            }
        }
    }

    /// A name: it goes into headers, paths, rows and metric labels unescaped.
    fn name(&mut self, subject: Subject, what: &str, id: &str) {
        if !limits::is_name(id) {
            let message = format!(
                "{what} `{}` is no name: letters, digits, `-`, `_` and `.`, at most {} of them, \
                 a letter or digit first",
                id.escape_default(),
                limits::NAME_LEN
            );
            self.fault(subject, message);
        }
    }

    /// A reference to a region.
    fn region(&mut self, subject: Subject, id: &str) {
        if self.config.region(id).is_none() {
            let known = self.config.regions.iter().map(|region| &*region.id);
            self.fault(subject, unknown("region", id, known));
        }
    }

    /// Names that must not repeat within one field.
    fn once(&mut self, subject: Subject, what: &str, ids: &[ByteString]) {
        let mut seen = BTreeSet::new();
        for id in ids {
            if !seen.insert(id) {
                self.fault(subject, format!("second {what} `{id}`"));
            }
        }
    }

    /// A number within its range.
    fn range<T: Display + PartialOrd>(
        &mut self,
        subject: Subject,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let (low, high) = range.into_inner();
            let message = format!("must be between {low} and {high}, found {value}");
            self.fault(subject, message);
        }
    }
}

/// Range of milliseconds in the width that durations give.
fn wide(range: RangeInclusive<u64>) -> RangeInclusive<u128> {
    let (low, high) = range.into_inner();
    low.into()..=high.into()
}
