//! The verifier checks the rules that every configuration must satisfy, whether it was parsed,
//! edited or built in code.
//!
//! It is independent of the parser, collects every violation and has no locations. A violation
//! names its [`Subject`]; the parser records the location of each subject.

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

/// Section of a configuration: the document itself or one of its lists.
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
    /// Field of the document that contains the list.
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

/// Part of a configuration that a violation refers to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Subject {
    /// Section that contains the part.
    pub section: Section,
    /// Index in the list; `None` for the list itself.
    pub index: Option<usize>,
    /// Field of the entry; empty for the whole entry.
    pub field: &'static str,
}

impl Subject {
    /// A section as a whole.
    pub(crate) fn section(section: Section) -> Self {
        Self {
            section,
            index: None,
            field: "",
        }
    }

    /// An entry of a list, or one of its fields.
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

/// Violation of a rule by a configuration.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Violation {
    /// Part that violates the rule.
    pub subject: Subject,
    /// Description of the violation, on one line.
    pub message: String,
}

impl Violation {
    /// An edit names a class that the configuration doesn't have.
    pub(crate) fn unknown_class<'a>(id: &str, known: impl Iterator<Item = &'a str>) -> Self {
        Self {
            subject: Subject::section(Section::Classes),
            message: unknown_name("class", id, known),
        }
    }
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.message)
    }
}

impl Error for Violation {}

/// Returns all rules that `config` violates, sorted; empty if it is valid.
pub fn verify(config: &Config) -> Vec<Violation> {
    let mut verifier = Verifier {
        config,
        violations: Vec::new(),
    };
    verifier.check_deployment();
    verifier.check_regions();
    verifier.check_services();
    verifier.check_classes();
    verifier.check_caps();
    verifier.check_drains();
    verifier.check_block_rules();
    verifier.violations.sort();
    verifier.violations
}

/// Formats the message about a reference to an unknown name.
fn unknown_name<'a>(kind: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let hint = conf::nearest(name, known)
        .map_or_else(String::new, |name| format!(", did you mean `{name}`?"));
    format!("unknown {kind} `{name}`{hint}")
}

/// State of one run of the verifier.
struct Verifier<'a> {
    /// Configuration to verify.
    config: &'a Config,
    /// Violations found so far.
    violations: Vec<Violation>,
}

