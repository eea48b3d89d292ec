//! Textual forms of a table and of a difference, one block a line.
//!
//! A table's line is `BLOCK REGION,REGION,…`. A difference's line is the same with `+` before it,
//! or `-BLOCK` for a block that is gone. Empty lines and lines that begin with `#` are passed over.
//!
//! A line `@NUMBER REGION,REGION,…` names a preference, and later lines may say `BLOCK @NUMBER`. So
//! [`Compact`] halves the text of a large table, which a daemon has to hold while it reads it.

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

/// A line that can't be taken.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LineError {
    /// Line, counted from 1.
    pub line: u32,
    /// Why, in one line.
    pub message: String,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl Error for LineError {}

/// All lines that can't be taken.
type LineErrors = Vec<LineError>;

impl Table {
    /// Reads a table from its textual form, in any order.
    ///
    /// # Errors
    ///
    /// Every line that is no block with its regions, and every block that stands twice.
    pub fn parse(text: &str) -> Result<Self, LineErrors> {
        let mut reader = TableReader::default();
        reader.push(text);
        let (table, repeats, mut lines) = reader.build();
        if repeats > 0 {
            lines.find_repeats(text);
        }
        lines.finish(table)
    }
}

/// Reads a table piece by piece, so that its text is never whole in memory.
#[derive(Debug, Default)]
pub struct TableReader {
    /// Blocks so far.
    builder: Builder,
    /// Preferences and errors so far.
    lines: Lines,
    /// Lines of the pieces so far.
    count: u32,
    /// Whether there are too many preferences; the rest is passed over.
    is_full: bool,
}

impl TableReader {
    /// Reads some more lines; a piece ends where a line does.
    pub fn push(&mut self, text: &str) {
        for (number, line) in numbered(text) {
            let number = self.count.saturating_add(number);
            if self.is_full {
                break;
            }
            if line.starts_with('@') {
                self.lines.name_preference(number, line);
                continue;
            }
            let Some((block, regions)) = self.lines.block_and_regions(number, line) else {
                continue;
            };
            if let Err(error) = self.builder.push(block, regions) {
                self.lines.fail(number, error.to_string());
                self.is_full = true;
            }
        }
        let count = u32::try_from(text.lines().count()).unwrap_or(u32::MAX);
        self.count = self.count.saturating_add(count);
    }

    /// The table.
    ///
    /// # Errors
    ///
    /// As of [`Table::parse`], but that blocks which stand twice are counted, not named: their
    /// lines are gone.
    pub fn finish(self) -> Result<Table, Vec<LineError>> {
        let last = self.count;
        let (table, repeats, mut lines) = self.build();
        if repeats > 0 {
            lines.fail(last, format!("{repeats} lines repeat the block of another"));
        }
        lines.finish(table)
    }

    /// The table, the number of lines that repeat a block, and the errors.
    fn build(self) -> (Table, usize, Lines) {
        let pushed = self.builder.len();
        let table = self.builder.finish();
        let repeats = pushed - table.len();
        (table, repeats, self.lines)
    }
}

impl Delta {
    /// Reads a difference from its textual form, in any order.
    ///
    /// # Errors
    ///
    /// Every line that is no change of a block, and every block that stands twice.
    pub fn parse(text: &str) -> Result<Self, LineErrors> {
        let mut delta = Self::default();
        let mut lines = Lines::default();
        for (number, line) in numbered(text) {
            let change = match (line.strip_prefix('+'), line.strip_prefix('-')) {
                (Some(line), _) => lines
                    .block_and_regions(number, line)
                    .map(|(block, regions)| (block, Some(regions))),
                (_, Some(block)) => lines.block(number, block).map(|block| (block, None)),
                _ => {
                    lines.fail(number, "neither `+BLOCK REGIONS` nor `-BLOCK`".to_owned());
                    None
                }
            };
            let Some((block, regions)) = change else {
                continue;
            };
            if delta.contains(block) {
                let message = format!("block `{block}` stands twice");
                lines.fail(number, message);
                continue;
            }
            match regions {
                Some(regions) => delta.set(block, regions),
                None => delta.remove(block),
            }
        }
        lines.finish(delta)
    }
}

