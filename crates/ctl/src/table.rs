//! Text tables with aligned columns.

/// Separator between columns.
const COLUMN_GAP: &str = "  ";

/// Text table; columns that contain only numbers are aligned to the right.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Table with a header and no rows.
    pub(crate) fn new(header: &[&str]) -> Self {
        Self {
            header: header.iter().map(|&cell| cell.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have as many cells as the header.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        debug_assert_eq!(cells.len(), self.header.len());
        self.rows.push(cells);
    }

    /// Renders the lines; a table without rows is `none`.
    pub(crate) fn render(&self) -> String {
        if self.rows.is_empty() {
            return "none\n".to_owned();
        }
        let columns: Vec<Column> = (0..self.header.len()).map(|i| self.column(i)).collect();
        let mut text = String::new();
        for row in std::iter::once(&self.header).chain(&self.rows) {
            let cells = row.iter().zip(&columns);
            let line: Vec<String> = cells.map(|(cell, column)| column.pad(cell)).collect();
            text.push_str(line.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn column(&self, index: usize) -> Column {
        let cells = || self.rows.iter().map(|row| &row[index]);
        let longest = cells().chain([&self.header[index]]);
        Column {
            width: longest.map(|cell| cell.chars().count()).max().unwrap_or(0),
            is_numeric: cells().all(|cell| is_number(cell)),
        }
    }
}

/// Width and alignment of a column.
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
    let number = cell.trim_end_matches(" ms").trim_end_matches('%');
    number == "-" || number.parse::<f64>().is_ok()
}
