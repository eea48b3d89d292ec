//! The command line of the load driver; see the crate `load`.

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
    failed_events,
    gather,
    hop,
    judge,
    leaving,
    look_up,
    Addresses, //
    Disruption,
    Evidence,
    Gathered,
    HopLoad,
    Limits,
    LoadRecords,
    LookupLoad,
    Plan,
    Report,
    Scene,
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

/// Exit status if a guarantee was violated or an event of the scene had no effect.
const EXIT_VIOLATION: u8 = 1;
/// Exit status for bad input.
const EXIT_BAD_INPUT: u8 = 2;

/// Open-loop load and look-up driver; reports each request that shows a violated guarantee.
#[derive(Parser)]
#[command(name = "jasmine-load", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
enum Command {
    /// Run a scene and check its guarantees; exits 1 if one was violated.
    Run(RunArgs),
    /// Check a scene file without running it.
    Check {
        /// The scene file.
        scene: PathBuf,
    },
    /// Measure look-ups alone.
    Lookups(LookupArgs),
    /// Measure the latency that an entry adds to a request.
    Hop(HopArgs),
}

/// Arguments of `run`.
#[derive(Args)]
struct RunArgs {
    /// The scene file.
    scene: PathBuf,
    /// A daemon that callers know from the start, as REGION=ADDR; may be repeated.
    #[arg(long = "daemon", value_name = "REGION=ADDR", required = true)]
    daemons: Vec<NamedAddress>,
    /// Address of the platform, which lists the upstreams.
    #[arg(long)]
    platform: String,
    /// Control port of a process of upstreams, which serves their records; may be repeated.
    #[arg(long = "upstreams", value_name = "ADDR")]
    controls: Vec<ByteString>,
    /// A target of the scene's events, as NAME=ADDR; may be repeated.
    #[arg(long = "target", value_name = "NAME=ADDR")]
    targets: Vec<NamedAddress>,
    /// The configuration in force, for the headroom targets and caps in the report.
    #[arg(long)]
    config: Option<PathBuf>,
    /// An entry that is killed or frozen during the run; its cut connections are no violations.
    #[arg(long = "disturbed", value_name = "ADDR")]
    disturbed: Vec<ByteString>,
    /// Write the report as JSON to this file.
    #[arg(long)]
    output: Option<PathBuf>,
    /// Write the record of each request as a line of JSON to this file.
    #[arg(long)]
    records: Option<PathBuf>,
}

/// A name with its address.
#[derive(Clone)]
struct NamedAddress {
    name: ByteString,
    addr: ByteString,
}

/// Arguments of `lookups`.
#[derive(Args)]
struct LookupArgs {
    /// Address of the daemon for callers.
    #[arg(long)]
    addr: ByteString,
    /// Class to look up.
    #[arg(long)]
    class: ByteString,
    /// Number of connections.
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// Threads that send look-ups.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of the random blocks.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    output: Option<PathBuf>,
}

/// Arguments of `hop`.
#[derive(Args)]
struct HopArgs {
    /// Address of the entry for callers.
    #[arg(long)]
    entry: ByteString,
    /// Address of the upstream.
    #[arg(long)]
    upstream: ByteString,
    /// Class that the upstream serves.
    #[arg(long)]
    class: ByteString,
    /// Path of the requests to the upstream.
    #[arg(long, default_value = "/bytes/1000")]
    path: ByteString,
    /// Number of concurrent pairs of requests.
    #[arg(long, default_value_t = 1)]
    connections: usize,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Delay between two pairs of requests on a connection, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pause_ms: u64,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    output: Option<PathBuf>,
}

