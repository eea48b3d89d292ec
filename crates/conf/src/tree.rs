//! The document as a tree of located nodes, built from the parser's events.
//!
//! The parser's own tree keeps a mapping's last value when a key stands twice, and copies what an
//! alias names. So the tree is built here: a repeated key and an alias are findings. The stack of
//! open collections is on the heap and bounded, so that no text exhausts the thread's stack.

use crate::scalar;
use base::FastMap;
use saphyr_parser::{
    Event,
    Marker,
    Parser,
    ScalarStyle, //
};

/// Deepest nesting of collections.
const MAX_DEPTH: usize = 32;

/// Line and column, both counted from 1.
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
    fn of(marker: &Marker) -> Self {
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Self {
            line: number(marker.line()).max(1),
            column: number(marker.col()).saturating_add(1),
        }
    }
}

/// Node of the tree and where it starts.
#[derive(Debug)]
pub(crate) struct Node {
    /// Where the node starts.
    pub(crate) mark: Mark,
    /// What the node holds.
    pub(crate) data: Data,
}

/// What a node holds.
#[derive(Debug)]
pub(crate) enum Data {
    /// Refused when the tree was built; already a finding.
    Refused,
    /// Null, or nothing at all.
    Null,
    /// Text without quotes, whose meaning depends on the field.
    Plain(String),
    /// Text in quotes.
    Quoted(String),
    /// Sequence.
    List(Vec<Node>),
    /// Mapping, in the order of the file, each key once.
    Map(Vec<Pair>),
}

/// Key of a mapping with its value.
#[derive(Debug)]
pub(crate) struct Pair {
    /// Text of the key.
    pub(crate) key: String,
    /// Where the key starts.
    pub(crate) mark: Mark,
    /// What the key maps to.
    pub(crate) value: Node,
}

/// Result of reading a text: a tree unless the syntax was wrong, and what was found.
#[derive(Debug)]
pub(crate) struct Tree {
    /// Root of the only document.
    pub(crate) root: Option<Node>,
    /// Mistakes found while building.
    pub(crate) found: Vec<(Mark, String)>,
}

impl Tree {
    /// Reads the only document of `text`.
    pub(crate) fn parse(text: &str) -> Self {
        let mut builder = Builder::default();
        let mut parser = Parser::new_from_str(text);
        while let Some(event) = parser.next_event() {
            match event {
                Ok((event, span)) => {
                    if !builder.take(event, Mark::of(&span.start)) {
                        break;
                    }
                }
                Err(error) => {
                    builder.stop(
                        Mark::of(error.marker()),
                        format!("syntax: {}", error.info()),
                    );
                    break;
                }
            }
        }
        builder.finish()
    }
}

/// Collection whose end has not been read yet.
enum Open {
    /// Sequence with its items so far.
    List(Mark, Vec<Node>),
    /// Mapping with its pairs so far.
    Map(Mark, OpenMap),
}

/// Mapping whose end has not been read yet.
#[derive(Default)]
struct OpenMap {
    /// Pairs so far, each key once.
    pairs: Vec<Pair>,
    /// Key whose value comes next.
    key: Option<Key>,
    /// Line of each key that was read.
    lines: FastMap<String, u32>,
}

/// What stands in a key's place.
enum Key {
    /// New key.
    Fresh(String, Mark),
    /// Repeated or unreadable key, whose value is dropped.
    Dropped,
}

/// Builds the tree from events.
#[derive(Default)]
struct Builder {
    /// Collections around the current event, the outermost first.
    open: Vec<Open>,
    /// Root, once it is whole.
    root: Option<Node>,
    /// Number of documents that started.
    documents: u32,
    /// Whether reading stopped before the end.
    stopped: bool,
    /// Mistakes so far.
    found: Vec<(Mark, String)>,
}

