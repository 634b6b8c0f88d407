use std::collections::HashMap;

use arbutuspick_model::FieldError;
use sha2::{Digest, Sha256};

use super::caller_role::operator_name;
use super::{CallerRole, RawToken};

/// SHA-256 digest of a bearer token. The settings contain only digests, no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenDigest(pub [u8; 32]);

impl TokenDigest {
    /// Returns the digest of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl TryFrom<&str> for TokenDigest {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        let mut digest = [0; 32];
        hex::decode_to_slice(value, &mut digest)
            .map_err(|_| FieldError::new("sha256", value, "must be 64 hexadecimal digits"))?;
        Ok(Self(digest))
    }
}

/// How callers are authenticated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthSettings {
    /// The bearer token itself names the role, as in `account:parks`. For closed networks and tests.
    Off,
    /// The digest of the bearer token determines the role.
    Tokens(HashMap<TokenDigest, CallerRole>),
}

impl AuthSettings {
    /// Checks the fields `auth` and `tokens` of the settings file.
    pub fn new(auth: Option<&str>, tokens: &[RawToken]) -> Result<Self, FieldError> {
        match auth {
            Some("off") if tokens.is_empty() => Ok(Self::Off),
            Some("off") => Err(FieldError::new(
                "auth",
                "off",
                "must not be stated together with tokens",
            )),
            Some(other) => Err(FieldError::new("auth", other, "must be \"off\" or absent")),
            None if tokens.is_empty() => Err(FieldError::new(
                "tokens",
                "[]",
                "must have at least one entry unless auth is \"off\"",
            )),
            None => check_tokens(tokens).map(Self::Tokens),
        }
    }

    /// Returns the role of the caller that sent the token.
    pub fn role_of(&self, token: &str) -> Option<CallerRole> {
        match self {
            Self::Off => CallerRole::try_from(token).ok(),
            Self::Tokens(tokens) => tokens.get(&TokenDigest::of(token)).cloned(),
        }
    }
}

fn check_tokens(tokens: &[RawToken]) -> Result<HashMap<TokenDigest, CallerRole>, FieldError> {
    let mut roles = HashMap::new();
    for (i, token) in tokens.iter().enumerate() {
        let within = |error: FieldError| error.within(format!("tokens[{i}]"));
        let digest = TokenDigest::try_from(token.sha256.as_str()).map_err(within)?;
        let role = token_role(token).map_err(within)?;
        if roles.insert(digest, role).is_some() {
            return Err(within(FieldError::new(
                "sha256",
                &token.sha256,
                "must occur only once",
            )));
        }
    }
    Ok(roles)
}

fn token_role(token: &RawToken) -> Result<CallerRole, FieldError> {
    let RawToken {
        sha256: _,
        account,
        owner,
        operator,
    } = token;
    match (account, owner, operator) {
        (Some(name), None, None) => super::settings::parse_name(name).map(CallerRole::Account),
        (None, Some(name), None) => super::settings::parse_name(name).map(CallerRole::Owner),
        (None, None, Some(name)) => operator_name(name).map(CallerRole::Operator),
        (None, None, None) => Err(FieldError::new(
            "account",
            "",
            "must be present unless owner or operator is",
        )),
        _ => Err(FieldError::new(
            "account",
            account.as_deref().unwrap_or_default(),
            "must be the only one of account, owner and operator",
        )),
    }
}
