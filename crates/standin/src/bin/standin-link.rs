//! Runs link stand-ins as a process; see [`standin::link`].

use clap::Parser;
use standin::link::{
    self,
    Relay,
    Spec, //
};
use std::{
    net::TcpListener,
    time::Duration, //
};

/// Stand-in for the links between regions.
///
/// Prints `listening NAME ADDR` for each relay and `listening control ADDR` last.
#[derive(Parser)]
struct Args {
    /// A relay: `name=…,from=…,to=…[,delay_us=…][,bytes_per_s=…]`.
    #[arg(long = "relay")]
    relays: Vec<Spec>,
    /// Address that a relay named `link` listens on.
    #[arg(long, default_value = "127.0.0.1:0")]
    from: String,
    /// Address that the relay named `link` connects to.
    #[arg(long)]
    to: Option<String>,
    /// Delay of each direction of the relay named `link`, in microseconds.
    #[arg(long, default_value_t = 0)]
    delay_us: u64,
    /// Address of the control interface, which sets faults and returns counters.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: String,
}

/// Runs the relays until the process is terminated.
#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let mut specs = args.relays;
    specs.extend(args.to.map(|to| Spec {
        name: "link".to_owned(),
        from: args.from,
        to,
        delay: Duration::from_micros(args.delay_us),
        bytes_per_s: 0,
    }));
    let mut relays = Vec::new();
    for spec in specs {
        relays.push(Relay::start(spec).await?);
    }
    let listener = TcpListener::bind(&args.control)?;
    let control_addr = listener.local_addr()?;
    let control = link::control(listener, relays.clone())?;
    for relay in &relays {
        standin::announce(relay.name(), relay.addr())?;
    }
    standin::announce("control", control_addr)?;
    control.await?;
    Ok(())
}
