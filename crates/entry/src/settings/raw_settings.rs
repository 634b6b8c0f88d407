use serde::Deserialize;

/// The settings file as it was written, before its values are checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of this entry VM.
    pub vm: String,
    /// Its data centre.
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
    /// Number of entry VMs, this one included.
    pub entry_vms: u32,
    /// Services that upstreams serve.
    pub services: Vec<String>,
    /// `off`, or absent.
    #[serde(default)]
    pub auth: Option<String>,
    /// Digests of bearer tokens and their roles.
    #[serde(default)]
    pub tokens: Vec<RawToken>,
    /// Owners in the order of their months, for the first turn; the owners of the tokens when absent.
    #[serde(default)]
    pub owners: Option<Vec<String>>,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default)]
    pub log_level: Option<String>,
    /// Limits.
    #[serde(default)]
    pub limits: RawLimits,
}

/// Another entry VM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPeer {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address of its peer listener.
    pub address: String,
}

/// Digest of a bearer token and the one role that it gives.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawToken {
    /// SHA-256 of the token in hexadecimal.
    pub sha256: String,
    /// Client account.
    #[serde(default)]
    pub account: Option<String>,
    /// Owner of client accounts.
    #[serde(default)]
    pub owner: Option<String>,
    /// Operator.
    #[serde(default)]
    pub operator: Option<String>,
}

/// Limits; durations in milliseconds.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawLimits {
    /// Largest request body.
    pub body_bytes: Option<u64>,
    /// Longest deadline of a request to a service.
    pub max_deadline_ms: Option<u64>,
    /// Longest wait for the end of a job.
    pub max_wait_ms: Option<u64>,
    /// Time from the start of a planned stop until no new work is taken.
    pub balancer_lag_ms: Option<u64>,
    /// Time from then on in which requests in flight may finish.
    pub stop_limit_ms: Option<u64>,
    /// Most waits for ends of jobs at once.
    pub waiters: Option<u64>,
    /// Time without news of a data centre's holder after which its queued jobs are moved.
    pub rescue_after_ms: Option<u64>,
}
