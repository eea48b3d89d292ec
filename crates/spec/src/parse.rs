//! The parser: YAML to a configuration, with every finding at its place.
//!
//! What a field must look like is checked here; what must hold between fields is the verifier's,
//! whose faults are brought back to places. A field that could not be read gets a stand-in value,
//! and faults about stand-ins are dropped: their finding is there already.

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

/// Reads and checks an operators' configuration; `file` only names it in findings.
///
/// # Errors
///
/// Every finding of the file: syntax, unknown or repeated fields, units, ranges, references.
pub fn parse(file: &str, text: &str) -> Result<Config, Findings> {
    let document = Document::parse(file, text);
    let mut reader = Reader::default();
    let config = document.map().map(|map| reader.config(map));
    if let Some(config) = &config {
        reader.verify(&document, config);
    }
    document.finish(config.map(Config::canonical))
}

/// Reading of one document.
#[derive(Default)]
struct Reader {
    /// Where each part was read.
    places: BTreeMap<Subject, SourceLocation>,
    /// Parts that have a finding already.
    failed: BTreeSet<Subject>,
}

/// One entry of a list while its fields are read.
struct Entry<'a, 'r> {
    /// Reader that remembers places.
    reader: &'r mut Reader,
    /// List and index.
    section: Section,
    /// Index in the list.
    index: usize,
    /// Fields of the entry; `None` if it is no mapping.
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

    /// Reads one value and remembers its place, and whether it failed.
    fn value<'a, T>(
        &mut self,
        subject: Subject,
        field: Field<'a>,
        read: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        self.places.insert(subject, field.location());
        let value = read(field);
        if value.is_none() {
            self.failed.insert(subject);
        } else {
            // An entry that was left out had this index before.
            self.failed.remove(&subject);
        }
        value
    }

    /// Entries of a list of the document.
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

    /// Starts an entry that is a mapping.
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

    /// Reads the drains; one that can't be read is left out.
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

    /// Reads the client blocks; one whose block can't be read is left out.
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

    /// Brings the verifier's faults to their places.
    fn verify(&self, document: &Document, config: &Config) {
        let whole = document.root().location();
        for fault in crate::verify(config) {
            if !self.is_of_stand_in(fault.subject) {
                let place = self.places.get(&fault.subject).unwrap_or(&whole);
                document.report(place.clone(), fault.message);
            }
        }
    }

    /// Whether a fault about `subject` would only follow from a stand-in value.
    ///
    /// A name that could not be read would make every reference to it "unknown", and a cap without
    /// its regions would be missed as "no cap": findings that vanish once the first is mended.
    fn is_of_stand_in(&self, subject: Subject) -> bool {
        let names_failed = |section| {
            self.failed.iter().any(|failed| {
                let names = ["", "id", "failure_domains", "from", "to"];
                failed.section == section && names.contains(&failed.field)
            })
        };
        let itself = self.failed.iter().any(|failed| {
            let same_entry = (failed.section, failed.index) == (subject.section, subject.index);
            same_entry
                && (failed.field == subject.field
                    || failed.field.is_empty()
                    || subject.field.is_empty())
        });
        let referred = match (subject.section, subject.field) {
            (Section::Caps, _) if subject.index.is_none() => {
                names_failed(Section::Regions) || names_failed(Section::Caps)
            }
            (Section::Caps | Section::Drains | Section::Blocks, _) => {
                names_failed(Section::Regions)
            }
            (Section::Classes, "service") => names_failed(Section::Services),
            _ => false,
        };
        itself || referred
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

    /// Reads text.
    fn text(&mut self, name: &'static str) -> ByteString {
        self.value(name, Field::text).unwrap_or_default()
    }

    /// Reads a list of text.
    fn texts(&mut self, name: &'static str) -> Vec<ByteString> {
        let read = |field: Field<'a>| {
            let items: Vec<_> = field.try_list()?.into_iter().map(Field::text).collect();
            items.into_iter().collect()
        };
        self.value(name, read).unwrap_or_default()
    }

    /// Reads a truth value.
    fn boolean(&mut self, name: &'static str) -> bool {
        self.value(name, Field::boolean).unwrap_or_default()
    }

    /// Reads an integer; the stand-in is the least of the range.
    fn integer<T>(&mut self, name: &'static str, range: RangeInclusive<T>, unit: &str) -> T
    where
        T: Copy + std::fmt::Display + PartialOrd + TryFrom<i128>,
    {
        let low = *range.start();
        self.value(name, |field| field.integer(range, unit))
            .unwrap_or(low)
    }

    /// Reads milliseconds.
    fn duration_ms(&mut self, name: &'static str, range_ms: RangeInclusive<u64>) -> Duration {
        let low = Duration::from_millis(*range_ms.start());
        self.value(name, |field| field.duration_ms(range_ms))
            .unwrap_or(low)
    }

    /// Reads a percentage.
    fn percent_ppm(&mut self, name: &'static str, range_ppm: RangeInclusive<u32>) -> u32 {
        let low = *range_ppm.start();
        self.value(name, |field| field.percent_ppm(range_ppm))
            .unwrap_or(low)
    }
}
