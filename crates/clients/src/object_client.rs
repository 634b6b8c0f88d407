use bytes::Bytes;
use hyper::Method;

use crate::call_limiter::CallKind;
use crate::json_call::build_request;
use crate::limited_client::LimitedClient;
use crate::{CallError, CallPriority, ClientOptions};

/// Client of the object store. Clones share connections and limits.
///
/// ```no_run
/// # async fn example() -> Result<(), arbutuspick_clients::CallError> {
/// use arbutuspick_clients::{CallPriority, ClientOptions, ObjectClient};
/// let client = ObjectClient::new(ClientOptions::new("127.0.0.1:7000".parse().unwrap()));
/// client.put("result/1", "done".into(), CallPriority::Essential).await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct ObjectClient {
    client: LimitedClient,
}

impl ObjectClient {
    /// Creates a client, which connects on the first call.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            client: LimitedClient::new(options),
        }
    }

    /// Creates or replaces an object.
    pub async fn put(&self, key: &str, bytes: Bytes, priority: CallPriority) -> Result<(), CallError> {
        self.call(Method::PUT, key, bytes, priority).await.map(drop)
    }

    /// Returns the object, or `None` if it does not exist.
    pub async fn get(&self, key: &str, priority: CallPriority) -> Result<Option<Bytes>, CallError> {
        match self.call(Method::GET, key, Bytes::new(), priority).await {
            Ok(bytes) => Ok(Some(bytes)),
            Err(CallError::Rejected { status: 404, .. }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Deletes the object if it exists.
    pub async fn delete(&self, key: &str, priority: CallPriority) -> Result<(), CallError> {
        match self.call(Method::DELETE, key, Bytes::new(), priority).await {
            Ok(_) | Err(CallError::Rejected { status: 404, .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn call(
        &self,
        method: Method,
        key: &str,
        bytes: Bytes,
        priority: CallPriority,
    ) -> Result<Bytes, CallError> {
        let kind = if method == Method::GET {
            CallKind::Read
        } else {
            CallKind::Write
        };
        let path = format!("/v1/objects/{key}");
        let request = build_request(method, &path, "application/octet-stream", bytes)?;
        let response = self.client.call(request, kind, priority).await?;
        Ok(response.body)
    }
}
