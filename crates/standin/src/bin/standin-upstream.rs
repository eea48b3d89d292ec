//! Runs upstream stand-ins as a process; see [`standin::upstream`].

use clap::Parser;
use futures_util::future;
use standin::upstream::{
    self,
    Spec,
    Upstream, //
};
use std::{
    fs,
    net::TcpListener,
    path::PathBuf, //
};

/// Stand-in for upstreams.
///
/// Prints `listening ID ADDR` for each upstream and `listening control ADDR` last.
#[derive(Parser)]
struct Args {
    /// An upstream: `id=…,service=…,region=…,domain=…,slots=…[,listen=…][,service_ms=…]…`.
    #[arg(long = "upstream")]
    upstreams: Vec<Spec>,
    /// JSON file with an array of upstreams, as objects with the same fields.
    #[arg(long)]
    spec: Option<PathBuf>,
    /// Address of the control interface, which sets faults and returns records of all upstreams.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: String,
    /// URL of the platform to whose list the upstreams are added.
    #[arg(long)]
    platform: Option<String>,
}

/// Serves until the process is terminated.
#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let mut specs = args.upstreams;
    if let Some(path) = args.spec {
        specs.extend(serde_json::from_slice::<Vec<Spec>>(&fs::read(path)?)?);
    }
    let mut upstreams = Vec::new();
    let mut servers = Vec::new();
    for spec in specs {
        let (upstream, server) = Upstream::serve(spec)?;
        upstreams.push(upstream);
        servers.push(actix_web::rt::spawn(server));
    }
    let listener = TcpListener::bind(&args.control)?;
    let control_addr = listener.local_addr()?;
    let control = upstream::control(listener, upstreams.clone())?;
    for upstream in &upstreams {
        if let Some(platform) = &args.platform {
            upstream.register(platform).await?;
        }
        standin::announce(upstream.id(), upstream.addr())?;
    }
    standin::announce("control", control_addr)?;
    control.await?;
    future::join_all(servers).await;
    Ok(())
}
