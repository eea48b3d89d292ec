//! Typed access to the fields of a document, collecting findings.

use crate::{
    nearest::nearest,
    scalar,
    tree::{
        Data,
        Mark,
        Node,
        Pair,
        Tree, //
    },
    Finding,
    Findings,
    SourceLocation, //
};
use bytestring::ByteString;
use std::{
    cell::RefCell,
    fmt::Display,
    ops::RangeInclusive,
    str::FromStr,
    time::Duration, //
};

/// Number of decimals of a percentage with a resolution of one part per million.
const PPM_DECIMALS: usize = 4;

/// Parsed file and the findings recorded so far.
#[derive(Debug)]
pub struct Document {
    /// Name of the file.
    file: ByteString,
    /// Root node; `None` after a syntax error.
    root: Option<Node>,
    /// Findings so far; in a cell so that nested maps and fields can add to them.
    findings: RefCell<Vec<Finding>>,
}

impl Document {
    /// Parses `text`; syntax errors, duplicate keys, anchors, aliases and tags become findings.
    ///
    /// `file` is the file name used in findings.
    pub fn parse(file: &str, text: &str) -> Self {
        let tree = Tree::parse(text);
        let document = Self {
            file: file.into(),
            root: tree.root,
            findings: RefCell::default(),
        };
        for (mark, message) in tree.findings {
            document.report_at(mark, message);
        }
        document
    }

    /// Returns the root as an unnamed field.
    pub fn root(&self) -> Field<'_> {
        Field {
            document: self,
            name: "",
            mark: Mark::START,
            node: self.root.as_ref(),
        }
    }

    /// Returns the root as a mapping; any other node is a finding.
    pub fn map(&self) -> Option<Map<'_>> {
        self.root().map()
    }

    /// Records a finding at `place`.
    pub fn report(&self, place: SourceLocation, message: impl Into<String>) {
        self.findings.borrow_mut().push(Finding {
            location: place,
            message: message.into(),
        });
    }

    /// Number of findings so far; a caller compares counts to detect whether reading a part added any.
    pub fn finding_count(&self) -> usize {
        self.findings.borrow().len()
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    ///
    /// All findings. A missing value without a finding yields a generic finding, so that a reader that
    /// failed to record one doesn't appear to succeed.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Findings> {
        let mut findings = self.findings.into_inner();
        match value {
            Some(value) if findings.is_empty() => return Ok(value),
            None if findings.is_empty() => findings.push(Finding {
                location: location_at(&self.file, Mark::START),
                message: "the document can't be read".to_owned(),
            }),
            _ => {}
        }
        Err(findings.into())
    }

    /// Records a finding at a position in this document.
    fn report_at(&self, mark: Mark, message: impl Into<String>) {
        self.report(location_at(&self.file, mark), message);
    }
}

/// Returns the source location of `mark` in `file`.
fn location_at(file: &ByteString, mark: Mark) -> SourceLocation {
    SourceLocation {
        file: file.clone(),
        line: mark.line,
        column: mark.column,
    }
}

/// Mapping that is being read; reports fields that were not requested when it is dropped.
#[derive(Debug)]
pub struct Map<'a> {
    /// Document that contains the mapping.
    document: &'a Document,
    /// Start of the mapping.
    mark: Mark,
    /// Fields in file order.
    pairs: &'a [Pair],
    /// Names that were requested.
    known: Vec<&'a str>,
}

