use arbutuspick_model::CentreName;
use bytes::Bytes;
use hyper::Method;

use crate::call_limiter::CallKind;
use crate::json_call::{build_request, decode_body};
use crate::limited_client::LimitedClient;
use crate::{CallError, CallPriority, ClientOptions, VmList, VmRole};

/// Client of the VM list.
///
/// ```no_run
/// # async fn example() -> Result<(), arbutuspick_clients::CallError> {
/// use arbutuspick_clients::{ClientOptions, VmClient, VmRole};
/// let client = VmClient::new(ClientOptions::new("127.0.0.1:7000".parse().unwrap()));
/// let list = client.list(VmRole::Upstream, None).await?;
/// println!("{} upstreams", list.vms.len());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct VmClient {
    client: LimitedClient,
}

impl VmClient {
    /// Creates a client, which connects on the first call.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            client: LimitedClient::new(options),
        }
    }

    /// Returns the VMs with a role in one data centre, or in all of them.
    pub async fn list(&self, role: VmRole, data_centre: Option<&CentreName>) -> Result<VmList, CallError> {
        let role = match role {
            VmRole::Entry => "entry",
            VmRole::Upstream => "upstream",
            VmRole::Worker => "worker",
        };
        let mut path = format!("/v1/vms?role={role}");
        if let Some(centre) = data_centre {
            path.push_str("&data_centre=");
            path.push_str(centre.as_str());
        }
        let request = build_request(Method::GET, &path, "application/json", Bytes::new())?;
        let response = self
            .client
            .call(request, CallKind::Read, CallPriority::Submission)
            .await?;
        decode_body(&response.body)
    }
}
