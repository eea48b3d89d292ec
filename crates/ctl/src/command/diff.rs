//! `diff`: what differs between two configurations.

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
use op::ConfigAnswer;
use serde_json::json;
use spec::{
    Config,
    Digest, //
};
use std::path::Path;

/// One of the two.
struct Side {
    name: String,
    config: Config,
    /// Block object; a file says nothing of blocks.
    blocks: Option<Option<Digest>>,
}

/// Compares two files, a file with the version in force, or two versions.
pub(super) async fn run(
    global: Global,
    before: &str,
    after: Option<&str>,
) -> Result<Output, Failure> {
    let (before, after) = match after {
        Some(after) => (side(&global, before).await?, side(&global, after).await?),
        None => (in_force(&global).await?, side(&global, before).await?),
    };
    let changes = spec::diff(&before.config, &after.config);
    let mut steps: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let blocks = before.blocks.zip(after.blocks);
    if blocks.is_some_and(|(before, after)| before != after) {
        steps.push("~ block table".to_owned());
    }
    let (from, to) = (&before.name, &after.name);
    let text = if steps.is_empty() {
        format!("{from} and {to} do not differ")
    } else {
        format!("{from} -> {to}\n  {}", steps.join("\n  "))
    };
    let json = json!({"before": from, "after": to, "difference": steps});
    Ok(Output::new(text, &json))
}

/// Side by its name on the command line: a number is a version, all else a file.
async fn side(global: &Global, name: &str) -> Result<Side, Failure> {
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

async fn in_force(global: &Global) -> Result<Side, Failure> {
    fetch(global, "/op/v1/config").await
}

async fn fetch(global: &Global, path: &str) -> Result<Side, Failure> {
    let context = Context::new(global.clone())?;
    let answer: ConfigAnswer = context.client.get(path).await?;
    let name = format!("version {}", answer.head.version);
    let config = spec::parse(&name, &answer.text);
    Ok(Side {
        // The daemon's text is canonical; only another release's could be unreadable here.
        config: config.map_err(|findings| Failure::Refused(findings.to_string()))?,
        name,
        blocks: Some(answer.blocks),
    })
}