impl<'a> Map<'a> {
    /// Returns a field; its absence is a finding.
    pub fn required(&mut self, name: &'a str) -> Field<'a> {
        let field = self.optional(name);
        if field.is_absent() {
            self.document
                .report_at(self.mark, format!("missing field `{name}`"));
        }
        field
    }

    /// Returns a field that may be absent; reading an absent one yields `None` without a finding.
    pub fn optional(&mut self, name: &'a str) -> Field<'a> {
        self.known.push(name);
        let pair = self.pairs.iter().find(|pair| pair.key == name);
        Field {
            document: self.document,
            name,
            mark: pair.map_or(self.mark, |pair| pair.value.mark),
            node: pair.map(|pair| &pair.value),
        }
    }

    /// Returns all fields, for a mapping with arbitrary names, and marks them as known.
    pub fn entries(&mut self) -> Vec<(&'a str, SourceLocation, Field<'a>)> {
        let document = self.document;
        let pairs = self.pairs;
        self.known
            .extend(pairs.iter().map(|pair| pair.key.as_str()));
        pairs
            .iter()
            .map(|pair| {
                let field = Field {
                    document,
                    name: &pair.key,
                    mark: pair.value.mark,
                    node: Some(&pair.value),
                };
                (&*pair.key, location_at(&document.file, pair.mark), field)
            })
            .collect()
    }

    /// Location of the start of the mapping.
    pub fn location(&self) -> SourceLocation {
        location_at(&self.document.file, self.mark)
    }

    /// Records a finding at the start of the mapping.
    pub fn report(&self, message: impl Into<String>) {
        self.document.report_at(self.mark, message);
    }

    /// Ends reading: drops the mapping, which reports fields that were not requested.
    pub fn finish(self) {}
}

impl Drop for Map<'_> {
    fn drop(&mut self) {
        let is_known = |pair: &Pair| self.known.contains(&&*pair.key);
        let unknown: Vec<&Pair> = self.pairs.iter().filter(|pair| !is_known(pair)).collect();
        if unknown.is_empty() {
            return;
        }
        let is_absent = |name: &&str| self.pairs.iter().all(|pair| pair.key != *name);
        let absent: Vec<&str> = self.known.iter().copied().filter(is_absent).collect();
        for pair in unknown {
            let hint = suggestion(nearest(&pair.key, absent.iter().copied()));
            let message = format!("unknown field `{}`{hint}", pair.key);
            self.document.report_at(pair.mark, message);
        }
    }
}

/// Formats the suggestion at the end of a message.
fn suggestion(name: Option<&str>) -> String {
    name.map_or_else(String::new, |name| format!(", did you mean `{name}`?"))
}

/// Field of a mapping, which may be absent.
///
/// Each read method consumes the field. It returns `None` and records a finding if the value is invalid;
/// for an absent field it returns `None` without a finding.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a> {
    /// Document that contains the field.
    document: &'a Document,
    /// Name used in messages; empty for the root.
    name: &'a str,
    /// Start of the value, or of the mapping if the field is absent.
    mark: Mark,
    /// Value; `None` if the field is absent.
    node: Option<&'a Node>,
}

impl<'a> Field<'a> {
    /// Whether the field is absent.
    pub fn is_absent(&self) -> bool {
        self.node.is_none()
    }

    /// Location of the value, or of the mapping if the field is absent.
    pub fn location(&self) -> SourceLocation {
        location_at(&self.document.file, self.mark)
    }

    /// Records a finding about this field.
    pub fn report(&self, message: impl Display) {
        let subject = match self.name {
            "" => "the document".to_owned(),
            name => format!("`{name}`"),
        };
        self.document
            .report_at(self.mark, format!("{subject} {message}"));
    }

    /// Reads text; numbers and booleans are read as they are written.
    pub fn text(self) -> Option<ByteString> {
        self.scalar("text").map(ByteString::from)
    }