impl Verifier<'_> {
    /// Records a violation.
    fn report(&mut self, subject: Subject, message: impl Into<String>) {
        self.violations.push(Violation {
            subject,
            message: message.into(),
        });
    }

    /// Checks the name of the deployment.
    fn check_deployment(&mut self) {
        let subject = Subject {
            section: Section::Document,
            index: None,
            field: "name",
        };
        self.check_name(subject, "name", &self.config.name);
    }

    /// Checks the regions and their failure domains.
    fn check_regions(&mut self) {
        let regions = &self.config.regions;
        self.check_not_empty(Section::Regions, regions.len(), "region");
        self.check_names(
            Section::Regions,
            "region",
            regions.iter().map(|region| &region.id),
        );
        for (index, region) in regions.iter().enumerate() {
            let subject = Subject::entry(Section::Regions, index, "failure_domains");
            if region.failure_domains.is_empty() {
                self.report(subject, "a region needs at least one failure domain");
            }
            for id in &region.failure_domains {
                self.check_name(subject, "failure domain", id);
            }
            self.check_unique(subject, "failure domain", &region.failure_domains);
        }
    }

    /// Checks the services.
    fn check_services(&mut self) {
        let services = &self.config.services;
        self.check_not_empty(Section::Services, services.len(), "service");
        self.check_names(Section::Services, "service", services.iter());
    }

    /// Checks the classes and their targets.
    fn check_classes(&mut self) {
        let config = self.config;
        self.check_not_empty(Section::Classes, config.classes.len(), "class");
        self.check_names(
            Section::Classes,
            "class",
            config.classes.iter().map(|class| &class.id),
        );
        for (index, class) in config.classes.iter().enumerate() {
            let subject = |field| Subject::entry(Section::Classes, index, field);
            if !config.services.contains(&class.service) {
                let known = config.services.iter().map(|id| &**id);
                self.report(
                    subject("service"),
                    unknown_name("service", &class.service, known),
                );
            }
            let latency_ms = class.latency_target.as_millis();
            let deadline_ms = class.deadline.as_millis();
            let latency_range = widen(limits::LATENCY_MS);
            let deadline_range = widen(limits::DEADLINE_MS);
            self.check_range(subject("latency_ms"), latency_ms, latency_range);
            self.check_range(subject("deadline_ms"), deadline_ms, deadline_range);
            self.check_range(
                subject("headroom_pct"),
                class.headroom_pct,
                limits::HEADROOM_PCT,
            );
            self.check_range(subject("priority"), class.priority, limits::PRIORITY);
            self.check_range(
                subject("success_pct"),
                class.success_target_ppm,
                limits::SUCCESS_PPM,
            );
            if deadline_ms < latency_ms {
                self.report(
                    subject("deadline_ms"),
                    format!(
                        "the deadline of {deadline_ms} ms is before the latency target of \
                         {latency_ms} ms"
                    ),
                );
            }
        }
    }

    /// Checks the caps; each ordered pair of regions must have exactly one.
    fn check_caps(&mut self) {
        let config = self.config;
        let mut pairs = BTreeMap::new();
        for (index, cap) in config.caps.iter().enumerate() {
            let subject = |field| Subject::entry(Section::Caps, index, field);
            self.check_region(subject("from"), &cap.from);
            self.check_region(subject("to"), &cap.to);
            self.check_range(subject("bytes_per_s"), cap.bytes_per_s, limits::BYTES_PER_S);
            self.check_range(subject("in_flight"), cap.in_flight, limits::IN_FLIGHT);
            self.check_range(
                subject("growth_per_s"),
                cap.growth_per_s,
                limits::GROWTH_PER_S,
            );
            if cap.from == cap.to {
                let message = format!("a cap from `{}` to itself", cap.from);
                self.report(subject("to"), message);
            }
            if pairs.insert((&cap.from, &cap.to), index).is_some() {
                let message = format!("duplicate cap from `{}` to `{}`", cap.from, cap.to);
                self.report(subject(""), message);
            }
        }
        for from in &config.regions {
            for to in &config.regions {
                if from.id != to.id && !pairs.contains_key(&(&from.id, &to.id)) {
                    let message = format!("no cap from `{}` to `{}`", from.id, to.id);
                    self.report(Subject::section(Section::Caps), message);
                }
            }
        }
    }

    /// Checks that drains refer to known regions and failure domains; upstreams aren't in the
    /// configuration, so only the syntax of their ids is checked.
    fn check_drains(&mut self) {
        let config = self.config;
        let mut seen = BTreeSet::new();
        for (index, drain) in config.drains.iter().enumerate() {
            let subject = Subject::entry(Section::Drains, index, "");
            match &drain.target {
                DrainTarget::Upstream(id) => self.check_name(subject, "upstream", id),
                DrainTarget::Region(region) => self.check_region(subject, region),
                DrainTarget::FailureDomain(region, id) => {
                    self.check_region(subject, region);
                    let domains = config.region(region).map(|region| &region.failure_domains);
                    if let Some(domains) = domains.filter(|domains| !domains.contains(id)) {
                        let known = domains.iter().map(|id| &**id);
                        let message = unknown_name("failure domain", id, known);
                        self.report(subject, format!("{message} (of region `{region}`)"));
                    }
                }
            }
            if !seen.insert(&drain.target) {
                self.report(subject, format!("duplicate drain of `{}`", drain.target));
            }
        }
    }

    /// Checks the client blocks stated in the file.
    fn check_block_rules(&mut self) {
        let mut seen = BTreeSet::new();
        for (index, rule) in self.config.block_rules.iter().enumerate() {
            let regions = Subject::entry(Section::Blocks, index, "regions");
            if rule.regions.is_empty() {
                self.report(regions, "a block needs at least one region");
            }
            for region in &rule.regions {
                self.check_region(regions, region);
            }
            self.check_unique(regions, "region", &rule.regions);
            if !seen.insert(rule.block) {
                let block = Subject::entry(Section::Blocks, index, "block");
                self.report(block, format!("duplicate entry for block `{}`", rule.block));
            }
        }
    }

    /// Checks that a list has at least one entry.
    fn check_not_empty(&mut self, section: Section, len: usize, kind: &str) {
        if len == 0 {
            let message = format!("at least one {kind} is required");
            self.report(Subject::section(section), message);
        }
    }

    /// Checks that the names of a list's entries are valid and unique.
    fn check_names<'a>(
        &mut self,
        section: Section,
        kind: &str,
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
            self.check_name(subject, kind, id);
            if !seen.insert(id) {
                self.report(subject, format!("duplicate {kind} `{id}`"));
            }
        }
    }

    /// Checks the syntax of a name, which stands unescaped in headers, paths, rows and metric
    /// labels.
    fn check_name(&mut self, subject: Subject, kind: &str, id: &str) {
        if !limits::is_name(id) {
            let message = format!(
                "{kind} `{}` is not a valid name; a name has letters, digits, `-`, `_` and `.`, \
                 at most {} in all, and starts with a letter or digit",
                id.escape_default(),
                limits::MAX_NAME_LEN
            );
            self.report(subject, message);
        }
    }

    /// Checks a reference to a region.
    fn check_region(&mut self, subject: Subject, id: &str) {
        if self.config.region(id).is_none() {
            let known = self.config.regions.iter().map(|region| &*region.id);
            self.report(subject, unknown_name("region", id, known));
        }
    }

    /// Checks that the names in one field are unique.
    fn check_unique(&mut self, subject: Subject, kind: &str, ids: &[ByteString]) {
        let mut seen = BTreeSet::new();
        for id in ids {
            if !seen.insert(id) {
                self.report(subject, format!("duplicate {kind} `{id}`"));
            }
        }
    }

    /// Checks that a number is within its range.
    fn check_range<T: Display + PartialOrd>(
        &mut self,
        subject: Subject,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let (min, max) = range.into_inner();
            let message = format!("must be between {min} and {max}, found {value}");
            self.report(subject, message);
        }
    }
}

/// Converts a range of milliseconds to the integer type of `Duration::as_millis`.
fn widen(range: RangeInclusive<u64>) -> RangeInclusive<u128> {
    let (min, max) = range.into_inner();
    min.into()..=max.into()
}
