//! Tree of located nodes, built from the parser's events.
//!
//! The parser's own tree keeps the last value of a duplicate key and copies the target of an alias.
//! This tree reports duplicate keys and aliases as findings instead. The stack of open collections is
//! on the heap and bounded, so that no input overflows the thread's stack.

use crate::scalar;
use base::FastMap;
use saphyr_parser::{
    Event,
    Marker,
    Parser,
    ScalarStyle, //
};

/// Maximum nesting depth of collections.
const MAX_DEPTH: usize = 32;

/// Position in the document; line and column are counted from 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Mark {
    /// Line.
    pub(crate) line: u32,
    /// Column in characters.
    pub(crate) column: u32,
}

impl Mark {
    /// Start of the document.
    pub(crate) const START: Self = Self { line: 1, column: 1 };

    /// Converts the parser's marker, whose columns count from 0.
    fn from_marker(marker: &Marker) -> Self {
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Self {
            line: number(marker.line()).max(1),
            column: number(marker.col()).saturating_add(1),
        }
    }
}

/// Node of the tree and its position.
#[derive(Debug)]
pub(crate) struct Node {
    /// Start of the node.
    pub(crate) mark: Mark,
    /// Content of the node.
    pub(crate) data: Data,
}

/// Content of a node.
#[derive(Debug)]
pub(crate) enum Data {
    /// Rejected when the tree was built; the finding is already recorded.
    Rejected,
    /// Null or empty.
    Null,
    /// Unquoted scalar, whose type depends on the field.
    Plain(String),
    /// Quoted scalar.
    Quoted(String),
    /// Sequence.
    List(Vec<Node>),
    /// Mapping in file order, with unique keys.
    Map(Vec<Pair>),
}

/// Key and value of a mapping.
#[derive(Debug)]
pub(crate) struct Pair {
    /// Text of the key.
    pub(crate) key: String,
    /// Start of the key.
    pub(crate) mark: Mark,
    /// Value of the key.
    pub(crate) value: Node,
}

/// Result of parsing a text: the root node unless the syntax was invalid, and the findings.
#[derive(Debug)]
pub(crate) struct Tree {
    /// Root of the document.
    pub(crate) root: Option<Node>,
    /// Errors found while building.
    pub(crate) findings: Vec<(Mark, String)>,
}

impl Tree {
    /// Parses `text`, which must hold a single document.
    pub(crate) fn parse(text: &str) -> Self {
        let mut builder = Builder::default();
        let mut parser = Parser::new_from_str(text);
        while let Some(event) = parser.next_event() {
            match event {
                Ok((event, span)) => {
                    if !builder.handle_event(event, Mark::from_marker(&span.start)) {
                        break;
                    }
                }
                Err(error) => {
                    builder.abort(
                        Mark::from_marker(error.marker()),
                        format!("syntax: {}", error.info()),
                    );
                    break;
                }
            }
        }
        builder.finish()
    }
}

/// Collection whose end event hasn't been read yet.
enum OpenCollection {
    /// Sequence with the items read so far.
    List(Mark, Vec<Node>),
    /// Mapping with the pairs read so far.
    Map(Mark, OpenMapping),
}

/// Mapping whose end event hasn't been read yet.
#[derive(Default)]
struct OpenMapping {
    /// Pairs read so far, with unique keys.
    pairs: Vec<Pair>,
    /// Key whose value is read next.
    key: Option<Key>,
    /// Line of each key read so far.
    key_lines: FastMap<String, u32>,
}

/// Key of a mapping that awaits its value.
enum Key {
    /// Unique key so far.
    New(String, Mark),
    /// Duplicate or invalid key, whose value is ignored.
    Ignored,
}

/// Builds the tree from events.
#[derive(Default)]
struct Builder {
    /// Collections that enclose the current event, outermost first.
    open: Vec<OpenCollection>,
    /// Root, once complete.
    root: Option<Node>,
    /// Number of documents started.
    documents: u32,
    /// Whether parsing was aborted before the end.
    aborted: bool,
    /// Errors found so far.
    findings: Vec<(Mark, String)>,
}

