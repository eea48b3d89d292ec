//! Tables with aligned columns.

/// Space between columns.
const GAP: &str = "  ";

/// Table of text; columns that hold numbers only are aligned to the right.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Table with a head and no rows.
    pub(crate) fn new(head: &[&str]) -> Self {
        Self {
            head: head.iter().map(|&cell| cell.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which has as many cells as the head.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        debug_assert_eq!(cells.len(), self.head.len());
        self.rows.push(cells);
    }

    /// The lines; a table without rows says so.
    pub(crate) fn render(&self) -> String {
        if self.rows.is_empty() {
            return "none\n".to_owned();
        }
        let columns: Vec<Column> = (0..self.head.len()).map(|i| self.column(i)).collect();
        let mut text = String::new();
        for row in std::iter::once(&self.head).chain(&self.rows) {
            let cells = row.iter().zip(&columns);
            let line: Vec<String> = cells.map(|(cell, column)| column.pad(cell)).collect();
            text.push_str(line.join(GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn column(&self, index: usize) -> Column {
        let cells = || self.rows.iter().map(|row| &row[index]);
        let longest = cells().chain([&self.head[index]]);
        Column {
            width: longest.map(|cell| cell.chars().count()).max().unwrap_or(0),
            is_numeric: cells().all(|cell| is_number(cell)),
        }
    }
}

/// How a column is set.
struct Column {
    width: usize,
    is_numeric: bool,
}

impl Column {
    fn pad(&self, cell: &str) -> String {
        let width = self.width;
        if self.is_numeric {
            format!("{cell:>width$}")
        } else {
            format!("{cell:<width$}")
        }
    }
}

fn is_number(cell: &str) -> bool {
    let plain = cell.trim_end_matches(" ms").trim_end_matches('%');
    plain == "-" || plain.parse::<f64>().is_ok()
}
