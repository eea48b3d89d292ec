//! The rig: starts a system, injects faults into it and shuts it down.

use crate::{
    http::{
        send,
        send_with_key,
        Response, //
    },
    layout::{
        domain,
        settings,
        Layout, //
    },
    process::{
        free_addr,
        Process, //
    },
};
use awc::http::Method;
use bytestring::ByteString;
use load::{
    drive,
    failed_events,
    gather,
    judge,
    leaving,
    unix_us,
    Addresses,
    Disruption,
    Evidence,
    Leaving,
    Limits,
    LoadRecords,
    Report,
    Run,
    Scene,
    UnixUs, //
};
use nix::sys::signal::Signal;
use serde_json::{
    json,
    Value, //
};
use std::{
    collections::BTreeMap,
    env, fs,
    path::PathBuf,
    process::ExitStatus,
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Limit on waits for conditions that take well under a tenth of it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Identity and addresses of one daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// Id of the instance.
    pub id: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub callers_addr: String,
    /// Address for peers.
    pub peers_addr: String,
    /// Address for operators.
    pub operator_addr: String,
}

/// A running system: daemons, stand-ins and relays.
#[derive(Debug)]
pub struct Rig {
    /// Layout that the system was built from.
    pub layout: Layout,
    /// All daemons, by instance.
    pub daemons: BTreeMap<String, Daemon>,
    dir: PathBuf,
    platform: String,
    upstreams: String,
    links: Option<String>,
    /// Names of the relays by the pair of regions, source first.
    relays: BTreeMap<(String, String), Vec<String>>,
    running: BTreeMap<String, Process>,
    disruptions: Vec<Disruption>,
    leaving: Vec<Leaving>,
    /// Limits that the configuration in force sets, for the judge.
    limits: Limits,
    _stand_ins: Vec<Process>,
}

/// Outcome of a run under load.
#[derive(Debug)]
pub struct Trial {
    /// Statistics and violations.
    pub report: Report,
    /// Callers' records and events.
    pub driven: LoadRecords,
    /// Requests that upstreams ran.
    pub runs: Vec<Run>,
    /// Events of the scene that had no effect. If there are any, no statistic is valid for the
    /// scene.
    pub ineffective_events: Vec<String>,
}

impl Trial {
    /// Checks that requests were sent, that no guarantee was violated and that a share of at least
    /// `min_done` of the requests ended as `done`.
    ///
    /// # Panics
    ///
    /// Panics with the report otherwise.
    pub fn assert_guarantees_kept(&self, min_done: f64) {
        let report = &self.report;
        assert!(report.requests > 0, "nothing was asked");
        assert!(report.violations.is_empty(), "\n{report}");
        let done = report.done_ratio();
        assert!(done >= min_done, "only a share of {done:.4} done\n{report}");
    }
}

impl Rig {
    /// Starts a system, accepts its configuration and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns which process failed, and where its log is.
    pub fn start(layout: Layout) -> Result<Self, String> {
        let mut rig = Self::start_stand_ins(layout)?;
        for id in rig.daemons.keys().cloned().collect::<Vec<_>>() {
            rig.start_daemon(&id)?;
        }
        let config = rig.layout.config();
        rig.accept(&config)?;
        rig.limits = Limits::read("rig", &config).map_err(|findings| findings.to_string())?;
        for id in rig.daemons.keys().cloned().collect::<Vec<_>>() {
            rig.wait_ready(&id)?;
        }
        Ok(rig)
    }

