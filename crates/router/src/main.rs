//! The program `jasmine-router`: checks its settings and runs an entry on the product's own interfaces.

use clap::Parser;
use entry::{
    follow_file,
    Dialect, //
};
use plat::HttpPlatform;
use router::{
    RoutesReader,
    Settings,
    Store, //
};
use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

/// Exit code for bad input: settings that can't be read or are wrong.
const BAD_INPUT: u8 = 2;

/// An entry of jasminefield that routes by host and path.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings of this process, in YAML.
    #[arg(required_unless_present = "metrics_page")]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check_settings: bool,
    /// Print this program's part of the page of metrics and exit.
    #[arg(long)]
    metrics_page: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.metrics_page {
        print!("{}", entry::metrics_page());
        return ExitCode::SUCCESS;
    }
    let path = &args.settings.unwrap_or_default();
    let loaded = read(path).and_then(|text| parse(path, &text).map(|settings| (text, settings)));
    let (text, settings) = match loaded {
        Ok(loaded) => loaded,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    if args.check_settings {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    match run(path.clone(), text, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jasmine-router: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: PathBuf, text: String, settings: Settings) -> eyre::Result<()> {
    event::init_log(&settings.entry.instance)?;
    let metrics = metric::install(entry::METRICS)?;
    let Settings {
        entry,
        platform_url,
        platform_timeout,
        poll_interval,
    } = settings;
    let settings_path = path.clone();
    let parse_entry = move |text: &str| {
        let parsed = parse(&settings_path, text).map(|settings| settings.entry);
        parsed.map_err(|findings| findings.lines().map(str::to_owned).collect())
    };
    entry::run(
        entry,
        Dialect::default_names(),
        RoutesReader,
        metrics,
        move || {
            let platform = HttpPlatform::new(platform_url, platform_timeout, platform_timeout);
            Store::new(platform, poll_interval)
        },
        follow_file(path, text, parse_entry),
        entry::stop_signal(),
    )
}

fn read(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn parse(path: &Path, text: &str) -> Result<Settings, String> {
    let file = path.display().to_string();
    Settings::parse(&file, text).map_err(|findings| findings.to_string())
}
