//! The commands, one module each.

mod accept;
mod change;
mod check;
mod diff;
mod drain;
mod explain;
mod history;
mod organisations;
mod routes;
mod shares;
mod status;
mod target;

use crate::{
    args::{
        Args,
        Command,
        DrainCommand,
        TargetCommand, //
    },
    context::Context,
    outcome::{
        Failure,
        Output, //
    },
};
use clap::CommandFactory;
use op::DrainAction;
use std::time::Duration;

/// Runs the parsed command.
///
/// # Errors
///
/// The reason why it was not done, or that its outcome is unknown.
pub(crate) async fn run(args: Args) -> Result<Output, Failure> {
    let Args { global, command } = args;
    match command {
        Command::Check { file, blocks } => check::run(&file, blocks.as_deref()),
        Command::CheckRoutes { file } => check::run_routes(&file),
        Command::Completions { shell } => Ok(completions(shell)),
        Command::Routes(command) => {
            let timeout = Duration::from_secs(global.request_timeout_s);
            routes::run(command, timeout).await
        }
        Command::Explain(args) => explain::run(&args),
        Command::KeyDigest { file } => organisations::digest(file.as_deref()),
        Command::Organisations { entries } => {
            let timeout = Duration::from_secs(global.request_timeout_s);
            organisations::show(&entries, timeout).await
        }
        Command::Diff { before, after } => diff::run(global, &before, after.as_deref()).await,
        command => run_with_daemon(&Context::new(global)?, command).await,
    }
}

async fn run_with_daemon(context: &Context, command: Command) -> Result<Output, Failure> {
    match command {
        Command::Accept(args) => accept::run(context, &args).await,
        Command::Status { watch, interval_s } => status::run(context, watch, interval_s).await,
        Command::History { version, limit } => history::run(context, version, limit).await,
        Command::Drain(DrainCommand::Start(args)) => {
            drain::change(context, DrainAction::Start, &args).await
        }
        Command::Drain(DrainCommand::Stop(args)) => {
            drain::change(context, DrainAction::Stop, &args).await
        }
        Command::Drain(DrainCommand::Status) => drain::status(context).await,
        Command::Target(TargetCommand::Show { class }) => target::show(context, class).await,
        Command::Target(TargetCommand::Set(args)) => target::set(context, &args).await,
        Command::Shares => shares::run(context).await,
        Command::Instances => status::instances(context).await,
        Command::Check { .. }
        | Command::CheckRoutes { .. }
        | Command::Completions { .. }
        | Command::Routes(_)
        | Command::Explain(_)
        | Command::KeyDigest { .. }
        | Command::Organisations { .. }
        | Command::Diff { .. } => {
            unreachable!("commands without a daemon are handled by `run`")
        }
    }
}

fn completions(shell: clap_complete::Shell) -> Output {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "jasminectl", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    Output::new(script.clone(), &script)
}
