use {super::*, serde::de::DeserializeOwned};

/// Encoding of messages between daemons.
#[derive(Debug)]
pub struct Codec;

impl Codec {
    /// Encodes `message`; fails only if the result exceeds [`Frame::MAX_BYTES`].
    pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
        let body = postcard::to_stdvec(message)?;
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
