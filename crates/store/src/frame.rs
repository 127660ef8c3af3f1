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

    fn write(&self, buffer: &mut Vec<u8>, salt: u32) {
        let mut prefix = Self::MAGIC.to_vec();
        prefix.extend_from_slice(&(self.length as u32).to_le_bytes());
        prefix.extend_from_slice(&self.checksum.to_le_bytes());
        buffer.extend_from_slice(&prefix);
        buffer.extend_from_slice(&checksum(&prefix, salt).to_le_bytes());
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

    pub(crate) fn write(buffer: &mut Vec<u8>, body: &[u8], salt: u32) {
        let prefix = Prefix { length: body.len(), checksum: checksum(body, salt) };
        prefix.write(buffer, salt);
        buffer.extend_from_slice(body);
    }
}

fn checksum(bytes: &[u8], salt: u32) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt);
    hasher.update(bytes);
    hasher.finalize()
}
