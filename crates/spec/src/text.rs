//! Canonical text of a configuration: YAML that parses back to the same value.

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
            let item_section = section_of(&item);
            if item_section != section && !item_section.is_empty() {
                writeln!(f, "{item_section}:")?;
            }
            section = item_section;
            match item {
                Item::Deployment => writeln!(f, "name: {}", fields[0].1)?,
                Item::Service(id) => writeln!(f, "  - {}", quote(&id))?,
                Item::Drain(target) => writeln!(f, "  - {}", quote(&target.to_string()))?,
                _ => {
                    for (index, (name, value)) in fields.iter().enumerate() {
                        let marker = if index == 0 { "-" } else { " " };
                        writeln!(f, "  {marker} {name}: {value}")?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// Field of the document that contains the item; empty for the deployment's own fields.
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
