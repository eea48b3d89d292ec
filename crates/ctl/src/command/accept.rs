//! `accept`: puts a configuration file in force.

use crate::{
    args::AcceptArgs,
    command::change::{
        shell_quote,
        PendingChange, //
    },
    context::{
        read_blocks,
        read_config,
        Context, //
    },
    outcome::{
        Failure,
        Output, //
    },
};
use base::Version;
use op::{
    AcceptRequest,
    ConfigResponse,
    Refusal, //
};
use std::path::Path;

/// Checks the files, then requests their accept on the base version.
pub(super) async fn run(context: &Context, args: &AcceptArgs) -> Result<Output, Failure> {
    let (text, _) = read_config(&args.file)?;
    let blocks = args.blocks.as_deref().map(read_blocks).transpose()?;
    let base = match args.base {
        Some(base) => base,
        None => version_in_force(context).await?,
    };
    let command = command_line(args, base);
    let pending = PendingChange::new(context, &args.change, command);
    let request = AcceptRequest {
        accept_id: pending.accept_id.clone(),
        author: context.author(),
        base_version: Some(base),
        text,
        blocks,
    };
    let subject = format!("{} on version {base}", args.file.display());
    pending.run(&request, &subject).await
}

/// Version in force; zero if none was accepted yet.
async fn version_in_force(context: &Context) -> Result<Version, Failure> {
    match context.client.get::<ConfigResponse>("/op/v1/config").await {
        Ok(answer) => Ok(answer.head.version),
        Err(op::Failure::Refused {
            refusal: Refusal::NotFound { .. },
            ..
        }) => Ok(0),
        Err(failure) => Err(failure.into()),
    }
}

/// Command that repeats this one on the same base: a repeat on a newer version could undo another
/// operator's change that was accepted in between.
fn command_line(args: &AcceptArgs, base: Version) -> String {
    let quoted_path = |path: &Path| shell_quote(&path.display().to_string());
    let mut line = format!("accept {} --base {base}", quoted_path(&args.file));
    if let Some(blocks) = &args.blocks {
        line += &format!(" --blocks {}", quoted_path(blocks));
    }
    line
}
