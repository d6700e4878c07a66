//! The codec between magpiesaddle's own processes: MessagePack with named fields.
//!
//! Named fields let a newer process add a field with a default while older ones still run.

use {
    crate::verdict::{Cause, Failure},
    miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit},
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

/// The first byte of a message that is packed: no message begins with it otherwise.
const PACKED: u8 = 0xc1;
/// Shorter messages are not packed, in bytes: they would hardly get shorter.
const WORTH: usize = 200;
/// How much time packing takes, 1 to 10. From the second level on the gain is under a twentieth.
const LEVEL: u8 = 1;
/// The most bytes that a packed message may have in full: as much as an answer may have.
const MOST: usize = 16 * 1024 * 1024;

/// Packs an encoded message for a narrow link; [`decode`] reads it all the same. Names of jobs and workers stand many
/// times in one message, and are digits: offers of relays take 0.5 of their bytes, for 0.1 ms of a core each.
pub fn compress(message: Vec<u8>) -> Vec<u8> {
    if message.len() < WORTH {
        return message;
    }
    let mut packed = vec![PACKED];
    packed.extend(compress_to_vec(&message, LEVEL));
    if packed.len() < message.len() {
        packed
    } else {
        message
    }
}

/// Reads a message, packed or not.
///
/// # Errors
///
/// `Invalid` when the bytes are not a message of this type. The verdict is `not-run`, since a
/// receiver that cannot read a request does not act on it; who reads an *answer* this way
/// corrects the verdict.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    let invalid = |text: String| Failure::not_run(Cause::Invalid, text);
    let Some((&PACKED, packed)) = bytes.split_first() else {
        return rmp_serde::from_slice(bytes).map_err(|e| invalid(e.to_string()));
    };
    let whole = decompress_to_vec_with_limit(packed, MOST).map_err(|e| invalid(e.to_string()))?;
    rmp_serde::from_slice(&whole).map_err(|e| invalid(e.to_string()))
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(3; "short")]
    #[test_case(400; "long")]
    fn decode_packed(count: u32) {
        let names: Vec<String> = (0..count).map(|n| format!("{:016x}", n * 7_919)).collect();
        let plain = encode_compact(&names).unwrap();
        let packed = compress(plain.clone());
        assert_eq!(packed.len() < plain.len(), count > 3);
        assert_eq!(decode::<Vec<String>>(&packed).unwrap(), names);
        assert_eq!(decode::<Vec<String>>(&plain).unwrap(), names);
    }

    #[test]
    fn decode_cut_pack() {
        let names = vec!["0000000000000000"; 100];
        let packed = compress(encode_compact(&names).unwrap());
        assert!(decode::<Vec<String>>(&packed[..packed.len() / 2]).is_err());
        assert!(decode::<Vec<String>>(&[PACKED]).is_err());
    }
}
