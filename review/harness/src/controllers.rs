//! Controllers as separate processes, started with the command of the deploy file.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use crate::http;
use crate::proxy;
use crate::world::World;

pub struct Controllers {
    command: Vec<String>,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    /// By controller, another program that it runs in place of the deploy file's: an older build.
    pub older: Vec<Option<String>>,
    pub api: Vec<String>,
    /// By pair of controllers, the switch of the connections that the first opens to the second.
    switches: Vec<Vec<Arc<AtomicU8>>>,
}

/// The program and the arguments of the `run` line of the deploy file.
fn run_command(root: &Path) -> Vec<String> {
    let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file");
    let run =
        deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("a run line").trim().trim_matches('"').to_owned();
    run.split_whitespace().map(str::to_owned).collect()
}

impl Controllers {
    /// Writes the settings and starts `count` controllers. `params` is the JSON of the settings' `params`.
    pub fn start(world: &Arc<World>, root: &Path, folder: &Path, count: usize, params: &str) -> Self {
        let zones = &world.settings.zones;
        let api: Vec<String> = (0..count).map(|_| http::free_addr()).collect();
        let mesh: Vec<String> = (0..count).map(|_| http::free_addr()).collect();
        let switches: Vec<Vec<Arc<AtomicU8>>> =
            (0..count).map(|_| (0..count).map(|_| Arc::default()).collect()).collect();
        for i in 0..count {
            let services = world.serve_controller(i);
            let peers: Vec<String> = (0..count)
                .filter(|j| *j != i)
                .map(|j| {
                    let area = zones[j % zones.len()];
                    let endpoint = proxy::start(mesh[j].clone(), switches[i][j].clone());
                    format!(r#"{{"host_name":"node-{j}","area":"{area}","endpoint":"{endpoint}"}}"#)
                })
                .collect();
            let settings = format!(
                r#"{{"host_name":"node-{i}","area":"{}","api_addr":"{}","mesh_addr":"{}","peers":[{}],"endpoints":{{"cloud":"{services}","state":"{services}"}},"params":{params}}}"#,
                zones[i % zones.len()],
                api[i],
                mesh[i],
                peers.join(",")
            );
            std::fs::write(folder.join(format!("node-{i}.json")), settings).expect("the settings can be written");
        }
        let mut controllers = Self {
            command: run_command(root),
            folder: folder.to_owned(),
            children: Vec::new(),
            older: Vec::new(),
            api: api.clone(),
            switches,
        };
        controllers.children.resize_with(count, || None);
        controllers.older = vec![std::env::var("OLDER_BUILD").ok(); count];
        (0..count).for_each(|i| controllers.spawn(i));
        world.lock().nodes = api.iter().enumerate().map(|(i, addr)| (format!("node-{i}"), addr.clone())).collect();
        controllers
    }

    /// Sets the switches of all connections between a controller and the others.
    pub fn set_peers(&self, i: usize, mode: u8) {
        for j in 0..self.switches.len() {
            self.switches[i][j].store(mode, Ordering::Relaxed);
            self.switches[j][i].store(mode, Ordering::Relaxed);
        }
    }

    pub fn spawn(&mut self, i: usize) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("node-{i}.log")));
        let program = self.older[i].as_ref().unwrap_or(&self.command[0]);
        let child = Command::new(program)
            .args(&self.command[1..])
            .arg(self.folder.join(format!("node-{i}.json")))
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("the log can be written"))
            .spawn();
        self.children[i] = Some(child.expect("the controller starts"));
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal (`STOP`, `CONT`) to a controller.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.children[i] {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Whether a controller's process has ended by itself.
    pub fn ended(&mut self, i: usize) -> bool {
        self.children[i].as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until every controller is healthy.
    pub fn wait_healthy(&self, timeout: Duration) -> bool {
        let until = std::time::Instant::now() + timeout;
        let healthy = |addr: &String| {
            http::call(addr, "GET", "/healthz", None, Duration::from_secs(1)).is_some_and(|(status, _)| status == 200)
        };
        while !self.api.iter().all(healthy) {
            if std::time::Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|i| self.kill(i));
    }
}