impl Builder {
    /// Takes the next event; false once reading has to stop.
    fn take(&mut self, event: Event<'_>, mark: Mark) -> bool {
        match event {
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => {}
            Event::DocumentStart(_) => self.start_document(mark),
            Event::Alias(_) => {
                self.find(mark, "aliases are not supported");
                self.add(Node {
                    mark,
                    data: Data::Refused,
                });
            }
            Event::Scalar(text, style, anchor, tag) => {
                self.refuse_extras(mark, anchor, tag.is_some());
                let data = match style {
                    ScalarStyle::Plain if scalar::is_null(&text) => Data::Null,
                    ScalarStyle::Plain => Data::Plain(text.into_owned()),
                    _ => Data::Quoted(text.into_owned()),
                };
                self.add(Node { mark, data });
            }
            Event::SequenceStart(anchor, tag) => {
                self.refuse_extras(mark, anchor, tag.is_some());
                self.open(mark, Open::List(mark, Vec::new()));
            }
            Event::MappingStart(anchor, tag) => {
                self.refuse_extras(mark, anchor, tag.is_some());
                self.open(mark, Open::Map(mark, OpenMap::default()));
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
        }
        !self.stopped
    }

    /// Records a mistake.
    fn find(&mut self, mark: Mark, message: impl Into<String>) {
        self.found.push((mark, message.into()));
    }

    /// Records a mistake after which the rest can't be read.
    fn stop(&mut self, mark: Mark, message: String) {
        self.found.push((mark, message));
        self.stopped = true;
    }

    /// Counts documents; only the first is read.
    fn start_document(&mut self, mark: Mark) {
        self.documents += 1;
        if self.documents > 1 {
            self.stop(mark, "only one document is read from a file".to_owned());
        }
    }

    /// Refuses anchors and tags.
    fn refuse_extras(&mut self, mark: Mark, anchor: usize, tagged: bool) {
        if anchor != 0 {
            self.find(mark, "anchors are not supported");
        }
        if tagged {
            self.find(mark, "tags are not supported");
        }
    }

    /// Opens a collection.
    fn open(&mut self, mark: Mark, open: Open) {
        if self.open.len() == MAX_DEPTH {
            self.stop(mark, format!("nested deeper than {MAX_DEPTH} levels"));
            return;
        }
        self.open.push(open);
    }

    /// Closes the innermost collection.
    fn close(&mut self) {
        let node = match self.open.pop() {
            Some(Open::List(mark, items)) => Node {
                mark,
                data: Data::List(items),
            },
            Some(Open::Map(mark, map)) => Node {
                mark,
                data: Data::Map(map.pairs),
            },
            None => return,
        };
        self.add(node);
    }

    /// Adds a whole node to the collection around it.
    fn add(&mut self, node: Node) {
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(Open::List(_, items)) => items.push(node),
            Some(Open::Map(_, map)) => match map.key.take() {
                Some(Key::Fresh(key, mark)) => map.pairs.push(Pair {
                    key,
                    mark,
                    value: node,
                }),
                Some(Key::Dropped) => {}
                None => self.add_key(node),
            },
        }
    }

    /// Takes a node that stands in a key's place of the innermost mapping.
    fn add_key(&mut self, node: Node) {
        let mark = node.mark;
        let Some(Open::Map(_, map)) = self.open.last_mut() else {
            return;
        };
        let (key, message) = match node.data {
            Data::Plain(text) | Data::Quoted(text) => match map.lines.get(&text) {
                Some(line) => {
                    let message = format!("duplicate field `{text}`, first on line {line}");
                    (Key::Dropped, Some(message))
                }
                None => {
                    map.lines.insert(text.clone(), mark.line);
                    (Key::Fresh(text, mark), None)
                }
            },
            Data::Refused => (Key::Dropped, None),
            Data::Null | Data::List(_) | Data::Map(_) => {
                (Key::Dropped, Some("a field's name must be text".to_owned()))
            }
        };
        map.key = Some(key);
        if let Some(message) = message {
            self.find(mark, message);
        }
    }

    /// Gives the tree, without root if reading stopped before the end.
    fn finish(mut self) -> Tree {
        if self.root.is_none() && !self.stopped {
            self.find(Mark::START, "the document is empty");
        }
        Tree {
            root: self.root.filter(|_| !self.stopped),
            found: self.found,
        }
    }
}