    /// Starts all processes but the daemons, and writes the daemons' settings.
    fn start_stand_ins(layout: Layout) -> Result<Self, String> {
        let dir = new_dir()?;
        let daemons = assign_addresses(&layout);
        let list_path = dir.join("list.json");
        write_file(&list_path, &instance_list(&daemons).to_string())?;
        let args = ["--list".to_owned(), list_path.display().to_string()];
        let log = dir.join("platform.log");
        let (process, mut addresses) =
            Process::start_with_addresses("standin-platform", &args, &log, "")?;
        let mut stand_ins = vec![process];
        let platform = addresses.remove("").unwrap_or_default();

        let spec_path = dir.join("upstreams.json");
        write_file(&spec_path, &Value::from(layout.upstreams()).to_string())?;
        let args = [
            "--spec".to_owned(),
            spec_path.display().to_string(),
            "--platform".to_owned(),
            format!("http://{platform}"),
        ];
        let log = dir.join("upstreams.log");
        let (process, mut addresses) =
            Process::start_with_addresses("standin-upstream", &args, &log, "control")?;
        stand_ins.push(process);
        let upstreams = addresses.remove("control").unwrap_or_default();

        let mut rig = Self {
            layout,
            daemons,
            dir,
            platform,
            upstreams,
            links: None,
            relays: BTreeMap::new(),
            running: BTreeMap::new(),
            disruptions: Vec::new(),
            leaving: Vec::new(),
            limits: Limits::default(),
            _stand_ins: stand_ins,
        };
        let addresses = rig.start_links()?;
        rig.write_settings(&addresses)?;
        Ok(rig)
    }

    /// Starts a relay from each region to each address of a daemon in another region, and one from
    /// each daemon to the platform if the layout asks for them. Returns the relays' addresses by
    /// name.
    fn start_links(&mut self) -> Result<BTreeMap<String, String>, String> {
        let mut args = Vec::new();
        for from in &self.layout.regions {
            for daemon in self.daemons.values().filter(|d| d.region != from.name) {
                for addr in [&daemon.callers_addr, &daemon.peers_addr] {
                    let name = relay_name(from.name, addr);
                    let delay_us = self.layout.inter_region_delay_us;
                    args.push("--relay".to_owned());
                    args.push(format!("name={name},to={addr},delay_us={delay_us}"));
                    let pair = (from.name.to_owned(), daemon.region.clone());
                    self.relays.entry(pair).or_default().push(name);
                }
            }
        }
        if self.layout.platform_relays {
            for daemon in self.daemons.values() {
                let name = platform_relay_name(&daemon.id);
                args.push("--relay".to_owned());
                args.push(format!("name={name},to={}", self.platform));
            }
        }
        if args.is_empty() {
            return Ok(BTreeMap::new());
        }
        let log = self.dir.join("links.log");
        let (process, addresses) =
            Process::start_with_addresses("standin-link", &args, &log, "control")?;
        self._stand_ins.push(process);
        self.links = addresses.get("control").cloned();
        Ok(addresses)
    }

    fn write_settings(&self, links: &BTreeMap<String, String>) -> Result<(), String> {
        for daemon in self.daemons.values() {
            let remote = self.daemons.values().filter(|d| d.region != daemon.region);
            let dial: Vec<(String, String)> = remote
                .flat_map(|daemon| [&daemon.callers_addr, &daemon.peers_addr])
                .filter_map(|addr| {
                    let dialled = links.get(&relay_name(&daemon.region, addr))?;
                    Some((addr.clone(), dialled.clone()))
                })
                .collect();
            let platform = links.get(&platform_relay_name(&daemon.id));
            let platform = platform.unwrap_or(&self.platform);
            let text = settings(daemon, platform, &dial, &self.layout);
            write_file(&self.dir.join(format!("{}.yaml", daemon.id)), &text)?;
        }
        Ok(())
    }

    /// Starts a daemon, also again after it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary is missing.
    pub fn start_daemon(&mut self, id: &str) -> Result<(), String> {
        let settings = self.dir.join(format!("{id}.yaml"));
        let log = self.dir.join(format!("{id}.log"));
        let args = [settings.display().to_string()];
        let folder = self.layout.daemon_folder.as_deref();
        let process = Process::start("jasmined", folder, &args, &log)?;
        self.running.insert(id.to_owned(), process);
        Ok(())
    }

