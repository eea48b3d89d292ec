//! The parser reads a configuration from YAML and reports every finding with its location.
//!
//! It checks the format of each field. The rules between fields are checked by the verifier, whose
//! violations are reported at the locations of their subjects. A field that can't be read gets a
//! placeholder value, and violations that follow from placeholders are dropped, since the field has
//! a finding already.

use crate::{
    limits,
    verify::{
        Section,
        Subject, //
    },
    BlockRule,
    Cap,
    Class,
    Config,
    Drain,
    DrainTarget,
    Region, //
};
use bytestring::ByteString;
use conf::{
    Document,
    Field,
    Findings,
    Map,
    SourceLocation, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    ops::RangeInclusive,
    time::Duration, //
};

/// Reads and checks an operators' configuration; `file` is only used as the name in findings.
///
/// # Errors
///
/// All findings in the file: syntax, unknown or repeated fields, units, ranges, references.
pub fn parse(file: &str, text: &str) -> Result<Config, Findings> {
    let document = Document::parse(file, text);
    let mut reader = Reader::default();
    let config = document.map().map(|map| reader.config(map));
    if let Some(config) = &config {
        reader.verify(&document, config);
    }
    document.finish(config.map(Config::canonical))
}

/// State of reading one document.
#[derive(Default)]
struct Reader {
    /// Location of each part that was read.
    locations: BTreeMap<Subject, SourceLocation>,
    /// Parts that could not be read and have a finding.
    failed: BTreeSet<Subject>,
}

/// Entry of a list while its fields are read.
struct Entry<'a, 'r> {
    /// Reader that records locations and failures.
    reader: &'r mut Reader,
    /// List that contains the entry.
    section: Section,
    /// Index in the list.
    index: usize,
    /// Fields of the entry; `None` if it is not a mapping.
    map: Option<Map<'a>>,
}

impl Reader {
    /// Reads the whole document.
    fn config(&mut self, mut map: Map<'_>) -> Config {
        let name = map.required("name");
        let subject = Subject {
            section: Section::Document,
            index: None,
            field: "name",
        };
        Config {
            name: self.value(subject, name, Field::text).unwrap_or_default(),
            regions: self.regions(&mut map),
            services: self.services(&mut map),
            classes: self.classes(&mut map),
            caps: self.caps(&mut map),
            drains: self.drains(&mut map),
            block_rules: self.block_rules(&mut map),
        }
    }

