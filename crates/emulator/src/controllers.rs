//! Controllers as real processes: their settings, network links, starts and ends.

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

/// Properties of the controllers. The times are shorter than in production, where machines take longer to boot.
const PROPERTIES: &str = "leader.lease.seconds=1\nmachines.silence.seconds=4\nmachines.idle.seconds=30\n\
                          machines.refusal.seconds=3\n";

/// Maximum run time of a command of the daemon's command line.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Why controllers could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A file, a port or a process failed.
    #[error("{what}: {error}")]
    Io {
        /// The operation or the path concerned.
        what: String,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The daemon's executable does not exist at this path.
    #[error("{0} is not built: run `cargo build --release` first")]
    NotBuilt(String),
}

/// Converts an error of the operating system, with the operation or the path concerned.
fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ControllerError {
    let what = what.into();
    move |error| ControllerError::Io { what, error }
}

type BoxFuture<T> = std::pin::Pin<Box<dyn Future<Output = T> + Send>>;

/// A controller and its process.
struct Controller {
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// When the process is started again; none if no start is planned.
    starts_at: Option<Instant>,
    /// When the process is resumed; none if it is not paused.
    resumes_at: Option<Instant>,
}

/// All controllers of a rehearsal. Their processes are killed when this is dropped.
pub struct Controllers {
    binary: PathBuf,
    properties: PathBuf,
    /// File with the settings for operators, whose connection to the state service is never disturbed.
    operator_config: PathBuf,
    list: Vec<Controller>,
    /// Addresses for users, by controller; their connections pass through links that a scenario can disturb.
    pub user_addrs: Vec<String>,
    /// Addresses on which the controllers listen, by controller.
    pub direct_addrs: Vec<String>,
    /// Number of times that a controller's process exited without being stopped by the scenario.
    pub unexpected_exits: usize,
}

/// An address on the loopback interface with a port that was free at the time of the call.
fn free_addr() -> std::io::Result<String> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

/// The path of the daemon's executable, in the folder of this program. If cargo runs this program, the daemon is built
/// first.
pub fn daemon_path() -> Result<PathBuf, ControllerError> {
    let own_path = std::env::current_exe().map_err(io("cannot find the path of this program"))?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = std::process::Command::new(cargo);
        build.args(["build", "--locked", "--package", "hollylanding"]);
        if own_path.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        if !build.status().map_err(io("cannot run cargo build"))?.success() {
            return Err(ControllerError::NotBuilt("hollylanding".into()));
        }
    }
    let daemon = own_path.with_file_name(format!("hollylanding{}", std::env::consts::EXE_SUFFIX));
    if daemon.is_file() { Ok(daemon) } else { Err(ControllerError::NotBuilt(daemon.display().to_string())) }
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

/// Sets the endpoints of the cloud and the state service in a controller's settings.
fn with_endpoints(mut settings: Value, cloud: &str, state: &str) -> Value {
    settings["endpoints"] = json!({"cloud": cloud, "state": state});
    settings
}

/// Starts a relay to the address `to` for a link of a controller, and returns the relay's address.
async fn start_relay(world: &World, to: String, i: usize, link: Link) -> Result<String, ControllerError> {
    relay(to, world.link_switch(i, link)).await.map_err(io("cannot start the relay of a link"))
}

/// Addresses and common settings of all controllers.
struct Cluster {
    zones: Vec<String>,
    params: Value,
    /// Address of each controller's listener for users and workers.
    api_addrs: Vec<String>,
    /// Address of each controller's listener for the other controllers.
    mesh_addrs: Vec<String>,
}

impl Cluster {
    /// Chooses the addresses of all controllers.
    fn new(sizes: &Sizes) -> Result<Self, ControllerError> {
        let (mut api_addrs, mut mesh_addrs) = (Vec::new(), Vec::new());
        for _ in 0..sizes.controllers {
            api_addrs.push(free_addr().map_err(io("cannot find a free port"))?);
            mesh_addrs.push(free_addr().map_err(io("cannot find a free port"))?);
        }
        Ok(Self { zones: sizes.zones(), params: sizes.controller_settings(), api_addrs, mesh_addrs })
    }

    /// The zone of a controller.
    fn zone(&self, i: usize) -> &str {
        &self.zones[i % self.zones.len()]
    }

    /// Starts a relay to a controller for one of its links, and returns the relay's address.
    async fn start_link(&self, world: &World, i: usize, link: Link) -> Result<String, ControllerError> {
        start_relay(world, self.api_addrs[i].clone(), i, link).await
    }

