use crate::connection_entry::CONNECTION_BYTES;

/// Share of the memory that clients may hold, in percent; the rest is for the scheduler and its clients.
pub const CLIENT_MEMORY_PERCENT: usize = 25;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the sockets that callers may use, as a divisor; the rest is for the store, workers and peers.
const CALLER_SOCKET_DIVISOR: usize = 4;
/// Part of the sockets that peers may use, as a divisor.
const PEER_SOCKET_DIVISOR: usize = 8;
/// Maximum number of connections of peers; a large deployment has some tens of entry VMs with a few each.
const MAX_PEER_CONNECTIONS: usize = 128;
/// Maximum number of connections of probes and of readers of metrics.
const MAX_PROBE_CONNECTIONS: usize = 16;
/// Least number of connections of a listener.
const MIN_CONNECTIONS: usize = 8;

/// Smallest limit for the size of a head, in bytes.
pub(crate) const MIN_HEAD_LIMIT_BYTES: usize = 24 * 1024;
/// Largest limit for the size of a head, in bytes; the memory of a listener has to hold several.
const MAX_HEAD_LIMIT_BYTES: usize = 128 * 1024;
/// Room in the read buffer besides a head of the largest permitted size, in bytes.
const READ_AHEAD_BYTES: usize = 8 * 1024;

/// Returns the limit for the size of a head where a configuration permits heads of this size, in bytes.
pub(crate) fn head_limit(permitted_bytes: usize) -> usize {
    let limit = permitted_bytes.saturating_add(READ_AHEAD_BYTES);
    limit.clamp(MIN_HEAD_LIMIT_BYTES, MAX_HEAD_LIMIT_BYTES)
}

/// Returns the number of descriptors that the system lets the process open.
pub fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// What the clients of one listener may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum memory in bytes.
    pub max_bytes: usize,
}

/// Limits of the listeners of a process. A crowd at one listener leaves the others their part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Callers and operators.
    pub callers: ClientLimits,
    /// Readiness probes.
    pub readiness: ClientLimits,
    /// Readers of metrics and state dumps.
    pub metrics: ClientLimits,
    /// Other processes of the deployment.
    pub peers: ClientLimits,
}

impl ListenerLimits {
    /// Derives the limits from the memory and the number of descriptors of the process.
    ///
    /// ```
    /// use arbutuspick_server::ListenerLimits;
    /// let limits = ListenerLimits::derive(120, 3_075);
    /// assert_eq!((limits.callers.max_connections, limits.callers.max_bytes), (600, 19_660_800));
    /// ```
    pub fn derive(memory_mb: usize, max_descriptors: usize) -> Self {
        let bytes = memory_mb.saturating_mul(1024 * 1024 * CLIENT_MEMORY_PERCENT) / 100;
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let limits = |max_connections: usize, sixteenths: usize| {
            let max_bytes = bytes / 16 * sixteenths;
            // Connections alone take at most half of the memory, so that bodies have room.
            let affordable = max_bytes / 2 / CONNECTION_BYTES;
            ClientLimits {
                max_connections: max_connections.min(affordable).max(MIN_CONNECTIONS),
                max_bytes,
            }
        };
        Self {
            callers: limits(sockets / CALLER_SOCKET_DIVISOR, 10),
            readiness: limits(MAX_PROBE_CONNECTIONS, 1),
            metrics: limits(MAX_PROBE_CONNECTIONS, 1),
            peers: limits((sockets / PEER_SOCKET_DIVISOR).min(MAX_PEER_CONNECTIONS), 4),
        }
    }

    /// Returns the memory that the clients of all listeners may hold together, in bytes.
    pub fn total_bytes(&self) -> usize {
        let listeners = [self.callers, self.readiness, self.metrics, self.peers];
        listeners.iter().map(|limits| limits.max_bytes).sum()
    }
}
