//! Typed reading of a document, field by field, that gathers findings as it goes.

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
    Place, //
};
use bytestring::ByteString;
use std::{
    cell::RefCell,
    fmt::Display,
    ops::RangeInclusive,
    str::FromStr,
    time::Duration, //
};

/// Digits after the point of a percentage that is read to parts per million.
const PPM_DECIMALS: usize = 4;

/// Parsed file with the findings so far.
#[derive(Debug)]
pub struct Document {
    /// Name of the file.
    file: ByteString,
    /// Root, unless the syntax was wrong.
    root: Option<Node>,
    /// Findings so far; behind a cell so that cursors at several depths can add to it.
    found: RefCell<Vec<Finding>>,
}

impl Document {
    /// Parses `text`; mistakes of syntax, repeated keys and aliases become findings.
    ///
    /// `file` only names the file in findings.
    pub fn parse(file: &str, text: &str) -> Self {
        let tree = Tree::parse(text);
        let document = Self {
            file: file.into(),
            root: tree.root,
            found: RefCell::default(),
        };
        for (mark, message) in tree.found {
            document.find(mark, message);
        }
        document
    }

    /// The root as a field without a name.
    pub fn root(&self) -> Field<'_> {
        Field {
            document: self,
            name: "",
            mark: Mark::START,
            node: self.root.as_ref(),
        }
    }

    /// The root as a mapping; `None`, with a finding, if it is something else.
    pub fn map(&self) -> Option<Map<'_>> {
        self.root().map()
    }

    /// Records a finding at `place`.
    pub fn fail(&self, place: Place, message: impl Into<String>) {
        self.found.borrow_mut().push(Finding {
            place,
            message: message.into(),
        });
    }

    /// Number of findings so far; tells whether reading a part added any.
    pub fn found(&self) -> usize {
        self.found.borrow().len()
    }

    /// Gives the value if there were no findings.
    ///
    /// # Errors
    ///
    /// All findings. A missing value without any finding is a finding of its own, so that a reader
    /// that forgot to record one can't pass for success.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Findings> {
        let mut found = self.found.into_inner();
        match value {
            Some(value) if found.is_empty() => return Ok(value),
            None if found.is_empty() => found.push(Finding {
                place: place_at(&self.file, Mark::START),
                message: "the document can't be read".to_owned(),
            }),
            _ => {}
        }
        Err(found.into())
    }

    /// Records a finding at a mark of this document.
    fn find(&self, mark: Mark, message: impl Into<String>) {
        self.fail(place_at(&self.file, mark), message);
    }
}

/// Place of a mark in the named file.
fn place_at(file: &ByteString, mark: Mark) -> Place {
    Place {
        file: file.clone(),
        line: mark.line,
        column: mark.column,
    }
}

/// Mapping that is being read; reports the fields that nobody asked for when it is dropped.
#[derive(Debug)]
pub struct Map<'a> {
    /// Document that the mapping is part of.
    document: &'a Document,
    /// Where the mapping starts.
    mark: Mark,
    /// Its fields in the order of the file.
    pairs: &'a [Pair],
    /// Names that were asked for.
    known: Vec<&'a str>,
}

impl<'a> Map<'a> {
    /// Asks for a field; its absence is a finding.
    pub fn required(&mut self, name: &'a str) -> Field<'a> {
        let field = self.optional(name);
        if field.is_absent() {
            self.document
                .find(self.mark, format!("missing field `{name}`"));
        }
        field
    }

    /// Asks for a field that may be absent; an absent one yields `None` without a finding.
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

    /// All fields by name, for a mapping whose names are free; none of them is unknown afterwards.
    pub fn entries(&mut self) -> Vec<(&'a str, Place, Field<'a>)> {
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
                (&*pair.key, place_at(&document.file, pair.mark), field)
            })
            .collect()
    }

    /// Where the mapping starts.
    pub fn place(&self) -> Place {
        place_at(&self.document.file, self.mark)
    }

    /// Records a finding at the start of the mapping.
    pub fn fail(&self, message: impl Into<String>) {
        self.document.find(self.mark, message);
    }

    /// Ends reading: reports the fields that nobody asked for, as dropping it does.
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
            self.document.find(pair.mark, message);
        }
    }
}

/// End of a message that suggests a name.
fn suggestion(name: Option<&str>) -> String {
    name.map_or_else(String::new, |name| format!(", did you mean `{name}`?"))
}

/// Value of a field, which may be absent.
///
/// Each reading method takes the field, records a finding if the value is not what it asks for,
/// and then yields `None`, as it does without a finding for an absent field.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a> {
    /// Document that the field is part of.
    document: &'a Document,
    /// Name for messages; empty for the root.
    name: &'a str,
    /// Where the value starts, or the mapping that lacks it.
    mark: Mark,
    /// The value, unless absent.
    node: Option<&'a Node>,
}

impl<'a> Field<'a> {
    /// Whether the field is absent.
    pub fn is_absent(&self) -> bool {
        self.node.is_none()
    }

