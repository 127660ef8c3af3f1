use super::*;

/// Writes the events of a daemon to a file: an [`InitialState`], then a [`Step`] for each event,
/// each preceded by its length.
pub(crate) struct Recording(BufWriter<fs::File>);

impl Recording {
    pub(crate) fn create(path: &Path, initial_state: &InitialState) -> eyre::Result<Self> {
        let file = fs::File::create(path)
            .wrap_err_with(|| format!("cannot create recording `{}`", path.display()))?;
        let mut recording = Self(BufWriter::new(file));
        recording.push(initial_state)?;
        Ok(recording)
    }

    pub(crate) fn push<T: Serialize>(&mut self, item: &T) -> eyre::Result<()> {
        let bytes = postcard::to_stdvec(item)?;
        self.0.write_all(&(bytes.len() as u32).to_le_bytes())?;
        self.0.write_all(&bytes)?;
        Ok(())
    }

    /// Flushes buffered data to the file.
    pub(crate) fn flush(&mut self) -> eyre::Result<()> {
        Ok(self.0.flush()?)
    }
}