/// One line a block, sorted within each kind of address.
impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (block, regions) in self.iter() {
            writeln!(f, "{block} {}", Joined(regions))?;
        }
        Ok(())
    }
}

/// One line a block that differs, sorted.
impl fmt::Display for Delta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (block, regions) in self.iter() {
            match regions {
                Some(regions) => writeln!(f, "+{block} {}", Joined(regions))?,
                None => writeln!(f, "-{block}")?,
            }
        }
        Ok(())
    }
}

/// Text of a table with each preference written once.
#[derive(Clone, Copy, Debug)]
pub struct Compact<'a>(
    /// Table to write.
    pub &'a Table,
);

impl fmt::Display for Compact<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let preferences = self.0.preferences();
        // Numbered by first use, so that equal tables have equal texts whatever their past.
        let mut numbers = vec![None; preferences.len()];
        let mut next: u32 = 0;
        for (block, index) in self.0.indexed() {
            let index = usize::from(index);
            let number = match numbers[index] {
                Some(number) => number,
                None => {
                    writeln!(f, "@{next} {}", Joined(&preferences[index]))?;
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

/// Regions with commas between them.
struct Joined<'a>(&'a [RegionId]);

impl fmt::Display for Joined<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, region) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{region}")?;
        }
        Ok(())
    }
}

/// Lines that hold something, with their numbers.
fn numbered(text: &str) -> impl Iterator<Item = (u32, &str)> {
    (1..)
        .zip(text.lines().map(str::trim))
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
}

/// Reads lines and gathers those that can't be taken.
#[derive(Debug, Default)]
struct Lines {
    /// Preferences by their text; a large table repeats few of them.
    preferences: FastMap<Box<str>, Vec<RegionId>>,
    /// Errors so far.
    errors: LineErrors,
}

impl Lines {
    /// Records an error.
    fn fail(&mut self, line: u32, message: String) {
        self.errors.push(LineError { line, message });
    }

    /// Reads a block.
    fn block(&mut self, number: u32, text: &str) -> Option<Block> {
        match text.parse() {
            Ok(block) => Some(block),
            Err(error) => {
                let message = format!("`{}`: {error}", text.escape_debug());
                self.fail(number, message);
                None
            }
        }
    }

    /// Reads a block and its regions.
    fn block_and_regions(&mut self, number: u32, line: &str) -> Option<(Block, &[RegionId])> {
        let (block, regions) = line.split_once(' ').unwrap_or((line, ""));
        let block = self.block(number, block);
        let regions = regions.trim();
        if !self.preferences.contains_key(regions) {
            match read_regions(regions) {
                Ok(list) => {
                    self.preferences.insert(regions.into(), list);
                }
                Err(message) => {
                    self.fail(number, message);
                    return None;
                }
            }
        }
        Some((block?, &self.preferences[regions]))
    }

    /// Reads a line that names a preference.
    fn name_preference(&mut self, number: u32, line: &str) {
        let (name, regions) = line.split_once(' ').unwrap_or((line, ""));
        match read_regions(regions.trim()) {
            Ok(_) if self.preferences.contains_key(name) => {
                self.fail(number, format!("preference `{name}` stands twice"));
            }
            Ok(list) => {
                self.preferences.insert(name.into(), list);
            }
            Err(message) => self.fail(number, message),
        }
    }

    /// Records each line whose block stood on an earlier one.
    ///
    /// Only run once repeats are known to exist, since remembering every line costs far more
    /// memory than the table.
    fn find_repeats(&mut self, text: &str) {
        let mut first = BTreeMap::new();
        for (number, line) in numbered(text) {
            let block = line.split(' ').next().unwrap_or_default();
            let Ok(block) = block.parse::<Block>() else {
                continue;
            };
            let earlier = *first.entry(block).or_insert(number);
            if earlier != number {
                let message = format!("block `{block}` stands twice, first on line {earlier}");
                self.fail(number, message);
            }
        }
    }

    /// Gives the value if every line was taken.
    fn finish<T>(mut self, value: T) -> Result<T, LineErrors> {
        if self.errors.is_empty() {
            return Ok(value);
        }
        self.errors.sort();
        Err(self.errors)
    }
}

/// Reads regions with commas between them.
fn read_regions(text: &str) -> Result<Vec<RegionId>, String> {
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
