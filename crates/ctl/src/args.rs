//! The command line.

use base::{
    ClassId,
    Version, //
};
use clap::{
    Args as ClapArgs,
    Parser,
    Subcommand,
    ValueEnum, //
};
use clap_complete::Shell;
use spec::DrainTarget;
use std::path::PathBuf;

/// Client of jasminefield for operators.
///
/// Exit codes: 0 done; 1 refused, nothing was changed; 2 bad input, nothing was changed; 3 the
/// outcome is unknown, and the message says what to run next.
#[derive(Debug, Parser)]
#[command(name = "jasminectl", version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) global: Global,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Options of every command.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Global {
    /// Operators' address of a daemon, HOST:PORT; of several, the first that answers is used.
    #[arg(
        long,
        global = true,
        env = "JASMINE_DAEMON",
        value_delimiter = ',',
        value_parser = op::read_addr
    )]
    pub(crate) daemon: Vec<String>,
    /// File that holds the operators' key; without it, the variable JASMINE_KEY does.
    #[arg(long, global = true, env = "JASMINE_KEY_FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// Form of the results.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    pub(crate) output: Format,
    /// Operator who is named as author; without it, the variable USER.
    #[arg(long, global = true, env = "JASMINE_AUTHOR")]
    pub(crate) author: Option<String>,
    /// Longest wait for one daemon's answer, in seconds.
    #[arg(long, global = true, default_value_t = 30)]
    pub(crate) request_timeout_s: u64,
}

