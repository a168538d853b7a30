//! Controllers as real processes: their settings, their links, their ends and starts.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::process::{Child, Command};

use crate::driver::relay::relay;
use crate::driver::{Link, Node, World, lock};
use crate::sizes::Sizes;

/// Shorter than in service, where machines take longer to boot than here.
const PROPERTIES: &str = "leader.lease.seconds=1\nmachines.silence.seconds=4\nmachines.idle.seconds=30\n\
                          machines.refusal.seconds=3\n";

/// How long a verb of the command line may take.
const VERB_WITHIN: Duration = Duration::from_secs(10);

/// Why controllers could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A file, a port or a process failed.
    #[error("{what}: {error}")]
    Io {
        /// What was being done, or the path concerned.
        what: String,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The daemon's program does not exist at this path.
    #[error("{0} is not built: run `cargo build --release` first")]
    NotBuilt(String),
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ControllerError {
    let what = what.into();
    move |error| ControllerError::Io { what, error }
}

type BoxFuture<T> = std::pin::Pin<Box<dyn Future<Output = T> + Send>>;

struct Controller {
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// To be started again, or to go on after a pause.
    starts: Option<Instant>,
    resumes: Option<Instant>,
}

/// All controllers of a rehearsal. Dropped, they end.
pub struct Controllers {
    binary: PathBuf,
    properties: PathBuf,
    /// Settings for operators, whose way to the state service is never cut.
    operators: PathBuf,
    list: Vec<Controller>,
    /// Addresses for users, by controller; they pass through the links that a scenario may cut.
    pub for_users: Vec<String>,
    /// Addresses on which the controllers listen themselves, by controller.
    pub direct: Vec<String>,
    /// Number of times that a controller's process exited without being stopped by the scenario.
    pub own_ends: usize,
}

/// A port that was free a moment ago.
fn free_addr() -> std::io::Result<String> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

/// The daemon, built beside this program; by cargo now, if that is what runs this.
pub fn daemon() -> Result<PathBuf, ControllerError> {
    let this = std::env::current_exe().map_err(io("this program's own path"))?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = std::process::Command::new(cargo);
        build.args(["build", "--locked", "--package", "hollylanding"]);
        if this.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        if !build.status().map_err(io("cargo build"))?.success() {
            return Err(ControllerError::NotBuilt("hollylanding".into()));
        }
    }
    let beside = this.with_file_name(format!("hollylanding{}", std::env::consts::EXE_SUFFIX));
    if beside.is_file() { Ok(beside) } else { Err(ControllerError::NotBuilt(beside.display().to_string())) }
}

impl Controllers {
    /// Writes their settings into a folder and starts them, each behind links of its own.
    pub async fn start(
        world: &Arc<World>,
        sizes: &Sizes,
        binary: PathBuf,
        folder: &Path,
    ) -> Result<Self, ControllerError> {
        std::fs::create_dir_all(folder).map_err(io(folder.display().to_string()))?;
        let properties = folder.join("rehearsal.properties");
        std::fs::write(&properties, PROPERTIES).map_err(io(properties.display().to_string()))?;
        let n = sizes.controllers;
        let (mut apis, mut meshes) = (Vec::new(), Vec::new());
        for _ in 0..n {
            apis.push(free_addr().map_err(io("a free port"))?);
            meshes.push(free_addr().map_err(io("a free port"))?);
        }
        let (zones, params) = (sizes.zones(), sizes.settings());
        let name = |i: usize| format!("node-{i}");
        let zone = |i: usize| zones[i % zones.len()].clone();
        let operators = folder.join("operator.json");
        let mut all =
            Self { binary, properties, operators, list: vec![], for_users: vec![], direct: apis.clone(), own_ends: 0 };
        for i in 0..n {
            let door = world.door(i).await;
            let state = relay(door.clone(), world.gate(i, Link::Store)).await.map_err(io("a link"))?;
            let cloud = relay(door, world.gate(i, Link::Cloud)).await.map_err(io("a link"))?;
            let users = relay(apis[i].clone(), world.gate(i, Link::Users)).await.map_err(io("a link"))?;
            let workers = relay(apis[i].clone(), world.gate(i, Link::Workers)).await.map_err(io("a link"))?;
            let mut peers = Vec::new();
            for j in (0..n).filter(|j| *j != i) {
                let to = relay(meshes[j].clone(), world.gate(i, Link::Peer(j))).await.map_err(io("a link"))?;
                peers.push(json!({"host_name": name(j), "area": zone(j), "endpoint": to}));
            }
            let mut settings = json!({
                "host_name": name(i), "area": zone(i), "api_addr": apis[i], "mesh_addr": meshes[i], "peers": peers,
                "endpoints": {"cloud": cloud, "state": state}, "params": params,
            });
            let config = folder.join(format!("{}.json", name(i)));
            let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
            std::fs::write(&config, text).map_err(io(config.display().to_string()))?;
            if i == 0 {
                let door = world.door(n).await;
                settings["endpoints"] = json!({"cloud": door.clone(), "state": door});
                let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
                std::fs::write(&all.operators, text).map_err(io("operator.json"))?;
            }
            lock(&world.nodes).push(Node { name: name(i), addr: workers });
            all.for_users.push(users);
            let log = folder.join(format!("{}.log", name(i)));
            let _ = std::fs::remove_file(&log);
            all.list.push(Controller { config, log, child: None, starts: None, resumes: None });
            all.spawn(i)?;
        }
        Ok(all)
    }

