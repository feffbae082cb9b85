//! A tenant's key: a secret that no log line, error or panic text may show.

use std::fmt;

use secrecy::{ExposeSecret, SecretString};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use subtle::ConstantTimeEq;

/// A secret by which a tenant's requests are known. Its `Debug` shows nothing of it.
#[derive(Clone)]
pub struct AccessKey(SecretString);

impl AccessKey {
    /// The key's text, for comparing and for storing it.
    pub fn expose(&self) -> &str {
        self.0.expose_secret()
    }
}

impl From<&str> for AccessKey {
    fn from(text: &str) -> Self {
        AccessKey(SecretString::from(text))
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccessKey(redacted)")
    }
}

impl PartialEq for AccessKey {
    /// Takes as long for keys that differ early as for those that differ late.
    fn eq(&self, other: &Self) -> bool {
        self.expose()
            .as_bytes()
            .ct_eq(other.expose().as_bytes())
            .into()
    }
}

impl Serialize for AccessKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.expose())
    }
}

impl<'de> Deserialize<'de> for AccessKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // An error must not quote what stands in the key's place.
        let text = String::deserialize(deserializer)
            .map_err(|_| serde::de::Error::custom("a key must be text"))?;
        Ok(AccessKey(SecretString::from(text)))
    }
}