    /// Where the value starts, or the mapping that lacks it.
    pub fn place(&self) -> Place {
        place_at(&self.document.file, self.mark)
    }

    /// Records a finding about this field.
    pub fn fail(&self, message: impl Display) {
        let subject = match self.name {
            "" => "the document".to_owned(),
            name => format!("`{name}`"),
        };
        self.document
            .find(self.mark, format!("{subject} {message}"));
    }

    /// Reads text; numbers and truth values count as the text they are written with.
    pub fn text(self) -> Option<ByteString> {
        self.scalar("text").map(ByteString::from)
    }

    /// Reads text and converts it; `expected` says in findings what was wanted.
    pub fn parse<T: FromStr>(self, expected: &str) -> Option<T> {
        let text = self.scalar(expected)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => self.mismatch(expected, &format!("`{text}`")),
        }
    }

    /// Reads an integer of the range; `unit` is said in findings and may be empty.
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
            self.fail(format_args!(
                "must be between {low} and {high}{}, found {number}",
                spaced(unit)
            ));
        }
        value
    }

    /// Reads whole milliseconds of the range into a duration.
    pub fn duration_ms(self, range_ms: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(range_ms, "ms").map(Duration::from_millis)
    }

    /// Reads whole seconds of the range into a duration.
    pub fn duration_s(self, range_s: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(range_s, "s").map(Duration::from_secs)
    }

    /// Reads a percentage such as `99.95` exactly, to parts per million within the range.
    pub fn percent_ppm(self, range_ppm: RangeInclusive<u32>) -> Option<u32> {
        let expected = "a percentage of at most 4 decimals, written without the unit";
        let text = self.plain(expected)?;
        let Some(number) = scalar::fixed(text, PPM_DECIMALS) else {
            return self.mismatch(expected, &format!("`{text}`"));
        };
        let value = u32::try_from(number)
            .ok()
            .filter(|value| range_ppm.contains(value));
        if value.is_none() {
            let (low, high) = (ppm_text(*range_ppm.start()), ppm_text(*range_ppm.end()));
            self.fail(format_args!(
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

    /// Reads one of the given names and yields what stands beside it.
    pub fn choice<T: Clone>(self, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        let text = self.scalar(&expected)?;
        let chosen = choices.iter().find(|(name, _)| *name == text);
        if chosen.is_none() {
            let hint = suggestion(nearest(text, names.iter().copied()));
            self.fail(format_args!("must be {expected}, found `{text}`{hint}"));
        }
        chosen.map(|(_, value)| value.clone())
    }

    /// Reads a sequence; one that is absent or wrong is empty.
    pub fn list(self) -> Vec<Field<'a>> {
        self.try_list().unwrap_or_default()
    }

    /// Reads a sequence, and tells one that is absent or wrong from an empty one.
    pub fn try_list(self) -> Option<Vec<Field<'a>>> {
        let node = self.present("a list")?;
        let Data::List(items) = &node.data else {
            return self.mismatch("a list", kind(node));
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
            return self.mismatch("a mapping", kind(node));
        };
        Some(Map {
            document: self.document,
            mark: node.mark,
            pairs,
            known: Vec::new(),
        })
    }

    /// The node, unless absent; null where a value is wanted is a finding.
    fn present(&self, expected: &str) -> Option<&'a Node> {
        let node = self.node?;
        match node.data {
            Data::Refused => None,
            Data::Null => self.mismatch(expected, "nothing"),
            _ => Some(node),
        }
    }

    /// Text of a scalar, quoted or not.
    fn scalar(&self, expected: &str) -> Option<&'a str> {
        let node = self.present(expected)?;
        match &node.data {
            Data::Plain(text) | Data::Quoted(text) => Some(text),
            _ => self.mismatch(expected, kind(node)),
        }
    }

    /// Text of a scalar without quotes, for what is not text.
    fn plain(&self, expected: &str) -> Option<&'a str> {
        let node = self.present(expected)?;
        match &node.data {
            Data::Plain(text) => Some(text),
            Data::Quoted(_) => self.mismatch(expected, "quoted text"),
            _ => self.mismatch(expected, kind(node)),
        }
    }

    /// Records that something else was expected.
    fn mismatch<T>(&self, expected: &str, found: &str) -> Option<T> {
        self.fail(format_args!("must be {expected}, found {found}"));
        None
    }
}

/// What a node is, for messages.
fn kind(node: &Node) -> &'static str {
    match node.data {
        Data::Refused | Data::Null => "nothing",
        Data::Plain(_) | Data::Quoted(_) => "text",
        Data::List(_) => "a list",
        Data::Map(_) => "a mapping",
    }
}

/// Unit with a space before it, or nothing.
fn spaced(unit: &str) -> String {
    if unit.is_empty() {
        String::new()
    } else {
        format!(" {unit}")
    }
}

/// Parts per million as a percentage without needless digits.
fn ppm_text(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
