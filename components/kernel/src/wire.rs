//! Encoding of messages between magpiesaddle's own processes: MessagePack with named fields.
//!
//! With named fields, a newer version can add a field with a default while older processes still run.

use {
    crate::verdict::{Cause, Failure},
    miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit},
    serde::{Serialize, de::DeserializeOwned},
};

/// Content type of these messages.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Encodes a message with field names.
///
/// # Errors
///
/// `Invalid` with the verdict `not-run` if the format cannot represent the value: nothing was sent.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    rmp_serde::to_vec_named(value).map_err(|e| Failure::not_run(Cause::Invalid, e.to_string()))
}

/// Like [`encode`], without field names, which halves the size. For messages that are sent tens of
/// times a second between processes of the same version. [`decode`] accepts both forms.
///
/// # Errors
///
/// As for [`encode`].
pub fn encode_compact<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    rmp_serde::to_vec(value).map_err(|e| Failure::not_run(Cause::Invalid, e.to_string()))
}

/// First byte of a compressed message. MessagePack never uses this byte.
const COMPRESSED_MARKER: u8 = 0xc1;
/// Messages with fewer bytes are not compressed, since they would hardly get smaller.
const MIN_COMPRESSED_SIZE: usize = 200;
/// Compression level, 1 to 10. Higher levels reduce the size by less than 5 % more.
const COMPRESSION_LEVEL: u8 = 1;
/// Maximum size of a decompressed message in bytes, equal to the limit of a response.
const MAX_MESSAGE: usize = 16 * 1024 * 1024;

/// Compresses an encoded message for a slow link; [`decode`] accepts compressed messages. Names of
/// jobs and workers repeat within a message and consist of digits: requests of relays shrink to 0.5
/// of their size, for 0.1 ms of CPU time each.
pub fn compress(message: Vec<u8>) -> Vec<u8> {
    if message.len() < MIN_COMPRESSED_SIZE {
        return message;
    }
    let mut compressed = vec![COMPRESSED_MARKER];
    compressed.extend(compress_to_vec(&message, COMPRESSION_LEVEL));
    if compressed.len() < message.len() {
        compressed
    } else {
        message
    }
}

/// Decodes a message, compressed or not.
///
/// # Errors
///
/// `Invalid` if the bytes are not a message of this type. The verdict is `not-run`, since a
/// receiver that cannot decode a request does not act on it; a caller that decodes a *response*
/// must change the verdict.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    decode_limited(bytes, MAX_MESSAGE)
}

/// Like [`decode`], for a message that has at most `limit` bytes when it is decompressed.
///
/// # Errors
///
/// As for [`decode`].
pub fn decode_limited<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, Failure> {
    let invalid = |text: String| Failure::not_run(Cause::Invalid, text);
    let Some((&COMPRESSED_MARKER, compressed)) = bytes.split_first() else {
        return rmp_serde::from_slice(bytes).map_err(|e| invalid(e.to_string()));
    };
    let message =
        decompress_to_vec_with_limit(compressed, limit).map_err(|e| invalid(e.to_string()))?;
    rmp_serde::from_slice(&message).map_err(|e| invalid(e.to_string()))
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(3; "short")]
    #[test_case(400; "long")]
    fn decode_compressed(count: u32) {
        let names: Vec<String> = (0..count).map(|n| format!("{:016x}", n * 7_919)).collect();
        let plain = encode_compact(&names).unwrap();
        let compressed = compress(plain.clone());
        assert_eq!(compressed.len() < plain.len(), count > 3);
        assert_eq!(decode::<Vec<String>>(&compressed).unwrap(), names);
        assert_eq!(decode::<Vec<String>>(&plain).unwrap(), names);
    }

    #[test_case(100_000, true; "within limit")]
    #[test_case(1_000, false; "beyond limit")]
    fn decode_limited_decompressed(limit: usize, is_accepted: bool) {
        let compressed = compress(encode_compact(&vec![0_u8; 50_000]).unwrap());
        assert!(compressed.len() < 1_000);
        let decoded = decode_limited::<Vec<u8>>(&compressed, limit);
        assert_eq!(decoded.is_ok(), is_accepted);
    }

    #[test]
    fn decode_truncated_compressed() {
        let names = vec!["0000000000000000"; 100];
        let compressed = compress(encode_compact(&names).unwrap());
        assert!(decode::<Vec<String>>(&compressed[..compressed.len() / 2]).is_err());
        assert!(decode::<Vec<String>>(&[COMPRESSED_MARKER]).is_err());
    }
}
