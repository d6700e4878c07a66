//! The codec between magpiesaddle's own processes: MessagePack with named fields.
//!
//! Named fields let a newer process add a field with a default while older ones still run.

use {
    crate::verdict::{Cause, Failure},
    serde::{Serialize, de::DeserializeOwned},
};

/// The content type of the messages.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Writes a message into bytes.
///
/// # Errors
///
/// A value that the format cannot hold, which is a fault of the sender: nothing was sent.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    rmp_serde::to_vec_named(value).map_err(|e| Failure::not_run(Cause::Invalid, e.to_string()))
}

/// Like [`encode`], without the names of fields: half the bytes, for messages that are sent tens of
/// times a second between processes of the same version. [`decode`] reads both.
///
/// # Errors
///
/// As for [`encode`].
pub fn encode_compact<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    rmp_serde::to_vec(value).map_err(|e| Failure::not_run(Cause::Invalid, e.to_string()))
}

/// Reads a message.
///
/// # Errors
///
/// `Invalid` when the bytes are not a message of this type. The verdict is `not-run`, since a
/// receiver that cannot read a request does not act on it; who reads an *answer* this way
/// corrects the verdict.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    rmp_serde::from_slice(bytes).map_err(|e| Failure::not_run(Cause::Invalid, e.to_string()))
}
