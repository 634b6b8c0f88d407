//! Processes of `arbutuspick-edge`, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::call;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/arbutuspick-edge";

pub struct Edge {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("no free port");
    listener.local_addr().expect("no address").port()
}

impl Edge {
    /// Starts the process of a machine with an address of its own.
    pub fn start(folder: &Path, number: usize, zone: &str, store: SocketAddr, memory_mb: u64) -> Self {
        let ip = format!("127.0.1.{}", 10 + number);
        let ports: Vec<u16> = (0..4).map(|_| free_port(&ip)).collect();
        let text = format!(
            "node: \"edge-{zone}-{number}\"\nrole: \"entry\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"midlands\"\n\
             zones:\n  trent: \"midlands\"\n  severn: \"midlands\"\n  peak-edge: \"midlands\"\n\
             listen:\n  front: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n\
             port_range:\n  - {}\n  - {}\nbootstrap: true\nin_tolerance: false\n\
             limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: {memory_mb}\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
             data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1500\n\
             bounds:\n  contact_ms: 3000\n  ack_ms: 4000\n  grace_s: 6\n  config_apply_ms: 2000\n  strict_revoke: true\n  revoke_ms: 5000\n  evacuate_ms: 5000\n  max_hold_ms: 10000\n  stop_ms: 900\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  remote_factor: 3\n  checkpoint_s: 1\n  restore_ms: 250\n\
             control_mode: \"push\"\n\
             platform:\n  addr: \"{store}\"\n  form: \"table\"\n  writes_per_s: 600\n  reads_per_s: 2000\n  txn_ms: 4.0\n  part_writes_s: 250\n  row_bytes: 65536\n  cross_shard: true\n  history_s: 20\n",
            ports[0], ports[1], ports[2], ports[3],
        );
        let settings = folder.join(format!("edge-{number}.yaml"));
        std::fs::write(&settings, text).expect("cannot write the settings");
        let child = launch(&settings);
        let address = |port: u16| SocketAddr::new(ip.parse().unwrap(), port);
        Self {
            front: address(ports[0]),
            ready: address(ports[1]),
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..400 {
            let answer = call(
                self.ready,
                "GET",
                "/ready",
                &[("host", "x")],
                "",
                Duration::from_secs(1),
            );
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        false
    }
}

fn launch(settings: &Path) -> Child {
    let log = File::create(settings.with_extension("log")).expect("cannot write a log");
    Command::new(PROGRAM)
        .env("ARBUTUSPICK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("cannot start the program; was the deploy build made?")
}
