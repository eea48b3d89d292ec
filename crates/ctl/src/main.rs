//! `jasminectl`: the operators' client.
//!
//! It talks to the operators' port of any daemon. Exit codes: 0 done, 1 refused, 2 bad input,
//! 3 outcome unknown.

mod client;

use crate::client::{
    Client,
    Failure, //
};
use clap::{
    Parser,
    Subcommand, //
};
use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

/// Exit code when the system refused.
const REFUSED: u8 = 1;
/// Exit code for bad input.
const BAD_INPUT: u8 = 2;
/// Exit code when nobody knows whether it was done.
const UNKNOWN: u8 = 3;

/// Client of jasminefield for operators.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Operators' address of a daemon; of several, the first that answers is used.
    #[arg(long, global = true, env = "JASMINE_DAEMON")]
    daemon: Vec<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a configuration without a daemon.
    Check {
        /// Configuration in YAML.
        file: PathBuf,
    },
    /// Make a configuration the one in force.
    Accept {
        /// Configuration in YAML.
        file: PathBuf,
    },
    /// Show a daemon's picture.
    Status,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let client = Client::new(args.daemon);
    let done = match args.command {
        Command::Check { file } => check(&file).map(|_| format!("{}: no findings", file.display())),
        Command::Accept { file } => accept(&client, &file).await,
        Command::Status => client.get("/op/v1/status").await,
    };
    match done {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(match failure {
                Failure::Refused(_) => REFUSED,
                Failure::BadInput(_) => BAD_INPUT,
                Failure::Unknown(_) => UNKNOWN,
            })
        }
    }
}

/// Reads and checks a configuration; gives its text.
fn check(file: &Path) -> Result<String, Failure> {
    let name = file.display().to_string();
    let text =
        fs::read_to_string(file).map_err(|err| Failure::BadInput(format!("{name}: {err}")))?;
    match spec::parse(&name, &text) {
        Ok(_) => Ok(text),
        Err(findings) => Err(Failure::BadInput(findings.to_string())),
    }
}

async fn accept(client: &Client, file: &Path) -> Result<String, Failure> {
    let text = check(file)?;
    let accept_id = format!("{:032x}", rand::random::<u128>());
    let author = std::env::var("USER").unwrap_or_else(|_| "operator".to_string());
    let body = serde_json::json!({ "accept_id": accept_id, "author": author, "text": text });
    client.post("/op/v1/accept", &body).await
}