    /// Waits until a daemon reports that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon exits or does not become ready in time.
    pub fn wait_ready(&mut self, id: &str) -> Result<(), String> {
        let callers = self.daemons[id].callers_addr.clone();
        let deadline = Instant::now() + WAIT_LIMIT;
        while Instant::now() < deadline {
            if send(Method::GET, &callers, "/v1/ready", None).status == 200 {
                return Ok(());
            }
            if let Some(status) = self.running.get_mut(id).and_then(Process::exit_status) {
                let log = self.dir.join(format!("{id}.log"));
                let log = fs::read_to_string(log).unwrap_or_default();
                return Err(format!("{id} exited early: {status}\n{log}"));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(format!("{id} was not ready within {WAIT_LIMIT:?}"))
    }

    /// Puts a configuration in force through the first daemon that accepts it; returns its version.
    ///
    /// # Errors
    ///
    /// Returns the last refusal.
    pub fn accept(&self, text: &str) -> Result<u64, String> {
        let accept_id = format!("rig-{}", unix_us());
        let body = json!({"accept_id": accept_id, "author": "rig", "text": text});
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let mut refusal = String::new();
            for id in self.daemons.keys() {
                let response = self.operator_request(id, "/op/v1/accept", Some(&body));
                if response.status == 200 {
                    return response.body["version"]
                        .as_u64()
                        .ok_or(response.body.to_string());
                }
                refusal = format!("{} {}", response.status, response.body);
            }
            if Instant::now() > deadline {
                return Err(format!("configuration not accepted: {refusal}"));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a request to a daemon's operator port: POST with a body, else GET.
    pub fn operator_request(&self, id: &str, path: &str, body: Option<&Value>) -> Response {
        let method = if body.is_some() {
            Method::POST
        } else {
            Method::GET
        };
        let key = self.layout.operator_key;
        send_with_key(method, &self.daemons[id].operator_addr, path, body, key)
    }

    /// Kills a daemon by SIGKILL.
    pub fn kill(&mut self, id: &str) {
        self.mark_disrupted(id, None);
        if let Some(mut process) = self.running.remove(id) {
            process.kill();
        }
    }

    /// Stops a daemon by SIGSTOP for `time`.
    pub fn freeze(&mut self, id: &str, time: Duration) {
        self.freeze_while(id, || thread::sleep(time));
    }

    /// Stops a daemon by SIGSTOP while `action` runs.
    pub fn freeze_while<T>(&mut self, id: &str, action: impl FnOnce() -> T) -> T {
        self.mark_disrupted(id, None);
        let index = self.disruptions.len() - 1;
        if let Some(process) = self.running.get_mut(id) {
            process.signal(Signal::SIGSTOP);
        }
        let result = action();
        if let Some(process) = self.running.get_mut(id) {
            process.signal(Signal::SIGCONT);
        }
        self.disruptions[index].to_us = Some(unix_us());
        result
    }

    /// Asks a daemon to stop by SIGTERM, and waits for its exit.
    pub fn terminate(&mut self, id: &str) -> Option<ExitStatus> {
        let mut process = self.running.remove(id)?;
        process.signal(Signal::SIGTERM);
        process.wait(WAIT_LIMIT)
    }

    /// Tells the judge to excuse cut and unanswered requests at an entry from now on.
    fn mark_disrupted(&mut self, id: &str, to_us: Option<UnixUs>) {
        self.disruptions.push(Disruption {
            entry: self.daemons[id].callers_addr.as_str().into(),
            from_us: unix_us(),
            to_us,
        });
    }

    /// Tells the judge to excuse cut and unanswered requests at all entries, for faults that break
    /// the callers' connections themselves.
    pub fn mark_all_disrupted(&mut self) {
        for id in self.daemons.keys().cloned().collect::<Vec<_>>() {
            self.mark_disrupted(&id, None);
        }
    }

    /// Sets the platform's faults, such as `{"table":{"kind":"down"}}`.
    pub fn fault_platform(&self, faults: &Value) {
        let response = send(Method::POST, &self.platform, "/fault", Some(faults));
        assert_eq!(response.status, 200, "{}", response.body);
    }

    /// Sets an upstream's faults, such as `{"slow_factor":4}`.
    pub fn fault_upstream(&self, id: &str, faults: &Value) {
        let path = format!("/fault?id={id}");
        let response = send(Method::POST, &self.upstreams, &path, Some(faults));
        assert_eq!(response.status, 200, "{}", response.body);
    }

    /// Clears the upstreams' records of requests that ran, as after a warm-up.
    pub fn clear_records(&self) {
        for upstream in self.layout.upstreams() {
            let id = upstream["id"].as_str().unwrap_or_default();
            let path = format!("/record/clear?id={id}");
            let response = send(Method::POST, &self.upstreams, &path, None);
            assert_eq!(response.status, 200, "{}", response.body);
        }
    }

    /// Tells the judge that an upstream is leaving from now on.
    pub fn note_leaving(&mut self, id: &str) {
        self.leaving.push(Leaving {
            upstream: id.into(),
            requested_us: unix_us(),
            since_us: unix_us(),
            until_us: None,
        });
    }

    /// Sets the fault of all relays between two regions, in both directions.
    pub fn fault_links(&self, region: &str, other: &str, kind: &str) {
        let links = self.links.as_deref().unwrap_or_default();
        for pair in [(region, other), (other, region)] {
            let pair = (pair.0.to_owned(), pair.1.to_owned());
            for name in self.relays.get(&pair).into_iter().flatten() {
                let fault = json!({"name": name, "kind": kind});
                let response = send(Method::POST, links, "/fault", Some(&fault));
                assert_eq!(response.status, 200, "{}", response.body);
            }
        }
    }

    /// Sets the fault of the relay between a daemon and the platform.
    pub fn fault_platform_relay(&self, id: &str, kind: &str) {
        let links = self.links.as_deref().unwrap_or_default();
        let fault = json!({"name": platform_relay_name(id), "kind": kind});
        let response = send(Method::POST, links, "/fault", Some(&fault));
        assert_eq!(response.status, 200, "{}", response.body);
    }

    /// Counters of the relays' traffic so far, by relay, as `standin-link` counts it.
    ///
    /// The relay from a region to a daemon's callers' port is named `<region>><address>`.
    pub fn link_counters(&self) -> Value {
        let links = self.links.as_deref().unwrap_or_default();
        let response = send(Method::GET, links, "/counters", None);
        assert_eq!(response.status, 200, "{}", response.body);
        response.body
    }

    /// Adds an upstream that the test itself serves to the platform's list.
    pub fn list_upstream(&self, upstream: &Value) {
        let id = upstream["id"].as_str().unwrap_or_default();
        let path = format!("/list/upstreams/{id}");
        let response = send(Method::PUT, &self.platform, &path, Some(upstream));
        assert_eq!(response.status, 200, "{}", response.body);
    }

    /// Addresses for a scene. Its events may name the targets `platform`, `upstreams` and
    /// `operator`; the last is the operator port of a daemon in the last region.
    pub fn addresses(&self) -> Addresses {
        let mut addresses = Addresses::default();
        for daemon in self.daemons.values() {
            let region: ByteString = daemon.region.as_str().into();
            let addrs = addresses.daemons.entry(region).or_default();
            addrs.push(daemon.callers_addr.as_str().into());
        }
        let last = self.layout.regions.last().map_or("", |region| region.name);
        let operator_daemon = self.daemons.values().find(|daemon| daemon.region == last);
        for (name, addr) in [
            ("platform", &self.platform),
            ("upstreams", &self.upstreams),
            (
                "operator",
                operator_daemon.map_or(&self.platform, |daemon| &daemon.operator_addr),
            ),
        ] {
            addresses.targets.insert(name.into(), addr.as_str().into());
        }
        addresses
    }

    /// Regions of the entries, by their addresses for callers.
    fn entries(&self) -> BTreeMap<ByteString, ByteString> {
        let daemons = self.daemons.values();
        daemons
            .map(|daemon| {
                (
                    daemon.callers_addr.as_str().into(),
                    daemon.region.as_str().into(),
                )
            })
            .collect()
    }

    /// Number of requests that upstreams have run so far.
    pub fn run_count(&self) -> usize {
        let controls = [self.upstreams.as_str().into()];
        let gathered = gather(&self.platform, &controls).expect("the stand-ins answer");
        gathered.runs.len()
    }

    /// Drives a scene, calls `fault` meanwhile, and judges the evidence.
    pub fn run(&mut self, scene: &Scene, fault: impl FnOnce(&mut Self)) -> Trial {
        let load = {
            let (scene, addresses) = (scene.clone(), self.addresses());
            thread::spawn(move || drive(&scene, &addresses))
        };
        fault(self);
        let driven = load.join().expect("the load driver does not panic");
        let controls = [self.upstreams.as_str().into()];
        // Clears the platform's faults: they would affect reading the evidence.
        let no_fault = json!({"kind": "none"});
        self.fault_platform(&json!({"table": no_fault, "objects": no_fault, "list": no_fault}));
        let gathered = gather(&self.platform, &controls).expect("the stand-ins answer");
        assert!(gathered.missing.is_empty(), "{:?}", gathered.missing);
        let evidence = Evidence {
            callers: driven.callers.clone(),
            runs: gathered.runs,
            upstreams: gathered.upstreams,
            leaving: [self.leaving.clone(), leaving(&driven.events)].concat(),
            disruptions: self.disruptions.clone(),
            links: Vec::new(),
            entries: self.entries(),
            limits: self.limits.clone(),
            allowance_us: scene.allowance_ms * 1_000,
            leaving_bound_us: scene.leaving_bound_ms * 1_000,
            runs_complete: true,
        };
        let violations = judge(&evidence);
        let report = Report::new(&evidence, violations);
        Trial {
            report,
            ineffective_events: failed_events(&driven.events, &evidence.upstreams),
            driven,
            runs: evidence.runs,
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("logs are kept in {}", self.dir.display());
            return;
        }
        // On failure, only a folder of logs is left behind.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Assigns an id, a failure domain and addresses to each daemon of a layout.
fn assign_addresses(layout: &Layout) -> BTreeMap<String, Daemon> {
    let mut daemons = BTreeMap::new();
    for region in &layout.regions {
        for index in 0..region.entries {
            let id = format!("{}-{index}", region.name);
            let daemon = Daemon {
                id: id.clone(),
                region: region.name.to_owned(),
                domain: domain(index).to_owned(),
                callers_addr: free_addr(),
                peers_addr: free_addr(),
                operator_addr: free_addr(),
            };
            daemons.insert(id, daemon);
        }
    }
    daemons
}

/// List of instances for the platform.
fn instance_list(daemons: &BTreeMap<String, Daemon>) -> Value {
    let instances = daemons.values().map(|daemon| {
        json!({
            "id": daemon.id, "region": daemon.region, "failure_domain": daemon.domain,
            "callers_addr": daemon.callers_addr, "peers_addr": daemon.peers_addr,
            "operator_addr": daemon.operator_addr, "state": "live",
        })
    });
    json!({"instances": instances.collect::<Vec<_>>()})
}

/// Name of the relay from a region to an address.
fn relay_name(from: &str, addr: &str) -> String {
    format!("{from}>{addr}")
}

/// Name of the relay from a daemon to the platform.
fn platform_relay_name(id: &str) -> String {
    format!("{id}>platform")
}

fn write_file(path: &PathBuf, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Creates a folder for this rig's files.
fn new_dir() -> Result<PathBuf, String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let index = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("jasmine-rig-{}-{index}", std::process::id());
    let dir = env::temp_dir().join(name);
    fs::create_dir_all(&dir).map_err(|error| format!("{}: {error}", dir.display()))?;
    Ok(dir)
}