    /// A controller's settings. The addresses of the other controllers, the cloud and the state service are relays.
    async fn settings(&self, world: &Arc<World>, i: usize) -> Result<Value, ControllerError> {
        let services = world.serve_controller(i).await;
        let state = start_relay(world, services.clone(), i, Link::Store).await?;
        let cloud = start_relay(world, services, i, Link::Cloud).await?;
        let mut peers = Vec::new();
        for j in (0..self.mesh_addrs.len()).filter(|j| *j != i) {
            let endpoint = start_relay(world, self.mesh_addrs[j].clone(), i, Link::Peer(j)).await?;
            peers.push(json!({"host_name": name(j), "area": self.zone(j), "endpoint": endpoint}));
        }
        let settings = json!({
            "host_name": name(i), "area": self.zone(i), "api_addr": self.api_addrs[i], "mesh_addr": self.mesh_addrs[i],
            "peers": peers, "params": self.params,
        });
        Ok(with_endpoints(settings, &cloud, &state))
    }
}

impl Controllers {
    /// Writes the controllers' settings into a folder and starts the controllers, each with links of its own.
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
            operator_config: folder.join("operator.json"),
            list: vec![],
            user_addrs: vec![],
            direct_addrs: cluster.api_addrs.clone(),
            unexpected_exits: 0,
        };
        for i in 0..sizes.controllers {
            let settings = cluster.settings(world, i).await?;
            let config = folder.join(format!("{}.json", name(i)));
            write_json(&config, &settings)?;
            if i == 0 {
                let direct = world.serve_controller(sizes.controllers).await;
                write_json(&all.operator_config, &with_endpoints(settings, &direct, &direct))?;
            }
            let workers = cluster.start_link(world, i, Link::Workers).await?;
            lock(&world.nodes).push(Node { name: name(i), addr: workers });
            all.user_addrs.push(cluster.start_link(world, i, Link::Users).await?);
            let log = folder.join(format!("{}.log", name(i)));
            let _ = std::fs::remove_file(&log);
            all.list.push(Controller { config, log, child: None, starts_at: None, resumes_at: None });
            all.spawn(i)?;
        }
        Ok(all)
    }

    /// Starts a controller's process.
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
        controller.starts_at = None;
        Ok(())
    }

    /// Whether every controller runs and none is paused.
    pub fn all_running(&self) -> bool {
        self.list.iter().all(|c| c.starts_at.is_none() && c.resumes_at.is_none())
    }

    /// Returns a function that executes the daemon's command line with these arguments each time it is called, and
    /// returns the exit status and the output.
    pub fn command_runner(&self, args: Vec<String>) -> impl Fn() -> BoxFuture<(Option<i32>, String)> + Send + use<> {
        let (binary, config) = (self.binary.clone(), self.operator_config.display().to_string());
        let args: Vec<String> = args.iter().map(|arg| arg.replace("{config}", &config)).collect();
        move || {
            let mut command = Command::new(&binary);
            command.args(&args).stdin(Stdio::null()).kill_on_drop(true);
            Box::pin(async move {
                match tokio::time::timeout(COMMAND_TIMEOUT, command.output()).await {
                    Ok(Ok(out)) => {
                        let output = [out.stdout, out.stderr].concat();
                        (out.status.code(), String::from_utf8_lossy(&output).into_owned())
                    }
                    Ok(Err(error)) => (None, error.to_string()),
                    Err(_) => (None, format!("nothing within {COMMAND_TIMEOUT:?}")),
                }
            })
        }
    }

    /// Number of controllers, running or not.
    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// Kills a controller without warning, and restarts it after a delay.
    pub async fn kill_and_restart(&mut self, i: usize, restart_delay: Duration) {
        let Some(controller) = self.list.get_mut(i) else { return };
        if let Some(mut child) = controller.child.take() {
            let _ = child.kill().await;
        }
        (controller.starts_at, controller.resumes_at) = (Some(Instant::now() + restart_delay), None);
    }

    /// Sends a signal to a controller's process.
    fn signal(&self, i: usize, signal: Signal) {
        let pid = self.list.get(i).and_then(|c| c.child.as_ref()).and_then(Child::id);
        if let Some(pid) = pid.and_then(|pid| i32::try_from(pid).ok()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Pauses a controller's process (SIGSTOP) for a time. Its clocks continue.
    pub fn pause(&mut self, i: usize, time: Duration) {
        self.signal(i, Signal::SIGSTOP);
        if let Some(controller) = self.list.get_mut(i) {
            controller.resumes_at = Some(Instant::now() + time);
        }
    }

    /// Restarts and resumes the controllers that are due. Counts those that have exited unexpectedly and plans their
    /// restart.
    pub fn tick(&mut self) -> Result<(), ControllerError> {
        for i in 0..self.list.len() {
            let controller = &mut self.list[i];
            if let Some(child) = controller.child.as_mut()
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                controller.child = None;
                controller.starts_at = Some(Instant::now() + Duration::from_secs(1));
                self.unexpected_exits += 1;
            }
            let now = Instant::now();
            let due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
            let (starts_at, resumes_at) = (self.list[i].starts_at, self.list[i].resumes_at);
            if due(resumes_at) {
                self.signal(i, Signal::SIGCONT);
                self.list[i].resumes_at = None;
            }
            if due(starts_at) {
                self.spawn(i)?;
            }
        }
        Ok(())
    }
}
