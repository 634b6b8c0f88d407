use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use arbutuspick_model::{CentreName, FieldError, OwnerName, ServiceName, VmName};
use arbutuspick_peer::PeerAddress;
use log::LevelFilter;
use snafu::ResultExt;

use super::settings_error::{MalformedSnafu, UnreadableSnafu};
use super::{AuthSettings, EntryLimits, RawPeer, RawSettings, RawToken, SettingsError};

/// Largest number of entry VMs; each needs at least one of the 64 connections of an upstream.
const MAX_ENTRY_VMS: u32 = 64;

/// Checked settings of an entry VM.
///
/// ```
/// use arbutuspick_entry::Settings;
/// let yaml = "
/// vm: trent-1
/// data_centre: trent
/// http_listen: 127.0.0.1:0
/// peer_listen: 127.0.0.1:0
/// platform: 127.0.0.1:18000
/// entry_vms: 1
/// services: [booking]
/// auth: off
/// ";
/// assert_eq!(Settings::from_yaml(yaml)?.vm.as_str(), "trent-1");
/// # Ok::<(), arbutuspick_entry::SettingsError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this entry VM.
    pub vm: VmName,
    /// Data centre of this entry VM.
    pub data_centre: CentreName,
    /// Address for callers and operators.
    pub http_listen: SocketAddr,
    /// Address for other entry VMs.
    pub peer_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// All other entry VMs.
    pub peers: Vec<PeerAddress>,
    /// Number of entry VMs, including this one.
    pub entry_vms: u32,
    /// Services that upstreams serve.
    pub services: Vec<ServiceName>,
    /// How callers are authenticated.
    pub auth: AuthSettings,
    /// Owners in the order of their months, used while the platform has no turn row.
    pub owners: Vec<OwnerName>,
    /// Log level.
    pub log_level: LevelFilter,
    /// Limits of the daemon.
    pub limits: EntryLimits,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::from_yaml(&text)
    }

    /// Reads and checks the text of a settings file.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings = serde_yaml_ng::from_str(text).context(MalformedSnafu)?;
        Ok(Self::try_from(raw)?)
    }

    /// Returns the data centres of all entry VMs, in order of their names.
    pub fn data_centres(&self) -> Vec<CentreName> {
        let peers = self.peers.iter().map(|peer| peer.data_centre.clone());
        let centres: BTreeSet<CentreName> = peers.chain([self.data_centre.clone()]).collect();
        centres.into_iter().collect()
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = FieldError;
    fn try_from(raw: RawSettings) -> Result<Self, FieldError> {
        let vm = parse_field("vm", &raw.vm)?;
        let settings = Self {
            data_centre: parse_field("data_centre", &raw.data_centre)?,
            http_listen: parse_address("http_listen", &raw.http_listen)?,
            peer_listen: parse_address("peer_listen", &raw.peer_listen)?,
            platform: parse_address("platform", &raw.platform)?,
            peers: check_peers(&vm, &raw.peers)?,
            entry_vms: check_entry_vms(raw.entry_vms, raw.peers.len())?,
            services: check_services(&raw.services)?,
            auth: AuthSettings::new(raw.auth.as_deref(), &raw.tokens)?,
            owners: check_owners(raw.owners.as_deref(), &raw.tokens)?,
            log_level: parse_log_level(raw.log_level.as_deref())?,
            limits: EntryLimits::try_from(raw.limits)?,
            vm,
        };
        settings.check_addresses(&raw.peer_listen)?;
        Ok(settings)
    }
}

impl Settings {
    fn check_addresses(&self, peer_listen: &str) -> Result<(), FieldError> {
        let Self {
            http_listen,
            peer_listen: peer_address,
            peers,
            ..
        } = self;
        if peer_address.port() != 0 && http_listen == peer_address {
            return Err(FieldError::new(
                "peer_listen",
                peer_listen,
                "must differ from http_listen",
            ));
        }
        match peers.iter().position(|peer| peer.address == *peer_address) {
            Some(i) => {
                let field = format!("peers[{i}].address");
                Err(FieldError::new(
                    field,
                    peer_listen,
                    "must differ from peer_listen",
                ))
            }
            None => Ok(()),
        }
    }
}

