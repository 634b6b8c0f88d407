use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a submission or request, to detect reuse of a key with a different body.
///
/// ```
/// use arbutuspick_records::BodyDigest;
/// let digest = BodyDigest::of(&[b"POST", b"/holds", b"{}"]);
/// assert_ne!(digest, BodyDigest::of(&[b"POST", b"/hold", b"s{}"]));
/// ```
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest(#[serde_as(as = "Hex")] pub [u8; 32]);

impl BodyDigest {
    /// Computes the digest of a list of parts, each prefixed with its length so that part boundaries count.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
