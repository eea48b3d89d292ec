//! Textual forms of a table and of a difference, one block per line.
//!
//! A line of a table is `BLOCK REGION,REGION,…`. A line of a difference is the same after a `+`, or
//! `-BLOCK` for a removed block. Empty lines and lines that begin with `#` are ignored.
//!
//! A line `@NUMBER REGION,REGION,…` defines a preference, which later lines refer to by
//! `BLOCK @NUMBER`. With it, [`Compact`] halves the text of a large table, which a daemon keeps in
//! memory while it parses it.

use crate::{
    table::Builder,
    Block,
    Delta,
    Table, //
};
use base::{
    FastMap,
    RegionId, //
};
use std::{
    collections::BTreeMap,
    error::Error,
    fmt, //
};

/// Error in one line.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LineError {
    /// Line number, counted from 1.
    pub line: u32,
    /// Reason, in one line.
    pub message: String,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl Error for LineError {}

/// All lines with errors.
type LineErrors = Vec<LineError>;

impl Table {
    /// Parses a table from its textual form, with blocks in any order.
    ///
    /// # Errors
    ///
    /// Every line that is not a block with its regions, and every repeated block.
    pub fn parse(text: &str) -> Result<Self, LineErrors> {
        let mut reader = TableReader::default();
        reader.push(text);
        let (table, repeats, mut parser) = reader.build();
        if repeats > 0 {
            parser.report_repeats(text);
        }
        parser.finish(table)
    }
}

/// Incremental parser of a table, which does not need the whole text in memory.
#[derive(Debug, Default)]
pub struct TableReader {
    /// Blocks so far.
    builder: Builder,
    /// State of the line parser.
    parser: LineParser,
    /// Number of lines so far.
    line_count: u32,
    /// Whether there are too many preferences; the remaining lines are ignored.
    has_too_many_preferences: bool,
}

impl TableReader {
    /// Parses more lines. `text` has to end with a complete line.
    pub fn push(&mut self, text: &str) {
        for (number, line) in numbered_lines(text) {
            let number = self.line_count.saturating_add(number);
            if self.has_too_many_preferences {
                break;
            }
            if line.starts_with('@') {
                self.parser.define_preference(number, line);
                continue;
            }
            let Some((block, regions)) = self.parser.parse_block_and_regions(number, line) else {
                continue;
            };
            if let Err(error) = self.builder.push(block, regions) {
                self.parser.record_error(number, error.to_string());
                self.has_too_many_preferences = true;
            }
        }
        let lines = u32::try_from(text.lines().count()).unwrap_or(u32::MAX);
        self.line_count = self.line_count.saturating_add(lines);
    }

    /// Returns the finished table.
    ///
    /// # Errors
    ///
    /// As for [`Table::parse`], except that repeated blocks are only counted: their lines are no
    /// longer in memory.
    pub fn finish(self) -> Result<Table, Vec<LineError>> {
        let last = self.line_count;
        let (table, repeats, mut parser) = self.build();
        if repeats > 0 {
            parser.record_error(last, format!("{repeats} lines repeat the block of another"));
        }
        parser.finish(table)
    }

    /// Returns the table, the number of lines that repeat a block, and the line parser.
    fn build(self) -> (Table, usize, LineParser) {
        let pushed = self.builder.len();
        let table = self.builder.finish();
        let repeats = pushed - table.len();
        (table, repeats, self.parser)
    }
}

impl Delta {
    /// Parses a difference from its textual form, with blocks in any order.
    ///
    /// # Errors
    ///
    /// Every line that is not a change of a block, and every repeated block.
    pub fn parse(text: &str) -> Result<Self, LineErrors> {
        let mut delta = Self::default();
        let mut parser = LineParser::default();
        for (number, line) in numbered_lines(text) {
            let change = match (line.strip_prefix('+'), line.strip_prefix('-')) {
                (Some(line), _) => parser
                    .parse_block_and_regions(number, line)
                    .map(|(block, regions)| (block, Some(regions))),
                (_, Some(block)) => parser.parse_block(number, block).map(|block| (block, None)),
                _ => {
                    parser.record_error(number, "neither `+BLOCK REGIONS` nor `-BLOCK`".to_owned());
                    None
                }
            };
            let Some((block, regions)) = change else {
                continue;
            };
            if delta.contains(block) {
                let message = format!("block `{block}` stands twice");
                parser.record_error(number, message);
                continue;
            }
            match regions {
                Some(regions) => delta.set(block, regions),
                None => delta.remove(block),
            }
        }
        parser.finish(delta)
    }
}

/// One line per block, sorted within each kind of address.
impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (block, regions) in self.iter() {
            writeln!(f, "{block} {}", CommaSeparated(regions))?;
        }
        Ok(())
    }
}

/// One line per changed block, sorted.
impl fmt::Display for Delta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (block, regions) in self.iter() {
            match regions {
                Some(regions) => writeln!(f, "+{block} {}", CommaSeparated(regions))?,
                None => writeln!(f, "-{block}")?,
            }
        }
        Ok(())
    }
}

