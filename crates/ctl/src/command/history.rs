//! `history`: the accepted versions.

use crate::{
    context::Context,
    outcome::{
        Failure,
        Output, //
    },
    table::Table,
};
use base::Version;
use op::ConfigAnswer;
use spec::Head;
use std::time::{
    Duration,
    UNIX_EPOCH, //
};

/// Lists the newest versions, or shows one.
pub(super) async fn run(
    context: &Context,
    version: Option<Version>,
    limit: u64,
) -> Result<Output, Failure> {
    if let Some(version) = version {
        let path = format!("/op/v1/config/{version}");
        let answer: ConfigAnswer = context.client.get(&path).await?;
        return Ok(Output::new(show(&answer), &answer));
    }
    let path = format!("/op/v1/history?limit={limit}");
    let heads: Vec<Head> = context.client.get(&path).await?;
    let mut table = Table::new(&["version", "accepted at", "author", "accept id"]);
    for head in &heads {
        table.row(vec![
            head.version.to_string(),
            wall_time(head.accepted_at_ms),
            head.author.to_string(),
            head.accept_id.to_string(),
        ]);
    }
    Ok(Output::new(table.render(), &heads))
}

/// The version as a file that `accept` takes, its origin in a comment.
fn show(answer: &ConfigAnswer) -> String {
    let ConfigAnswer { head, text, .. } = answer;
    let at = wall_time(head.accepted_at_ms);
    format!(
        "# Version {} by {}, {at}.\n{text}",
        head.version, head.author
    )
}

fn wall_time(at_ms: u64) -> String {
    let at = UNIX_EPOCH.checked_add(Duration::from_millis(at_ms));
    at.map_or_else(
        || "-".to_owned(),
        |at| humantime::format_rfc3339_seconds(at).to_string(),
    )
}