    /// Reads one value and records its location and whether it could be read.
    fn value<'a, T>(
        &mut self,
        subject: Subject,
        field: Field<'a>,
        read: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        self.locations.insert(subject, field.location());
        let value = read(field);
        if value.is_none() {
            self.failed.insert(subject);
        } else {
            // A skipped entry may have used the same index and failed.
            self.failed.remove(&subject);
        }
        value
    }

    /// Returns the entries of a list of the document.
    fn list<'a>(&mut self, map: &mut Map<'a>, section: Section, required: bool) -> Vec<Field<'a>> {
        let subject = Subject::section(section);
        let field = if required {
            map.required(section.field())
        } else {
            map.optional(section.field())
        };
        let absent = field.is_absent();
        let fields = self.value(subject, field, Field::try_list);
        if absent && !required {
            self.failed.remove(&subject);
        }
        fields.unwrap_or_default()
    }

    /// Starts reading an entry, which must be a mapping.
    fn entry<'a>(&mut self, section: Section, index: usize, field: Field<'a>) -> Entry<'a, '_> {
        let subject = Subject::entry(section, index, "");
        let map = self.value(subject, field, Field::map);
        Entry {
            reader: self,
            section,
            index,
            map,
        }
    }

    /// Reads the regions.
    fn regions(&mut self, map: &mut Map<'_>) -> Vec<Region> {
        let fields = self.list(map, Section::Regions, true);
        let read = |(index, field)| {
            let mut entry = self.entry(Section::Regions, index, field);
            Region {
                id: entry.text("id"),
                failure_domains: entry.texts("failure_domains"),
            }
        };
        fields.into_iter().enumerate().map(read).collect()
    }

    /// Reads the services.
    fn services(&mut self, map: &mut Map<'_>) -> Vec<ByteString> {
        let fields = self.list(map, Section::Services, true);
        let read = |(index, field)| {
            let subject = Subject::entry(Section::Services, index, "");
            self.value(subject, field, Field::text).unwrap_or_default()
        };
        fields.into_iter().enumerate().map(read).collect()
    }

    /// Reads the classes.
    fn classes(&mut self, map: &mut Map<'_>) -> Vec<Class> {
        let fields = self.list(map, Section::Classes, true);
        let read = |(index, field)| {
            let mut entry = self.entry(Section::Classes, index, field);
            Class {
                id: entry.text("id"),
                service: entry.text("service"),
                idempotent: entry.boolean("idempotent"),
                priority: entry.integer("priority", limits::PRIORITY, ""),
                latency_target: entry.duration_ms("latency_ms", limits::LATENCY_MS),
                headroom_pct: entry.integer("headroom_pct", limits::HEADROOM_PCT, "percent"),
                deadline: entry.duration_ms("deadline_ms", limits::DEADLINE_MS),
                success_target_ppm: entry.percent_ppm("success_pct", limits::SUCCESS_PPM),
            }
        };
        fields.into_iter().enumerate().map(read).collect()
    }

    /// Reads the caps.
    fn caps(&mut self, map: &mut Map<'_>) -> Vec<Cap> {
        let fields = self.list(map, Section::Caps, false);
        let read = |(index, field)| {
            let mut entry = self.entry(Section::Caps, index, field);
            Cap {
                from: entry.text("from"),
                to: entry.text("to"),
                bytes_per_s: entry.integer("bytes_per_s", limits::BYTES_PER_S, "bytes/s"),
                in_flight: entry.integer("in_flight", limits::IN_FLIGHT, "requests"),
                growth_per_s: entry.integer("growth_per_s", limits::GROWTH_PER_S, "requests/s"),
            }
        };
        fields.into_iter().enumerate().map(read).collect()
    }

    /// Reads the drains and skips those that can't be read.
    fn drains(&mut self, map: &mut Map<'_>) -> Vec<Drain> {
        let fields = self.list(map, Section::Drains, false);
        let mut drains = Vec::new();
        for field in fields {
            let subject = Subject::entry(Section::Drains, drains.len(), "");
            let expected = "`upstream:ID`, `failure-domain:REGION/ID` or `region:ID`";
            let target = self.value(subject, field, |field| field.parse::<DrainTarget>(expected));
            drains.extend(target.map(|target| Drain { target }));
        }
        drains
    }

    /// Reads the client blocks and skips those whose block can't be read.
    fn block_rules(&mut self, map: &mut Map<'_>) -> Vec<BlockRule> {
        let fields = self.list(map, Section::Blocks, false);
        let mut rules = Vec::new();
        for field in fields {
            let mut entry = self.entry(Section::Blocks, rules.len(), field);
            let block = entry.value("block", |field| {
                field.parse("a block such as 10.1.0.0/16 without bits after the prefix")
            });
            let regions = entry.texts("regions");
            rules.extend(block.map(|block| BlockRule { block, regions }));
        }
        rules
    }

    /// Reports the verifier's violations at the locations of their subjects.
    fn verify(&self, document: &Document, config: &Config) {
        let document_location = document.root().location();
        for violation in crate::verify(config) {
            if !self.follows_from_placeholder(violation.subject) {
                let location = self
                    .locations
                    .get(&violation.subject)
                    .unwrap_or(&document_location);
                document.report(location.clone(), violation.message);
            }
        }
    }

    /// Whether a violation at `subject` may merely follow from a placeholder value.
    ///
    /// If a name can't be read, every reference to it would be reported as unknown, and a cap whose
    /// regions can't be read would be reported as missing. Such findings disappear once the first
    /// one is corrected.
    fn follows_from_placeholder(&self, subject: Subject) -> bool {
        let names_failed = |section| {
            self.failed.iter().any(|failed| {
                let names = ["", "id", "failure_domains", "from", "to"];
                failed.section == section && names.contains(&failed.field)
            })
        };
        let subject_failed = self.failed.iter().any(|failed| {
            let same_entry = (failed.section, failed.index) == (subject.section, subject.index);
            same_entry
                && (failed.field == subject.field
                    || failed.field.is_empty()
                    || subject.field.is_empty())
        });
        let reference_failed = match (subject.section, subject.field) {
            (Section::Caps, _) if subject.index.is_none() => {
                names_failed(Section::Regions) || names_failed(Section::Caps)
            }
            (Section::Caps | Section::Drains | Section::Blocks, _) => {
                names_failed(Section::Regions)
            }
            (Section::Classes, "service") => names_failed(Section::Services),
            _ => false,
        };
        subject_failed || reference_failed
    }
}

impl<'a> Entry<'a, '_> {
    /// Reads a required field.
    fn value<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        let field = self.map.as_mut()?.required(name);
        let subject = Subject::entry(self.section, self.index, name);
        self.reader.value(subject, field, read)
    }

    /// Reads a string.
    fn text(&mut self, name: &'static str) -> ByteString {
        self.value(name, Field::text).unwrap_or_default()
    }

    /// Reads a list of strings.
    fn texts(&mut self, name: &'static str) -> Vec<ByteString> {
        let read = |field: Field<'a>| {
            let items: Vec<_> = field.try_list()?.into_iter().map(Field::text).collect();
            items.into_iter().collect()
        };
        self.value(name, read).unwrap_or_default()
    }

    /// Reads a boolean.
    fn boolean(&mut self, name: &'static str) -> bool {
        self.value(name, Field::boolean).unwrap_or_default()
    }

    /// Reads an integer; the placeholder is the minimum of the range.
    fn integer<T>(&mut self, name: &'static str, range: RangeInclusive<T>, unit: &str) -> T
    where
        T: Copy + std::fmt::Display + PartialOrd + TryFrom<i128>,
    {
        let min = *range.start();
        self.value(name, |field| field.integer(range, unit))
            .unwrap_or(min)
    }

    /// Reads a duration in milliseconds; the placeholder is the minimum of the range.
    fn duration_ms(&mut self, name: &'static str, range_ms: RangeInclusive<u64>) -> Duration {
        let min = Duration::from_millis(*range_ms.start());
        self.value(name, |field| field.duration_ms(range_ms))
            .unwrap_or(min)
    }

    /// Reads a percentage as parts per million; the placeholder is the minimum of the range.
    fn percent_ppm(&mut self, name: &'static str, range_ppm: RangeInclusive<u32>) -> u32 {
        let min = *range_ppm.start();
        self.value(name, |field| field.percent_ppm(range_ppm))
            .unwrap_or(min)
    }
}