impl Builder {
    /// Handles the next event; returns false once parsing is aborted.
    fn handle_event(&mut self, event: Event<'_>, mark: Mark) -> bool {
        match event {
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => {}
            Event::DocumentStart(_) => self.start_document(mark),
            Event::Alias(_) => {
                self.report(mark, "aliases are not supported");
                self.add(Node {
                    mark,
                    data: Data::Rejected,
                });
            }
            Event::Scalar(text, style, anchor, tag) => {
                self.reject_anchor_and_tag(mark, anchor, tag.is_some());
                let data = match style {
                    ScalarStyle::Plain if scalar::is_null(&text) => Data::Null,
                    ScalarStyle::Plain => Data::Plain(text.into_owned()),
                    _ => Data::Quoted(text.into_owned()),
                };
                self.add(Node { mark, data });
            }
            Event::SequenceStart(anchor, tag) => {
                self.reject_anchor_and_tag(mark, anchor, tag.is_some());
                self.open(mark, OpenCollection::List(mark, Vec::new()));
            }
            Event::MappingStart(anchor, tag) => {
                self.reject_anchor_and_tag(mark, anchor, tag.is_some());
                self.open(mark, OpenCollection::Map(mark, OpenMapping::default()));
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
        }
        !self.aborted
    }

    /// Records a finding.
    fn report(&mut self, mark: Mark, message: impl Into<String>) {
        self.findings.push((mark, message.into()));
    }

    /// Records a finding that aborts parsing.
    fn abort(&mut self, mark: Mark, message: String) {
        self.findings.push((mark, message));
        self.aborted = true;
    }

    /// Counts documents; a second one aborts parsing.
    fn start_document(&mut self, mark: Mark) {
        self.documents += 1;
        if self.documents > 1 {
            self.abort(mark, "only one document is read from a file".to_owned());
        }
    }

    /// Records findings for an anchor and a tag.
    fn reject_anchor_and_tag(&mut self, mark: Mark, anchor: usize, tagged: bool) {
        if anchor != 0 {
            self.report(mark, "anchors are not supported");
        }
        if tagged {
            self.report(mark, "tags are not supported");
        }
    }

    /// Opens a collection.
    fn open(&mut self, mark: Mark, collection: OpenCollection) {
        if self.open.len() == MAX_DEPTH {
            self.abort(mark, format!("nested deeper than {MAX_DEPTH} levels"));
            return;
        }
        self.open.push(collection);
    }

    /// Closes the innermost collection.
    fn close(&mut self) {
        let node = match self.open.pop() {
            Some(OpenCollection::List(mark, items)) => Node {
                mark,
                data: Data::List(items),
            },
            Some(OpenCollection::Map(mark, map)) => Node {
                mark,
                data: Data::Map(map.pairs),
            },
            None => return,
        };
        self.add(node);
    }

    /// Adds a complete node to the innermost open collection.
    fn add(&mut self, node: Node) {
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(OpenCollection::List(_, items)) => items.push(node),
            Some(OpenCollection::Map(_, map)) => match map.key.take() {
                Some(Key::New(key, mark)) => map.pairs.push(Pair {
                    key,
                    mark,
                    value: node,
                }),
                Some(Key::Ignored) => {}
                None => self.add_key(node),
            },
        }
    }

    /// Adds a node as the next key of the innermost mapping.
    fn add_key(&mut self, node: Node) {
        let mark = node.mark;
        let Some(OpenCollection::Map(_, map)) = self.open.last_mut() else {
            return;
        };
        let (key, message) = match node.data {
            Data::Plain(text) | Data::Quoted(text) => match map.key_lines.get(&text) {
                Some(line) => {
                    let message = format!("duplicate field `{text}`, first on line {line}");
                    (Key::Ignored, Some(message))
                }
                None => {
                    map.key_lines.insert(text.clone(), mark.line);
                    (Key::New(text, mark), None)
                }
            },
            Data::Rejected => (Key::Ignored, None),
            Data::Null | Data::List(_) | Data::Map(_) => {
                (Key::Ignored, Some("a field's name must be text".to_owned()))
            }
        };
        map.key = Some(key);
        if let Some(message) = message {
            self.report(mark, message);
        }
    }

    /// Returns the tree, without a root if parsing was aborted.
    fn finish(mut self) -> Tree {
        if self.root.is_none() && !self.aborted {
            self.report(Mark::START, "the document is empty");
        }
        Tree {
            root: self.root.filter(|_| !self.aborted),
            findings: self.findings,
        }
    }
}
