//! `jasmined`: checks its settings and runs the daemon.

use clap::Parser;
use daemon::Settings;
use std::{
    fs,
    path::PathBuf,
    process::ExitCode, //
};

/// Exit code for settings that can't be read or are invalid.
const BAD_INPUT: u8 = 2;

/// The daemon of jasminefield.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings file of this process (YAML).
    #[arg(required_unless_present = "metrics_page")]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check_settings: bool,
    /// Print the reference page of the metrics and exit.
    #[arg(long)]
    metrics_page: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.metrics_page {
        print!("{}", daemon::metrics_page());
        return ExitCode::SUCCESS;
    }
    let path = args.settings.unwrap_or_default();
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    if args.check_settings {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jasmined: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &PathBuf) -> Result<Settings, String> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    Settings::parse(&file, &text).map_err(|findings| findings.to_string())
}