/// Form of the results.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Options of every command that changes something.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct ChangeArgs {
    /// Name of the accept, to repeat one whose outcome is unknown.
    #[arg(long, value_name = "ID")]
    pub(crate) accept_id: Option<String>,
    /// Wait until every live instance has the version in force.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Longest wait for that, in seconds.
    #[arg(long, default_value_t = 60, value_name = "SECONDS")]
    pub(crate) timeout_s: u64,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a configuration, without a daemon.
    Check {
        /// Configuration in YAML.
        file: PathBuf,
        /// Block table or difference.
        #[arg(long)]
        blocks: Option<PathBuf>,
    },
    /// Check routes by host and path prefix, without a daemon.
    CheckRoutes {
        /// Routes in YAML.
        file: PathBuf,
    },
    /// Routes by host and path prefix in the platform's table, without a daemon.
    #[command(subcommand)]
    Routes(RoutesCommand),
    /// Tell from logs alone what became of a request that was routed by host and path, and why.
    Explain(ExplainArgs),
    /// Make a configuration the one in force.
    Accept(AcceptArgs),
    /// Show a daemon's picture of the system.
    Status {
        /// Show it again and again.
        #[arg(long)]
        watch: bool,
        /// Time between two looks, in seconds.
        #[arg(long, default_value_t = 1, value_name = "SECONDS")]
        interval_s: u64,
    },
    /// List the accepted versions, or show one of them.
    History {
        /// Version to show.
        version: Option<Version>,
        /// Most versions to list.
        #[arg(long, default_value_t = 20)]
        limit: u64,
    },
    /// Show what differs between two configurations, each a file or the number of a version.
    Diff {
        /// Earlier side.
        before: String,
        /// Later side; without it, BEFORE is the later one and the version in force the earlier.
        after: Option<String>,
    },
    /// Start, stop or watch drains.
    #[command(subcommand)]
    Drain(DrainCommand),
    /// Show or revise the targets of classes.
    #[command(subcommand)]
    Target(TargetCommand),
    /// Show a daemon's capacity shares.
    Shares,
    /// List the instances that a daemon knows.
    Instances,
    /// Print completions for a shell.
    Completions {
        /// Shell.
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum RoutesCommand {
    /// Make routes the ones in force.
    Accept {
        /// Routes in YAML, of a higher version than those in force.
        file: PathBuf,
        #[command(flatten)]
        platform: PlatformArgs,
    },
    /// Show the routes in force.
    Show {
        #[command(flatten)]
        platform: PlatformArgs,
    },
    /// Let no new request go to the upstreams of a failure domain.
    Evacuate {
        /// Failure domain.
        domain: String,
        #[command(flatten)]
        platform: PlatformArgs,
    },
    /// Let requests go to the upstreams of a failure domain again.
    Restore {
        /// Failure domain.
        domain: String,
        #[command(flatten)]
        platform: PlatformArgs,
    },
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct ExplainArgs {
    /// Id of the request; without it, all failures are counted by cause.
    #[arg(long)]
    pub(crate) id: Option<String>,
    /// Count all requests by route, failure domain, way to the upstream, cause and second.
    #[arg(long, conflicts_with = "id")]
    pub(crate) summary: bool,
    /// Logs of any number of processes; `-` is standard input.
    #[arg(required = true)]
    pub(crate) files: Vec<PathBuf>,
}

/// The platform, for commands that need no daemon.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct PlatformArgs {
    /// Base URL of the platform's table, http://IP:PORT.
    #[arg(long, env = "JASMINE_PLATFORM", value_name = "URL")]
    pub(crate) platform: String,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct AcceptArgs {
    /// Configuration in YAML.
    pub(crate) file: PathBuf,
    /// Block table, or a difference to the one in force; without it, the table stays.
    #[arg(long)]
    pub(crate) blocks: Option<PathBuf>,
    /// Version that FILE was made from; without it, the one in force now.
    #[arg(long, value_name = "VERSION")]
    pub(crate) base: Option<Version>,
    #[command(flatten)]
    pub(crate) change: ChangeArgs,
}

#[derive(Debug, Subcommand)]
pub(crate) enum DrainCommand {
    /// Let no new work go to a target.
    Start(DrainArgs),
    /// Let new work go to a target again.
    Stop(DrainArgs),
    /// Show the drains in force, with what is in flight there at all instances.
    Status,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct DrainArgs {
    /// `upstream:ID`, `failure-domain:REGION/ID` or `region:ID`.
    pub(crate) target: DrainTarget,
    #[command(flatten)]
    pub(crate) change: ChangeArgs,
}

#[derive(Debug, Subcommand)]
pub(crate) enum TargetCommand {
    /// Show the targets in force.
    Show {
        /// Class; without it, all.
        class: Option<String>,
    },
    /// Revise targets of a class; what is not named stays.
    Set(TargetArgs),
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct TargetArgs {
    /// Class.
    #[arg(value_parser = class)]
    pub(crate) class: ClassId,
    /// Latency that all but few requests should stay below, in milliseconds.
    #[arg(long)]
    pub(crate) latency_ms: Option<u64>,
    /// Part of a region's slots that the class leaves free, in percent.
    #[arg(long)]
    pub(crate) headroom_pct: Option<u8>,
    /// Time after which a caller is answered for good, in milliseconds.
    #[arg(long)]
    pub(crate) deadline_ms: Option<u64>,
    /// Rank when work must be refused; 0 is refused last.
    #[arg(long)]
    pub(crate) priority: Option<u8>,
    /// Requests that should be answered whole and in time, in percent.
    #[arg(long, value_parser = percent)]
    pub(crate) success_pct: Option<Ppm>,
    #[command(flatten)]
    pub(crate) change: ChangeArgs,
}

/// Parts per million.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ppm(pub(crate) u32);

fn class(text: &str) -> Result<ClassId, std::convert::Infallible> {
    Ok(text.into())
}

/// Reads a percentage such as 99.95 as parts per million.
fn percent(text: &str) -> Result<Ppm, String> {
    let wrong = || "not a percentage of at most four decimals, such as 99.95".to_owned();
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !digits(whole) || !digits(part) || part.len() > 4 {
        return Err(wrong());
    }
    let ppm = format!("{whole}{part:0<4}").parse().map_err(|_| wrong())?;
    Ok(Ppm(ppm))
}
