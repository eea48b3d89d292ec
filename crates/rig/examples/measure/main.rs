//! Measures scenes under several policies with real processes, and prints a table.
//!
//! Usage: `measure [--policies P,…] [--earlier FOLDER] SCENE…`, where a scene is a file like those
//! in `scenes/` that names a user. `measure/scenes.sh` builds the binaries and runs all scenes of
//! docs/MEASURES.md. Each run starts a system of that user's size, warms it, runs the scene and
//! judges it. The runs of a scene follow each other directly, so that their results are comparable.
//! Each row includes the machine's load average, because other work on the machine affects all
//! results.
//!
//! [`user`] defines the systems, [`run`] performs one run, [`table`] formats its results, and
//! [`inspect`] prints details on demand.

mod inspect;
mod run;
mod table;
mod user;

use clap::Parser;
use eyre::{
    eyre,
    WrapErr, //
};
use load::Plan;
use run::Contender;
use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};
use steer::Policy;

/// Runs scenes under policies, one run at a time, and prints a table row for each.
#[derive(Parser)]
#[command(name = "measure")]
struct Cli {
    /// Scene files.
    #[arg(required = true)]
    scenes: Vec<PathBuf>,
    /// Policies to use in place of those that each scene names.
    #[arg(long, value_delimiter = ',')]
    policies: Vec<Policy>,
    /// Folder of an earlier commit's `jasmined`, measured in addition under the policy `ours`.
    #[arg(long)]
    earlier: Option<PathBuf>,
    /// Print the slowest requests of this class and region, as CLASS/REGION.
    #[arg(long)]
    slowest: Option<String>,
    /// Print the shares of the entries in the scene's focus region, once a second.
    #[arg(long)]
    shares: bool,
    /// Print the full report of each run.
    #[arg(long)]
    reports: bool,
}

fn main() -> eyre::Result<()> {
    let cli = Cli::parse();
    // Reads all files before the first run, so that errors show before runs that take minutes.
    let plans = cli.scenes.iter().map(|path| Ok((name(path), read(path)?)));
    let plans = plans.collect::<eyre::Result<Vec<_>>>()?;
    println!("{}", table::HEAD);
    for (name, plan) in &plans {
        measure(&cli, name, plan)?;
    }
    Ok(())
}

/// Name of a scene: its file's name without the extension.
fn name(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into()
}

fn read(path: &Path) -> eyre::Result<Plan> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| file.clone())?;
    Plan::read(&file, &text).map_err(|findings| eyre!("{findings}"))
}

/// Runs one scene with all contenders and prints its rows.
fn measure(cli: &Cli, name: &str, plan: &Plan) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for contender in contenders(cli, plan) {
        let outcome = run::run(plan, &contender, cli.shares)?;
        let row = table::Row::new(name, plan, &contender, &outcome);
        println!("{row}");
        inspect::print_violations(&outcome);
        if cli.reports {
            println!("{}", outcome.trial.report);
        }
        if let Some(class_region) = &cli.slowest {
            inspect::print_slowest(&outcome.trial.driven.callers, class_region);
        }
        rows.push(row);
    }
    table::print_ratios(name, &rows);
    Ok(())
}

/// The policies and daemon builds to compare in a scene.
fn contenders(cli: &Cli, plan: &Plan) -> Vec<Contender> {
    let policies = if cli.policies.is_empty() {
        &plan.policies
    } else {
        &cli.policies
    };
    let mut contenders = Vec::new();
    for policy in policies.iter().copied() {
        contenders.push(Contender {
            policy,
            daemon_folder: None,
        });
        if policy == Policy::LeastLoaded && cli.earlier.is_some() {
            contenders.push(Contender {
                policy,
                daemon_folder: cli.earlier.clone(),
            });
        }
    }
    contenders
}