impl std::str::FromStr for NamedAddress {
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
    let result = match cli.command {
        Command::Run(args) => run(&args),
        Command::Check { scene } => check(&scene),
        Command::Lookups(args) => lookups(&args),
        Command::Hop(args) => measure_hop(&args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::from(EXIT_BAD_INPUT)
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
            "`kills` need a driver that controls the processes: use `measure`"
        ));
    }
    let scene = plan.scene;
    let limits = limits(args)?;
    let addresses = addresses(args);
    for event in &scene.events {
        if !addresses.targets.contains_key(&event.target) {
            return Err(eyre!(
                "no --target gives the address of `{}`, the target of an event",
                event.target
            ));
        }
    }
    let load_records = drive(&scene, &addresses);
    for record in &load_records.events {
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
    let failed_events = failed_events(&load_records.events, &gathered.upstreams);
    let report = build_report(&scene, args, limits, &load_records, gathered);
    if let Some(path) = &args.records {
        write_records(path, &load_records)?;
    }
    write_json(args.output.as_deref(), &report)?;
    println!("{report}");
    for event in &failed_events {
        println!("event had no effect, so the run is inconclusive: {event}");
    }
    Ok(exit_code(
        report.violations.is_empty() && failed_events.is_empty(),
    ))
}

fn addresses(args: &RunArgs) -> Addresses {
    let mut addresses = Addresses::default();
    for daemon in &args.daemons {
        let region = addresses.daemons.entry(daemon.name.clone()).or_default();
        region.push(daemon.addr.clone());
    }
    let targets = args.targets.iter().cloned();
    addresses.targets = targets.map(|target| (target.name, target.addr)).collect();
    addresses
}

fn build_report(
    scene: &Scene,
    args: &RunArgs,
    limits: Limits,
    load_records: &LoadRecords,
    gathered: Gathered,
) -> Report {
    let disturbed = args.disturbed.iter().map(|entry| Disruption {
        entry: entry.clone(),
        from_us: 0,
        to_us: None,
    });
    let evidence = Evidence {
        callers: load_records.callers.clone(),
        runs_complete: gathered.missing.is_empty() && !args.controls.is_empty(),
        runs: gathered.runs,
        upstreams: gathered.upstreams,
        leaving: leaving(&load_records.events),
        disruptions: disturbed.collect(),
        links: Vec::new(),
        entries: entry_regions(args),
        limits,
        allowance_us: scene.allowance_ms * 1_000,
        leaving_bound_us: scene.leaving_bound_ms * 1_000,
    };
    let violations = judge(&evidence);
    Report::new(&evidence, violations)
}

/// Regions of the entries, by address.
fn entry_regions(args: &RunArgs) -> BTreeMap<ByteString, RegionId> {
    let daemons = args.daemons.iter();
    daemons
        .map(|daemon| (daemon.addr.clone(), daemon.name.clone()))
        .collect()
}

/// Reads the limits of the configuration, if one is given.
fn limits(args: &RunArgs) -> eyre::Result<Limits> {
    let Some(path) = &args.config else {
        return Ok(Limits::default());
    };
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| name.clone())?;
    Limits::read(&name, &text).map_err(|findings| eyre!("{findings}"))
}

fn write_records(path: &Path, load_records: &LoadRecords) -> eyre::Result<()> {
    let mut text = String::new();
    for caller in &load_records.callers {
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
        duration: Duration::from_secs(args.seconds),
        seed: args.seed,
    });
    write_json(args.output.as_deref(), &figures)?;
    println!("{figures}");
    Ok(exit_code(figures.answered > 0 && figures.failed == 0))
}

fn measure_hop(args: &HopArgs) -> eyre::Result<ExitCode> {
    let figures = hop(&HopLoad {
        entry: args.entry.clone(),
        upstream: args.upstream.clone(),
        class: args.class.clone(),
        path: args.path.clone(),
        connections: args.connections,
        duration: Duration::from_secs(args.seconds),
        pause: Duration::from_millis(args.pause_ms),
    });
    write_json(args.output.as_deref(), &figures)?;
    println!("{figures}");
    Ok(exit_code(figures.pairs > 0 && figures.failed == 0))
}

fn exit_code(success: bool) -> ExitCode {
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_VIOLATION)
    }
}
