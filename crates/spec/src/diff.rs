//! Difference of two configurations, for an operator to read.

use crate::{
    item::{
        items,
        Fields,
        Item, //
    },
    Config, //
};
use std::{
    collections::BTreeMap,
    fmt, //
};

/// One step from one configuration to another.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Change {
    /// Part that changes.
    pub item: Item,
    /// How it changes.
    pub kind: ChangeKind,
}

/// How a part of a configuration changes.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeKind {
    /// Only the later configuration has it.
    Added,
    /// Only the earlier configuration has it.
    Removed,
    /// Both have it with another value of a field.
    Set {
        /// Name of the field, as in the file.
        field: &'static str,
        /// Earlier value, as in the file.
        before: String,
        /// Later value, as in the file.
        after: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {}", self.item),
            ChangeKind::Removed => write!(f, "- {}", self.item),
            ChangeKind::Set {
                field,
                before,
                after,
            } => write!(f, "~ {}: {field} {before} -> {after}", self.item),
        }
    }
}

/// Steps from `before` to `after`, sorted by item; empty if they are equal.
pub fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let before: BTreeMap<Item, Fields> = items(before).into_iter().collect();
    let mut after: BTreeMap<Item, Fields> = items(after).into_iter().collect();
    let mut changes = Vec::new();
    for (item, fields) in before {
        match after.remove(&item) {
            None => changes.push(Change {
                item,
                kind: ChangeKind::Removed,
            }),
            Some(later) => changes.extend(set_fields(&item, fields, later)),
        }
    }
    changes.extend(after.into_keys().map(|item| Change {
        item,
        kind: ChangeKind::Added,
    }));
    changes.sort();
    changes
}

/// Steps between two values of one item.
fn set_fields(item: &Item, before: Fields, after: Fields) -> Vec<Change> {
    before
        .into_iter()
        .zip(after)
        .filter(|((_, before), (_, after))| before != after)
        .map(|((field, before), (_, after))| Change {
            item: item.clone(),
            kind: ChangeKind::Set {
                field,
                before,
                after,
            },
        })
        .collect()
}
