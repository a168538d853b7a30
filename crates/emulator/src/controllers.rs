//! Controllers as real processes: their settings, their links, their ends and starts.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
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

/// The name of the controller of this number.
fn name(i: usize) -> String {
    format!("node-{i}")
}

fn write(path: &Path, text: &str) -> Result<(), ControllerError> {
    std::fs::write(path, text).map_err(io(path.display().to_string()))
}

fn write_json(path: &Path, value: &Value) -> Result<(), ControllerError> {
    write(path, &serde_json::to_string_pretty(value).unwrap_or_default())
}

/// Settings with other endpoints of the cloud and the state service.
fn with_endpoints(mut settings: Value, cloud: &str, state: &str) -> Value {
    settings["endpoints"] = json!({"cloud": cloud, "state": state});
    settings
}

/// Listens on a port of its own, and forwards to `to` what the link lets pass.
async fn relayed(world: &World, to: String, i: usize, link: Link) -> Result<String, ControllerError> {
    relay(to, world.link_switch(i, link)).await.map_err(io("a link"))
}

/// Addresses and common settings of all controllers.
struct Cluster {
    zones: Vec<String>,
    params: Value,
    /// Where each listens to users and workers.
    apis: Vec<String>,
    /// Where each listens to the other controllers.
    meshes: Vec<String>,
}

impl Cluster {
    fn new(sizes: &Sizes) -> Result<Self, ControllerError> {
        let (mut apis, mut meshes) = (Vec::new(), Vec::new());
        for _ in 0..sizes.controllers {
            apis.push(free_addr().map_err(io("a free port"))?);
            meshes.push(free_addr().map_err(io("a free port"))?);
        }
        Ok(Self { zones: sizes.zones(), params: sizes.controller_settings(), apis, meshes })
    }

    fn zone(&self, i: usize) -> &str {
        &self.zones[i % self.zones.len()]
    }

    /// The address of a controller behind one of its links.
    async fn link(&self, world: &World, i: usize, link: Link) -> Result<String, ControllerError> {
        relayed(world, self.apis[i].clone(), i, link).await
    }

    /// A controller's settings, in which everything else is behind links.
    async fn settings(&self, world: &Arc<World>, i: usize) -> Result<Value, ControllerError> {
        let services = world.serve_controller(i).await;
        let state = relayed(world, services.clone(), i, Link::Store).await?;
        let cloud = relayed(world, services, i, Link::Cloud).await?;
        let mut peers = Vec::new();
        for j in (0..self.meshes.len()).filter(|j| *j != i) {
            let endpoint = relayed(world, self.meshes[j].clone(), i, Link::Peer(j)).await?;
            peers.push(json!({"host_name": name(j), "area": self.zone(j), "endpoint": endpoint}));
        }
        let settings = json!({
            "host_name": name(i), "area": self.zone(i), "api_addr": self.apis[i], "mesh_addr": self.meshes[i],
            "peers": peers, "params": self.params,
        });
        Ok(with_endpoints(settings, &cloud, &state))
    }
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
        write(&properties, PROPERTIES)?;
        let cluster = Cluster::new(sizes)?;
        let mut all = Self {
            binary,
            properties,
            operators: folder.join("operator.json"),
            list: vec![],
            for_users: vec![],
            direct: cluster.apis.clone(),
            own_ends: 0,
        };
        for i in 0..sizes.controllers {
            let settings = cluster.settings(world, i).await?;
            let config = folder.join(format!("{}.json", name(i)));
            write_json(&config, &settings)?;
            if i == 0 {
                let direct = world.serve_controller(sizes.controllers).await;
                write_json(&all.operators, &with_endpoints(settings, &direct, &direct))?;
            }
            let workers = cluster.link(world, i, Link::Workers).await?;
            lock(&world.nodes).push(Node { name: name(i), addr: workers });
            all.for_users.push(cluster.link(world, i, Link::Users).await?);
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
