use serde::Deserialize;

/// The settings file as parsed, before its values are checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of this entry VM.
    pub vm: String,
    /// Data centre of this entry VM.
    pub data_centre: String,
    /// Address for callers and operators.
    pub http_listen: String,
    /// Address for other entry VMs.
    pub peer_listen: String,
    /// Address of the platform's table, object store and list of VMs.
    pub platform: String,
    /// All other entry VMs.
    #[serde(default)]
    pub peers: Vec<RawPeer>,
    /// Number of entry VMs, including this one.
    pub entry_vms: u32,
    /// Services that upstreams serve.
    pub services: Vec<String>,
    /// `off`, or absent.
    #[serde(default)]
    pub auth: Option<String>,
    /// Digests of bearer tokens and their roles.
    #[serde(default)]
    pub tokens: Vec<RawToken>,
    /// Owners in the order of their months, for the first turn; by default the owners of the tokens.
    #[serde(default)]
    pub owners: Option<Vec<String>>,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default)]
    pub log_level: Option<String>,
    /// Limits of the daemon.
    #[serde(default)]
    pub limits: RawLimits,
}

/// Another entry VM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPeer {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address of its peer listener.
    pub address: String,
}

/// Digest of a bearer token, and the role of its callers: exactly one of account, owner and operator.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawToken {
    /// SHA-256 of the token in hexadecimal.
    pub sha256: String,
    /// Name of a client account.
    #[serde(default)]
    pub account: Option<String>,
    /// Name of an owner of client accounts.
    #[serde(default)]
    pub owner: Option<String>,
    /// Name of an operator.
    #[serde(default)]
    pub operator: Option<String>,
}

/// Limits of the daemon; durations in milliseconds.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawLimits {
    /// Largest request body in bytes.
    pub body_bytes: Option<u64>,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: Option<u64>,
    /// Number of descriptors that the process may open.
    pub max_descriptors: Option<u64>,
    /// Longest deadline of a request to a service.
    pub max_deadline_ms: Option<u64>,
    /// Longest time that a caller waits for the end of a job in one request.
    pub max_wait_ms: Option<u64>,
    /// Time from the start of a planned stop until new work is refused, for the load balancer to follow.
    pub balancer_lag_ms: Option<u64>,
    /// Time limit after that for requests in flight to finish.
    pub stop_limit_ms: Option<u64>,
    /// Largest number of callers that wait for the end of a job.
    pub waiters: Option<u64>,
    /// Time without a summary of a data centre's holder after which its queued jobs are moved.
    pub rescue_after_ms: Option<u64>,
}