    fn spawn(&mut self, i: usize) -> Result<(), ControllerError> {
        let controller = &mut self.list[i];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&controller.log);
        let log = log.map_err(io(controller.log.display().to_string()))?;
        let child = Command::new(&self.binary)
            .arg("--config")
            .arg(&controller.config)
            .arg("--properties")
            .arg(&self.properties)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        controller.child = Some(child.map_err(io(self.binary.display().to_string()))?);
        controller.starts = None;
        Ok(())
    }

    /// Whether every controller runs and none is paused.
    pub fn all_well(&self) -> bool {
        self.list.iter().all(|c| c.starts.is_none() && c.resumes.is_none())
    }

    /// A command that runs the daemon's command line with these arguments each time it is called, and returns the
    /// exit status and the output.
    pub fn verbs(&self, args: Vec<String>) -> impl Fn() -> BoxFuture<(Option<i32>, String)> + Send + use<> {
        let (binary, config) = (self.binary.clone(), self.operators.display().to_string());
        let args: Vec<String> = args.iter().map(|arg| arg.replace("{config}", &config)).collect();
        move || {
            let mut command = Command::new(&binary);
            command.args(&args).stdin(Stdio::null()).kill_on_drop(true);
            Box::pin(async move {
                match tokio::time::timeout(VERB_WITHIN, command.output()).await {
                    Ok(Ok(out)) => {
                        let said = [out.stdout, out.stderr].concat();
                        (out.status.code(), String::from_utf8_lossy(&said).into_owned())
                    }
                    Ok(Err(error)) => (None, error.to_string()),
                    Err(_) => (None, format!("nothing within {VERB_WITHIN:?}")),
                }
            })
        }
    }

    /// Number of controllers, running or not.
    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// Kills one without warning, and restarts it after `again`.
    pub async fn end(&mut self, i: usize, again: Duration) {
        let Some(controller) = self.list.get_mut(i) else { return };
        if let Some(mut child) = controller.child.take() {
            let _ = child.kill().await;
        }
        (controller.starts, controller.resumes) = (Some(Instant::now() + again), None);
    }

    fn signal(&self, i: usize, signal: Signal) {
        let pid = self.list.get(i).and_then(|c| c.child.as_ref()).and_then(Child::id);
        if let Some(pid) = pid.and_then(|pid| i32::try_from(pid).ok()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Pauses one controller's process (SIGSTOP) for a while; its clocks run on.
    pub fn pause(&mut self, i: usize, time: Duration) {
        self.signal(i, Signal::SIGSTOP);
        if let Some(controller) = self.list.get_mut(i) {
            controller.resumes = Some(Instant::now() + time);
        }
    }

    /// Restarts and resumes the controllers that are due, and counts those that have exited by themselves.
    pub fn tick(&mut self) -> Result<(), ControllerError> {
        for i in 0..self.list.len() {
            let controller = &mut self.list[i];
            if let Some(child) = controller.child.as_mut()
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                controller.child = None;
                controller.starts = Some(Instant::now() + Duration::from_secs(1));
                self.own_ends += 1;
            }
            let now = Instant::now();
            let due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
            let (starts, resumes) = (self.list[i].starts, self.list[i].resumes);
            if due(resumes) {
                self.signal(i, Signal::SIGCONT);
                self.list[i].resumes = None;
            }
            if due(starts) {
                self.spawn(i)?;
            }
        }
        Ok(())
    }
}
