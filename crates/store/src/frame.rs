/// A record as it stands in a file: length, checksum, body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub(crate) body: &'a [u8],
    pub(crate) rest: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Bytes before the body.
    const PREFIX: usize = 8;

    /// Reads the first frame of `bytes`, `None` where it is cut short or damaged.
    pub(crate) fn split(bytes: &'a [u8]) -> Option<Self> {
        let (length, after) = bytes.split_first_chunk::<4>()?;
        let (checksum, after) = after.split_first_chunk::<4>()?;
        let (body, rest) = after.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        let whole = crc32fast::hash(body) == u32::from_le_bytes(*checksum) && !body.is_empty();
        whole.then_some(Self { body, rest })
    }

    /// Whether a whole frame stands anywhere in `bytes` after its first byte.
    pub(crate) fn follows(bytes: &[u8]) -> bool {
        (1..bytes.len().saturating_sub(Self::PREFIX)).any(|i| Frame::split(&bytes[i..]).is_some())
    }

    pub(crate) fn write(buffer: &mut Vec<u8>, body: &[u8]) {
        buffer.extend_from_slice(&(body.len() as u32).to_le_bytes());
        buffer.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
        buffer.extend_from_slice(body);
    }
}
