//! Places in files, and what was found there.

use bytestring::ByteString;
use std::{
    error::Error,
    fmt, //
};

/// Place in a file, for a person to go to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Name of the file as it was given.
    pub file: ByteString,
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One mistake in a file.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What it is, in one line.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All mistakes of a file, sorted by place and without repeats.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Findings {
    /// Sorted, each once.
    list: Vec<Finding>,
}

impl Findings {
    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// The findings in order of place.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.list.iter()
    }
}

impl From<Vec<Finding>> for Findings {
    fn from(mut list: Vec<Finding>) -> Self {
        list.sort();
        list.dedup();
        Self { list }
    }
}

impl FromIterator<Finding> for Findings {
    fn from_iter<I: IntoIterator<Item = Finding>>(findings: I) -> Self {
        Vec::from_iter(findings).into()
    }
}

impl IntoIterator for Findings {
    type IntoIter = std::vec::IntoIter<Finding>;
    type Item = Finding;

    fn into_iter(self) -> Self::IntoIter {
        self.list.into_iter()
    }
}

impl<'a> IntoIterator for &'a Findings {
    type IntoIter = std::slice::Iter<'a, Finding>;
    type Item = &'a Finding;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl Error for Findings {}
