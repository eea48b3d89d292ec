//! The proposal of an operator's accept, with the objects to store.

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

/// A difference is stored only if the new table has at least this many times its blocks.
const MIN_TABLE_TO_DIFFERENCE_RATIO: usize = 4;

/// Change to the block table.
#[derive(Clone, Debug, Default)]
pub enum BlockChange {
    /// The table stays unchanged.
    #[default]
    Keep,
    /// The table is replaced.
    Replace(Table),
    /// Some blocks are set or removed.
    Apply(Delta),
}

/// Parses a block file: a difference if its first line begins with a sign, otherwise a table.
///
/// # Errors
///
/// All invalid lines.
pub fn parse_blocks(file: &str, text: &str) -> Result<BlockChange, Findings> {
    let change = match starts_with_sign(text) {
        Some(true) => Delta::parse(text).map(BlockChange::Apply),
        _ => Table::parse(text).map(BlockChange::Replace),
    };
    change.map_err(|errors| findings(file, errors))
}

/// Incremental parser of a block file; the text of a large table is never in memory as a whole.
#[derive(Debug, Default)]
pub struct BlockReader {
    /// Table read so far, unless the file is a difference.
    table: TableReader,
    /// Text of a difference; differences are small.
    difference: Option<String>,
    /// Whether a line has shown if the file is a table or a difference.
    is_kind_known: bool,
}

impl BlockReader {
    /// Reads more text, which must end at the end of a line.
    pub fn push(&mut self, text: &str) {
        if !self.is_kind_known {
            let has_sign = starts_with_sign(text);
            self.is_kind_known = has_sign.is_some();
            self.difference = has_sign.unwrap_or(false).then(String::new);
        }
        match &mut self.difference {
            Some(difference) => difference.push_str(text),
            None => self.table.push(text),
        }
    }

    /// Returns the change that the file states.
    ///
    /// # Errors
    ///
    /// As for [`parse_blocks`], except that duplicate blocks of a table are only counted.
    pub fn finish(self, file: &str) -> Result<BlockChange, Findings> {
        let change = match self.difference {
            Some(text) => Delta::parse(&text).map(BlockChange::Apply),
            None => self.table.finish().map(BlockChange::Replace),
        };
        change.map_err(|errors| findings(file, errors))
    }
}

/// Whether the first line that is neither empty nor a comment begins with a sign; `None` if there
/// is no such line.
fn starts_with_sign(text: &str) -> Option<bool> {
    let mut lines = text.lines().map(str::trim);
    let first = lines.find(|line| !line.is_empty() && !line.starts_with('#'));
    first.map(|line| line.starts_with(['+', '-']))
}

/// Converts line errors to findings with locations.
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

/// Accept that an operator requested, based on the version that it changes.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Proposal {
    /// Id of the accept. A repeated request has the same id and the same base.
    pub accept_id: AcceptId,
    /// Operator, as stated in the request.
    pub author: ByteString,
    /// Wall-clock time of the accept; for display only.
    pub accepted_at_ms: u64,
    /// Version that the accept changes; 0 if there is no version yet.
    pub base: Version,
    /// Digest of the body.
    pub body: Digest,
    /// Objects to store; an object comes after those that it names.
    pub objects: Vec<(Digest, Bytes)>,
}

/// Error when building a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalError {
    /// Blocks name regions that the configuration doesn't have.
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
    /// Builds a proposal based on the version `base`.
    ///
    /// # Errors
    ///
    /// If the block table names unknown regions or has too many distinct preferences.
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

/// Returns the next table and the digest of its object, which is added to `objects` if it is new.
fn next_blocks(
    base: Option<&Adopted>,
    change: BlockChange,
    objects: &mut Vec<(Digest, Bytes)>,
) -> Result<(Arc<Table>, Option<Digest>), ProposalError> {
    let base_blocks = base.and_then(Adopted::resolved_blocks);
    let old_table = base_blocks.map_or_else(Arc::default, |blocks| Arc::clone(&blocks.table));
    let (table, delta) = match change {
        BlockChange::Keep => (Arc::clone(&old_table), Some(Delta::default())),
        BlockChange::Replace(table) => {
            let max_blocks = table.len() / MIN_TABLE_TO_DIFFERENCE_RATIO;
            let delta = base_blocks
                .and_then(|blocks| Delta::between_at_most(&blocks.table, &table, max_blocks));
            (Arc::new(table), delta)
        }
        BlockChange::Apply(delta) => {
            let applied = old_table.apply(&delta);
            let table = applied.map_err(|TooManyPreferences| ProposalError::TooManyPreferences)?;
            (Arc::new(table), Some(delta))
        }
    };
    if table.is_empty() {
        return Ok((table, None));
    }
    let object = match base_blocks.zip(delta) {
        Some((base_blocks, delta)) if delta.is_empty() => {
            return Ok((table, Some(base_blocks.digest)))
        }
        Some((base_blocks, delta))
            if base_blocks.depth < crate::version::object::MAX_DEPTH
                && delta.len() * MIN_TABLE_TO_DIFFERENCE_RATIO <= table.len() =>
        {
            BlockObject::Difference {
                base: base_blocks.digest,
                depth: base_blocks.depth + 1,
                delta: Arc::new(delta),
            }
        }
        _ => BlockObject::Snapshot(Arc::clone(&table)),
    };
    let digest = push_object(objects, object.to_bytes());
    Ok((table, Some(digest)))
}

/// Adds an object with its digest.
fn push_object(objects: &mut Vec<(Digest, Bytes)>, bytes: Bytes) -> Digest {
    let digest = Digest::of(&bytes);
    objects.push((digest, bytes));
    digest
}

/// Checks that the table names only regions of the configuration.
fn check_regions(config: &Config, table: &Table) -> Result<(), ProposalError> {
    let mut unknown = table.regions();
    unknown.retain(|id| config.region(id).is_none());
    if unknown.is_empty() {
        Ok(())
    } else {
        Err(ProposalError::UnknownRegions(unknown))
    }
}