/// Textual form of a table that defines each preference once.
#[derive(Clone, Copy, Debug)]
pub struct Compact<'a>(
    /// Table to format.
    pub &'a Table,
);

impl fmt::Display for Compact<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let preferences = self.0.preferences();
        // Numbered by first use, so that equal tables have equal texts regardless of their indices.
        let mut numbers = vec![None; preferences.len()];
        let mut next: u32 = 0;
        for (block, index) in self.0.indexed() {
            let index = usize::from(index);
            let number = match numbers[index] {
                Some(number) => number,
                None => {
                    writeln!(f, "@{next} {}", CommaSeparated(&preferences[index]))?;
                    numbers[index] = Some(next);
                    next += 1;
                    next - 1
                }
            };
            writeln!(f, "{block} @{number}")?;
        }
        Ok(())
    }
}

/// Formats regions separated by commas.
struct CommaSeparated<'a>(&'a [RegionId]);

impl fmt::Display for CommaSeparated<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, region) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{region}")?;
        }
        Ok(())
    }
}

/// Lines that are neither empty nor comments, with their numbers.
fn numbered_lines(text: &str) -> impl Iterator<Item = (u32, &str)> {
    (1..)
        .zip(text.lines().map(str::trim))
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
}

/// Parses lines and collects their errors.
#[derive(Debug, Default)]
struct LineParser {
    /// Preferences by their text. A large table has few distinct ones.
    preferences: FastMap<Box<str>, Vec<RegionId>>,
    /// Errors so far.
    errors: LineErrors,
}

impl LineParser {
    /// Records an error.
    fn record_error(&mut self, line: u32, message: String) {
        self.errors.push(LineError { line, message });
    }

    /// Parses a block.
    fn parse_block(&mut self, number: u32, text: &str) -> Option<Block> {
        match text.parse() {
            Ok(block) => Some(block),
            Err(error) => {
                let message = format!("`{}`: {error}", text.escape_debug());
                self.record_error(number, message);
                None
            }
        }
    }

    /// Parses a block and its regions.
    fn parse_block_and_regions(&mut self, number: u32, line: &str) -> Option<(Block, &[RegionId])> {
        let (block, regions) = line.split_once(' ').unwrap_or((line, ""));
        let block = self.parse_block(number, block);
        let regions = regions.trim();
        if !self.preferences.contains_key(regions) {
            match parse_regions(regions) {
                Ok(list) => {
                    self.preferences.insert(regions.into(), list);
                }
                Err(message) => {
                    self.record_error(number, message);
                    return None;
                }
            }
        }
        Some((block?, &self.preferences[regions]))
    }

    /// Parses a line that defines a preference.
    fn define_preference(&mut self, number: u32, line: &str) {
        let (name, regions) = line.split_once(' ').unwrap_or((line, ""));
        match parse_regions(regions.trim()) {
            Ok(_) if self.preferences.contains_key(name) => {
                self.record_error(number, format!("preference `{name}` stands twice"));
            }
            Ok(list) => {
                self.preferences.insert(name.into(), list);
            }
            Err(message) => self.record_error(number, message),
        }
    }

    /// Records an error for each line that repeats the block of an earlier one.
    ///
    /// Run only if repeats are known to exist: a map of the lines of all blocks takes far more
    /// memory than the table.
    fn report_repeats(&mut self, text: &str) {
        let mut first_lines = BTreeMap::new();
        for (number, line) in numbered_lines(text) {
            let block = line.split(' ').next().unwrap_or_default();
            let Ok(block) = block.parse::<Block>() else {
                continue;
            };
            let earlier = *first_lines.entry(block).or_insert(number);
            if earlier != number {
                let message = format!("block `{block}` stands twice, first on line {earlier}");
                self.record_error(number, message);
            }
        }
    }

    /// Returns `value` if no line has an error, or else the sorted errors.
    fn finish<T>(mut self, value: T) -> Result<T, LineErrors> {
        if self.errors.is_empty() {
            return Ok(value);
        }
        self.errors.sort();
        Err(self.errors)
    }
}

/// Parses regions separated by commas.
fn parse_regions(text: &str) -> Result<Vec<RegionId>, String> {
    if text.starts_with('@') {
        let name = text.escape_debug();
        return Err(format!(
            "preference `{name}` is not named by an earlier line"
        ));
    }
    let regions: Vec<RegionId> = text.split(',').map(RegionId::from).collect();
    let is_name =
        |region: &RegionId| !region.is_empty() && region.chars().all(|c| c.is_ascii_graphic());
    if !regions.iter().all(is_name) {
        return Err(format!(
            "`{}` are no regions with commas between them",
            text.escape_debug()
        ));
    }
    for (index, region) in regions.iter().enumerate() {
        if regions[..index].contains(region) {
            return Err(format!("region `{region}` stands twice"));
        }
    }
    Ok(regions)
}