/// Parses a name; the error has the field of the name's type.
pub(super) fn parse_name<'a, Name>(value: &'a str) -> Result<Name, FieldError>
where
    Name: TryFrom<&'a str, Error = FieldError>,
{
    Name::try_from(value)
}

/// Parses a name; the error has the given field.
fn parse_field<'a, Name>(field: &str, value: &'a str) -> Result<Name, FieldError>
where
    Name: TryFrom<&'a str, Error = FieldError>,
{
    parse_name(value).map_err(|error| FieldError {
        field: field.into(),
        ..error
    })
}

fn parse_address(field: &str, value: &str) -> Result<SocketAddr, FieldError> {
    value.parse().map_err(|_| {
        FieldError::new(
            field,
            value,
            "must be an IP number and a port, such as 127.0.0.1:8080",
        )
    })
}

fn check_peers(vm: &VmName, peers: &[RawPeer]) -> Result<Vec<PeerAddress>, FieldError> {
    let mut checked: Vec<PeerAddress> = Vec::new();
    for (i, peer) in peers.iter().enumerate() {
        let within = |error: FieldError| error.within(format!("peers[{i}]"));
        let next = PeerAddress {
            vm: parse_field("name", &peer.name).map_err(within)?,
            data_centre: parse_field("data_centre", &peer.data_centre).map_err(within)?,
            address: parse_address("address", &peer.address).map_err(within)?,
        };
        if next.vm == *vm || checked.iter().any(|other| other.vm == next.vm) {
            return Err(within(FieldError::new(
                "name",
                &peer.name,
                "must be the name of one VM only",
            )));
        }
        if checked.iter().any(|other| other.address == next.address) {
            return Err(within(FieldError::new(
                "address",
                &peer.address,
                "must be the address of one VM only",
            )));
        }
        checked.push(next);
    }
    Ok(checked)
}

fn check_entry_vms(entry_vms: u32, peers: usize) -> Result<u32, FieldError> {
    let lowest = u32::try_from(peers).unwrap_or(u32::MAX).saturating_add(1);
    if entry_vms < lowest || entry_vms > MAX_ENTRY_VMS {
        let rule = format!("must be from {lowest} (this VM and its peers) to {MAX_ENTRY_VMS}");
        return Err(FieldError::new("entry_vms", entry_vms, rule));
    }
    Ok(entry_vms)
}

fn check_services(services: &[String]) -> Result<Vec<ServiceName>, FieldError> {
    if services.is_empty() {
        return Err(FieldError::new("services", "[]", "must have at least one entry"));
    }
    let mut checked: Vec<ServiceName> = Vec::new();
    for (i, service) in services.iter().enumerate() {
        let field = format!("services[{i}]");
        let name = parse_field(&field, service)?;
        if checked.contains(&name) {
            return Err(FieldError::new(field, service, "must occur only once"));
        }
        checked.push(name);
    }
    Ok(checked)
}

fn check_owners(owners: Option<&[String]>, tokens: &[RawToken]) -> Result<Vec<OwnerName>, FieldError> {
    let Some(owners) = owners else {
        return tokens
            .iter()
            .filter_map(|token| token.owner.as_deref())
            .map(parse_name)
            .collect();
    };
    let mut checked: Vec<OwnerName> = Vec::new();
    for (i, owner) in owners.iter().enumerate() {
        let field = format!("owners[{i}]");
        let name = parse_field(&field, owner)?;
        if checked.contains(&name) {
            return Err(FieldError::new(field, owner, "must occur only once"));
        }
        checked.push(name);
    }
    Ok(checked)
}

fn parse_log_level(level: Option<&str>) -> Result<LevelFilter, FieldError> {
    match level {
        None | Some("info") => Ok(LevelFilter::Info),
        Some("error") => Ok(LevelFilter::Error),
        Some("warn") => Ok(LevelFilter::Warn),
        Some("debug") => Ok(LevelFilter::Debug),
        Some("trace") => Ok(LevelFilter::Trace),
        Some(other) => Err(FieldError::new(
            "log_level",
            other,
            "must be error, warn, info, debug or trace",
        )),
    }
}
