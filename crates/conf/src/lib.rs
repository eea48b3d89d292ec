//! YAML with places: reads a document and reports every finding with file, line and column.
