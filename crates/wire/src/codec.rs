use {super::*, serde::de::DeserializeOwned};

/// Encoding of messages between daemons.
#[derive(Debug)]
pub struct Codec;

impl Codec {
    /// Capacity of the buffer for a message at first. Most messages fit, so that it seldom grows.
    const EXPECTED_BYTES: usize = 1024;

    /// Encodes `message`; fails only if the result exceeds [`Frame::MAX_BYTES`].
    pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
        let body = postcard::to_extend(message, Vec::with_capacity(Self::EXPECTED_BYTES))?;
        if body.len() > Frame::MAX_BYTES {
            return Err(Error::Size { bytes: body.len(), max: Frame::MAX_BYTES });
        }
        Ok(body)
    }

    /// Decodes a message; arbitrary input yields a message or an error, never a panic.
    pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
        Ok(postcard::from_bytes(body)?)
    }
}
