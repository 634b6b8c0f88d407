use std::io;

use arbutuspick_clients::VmEntry;
use arbutuspick_model::{CentreName, FieldError, ServiceName, UpstreamName};

use crate::upstream_standin::{UpstreamOptions, UpstreamStandin};

/// Options of the upstreams of a service in one data centre.
#[derive(Clone, Debug)]
pub struct UpstreamFleetOptions {
    /// Number of upstreams.
    pub count: usize,
    /// Data centre.
    pub data_centre: CentreName,
    /// Service.
    pub service: ServiceName,
    /// Maximum number of concurrent requests of each upstream.
    pub slots: u64,
    /// Maximum number of connections of each upstream.
    pub max_connections: usize,
    /// Port of the first upstream, or 0 for ephemeral ports.
    pub base_port: u16,
}

impl UpstreamFleetOptions {
    /// Creates options for upstreams with 8 slots and 64 connections on ephemeral ports.
    pub fn new(count: usize, data_centre: CentreName, service: ServiceName) -> Self {
        Self {
            count,
            data_centre,
            service,
            slots: 8,
            max_connections: 64,
            base_port: 0,
        }
    }

    fn upstream(&self, index: usize) -> Result<UpstreamOptions, FieldError> {
        let (centre, service) = (&self.data_centre, &self.service);
        let name = UpstreamName::try_from(format!("{centre}-{service}-{index:03}"))?;
        let mut options = UpstreamOptions::new(name, centre.clone(), service.clone());
        options.slots = self.slots;
        options.max_connections = self.max_connections;
        if self.base_port > 0 {
            options.port = u16::try_from(usize::from(self.base_port) + index)
                .map_err(|_| FieldError::new("base-port", self.base_port, "leaves too few ports"))?;
        }
        Ok(options)
    }
}

/// Upstreams of a service in one data centre, each with its own listener.
#[derive(Debug)]
pub struct UpstreamFleet {
    /// Upstreams in order of their names.
    pub upstreams: Vec<UpstreamStandin>,
}

impl UpstreamFleet {
    /// Starts the upstreams, which stop when the fleet is dropped.
    pub async fn start(options: &UpstreamFleetOptions) -> io::Result<Self> {
        let mut upstreams = Vec::with_capacity(options.count);
        for index in 0..options.count {
            let upstream = options.upstream(index).map_err(io::Error::other)?;
            upstreams.push(UpstreamStandin::start(upstream).await?);
        }
        Ok(Self { upstreams })
    }

    /// Returns the upstreams' entries in the platform's list of VMs.
    pub fn entries(&self) -> Vec<VmEntry> {
        self.upstreams.iter().map(UpstreamStandin::entry).collect()
    }
}
