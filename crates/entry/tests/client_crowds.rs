//! Entry daemons in separate processes against crowds of clients that send more than they can hold.

mod harness;

use arbutuspick_standins::{CrowdPlan, open_sockets, peak_memory_kb, send_crowd, wait_settled};
use harness::{PoolOptions, TestPool};
use hyper::Method;
use serde_json::json;
use tokio::sync::Mutex;
use yare::parameterized;

/// Limits in the settings of the tests.
const MEMORY_MB: u64 = 64;
const MAX_DESCRIPTORS: usize = 360;
const MAX_BODY_BYTES: usize = 262_144;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Token of the client account of the ordinary caller and of the crowd.
const ACCOUNT: &str = "account:parks";
/// Number of clients in a crowd.
const CROWD: usize = 240;
/// Number of clients in a crowd whose requests take the most memory.
const SMALL_CROWD: usize = 48;
/// Number of attempts to make an ordinary request while the crowd stays connected.
const MAX_ATTEMPTS: usize = 100;

/// Makes tests run one after the other, since each measures a process under load.
static SINGLE_TEST: Mutex<()> = Mutex::const_new(());

/// Listeners of the daemon.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Peers,
}

fn plan(members: usize, bytes: Vec<u8>, rest: &[u8]) -> CrowdPlan {
    CrowdPlan {
        members,
        bytes,
        rest: rest.to_vec(),
        piece: 65_536,
        returns: 0,
    }
}

fn post_head(body_field: &str) -> Vec<u8> {
    format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {ACCOUNT}\r\n{body_field}\r\n\r\n"
    )
    .into_bytes()
}

/// A job of the largest legal size without its last byte.
fn cut_body() -> CrowdPlan {
    let mut bytes = post_head(&format!("content-length: {MAX_BODY_BYTES}"));
    bytes.extend_from_slice(b"{\"payload\":\"");
    bytes.resize(bytes.len() + MAX_BODY_BYTES - 14, b'x');
    bytes.push(b'"');
    plan(CROWD, bytes, b"}")
}

/// A body of the largest legal size in chunks of one size, without its end.
fn cut_chunks(members: usize, chunk_size: usize) -> CrowdPlan {
    let mut bytes = post_head("transfer-encoding: chunked");
    let chunk = format!("{chunk_size:x}\r\n{}\r\n", "x".repeat(chunk_size));
    bytes.extend_from_slice(&chunk.as_bytes().repeat((MAX_BODY_BYTES - 1) / chunk_size));
    plan(members, bytes, b"0\r\n\r\n")
}

fn endless_head() -> CrowdPlan {
    let mut bytes = b"GET /v1/pool HTTP/1.1\r\nhost: entry\r\nx-long: ".to_vec();
    bytes.resize(bytes.len() + 400_000, b'x');
    plan(CROWD, bytes, b"")
}

fn empty_lines() -> CrowdPlan {
    plan(CROWD, b"\r\n".repeat(200_000), b"")
}

/// A frame of legal size without its end.
fn cut_frame() -> CrowdPlan {
    const FRAME_BYTES: u32 = 1024 * 1024;
    let mut bytes = FRAME_BYTES.to_be_bytes().to_vec();
    bytes.resize(FRAME_BYTES as usize, 0);
    plan(SMALL_CROWD, bytes, b"")
}

fn returning(mut plan: CrowdPlan) -> CrowdPlan {
    plan.returns = 4;
    plan
}

/// Guards against a daemon that runs out of memory or descriptors, or that no longer serves its callers, because clients
/// or peers send more than it can hold.
#[parameterized(
    bodies = { Listener::Callers, cut_body() },
    returning_bodies = { Listener::Callers, returning(cut_body()) },
    large_chunks = { Listener::Callers, cut_chunks(CROWD, 65_536) },
    small_chunks = { Listener::Callers, cut_chunks(12, 1) },
    heads = { Listener::Callers, endless_head() },
    empty_lines_first = { Listener::Callers, empty_lines() },
    frames = { Listener::Peers, cut_frame() },
    peer_heads = { Listener::Peers, endless_head() },
    peer_empty_lines = { Listener::Peers, empty_lines() },
)]
#[test_macro(tokio::test)]
async fn bounded_daemon(listener: Listener, plan: CrowdPlan) {
    let _single_test = SINGLE_TEST.lock().await;
    let limits = json!({
        "memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS, "body_bytes": MAX_BODY_BYTES,
    });
    let options = PoolOptions {
        centres: vec![("trent", 1)],
        limits,
        ..PoolOptions::default()
    };
    let mut pool = TestPool::start(options).await;
    let process = pool.entries[0].process_id();
    let calm_memory_kb = peak_memory_kb(process);
    let address = match listener {
        Listener::Callers => pool.entries[0].http,
        Listener::Peers => pool.entries[0].peer,
    };
    let crowd = send_crowd(address, &plan).await;
    wait_settled(address).await;

    assert!(pool.entries[0].is_running(), "the daemon ended");
    let (memory_kb, sockets) = (peak_memory_kb(process), open_sockets(process));
    println!(
        "memory before {calm_memory_kb} KB, peak {memory_kb} KB, {sockets} sockets, {} open",
        crowd.len()
    );
    assert!(memory_kb < MEMORY_MB * 1024, "peak memory is {memory_kb} KB");
    assert!(
        sockets <= MAX_DESCRIPTORS - FILE_DESCRIPTORS,
        "{sockets} sockets and pipes are open"
    );
    assert!(answers(&pool).await, "a new caller was not served");
    drop(crowd);
}

/// Returns whether the daemon answers an ordinary request over a new connection.
async fn answers(pool: &TestPool) -> bool {
    let http = pool.entries[0].http;
    for _ in 0..MAX_ATTEMPTS {
        let response = pool
            .api
            .call(http, Method::GET, "/v1/pool", ACCOUNT, None, &[])
            .await;
        if response.is_ok_and(|response| response.status.is_success()) {
            return true;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    false
}
