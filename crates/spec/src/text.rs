//! Canonical text of a configuration: YAML that reads back to the same value.

use crate::{
    item::{
        items,
        Item, //
    },
    Config,
};
use conf::quote;
use std::fmt;

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut section = "";
        for (item, fields) in items(self) {
            let next = section_of(&item);
            if next != section && !next.is_empty() {
                writeln!(f, "{next}:")?;
            }
            section = next;
            match item {
                Item::Deployment => writeln!(f, "name: {}", fields[0].1)?,
                Item::Service(id) => writeln!(f, "  - {}", quote(&id))?,
                Item::Drain(target) => writeln!(f, "  - {}", quote(&target.to_string()))?,
                _ => {
                    for (index, (name, value)) in fields.iter().enumerate() {
                        let lead = if index == 0 { "-" } else { " " };
                        writeln!(f, "  {lead} {name}: {value}")?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// Field of the document under which an item stands.
fn section_of(item: &Item) -> &'static str {
    match item {
        Item::Deployment => "",
        Item::Region(_) => "regions",
        Item::Service(_) => "services",
        Item::Class(_) => "classes",
        Item::Cap(..) => "caps",
        Item::Drain(_) => "drains",
        Item::BlockRule(_) => "blocks",
    }
}