    /// Reads text and parses it; `expected` describes the valid values in findings.
    pub fn parse<T: FromStr>(self, expected: &str) -> Option<T> {
        let text = self.scalar(expected)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => self.mismatch(expected, &format!("`{text}`")),
        }
    }

    /// Reads an integer within the range; `unit` is used in findings and may be empty.
    pub fn integer<T>(self, range: RangeInclusive<T>, unit: &str) -> Option<T>
    where
        T: Copy + Display + PartialOrd + TryFrom<i128>,
    {
        let expected = if unit.is_empty() {
            "an integer".to_owned()
        } else {
            format!("an integer in {unit}, written without the unit")
        };
        let text = self.plain(&expected)?;
        let Some(number) = scalar::integer(text) else {
            return self.mismatch(&expected, &format!("`{text}`"));
        };
        let value = T::try_from(number)
            .ok()
            .filter(|value| range.contains(value));
        if value.is_none() {
            let (low, high) = range.into_inner();
            self.report(format_args!(
                "must be between {low} and {high}{}, found {number}",
                unit_suffix(unit)
            ));
        }
        value
    }

    /// Reads a duration in whole milliseconds within the range.
    pub fn duration_ms(self, range_ms: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(range_ms, "ms").map(Duration::from_millis)
    }

    /// Reads a duration in whole seconds within the range.
    pub fn duration_s(self, range_s: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(range_s, "s").map(Duration::from_secs)
    }

    /// Reads a percentage such as `99.95` exactly, in parts per million within the range.
    pub fn percent_ppm(self, range_ppm: RangeInclusive<u32>) -> Option<u32> {
        let expected = "a percentage of at most 4 decimals, written without the unit";
        let text = self.plain(expected)?;
        let Some(number) = scalar::fixed_point(text, PPM_DECIMALS) else {
            return self.mismatch(expected, &format!("`{text}`"));
        };
        let value = u32::try_from(number)
            .ok()
            .filter(|value| range_ppm.contains(value));
        if value.is_none() {
            let (low, high) = (
                format_percent(*range_ppm.start()),
                format_percent(*range_ppm.end()),
            );
            self.report(format_args!(
                "must be between {low} and {high} percent, found {text}"
            ));
        }
        value
    }

    /// Reads `true` or `false`.
    pub fn boolean(self) -> Option<bool> {
        let expected = "true or false";
        let text = self.plain(expected)?;
        match scalar::boolean(text) {
            Some(value) => Some(value),
            None => self.mismatch(expected, &format!("`{text}`")),
        }
    }

    /// Reads one of the given names and returns the value paired with it.
    pub fn choice<T: Clone>(self, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        let text = self.scalar(&expected)?;
        let chosen = choices.iter().find(|(name, _)| *name == text);
        if chosen.is_none() {
            let hint = suggestion(nearest(text, names.iter().copied()));
            self.report(format_args!("must be {expected}, found `{text}`{hint}"));
        }
        chosen.map(|(_, value)| value.clone())
    }

    /// Reads a sequence; an absent or invalid one yields an empty list.
    pub fn list(self) -> Vec<Field<'a>> {
        self.try_list().unwrap_or_default()
    }

    /// Reads a sequence; an absent or invalid one yields `None`.
    pub fn try_list(self) -> Option<Vec<Field<'a>>> {
        let node = self.present("a list")?;
        let Data::List(items) = &node.data else {
            return self.mismatch("a list", kind_name(node));
        };
        let items = items.iter().map(|item| Field {
            document: self.document,
            name: self.name,
            mark: item.mark,
            node: Some(item),
        });
        Some(items.collect())
    }

    /// Reads a mapping.
    pub fn map(self) -> Option<Map<'a>> {
        let node = self.present("a mapping")?;
        let Data::Map(pairs) = &node.data else {
            return self.mismatch("a mapping", kind_name(node));
        };
        Some(Map {
            document: self.document,
            mark: node.mark,
            pairs,
            known: Vec::new(),
        })
    }

    /// Returns the node unless absent; null is a finding.
    fn present(&self, expected: &str) -> Option<&'a Node> {
        let node = self.node?;
        match node.data {
            Data::Rejected => None,
            Data::Null => self.mismatch(expected, "nothing"),
            _ => Some(node),
        }
    }

    /// Returns the text of a scalar, quoted or not.
    fn scalar(&self, expected: &str) -> Option<&'a str> {
        let node = self.present(expected)?;
        match &node.data {
            Data::Plain(text) | Data::Quoted(text) => Some(text),
            _ => self.mismatch(expected, kind_name(node)),
        }
    }

    /// Returns the text of an unquoted scalar, for types other than text.
    fn plain(&self, expected: &str) -> Option<&'a str> {
        let node = self.present(expected)?;
        match &node.data {
            Data::Plain(text) => Some(text),
            Data::Quoted(_) => self.mismatch(expected, "quoted text"),
            _ => self.mismatch(expected, kind_name(node)),
        }
    }

    /// Records a type or format mismatch.
    fn mismatch<T>(&self, expected: &str, found: &str) -> Option<T> {
        self.report(format_args!("must be {expected}, found {found}"));
        None
    }
}

/// Returns the kind of a node, for messages.
fn kind_name(node: &Node) -> &'static str {
    match node.data {
        Data::Rejected | Data::Null => "nothing",
        Data::Plain(_) | Data::Quoted(_) => "text",
        Data::List(_) => "a list",
        Data::Map(_) => "a mapping",
    }
}

/// Formats the unit with a leading space; empty if there is none.
fn unit_suffix(unit: &str) -> String {
    if unit.is_empty() {
        String::new()
    } else {
        format!(" {unit}")
    }
}

/// Formats parts per million as a percentage without trailing zeros.
fn format_percent(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
