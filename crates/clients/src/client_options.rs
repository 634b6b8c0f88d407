use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Options of a client of a platform service.
///
/// ```
/// use arbutuspick_clients::ClientOptions;
/// let options = ClientOptions::new("127.0.0.1:7000".parse().unwrap()).with_writes_per_s(50);
/// assert_eq!(options.max_in_flight, 32);
/// ```
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Address of the service.
    pub address: SocketAddr,
    /// Timeout of a call, including connecting and waiting for admission.
    pub call_timeout: Duration,
    /// Maximum number of calls in flight.
    pub max_in_flight: u32,
    /// Rate limit of writes, per second.
    pub writes_per_s: u32,
    /// Rate limit of reads, per second.
    pub reads_per_s: u32,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            call_timeout: Duration::from_secs(1),
            max_in_flight: 32,
            // One seventh, for 7 entry VMs, of the 300 writes and 1,800 reads per second that they share.
            writes_per_s: 42,
            reads_per_s: 257,
        }
    }
}

impl ClientOptions {
    /// Creates default options for an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            ..Self::default()
        }
    }

    /// Sets the call timeout.
    #[must_use]
    pub fn with_call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the maximum number of calls in flight.
    #[must_use]
    pub fn with_max_in_flight(mut self, calls: u32) -> Self {
        self.max_in_flight = calls;
        self
    }

    /// Sets the rate limit of writes, per second.
    #[must_use]
    pub fn with_writes_per_s(mut self, writes: u32) -> Self {
        self.writes_per_s = writes;
        self
    }

    /// Sets the rate limit of reads, per second.
    #[must_use]
    pub fn with_reads_per_s(mut self, reads: u32) -> Self {
        self.reads_per_s = reads;
        self
    }
}
