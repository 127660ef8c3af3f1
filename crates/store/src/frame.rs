use super::*;

/// A frame of a log file: a prefix and a body. The prefix has a checksum of its own, so that a
/// damaged length is distinguished from a truncated frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub(crate) body: &'a [u8],
    /// The bytes after the frame.
    pub(crate) rest: &'a [u8],
}

/// Frame prefix: magic number, body length, checksum of the body, and checksum of these three
/// fields.
struct Prefix {
    length: usize,
    checksum: u32,
}

impl Prefix {
    const MAGIC: [u8; 4] = *b"svlv";
    const BYTES: usize = 16;

    fn read(bytes: &[u8], salt: u32) -> Option<Self> {
        let prefix = bytes.first_chunk::<{ Self::BYTES }>()?;
        let own = checksum(&prefix[..12], salt).to_le_bytes();
        if prefix[..4] != Self::MAGIC || prefix[12..] != own {
            return None;
        }
        let number = |at: usize| {
            let bytes = prefix[at..].first_chunk::<4>().expect("the prefix holds it");
            u32::from_le_bytes(*bytes)
        };
        Some(Self { length: number(4) as usize, checksum: number(8) })
    }

    fn encoded(&self, salt: u32) -> [u8; Self::BYTES] {
        let mut prefix = [0; Self::BYTES];
        prefix[..4].copy_from_slice(&Self::MAGIC);
        prefix[4..8].copy_from_slice(&(self.length as u32).to_le_bytes());
        prefix[8..12].copy_from_slice(&self.checksum.to_le_bytes());
        let own = checksum(&prefix[..12], salt).to_le_bytes();
        prefix[12..].copy_from_slice(&own);
        prefix
    }
}

impl<'a> Frame<'a> {
    /// Splits the first frame off `bytes`; `None` if it is truncated or damaged.
    pub(crate) fn split(bytes: &'a [u8], salt: u32) -> Option<Self> {
        let prefix = Prefix::read(bytes, salt)?;
        let (body, rest) = bytes[Prefix::BYTES..].split_at_checked(prefix.length)?;
        (checksum(body, salt) == prefix.checksum).then_some(Self { body, rest })
    }

    /// Whether a valid prefix is found in `bytes` after the first byte, so that another frame was
    /// written after the one that starts there.
    pub(crate) fn has_later_frame(bytes: &[u8], salt: u32) -> bool {
        (1..bytes.len()).any(|at| Prefix::read(&bytes[at..], salt).is_some())
    }

    /// Appends a frame whose body is the encoded `value`. The body may be a large snapshot, so that it
    /// is encoded in place.
    pub(crate) fn write<T: Serialize>(
        buffer: &mut Vec<u8>,
        value: &T,
        salt: u32,
    ) -> postcard::Result<()> {
        let start = buffer.len();
        buffer.extend_from_slice(&[0; Prefix::BYTES]);
        *buffer = postcard::to_extend(value, std::mem::take(buffer))?;
        let body = &buffer[start + Prefix::BYTES..];
        let prefix = Prefix { length: body.len(), checksum: checksum(body, salt) }.encoded(salt);
        buffer[start..start + Prefix::BYTES].copy_from_slice(&prefix);
        Ok(())
    }
}

fn checksum(bytes: &[u8], salt: u32) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt);
    hasher.update(bytes);
    hasher.finalize()
}
