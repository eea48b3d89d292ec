//! `jasminectl`: the operators' client.
//!
//! It talks to the operators' port of any daemon; of several that are named, to the first that
//! answers. Exit codes: 0 done, 1 refused and nothing changed, 2 bad input and nothing sent or
//! taken, 3 outcome unknown, and then it says what to run next.
//!
//! Results go to standard output, as text or JSON; progress and errors go to standard error, so
//! that a pipe gets results only. `args` has the command line, `command` one module a command,
//! `context` what all of them need, `outcome` how they end, `table` the text's tables.

mod args;
mod command;
mod context;
mod outcome;
mod table;

use crate::{
    args::Args,
    outcome::{
        tell,
        Output, //
    },
};
use clap::Parser;
use std::process::ExitCode;

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let format = args.global.output;
    match command::run(args).await {
        Ok(output) => match output.print(format) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => outcome::unwritten(&output, &error),
        },
        Err(failure) => {
            if let Some(output) = failure.output(format) {
                // Its message is told anyway.
                let _ = Output::print(&output, format);
            }
            tell(&failure.to_string());
            failure.code()
        }
    }
}
