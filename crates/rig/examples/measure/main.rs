//! Measures scene files under policies with real processes and prints a table.
//!
//! `measure [--policies P,…] [--earlier FOLDER] SCENE…`, where a scene is a file as in `scenes/` that
//! names a user; `measure/scenes.sh` builds what it needs and runs all scenes of docs/MEASURES.md.
//! Each run brings up a system of that user's size, warms it, runs the scene and judges it. Runs of
//! one scene follow each other, so that their figures compare; the machine's load average goes with
//! each, since a busy machine shows in all of them.
//!
//! [`user`] has the sizes, [`run`] one run, [`table`] the figures of a run, [`inspect`] details on
//! demand.

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
    /// Policies in place of those that each scene names.
    #[arg(long, value_delimiter = ',')]
    policies: Vec<Policy>,
    /// Folder of an earlier commit's `jasmined`, measured under our policy beside this one's.
    #[arg(long)]
    earlier: Option<PathBuf>,
    /// Print the slowest requests of this class and region, as CLASS/REGION.
    #[arg(long)]
    slowest: Option<String>,
    /// Print what the entries of the region in question hold, once a second.
    #[arg(long)]
    shares: bool,
    /// Print each run's whole report.
    #[arg(long)]
    reports: bool,
}

fn main() -> eyre::Result<()> {
    let cli = Cli::parse();
    // All files are read before the first run, which may be minutes long.
    let plans = cli.scenes.iter().map(|path| Ok((name(path), read(path)?)));
    let plans = plans.collect::<eyre::Result<Vec<_>>>()?;
    println!("{}", table::HEAD);
    for (name, plan) in &plans {
        measure(&cli, name, plan)?;
    }
    Ok(())
}

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

/// Runs one scene under all policies and prints its rows.
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
        if let Some(wanted) = &cli.slowest {
            inspect::print_slowest(&outcome.trial.driven.callers, wanted);
        }
        rows.push(row);
    }
    table::print_ratios(name, &rows);
    Ok(())
}

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
