//! `check` and `check-routes`: check a configuration or routes as a daemon would, without a daemon.

use crate::{
    context::{
        read_blocks,
        read_config,
        read_routes, //
    },
    outcome::{
        Failure,
        Output, //
    },
};
use serde_json::json;
use std::path::Path;

/// Checks the configuration and the blocks, and reports the findings of both together.
pub(super) fn run(file: &Path, blocks: Option<&Path>) -> Result<Output, Failure> {
    let config = read_config(file);
    let blocks = blocks.map(read_blocks).transpose();
    let (config, blocks) = match (config, blocks) {
        (Ok((_, config)), Ok(blocks)) => (config, blocks),
        (config, blocks) => {
            let failures = [config.err(), blocks.err()];
            let messages = failures.iter().flatten().map(ToString::to_string);
            let messages: Vec<String> = messages.collect();
            return Err(Failure::BadInput(messages.join("\n")));
        }
    };
    let text = format!(
        "{}: no findings ({} regions, {} classes{})",
        file.display(),
        config.regions.len(),
        config.classes.len(),
        if blocks.is_some() {
            ", blocks read"
        } else {
            ""
        },
    );
    Ok(Output::new(
        text,
        &json!({"file": file, "findings": [], "name": config.name}),
    ))
}

/// Checks a routes file.
pub(super) fn run_routes(file: &Path) -> Result<Output, Failure> {
    let (routes, _) = read_routes(file)?;
    let count: usize = routes.hosts.iter().map(|host| host.routes.len()).sum();
    let text = format!(
        "{}: no findings (version {}, {} services, {count} routes)",
        file.display(),
        routes.version,
        routes.services.len(),
    );
    Ok(Output::new(
        text,
        &json!({"file": file, "findings": [], "version": routes.version}),
    ))
}
