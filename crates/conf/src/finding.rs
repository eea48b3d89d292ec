//! Errors found in a file and their source locations.

use bytestring::ByteString;
use std::{
    error::Error,
    fmt, //
};

/// Source location in a file.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SourceLocation {
    /// Name of the file as given by the caller.
    pub file: ByteString,
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One error in a file.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Location of the error.
    pub location: SourceLocation,
    /// Description, on one line.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// All errors in a file, sorted by location and without duplicates.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Findings {
    /// Sorted and deduplicated.
    list: Vec<Finding>,
}

impl Findings {
    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Iterates over the findings in order of location.
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
