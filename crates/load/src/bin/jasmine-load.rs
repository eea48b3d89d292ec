//! The load driver's command line; see the crate `load`.

use base::RegionId;
use bytestring::ByteString;
use clap::{
    Args,
    Parser,
    Subcommand, //
};
use eyre::{
    eyre,
    WrapErr, //
};
use load::{
    drive,
    gather,
    hop,
    judge,
    leaving,
    look_up,
    not_done,
    Disturbed,
    Driven,
    Evidence,
    Gathered,
    HopLoad,
    Limits,
    LookupLoad,
    Plan,
    Report,
    Scene,
    Sites, //
};
use std::{
    collections::BTreeMap,
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    time::Duration, //
};

/// Exit status when a promise was broken or an event of the scene was not done.
const BROKEN: u8 = 1;
/// Exit status on bad input.
const BAD_INPUT: u8 = 2;

/// Open-loop load and look-up driver; names the request that broke a promise.
#[derive(Parser)]
#[command(name = "jasmine-load", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// What to do.
#[derive(Subcommand)]
enum Command {
    /// Run a scene and judge it; exits 1 when a promise was broken.
    Run(RunArgs),
    /// Check a scene file and change nothing.
    Check {
        /// The scene file.
        scene: PathBuf,
    },
    /// Measure look-ups alone.
    Lookups(LookupArgs),
    /// Measure what an entry adds to a request.
    Hop(HopArgs),
}

/// Arguments of `run`.
#[derive(Args)]
struct RunArgs {
    /// The scene file.
    scene: PathBuf,
    /// A daemon that callers know from the start, as REGION=ADDR; may be repeated.
    #[arg(long = "daemon", value_name = "REGION=ADDR", required = true)]
    daemons: Vec<Binding>,
    /// Address of the platform, whose list names the upstreams.
    #[arg(long)]
    platform: String,
    /// Control port of a process of upstreams, for their records; may be repeated.
    #[arg(long = "upstreams", value_name = "ADDR")]
    controls: Vec<ByteString>,
    /// A target of the scene's events, as NAME=ADDR; may be repeated.
    #[arg(long = "target", value_name = "NAME=ADDR")]
    targets: Vec<Binding>,
    /// The configuration in force, whose headroom targets and caps go in the report.
    #[arg(long)]
    config: Option<PathBuf>,
    /// An entry that is killed or frozen during the run, whose cuts prove nothing.
    #[arg(long = "disturbed", value_name = "ADDR")]
    disturbed: Vec<ByteString>,
    /// Write the report as JSON to this file.
    #[arg(long)]
    output: Option<PathBuf>,
    /// Write the record of each caller as a line of JSON to this file.
    #[arg(long)]
    records: Option<PathBuf>,
}

/// A name and what it stands for.
#[derive(Clone)]
struct Binding {
    name: ByteString,
    addr: ByteString,
}

/// Arguments of `lookups`.
#[derive(Args)]
struct LookupArgs {
    /// Callers' address of the daemon.
    #[arg(long)]
    addr: ByteString,
    /// Class to look up.
    #[arg(long)]
    class: ByteString,
    /// Connections.
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// Threads of the driver.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Time to go on for.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of the blocks.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    output: Option<PathBuf>,
}

/// Arguments of `hop`.
#[derive(Args)]
struct HopArgs {
    /// Callers' address of the entry.
    #[arg(long)]
    entry: ByteString,
    /// Address of the upstream.
    #[arg(long)]
    upstream: ByteString,
    /// Class whose upstream that is.
    #[arg(long)]
    class: ByteString,
    /// Path at the upstream.
    #[arg(long, default_value = "/bytes/1000")]
    path: ByteString,
    /// Pairs of requests side by side.
    #[arg(long, default_value_t = 1)]
    connections: usize,
    /// Time to go on for.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Pause between two pairs on a connection.
    #[arg(long, default_value_t = 0)]
    pause_ms: u64,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    output: Option<PathBuf>,
}

impl std::str::FromStr for Binding {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let (name, addr) = text
            .split_once('=')
            .ok_or_else(|| eyre!("`{text}` is not NAME=ADDR"))?;
        Ok(Self {
            name: name.into(),
            addr: addr.into(),
        })
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Command::Run(args) => run(&args),
        Command::Check { scene } => check(&scene),
        Command::Lookups(args) => lookups(&args),
        Command::Hop(args) => measure_hop(&args),
    };
    done.unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::from(BAD_INPUT)
    })
}

fn read_plan(path: &Path) -> eyre::Result<Plan> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| name.clone())?;
    Plan::read(&name, &text).map_err(|findings| eyre!("{findings}"))
}

fn check(path: &Path) -> eyre::Result<ExitCode> {
    read_plan(path)?;
    println!("{}: no findings", path.display());
    Ok(ExitCode::SUCCESS)
}

