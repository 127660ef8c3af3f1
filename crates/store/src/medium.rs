use super::*;

/// Files of a data folder, by name.
#[allow(missing_docs)]
pub trait Medium: fmt::Debug {
    /// Path of the folder, for messages.
    fn path(&self) -> &Path;
    fn names(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file, or empties an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Writes `bytes` to the end of a file; if that fails, some of them may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names of all files durable.
    fn sync_names(&mut self) -> io::Result<()>;
}
