//! `diff`: shows the differences between two configurations.

use crate::{
    args::Global,
    context::{
        read_config,
        Context, //
    },
    outcome::{
        Failure,
        Output, //
    },
};
use op::ConfigResponse;
use serde_json::json;
use spec::{
    Config,
    Digest, //
};
use std::path::Path;

/// One of the two configurations.
struct Side {
    name: String,
    config: Config,
    /// Digest of a version's block table, if it has one; the outer `None` marks a file.
    blocks: Option<Option<Digest>>,
}

/// Compares two files, a file with the version in force, or two versions.
pub(super) async fn run(
    global: Global,
    before: &str,
    after: Option<&str>,
) -> Result<Output, Failure> {
    let (before, after) = match after {
        Some(after) => (
            load_side(&global, before).await?,
            load_side(&global, after).await?,
        ),
        None => (
            fetch_in_force(&global).await?,
            load_side(&global, before).await?,
        ),
    };
    let changes = spec::diff(&before.config, &after.config);
    let mut differences: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let blocks = before.blocks.zip(after.blocks);
    if blocks.is_some_and(|(before, after)| before != after) {
        differences.push("~ block table".to_owned());
    }
    let (from, to) = (&before.name, &after.name);
    let text = if differences.is_empty() {
        format!("{from} and {to} do not differ")
    } else {
        format!("{from} -> {to}\n  {}", differences.join("\n  "))
    };
    let json = json!({"before": from, "after": to, "difference": differences});
    Ok(Output::new(text, &json))
}

/// Loads a side by its command-line argument: a number is a version, anything else a file.
async fn load_side(global: &Global, name: &str) -> Result<Side, Failure> {
    let is_version = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_digit());
    if !is_version {
        let (_, config) = read_config(Path::new(name))?;
        return Ok(Side {
            name: name.to_owned(),
            config,
            blocks: None,
        });
    }
    fetch(global, &format!("/op/v1/config/{name}")).await
}

async fn fetch_in_force(global: &Global) -> Result<Side, Failure> {
    fetch(global, "/op/v1/config").await
}

async fn fetch(global: &Global, path: &str) -> Result<Side, Failure> {
    let context = Context::new(global.clone())?;
    let response: ConfigResponse = context.client.get(path).await?;
    let name = format!("version {}", response.head.version);
    let config = spec::parse(&name, &response.text);
    Ok(Side {
        // The daemon's text is canonical; only that of another release may fail to parse.
        config: config.map_err(|findings| Failure::Refused(findings.to_string()))?,
        name,
        blocks: Some(response.blocks),
    })
}