fn run(args: &RunArgs) -> eyre::Result<ExitCode> {
    let plan = read_plan(&args.scene)?;
    if !plan.kills.is_empty() {
        return Err(eyre!(
            "`kills` need a driver that holds the processes: use `measure`"
        ));
    }
    let scene = plan.scene;
    let limits = limits(args)?;
    let sites = sites(args);
    for event in &scene.events {
        if !sites.targets.contains_key(&event.target) {
            return Err(eyre!("no --target for `{}` of an event", event.target));
        }
    }
    let driven = drive(&scene, &sites);
    for record in &driven.events {
        let event = &record.event;
        match &record.answer {
            Ok(status) => println!(
                "{} ms: {} {} {status}",
                event.at_ms, event.target, event.path
            ),
            Err(error) => println!(
                "{} ms: {} {} {error}",
                event.at_ms, event.target, event.path
            ),
        }
    }
    let gathered = gather(&args.platform, &args.controls).map_err(|missing| eyre!("{missing}"))?;
    for missing in &gathered.missing {
        println!("no record from {missing}");
    }
    let not_done = not_done(&driven.events, &gathered.upstreams);
    let report = verdict(&scene, args, limits, &driven, gathered);
    if let Some(path) = &args.records {
        write_records(path, &driven)?;
    }
    write_json(args.output.as_deref(), &report)?;
    println!("{report}");
    for event in &not_done {
        println!("not done, so that the run proves nothing: {event}");
    }
    Ok(exit(report.violations.is_empty() && not_done.is_empty()))
}

fn sites(args: &RunArgs) -> Sites {
    let mut sites = Sites::default();
    for daemon in &args.daemons {
        let region = sites.daemons.entry(daemon.name.clone()).or_default();
        region.push(daemon.addr.clone());
    }
    let targets = args.targets.iter().cloned();
    sites.targets = targets.map(|target| (target.name, target.addr)).collect();
    sites
}

fn verdict(
    scene: &Scene,
    args: &RunArgs,
    limits: Limits,
    driven: &Driven,
    gathered: Gathered,
) -> Report {
    let disturbed = args.disturbed.iter().map(|entry| Disturbed {
        entry: entry.clone(),
        from_us: 0,
        to_us: None,
    });
    let evidence = Evidence {
        callers: driven.callers.clone(),
        runs_complete: gathered.missing.is_empty() && !args.controls.is_empty(),
        runs: gathered.runs,
        upstreams: gathered.upstreams,
        leaving: leaving(&driven.events),
        disturbed: disturbed.collect(),
        links: Vec::new(),
        entries: entries(args),
        limits,
        allowance_us: scene.allowance_ms * 1_000,
        leaving_bound_us: scene.leaving_bound_ms * 1_000,
    };
    let violations = judge(&evidence);
    Report::new(&evidence, violations)
}

/// Regions of the entries by their addresses.
fn entries(args: &RunArgs) -> BTreeMap<ByteString, RegionId> {
    let daemons = args.daemons.iter();
    daemons
        .map(|daemon| (daemon.addr.clone(), daemon.name.clone()))
        .collect()
}

/// What the configuration promises, if one is named.
fn limits(args: &RunArgs) -> eyre::Result<Limits> {
    let Some(path) = &args.config else {
        return Ok(Limits::default());
    };
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| name.clone())?;
    Limits::read(&name, &text).map_err(|findings| eyre!("{findings}"))
}

fn write_records(path: &Path, driven: &Driven) -> eyre::Result<()> {
    let mut text = String::new();
    for caller in &driven.callers {
        text.push_str(&serde_json::to_string(caller)?);
        text.push('\n');
    }
    fs::write(path, text).wrap_err_with(|| path.display().to_string())
}

fn write_json(path: Option<&Path>, value: &impl serde::Serialize) -> eyre::Result<()> {
    let Some(path) = path else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(value)?;
    fs::write(path, text).wrap_err_with(|| path.display().to_string())
}

fn lookups(args: &LookupArgs) -> eyre::Result<ExitCode> {
    let figures = look_up(&LookupLoad {
        addr: args.addr.clone(),
        class: args.class.clone(),
        connections: args.connections,
        threads: args.threads,
        time: Duration::from_secs(args.seconds),
        seed: args.seed,
    });
    write_json(args.output.as_deref(), &figures)?;
    println!("{figures}");
    Ok(exit(figures.answered > 0 && figures.failed == 0))
}

fn measure_hop(args: &HopArgs) -> eyre::Result<ExitCode> {
    let figures = hop(&HopLoad {
        entry: args.entry.clone(),
        upstream: args.upstream.clone(),
        class: args.class.clone(),
        path: args.path.clone(),
        connections: args.connections,
        time: Duration::from_secs(args.seconds),
        pause: Duration::from_millis(args.pause_ms),
    });
    write_json(args.output.as_deref(), &figures)?;
    println!("{figures}");
    Ok(exit(figures.pairs > 0 && figures.failed == 0))
}

fn exit(good: bool) -> ExitCode {
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN)
    }
}
