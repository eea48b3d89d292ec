//! `history`: lists and shows accepted versions.

use crate::{
    context::Context,
    outcome::{
        Failure,
        Output, //
    },
    table::Table,
};
use base::Version;
use op::ConfigResponse;
use spec::Head;
use std::time::{
    Duration,
    UNIX_EPOCH, //
};

/// Lists the newest versions, or shows one version.
pub(super) async fn run(
    context: &Context,
    version: Option<Version>,
    limit: u64,
) -> Result<Output, Failure> {
    if let Some(version) = version {
        let path = format!("/op/v1/config/{version}");
        let response: ConfigResponse = context.client.get(&path).await?;
        return Ok(Output::new(format_file(&response), &response));
    }
    let path = format!("/op/v1/history?limit={limit}");
    let heads: Vec<Head> = context.client.get(&path).await?;
    let mut table = Table::new(&["version", "accepted at", "author", "accept id"]);
    for head in &heads {
        table.add_row(vec![
            head.version.to_string(),
            wall_time(head.accepted_at_ms),
            head.author.to_string(),
            head.accept_id.to_string(),
        ]);
    }
    Ok(Output::new(table.render(), &heads))
}

/// Formats a version as a file that `accept` reads, with its author and time in a comment.
fn format_file(response: &ConfigResponse) -> String {
    let ConfigResponse { head, text, .. } = response;
    let accepted_at = wall_time(head.accepted_at_ms);
    format!(
        "# Version {} by {}, {accepted_at}.\n{text}",
        head.version, head.author
    )
}

fn wall_time(unix_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    time.map_or_else(
        || "-".to_owned(),
        |time| humantime::format_rfc3339_seconds(time).to_string(),
    )
}
