use arbutuspick_model::CentreName;
use bytes::Bytes;
use hyper::Method;

use crate::call_gate::CallKind;
use crate::gated_caller::GatedCaller;
use crate::json_call::{build_request, decode_body};
use crate::{CallError, CallPriority, ClientOptions, VmList, VmRole};

/// Client of the list of VMs.
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
    caller: GatedCaller,
}

impl VmClient {
    /// Creates a client; it connects with the first call.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            caller: GatedCaller::new(options),
        }
    }

    /// Returns the VMs of a role in one or all data centres.
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
        let answer = self
            .caller
            .call(request, CallKind::Read, CallPriority::Submission)
            .await?;
        decode_body(&answer.body)
    }
}
