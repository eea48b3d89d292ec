//! Command-line arguments.

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

/// Options that every command accepts.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Global {
    /// Operator address of a daemon, HOST:PORT; of several, the first that responds is used.
    #[arg(
        long,
        global = true,
        env = "JASMINE_DAEMON",
        value_delimiter = ',',
        value_parser = op::parse_addr
    )]
    pub(crate) daemon: Vec<String>,
    /// File with the operators' key; by default, the key is read from the variable JASMINE_KEY.
    #[arg(long, global = true, env = "JASMINE_KEY_FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    pub(crate) output: Format,
    /// Author recorded with a change; defaults to the variable USER.
    #[arg(long, global = true, env = "JASMINE_AUTHOR")]
    pub(crate) author: Option<String>,
    /// Timeout of a request to one daemon, in seconds.
    #[arg(long, global = true, default_value_t = 30)]
    pub(crate) request_timeout_s: u64,
}

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Format {
    /// Human-readable text.
    Text,
    /// JSON, for programs.
    Json,
}

/// Options of the commands that change the configuration.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct ChangeArgs {
    /// Id of the accept; repeat a command whose outcome is unknown with the same id.
    #[arg(long, value_name = "ID")]
    pub(crate) accept_id: Option<String>,
    /// Wait until every live instance has the version in force.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Timeout of --wait, in seconds.
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
    /// Check host and path-prefix routes, without a daemon.
    CheckRoutes {
        /// Routes in YAML.
        file: PathBuf,
    },
    /// Manage host and path-prefix routes in the platform's table, without a daemon.
    #[command(subcommand)]
    Routes(RoutesCommand),
    /// Print the digest of an organisation's key, for `key_digests` in routes. The key itself is never printed.
    KeyDigest {
        /// File with the key; by default, it is read from standard input.
        file: Option<PathBuf>,
    },
    /// Show the use of the organisations' quotas, added up over entries.
    Organisations {
        /// Metrics addresses of entries, HOST:PORT.
        #[arg(
            long,
            required = true,
            env = "JASMINE_ENTRIES",
            value_delimiter = ',',
            value_parser = op::parse_addr
        )]
        entries: Vec<String>,
    },
    /// Explain from logs alone how a request routed by host and path ended, and why.
    Explain(ExplainArgs),
    /// Put a configuration in force.
    Accept(AcceptArgs),
    /// Show a daemon's view of the system.
    Status {
        /// Refresh the status until interrupted.
        #[arg(long)]
        watch: bool,
        /// Refresh interval, in seconds.
        #[arg(long, default_value_t = 1, value_name = "SECONDS")]
        interval_s: u64,
    },
    /// List the accepted versions, or show one of them.
    History {
        /// Version to show.
        version: Option<Version>,
        /// Maximum number of versions to list.
        #[arg(long, default_value_t = 20)]
        limit: u64,
    },
    /// Show the differences between two configurations, each a file or a version number.
    Diff {
        /// Earlier configuration.
        before: String,
        /// Later configuration; without it, the version in force is compared with BEFORE.
        after: Option<String>,
    },
    /// Start, stop or show drains.
    #[command(subcommand)]
    Drain(DrainCommand),
    /// Show or change the targets of classes.
    #[command(subcommand)]
    Target(TargetCommand),
    /// Show a daemon's capacity shares.
    Shares,
    /// List the instances that a daemon knows.
    Instances,
    /// Print a shell completion script.
    Completions {
        /// Shell.
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum RoutesCommand {
    /// Put routes in force.
    Accept {
        /// Routes in YAML, with a higher version than the routes in force.
        file: PathBuf,
        #[command(flatten)]
        platform: PlatformArgs,
    },
    /// Show the routes in force.
    Show {
        #[command(flatten)]
        platform: PlatformArgs,
    },
    /// Stop sending new requests to the upstreams of a failure domain.
    Evacuate {
        /// Failure domain.
        domain: String,
        #[command(flatten)]
        platform: PlatformArgs,
    },
    /// Resume sending requests to the upstreams of a failure domain.
    Restore {
        /// Failure domain.
        domain: String,
        #[command(flatten)]
        platform: PlatformArgs,
    },
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct ExplainArgs {
    /// Id of the request; without it, counts all failures by cause.
    #[arg(long)]
    pub(crate) id: Option<String>,
    /// Count all requests by route, failure domain, network path to the upstream, cause and second.
    #[arg(long, conflicts_with = "id")]
    pub(crate) summary: bool,
    /// Log files of any number of processes; `-` is standard input.
    #[arg(required = true)]
    pub(crate) files: Vec<PathBuf>,
}

/// Options of the commands that access the platform directly.
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
    /// Block table, or a difference to the one in force; by default, the table is unchanged.
    #[arg(long)]
    pub(crate) blocks: Option<PathBuf>,
    /// Version that FILE is based on; defaults to the version in force.
    #[arg(long, value_name = "VERSION")]
    pub(crate) base: Option<Version>,
    #[command(flatten)]
    pub(crate) change: ChangeArgs,
}

#[derive(Debug, Subcommand)]
pub(crate) enum DrainCommand {
    /// Stop sending new work to a target.
    Start(DrainArgs),
    /// Resume sending new work to a target.
    Stop(DrainArgs),
    /// Show the drains in force, with the requests in flight at their targets over all instances.
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
    /// Change targets of a class; targets that are not given stay unchanged.
    Set(TargetArgs),
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct TargetArgs {
    /// Class.
    #[arg(value_parser = parse_class)]
    pub(crate) class: ClassId,
    /// Latency that nearly all requests should stay below, in milliseconds.
    #[arg(long)]
    pub(crate) latency_ms: Option<u64>,
    /// Percentage of a region's slots that the class leaves free.
    #[arg(long)]
    pub(crate) headroom_pct: Option<u8>,
    /// Time within which a caller gets a final response, in milliseconds.
    #[arg(long)]
    pub(crate) deadline_ms: Option<u64>,
    /// Priority under overload; 0 is refused last.
    #[arg(long)]
    pub(crate) priority: Option<u8>,
    /// Percentage of requests that should get a complete response in time.
    #[arg(long, value_parser = parse_percentage)]
    pub(crate) success_pct: Option<Ppm>,
    #[command(flatten)]
    pub(crate) change: ChangeArgs,
}

/// Ratio in parts per million.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ppm(pub(crate) u32);

fn parse_class(text: &str) -> Result<ClassId, std::convert::Infallible> {
    Ok(text.into())
}

/// Reads a percentage such as 99.95 as parts per million.
fn parse_percentage(text: &str) -> Result<Ppm, String> {
    let invalid = || "not a percentage of at most four decimals, such as 99.95".to_owned();
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !digits(whole) || !digits(part) || part.len() > 4 {
        return Err(invalid());
    }
    let ppm = format!("{whole}{part:0<4}")
        .parse()
        .map_err(|_| invalid())?;
    Ok(Ppm(ppm))
}
