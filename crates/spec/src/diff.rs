//! Difference of two configurations in a form for operators.

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

/// One change from one configuration to another.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Change {
    /// Item that changes.
    pub item: Item,
    /// Kind of the change.
    pub kind: ChangeKind,
}

/// Kind of a change to an item.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeKind {
    /// Only the later configuration has the item.
    Added,
    /// Only the earlier configuration has the item.
    Removed,
    /// Both configurations have the item, with different values of a field.
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

/// Returns the changes from `before` to `after`, sorted by item; empty if they are equal.
pub fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let before: BTreeMap<Item, Fields> = items(before).into_iter().collect();
    let mut after: BTreeMap<Item, Fields> = items(after).into_iter().collect();
    let mut changes = Vec::new();
    for (item, before_fields) in before {
        match after.remove(&item) {
            None => changes.push(Change {
                item,
                kind: ChangeKind::Removed,
            }),
            Some(after_fields) => {
                changes.extend(changed_fields(&item, before_fields, after_fields))
            }
        }
    }
    changes.extend(after.into_keys().map(|item| Change {
        item,
        kind: ChangeKind::Added,
    }));
    changes.sort();
    changes
}

/// Returns the changes between two values of one item.
fn changed_fields(item: &Item, before: Fields, after: Fields) -> Vec<Change> {
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
