//! Runs the platform stand-in as a process; see [`standin::platform`].

use clap::Parser;
use std::{
    fs,
    net::TcpListener,
    path::PathBuf, //
};

/// Stand-in for the platform's table, object store and list.
#[derive(Parser)]
struct Args {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: String,
    /// JSON file with the initial `instances` and `upstreams`.
    #[arg(long)]
    list: Option<PathBuf>,
}

/// Serves until the process is terminated.
#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let list = match args.list {
        Some(path) => serde_json::from_slice(&fs::read(path)?)?,
        None => Default::default(),
    };
    let listener = TcpListener::bind(&args.listen)?;
    let addr = listener.local_addr()?;
    let server = standin::platform::serve_with(listener, list)?;
    standin::announce("", addr)?;
    server.await?;
    Ok(())
}
