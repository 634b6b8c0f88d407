//! Clients outside the limits on loopback, and the figures of the process that they meet.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time after which a member of a crowd stops sending, since the process may no longer read from it.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a returning member waits to be refused; afterwards it stays connected.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of reads of the socket table until the process must have read what it was sent.
const MAX_SETTLE_ROUNDS: usize = 600;

/// What each member of a crowd does.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// Number of members.
    pub members: usize,
    /// Bytes that each member sends; every tenth member also sends `rest`.
    pub bytes: Vec<u8>,
    /// End of the request.
    pub rest: Vec<u8>,
    /// Size of the single writes.
    pub piece: usize,
    /// Number of times that a member connects again after its connection was closed.
    pub returns: usize,
}

/// Sends the requests of a crowd; returns the connections, which stay open.
pub async fn send_crowd(address: SocketAddr, plan: &CrowdPlan) -> Vec<TcpStream> {
    let mut members = JoinSet::new();
    for number in 0..plan.members {
        let plan = plan.clone();
        members.spawn(async move {
            for _ in 0..=plan.returns {
                let sent = tokio::time::timeout(SEND_TIMEOUT, send_member(address, &plan, number));
                if let Ok(Ok(stream)) = sent.await {
                    return Some(stream);
                }
            }
            None
        });
    }
    members.join_all().await.into_iter().flatten().collect()
}

/// Sends one request; fails once the process has closed the connection.
async fn send_member(address: SocketAddr, plan: &CrowdPlan, number: usize) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    for piece in plan.bytes.chunks(plan.piece) {
        stream.write_all(piece).await?;
    }
    if number.is_multiple_of(10) {
        stream.write_all(&plan.rest).await?;
    } else if plan.returns > 0 {
        // Ends when the process responds to the request or closes the connection.
        let refused = tokio::time::timeout(REFUSAL_TIMEOUT, stream.read_u8()).await;
        if refused.is_ok() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
    }
    Ok(stream)
}

/// Waits until no socket of the process at this address has bytes that it has not read.
pub async fn wait_settled(address: SocketAddr) {
    let IpAddr::V4(ip) = address.ip() else {
        return;
    };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    for _ in 0..MAX_SETTLE_ROUNDS {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("cannot read the socket table");
        let unread = table.lines().any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let queues = fields.get(4).and_then(|queues| queues.split_once(':'));
            // State 01 is an established connection.
            fields.get(1) == Some(&local.as_str())
                && fields.get(3) == Some(&"01")
                && queues.is_some_and(|(_, unread)| unread != "00000000")
        });
        if !unread {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the largest resident memory that the process has had, in kilobytes.
pub fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process has ended");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let value = value.and_then(|value| value.parse().ok());
    value.expect("the process has ended")
}

/// Returns the number of open sockets and pipes of the process.
pub fn open_sockets(process: u32) -> usize {
    let folder = std::fs::read_dir(format!("/proc/{process}/fd")).expect("the process has ended");
    let targets = folder.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    targets
        .filter(|target| {
            let target = target.to_string_lossy();
            target.starts_with("socket:") || target.starts_with("pipe:")
        })
        .count()
}
