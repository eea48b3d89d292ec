//! What an operator asks to be accepted, with the objects that it needs.

use crate::{
    AcceptId,
    Adopted,
    BlockObject,
    Body,
    Config,
    Digest, //
};
use base::{
    RegionId,
    Version, //
};
use blocks::{
    Delta,
    LineError,
    Table,
    TableReader,
    TooManyPreferences, //
};
use bytes::Bytes;
use bytestring::ByteString;
use conf::{
    Finding,
    Findings,
    SourceLocation, //
};
use std::{
    collections::BTreeSet,
    error::Error,
    fmt,
    sync::Arc, //
};

/// A difference is shipped as such while the table has this many times its blocks.
const WORTH_A_DIFFERENCE: usize = 4;

/// What becomes of the block table.
#[derive(Clone, Debug, Default)]
pub enum BlockChange {
    /// It stays.
    #[default]
    Keep,
    /// It is replaced.
    Replace(Table),
    /// Some blocks change.
    Apply(Delta),
}

/// Reads a block file: a difference if its first line begins with a sign, else a table.
///
/// # Errors
///
/// Every line that can't be taken.
pub fn parse_blocks(file: &str, text: &str) -> Result<BlockChange, Findings> {
    let change = match first_sign(text) {
        Some(true) => Delta::parse(text).map(BlockChange::Apply),
        _ => Table::parse(text).map(BlockChange::Replace),
    };
    change.map_err(|errors| findings(file, errors))
}

/// Reads a block file piece by piece, so that a large table's text is never whole in memory.
#[derive(Debug, Default)]
pub struct BlockReader {
    /// The table so far, unless it is a difference.
    table: TableReader,
    /// Text of a difference, which is small.
    difference: Option<String>,
    /// Whether it is known which of the two it is.
    is_known: bool,
}

impl BlockReader {
    /// Reads some more lines; a piece ends where a line does.
    pub fn push(&mut self, text: &str) {
        if !self.is_known {
            let sign = first_sign(text);
            self.is_known = sign.is_some();
            self.difference = sign.unwrap_or(false).then(String::new);
        }
        match &mut self.difference {
            Some(difference) => difference.push_str(text),
            None => self.table.push(text),
        }
    }

    /// What the file says.
    ///
    /// # Errors
    ///
    /// As of [`parse_blocks`], but that blocks of a table which stand twice are only counted.
    pub fn finish(self, file: &str) -> Result<BlockChange, Findings> {
        let change = match self.difference {
            Some(text) => Delta::parse(&text).map(BlockChange::Apply),
            None => self.table.finish().map(BlockChange::Replace),
        };
        change.map_err(|errors| findings(file, errors))
    }
}

/// Whether the first line that holds something begins with a sign; `None` if there is none.
fn first_sign(text: &str) -> Option<bool> {
    let mut lines = text.lines().map(str::trim);
    let first = lines.find(|line| !line.is_empty() && !line.starts_with('#'));
    first.map(|line| line.starts_with(['+', '-']))
}

/// Errors with their places.
fn findings(file: &str, errors: Vec<LineError>) -> Findings {
    let finding = |error: LineError| Finding {
        location: SourceLocation {
            file: file.into(),
            line: error.line,
            column: 1,
        },
        message: error.message,
    };
    errors.into_iter().map(finding).collect()
}

/// Accept that an operator asked for, made on the version that it changes.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Proposal {
    /// Name of the accept. A repeat carries the same one, and the same base.
    pub accept_id: AcceptId,
    /// Operator, as stated.
    pub author: ByteString,
    /// Wall time, for people only.
    pub accepted_at_ms: u64,
    /// Version that it changes; 0 if there is none yet.
    pub base: Version,
    /// Digest of the body.
    pub body: Digest,
    /// Objects to store, those that others name first.
    pub objects: Vec<(Digest, Bytes)>,
}

/// Why a proposal can't be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalError {
    /// Blocks name regions that the configuration lacks.
    UnknownRegions(BTreeSet<RegionId>),
    /// The block table has too many distinct preferences.
    TooManyPreferences,
}

impl fmt::Display for ProposalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRegions(regions) => {
                let names: Vec<String> = regions.iter().map(|id| format!("`{id}`")).collect();
                let names = names.join(", ");
                write!(f, "the block table names unknown regions: {names}")
            }
            Self::TooManyPreferences => TooManyPreferences.fmt(f),
        }
    }
}

impl Error for ProposalError {}

impl Proposal {
    /// Makes a proposal on the version that `base` is.
    ///
    /// # Errors
    ///
    /// When the block table does not fit the configuration.
    pub fn new(
        accept_id: AcceptId,
        author: ByteString,
        accepted_at_ms: u64,
        base: Option<&Adopted>,
        config: Config,
        blocks: BlockChange,
    ) -> Result<Self, ProposalError> {
        let mut objects = Vec::new();
        let (table, blocks) = next_blocks(base, blocks, &mut objects)?;
        check_regions(&config, &table)?;
        let body = Body {
            config: Arc::new(config),
            blocks,
        };
        let body = push_object(&mut objects, body.to_bytes());
        Ok(Self {
            accept_id,
            author,
            accepted_at_ms,
            base: base.map_or(0, Adopted::version),
            body,
            objects,
        })
    }
}

/// Table that follows and the name of its object, which is added to `objects` if it is new.
fn next_blocks(
    base: Option<&Adopted>,
    change: BlockChange,
    objects: &mut Vec<(Digest, Bytes)>,
) -> Result<(Arc<Table>, Option<Digest>), ProposalError> {
    let held = base.and_then(Adopted::held_blocks);
    let old = held.map_or_else(Arc::default, |held| Arc::clone(&held.table));
    let (table, delta) = match change {
        BlockChange::Keep => (Arc::clone(&old), Some(Delta::default())),
        BlockChange::Replace(table) => {
            let most = table.len() / WORTH_A_DIFFERENCE;
            let delta = held.and_then(|held| Delta::between_at_most(&held.table, &table, most));
            (Arc::new(table), delta)
        }
        BlockChange::Apply(delta) => {
            let applied = old.apply(&delta);
            let table = applied.map_err(|TooManyPreferences| ProposalError::TooManyPreferences)?;
            (Arc::new(table), Some(delta))
        }
    };
    if table.is_empty() {
        return Ok((table, None));
    }
    let object = match held.zip(delta) {
        Some((held, delta)) if delta.is_empty() => return Ok((table, Some(held.digest))),
        Some((held, delta))
            if held.depth < crate::version::object::MAX_DEPTH
                && delta.len() * WORTH_A_DIFFERENCE <= table.len() =>
        {
            BlockObject::Difference {
                base: held.digest,
                depth: held.depth + 1,
                delta: Arc::new(delta),
            }
        }
        _ => BlockObject::Snapshot(Arc::clone(&table)),
    };
    let digest = push_object(objects, object.to_bytes());
    Ok((table, Some(digest)))
}

/// Adds an object under its digest.
fn push_object(objects: &mut Vec<(Digest, Bytes)>, bytes: Bytes) -> Digest {
    let digest = Digest::of(&bytes);
    objects.push((digest, bytes));
    digest
}

/// Checks that the table names regions of the configuration only.
fn check_regions(config: &Config, table: &Table) -> Result<(), ProposalError> {
    let mut unknown = table.regions();
    unknown.retain(|id| config.region(id).is_none());
    if unknown.is_empty() {
        Ok(())
    } else {
        Err(ProposalError::UnknownRegions(unknown))
    }
}
