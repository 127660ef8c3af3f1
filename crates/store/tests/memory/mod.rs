//! A medium in memory that runs full, refuses changes and loses power.

use {
    std::{cell::RefCell, collections::BTreeMap, io, path::Path, rc::Rc},
    store::Medium,
};

/// Which changes a medium refuses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// New files are refused, and of each write all but the first bytes, so many.
    Write(usize),
    /// As many bytes are taken as make this total.
    Room(usize),
    /// Content and names do not become durable.
    Sync,
    /// Names do not become durable.
    SyncNames,
    /// Every change is refused.
    All,
}

impl Fault {
    /// Every kind of fault.
    pub const ALL: [Self; 5] =
        [Self::Write(0), Self::Write(20), Self::Sync, Self::SyncNames, Self::All];
}

/// A change of content that is not durable yet.
#[derive(Debug, Clone)]
enum Write {
    Bytes { at: usize, bytes: Vec<u8> },
    Length(usize),
}

/// A change of names that is not durable yet; names stand for files by number.
#[derive(Debug, Clone)]
enum Change {
    Create { name: String, file: u64 },
    Rename { from: String, to: String, file: u64 },
    Remove { name: String },
}

#[derive(Debug, Default)]
struct Content {
    content: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<Write>,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    last_file: u64,
    files: BTreeMap<u64, Content>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    unsynced: Vec<Change>,
}

/// A medium; its clones share the content.
#[derive(Debug, Clone, Default)]
pub struct Memory(Rc<RefCell<State>>);

impl Memory {
    /// Sets which changes are refused from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.0.borrow_mut().fault = fault;
    }

    /// Total size of all files, in bytes.
    pub fn size(&self) -> usize {
        self.0.borrow().size()
    }

    /// Reverts the changes that are not durable, except those that `keeps` returns true for.
    pub fn lose_power(&self, mut keeps: impl FnMut() -> bool) {
        let state = &mut *self.0.borrow_mut();
        for file in state.files.values_mut() {
            let mut content = file.durable.clone();
            for write in file.unsynced.drain(..).filter(|_| keeps()) {
                write.apply(&mut content);
            }
            (file.content, file.durable) = (content.clone(), content);
        }
        let mut names = state.durable_names.clone();
        for change in state.unsynced.drain(..).filter(|_| keeps()) {
            change.apply(&mut names);
        }
        (state.names, state.durable_names) = (names.clone(), names);
    }
}

impl Write {
    fn apply(self, content: &mut Vec<u8>) {
        match self {
            Self::Bytes { at, bytes } => {
                let end = at + bytes.len();
                content.resize(content.len().max(end), 0);
                content[at..end].copy_from_slice(&bytes);
            }
            Self::Length(length) => content.resize(length, 0),
        }
    }
}

impl Change {
    fn apply(self, names: &mut BTreeMap<String, u64>) {
        match self {
            Self::Create { name, file } => names.insert(name, file),
            Self::Rename { from, to, file } => {
                names.remove(&from);
                names.insert(to, file)
            }
            Self::Remove { name } => names.remove(&name),
        };
    }
}

impl State {
    fn change(&mut self, change: Change) {
        change.clone().apply(&mut self.names);
        self.unsynced.push(change);
    }

    fn write(&mut self, name: &str, write: Write) {
        let file = self.files.get_mut(&self.names[name]).expect("names have files");
        write.clone().apply(&mut file.content);
        file.unsynced.push(write);
    }

    fn size(&self) -> usize {
        self.names.values().map(|file| self.files[file].content.len()).sum()
    }

    fn refuse_if(&self, is_refused: impl Fn(Fault) -> bool) -> io::Result<()> {
        if is_refused(self.fault) { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn file(&self, name: &str) -> io::Result<u64> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Medium for Memory {
    fn path(&self) -> &Path {
        Path::new("memory")
    }

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        Ok(state.files[&state.file(name)?].content.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.refuse_if(|fault| matches!(fault, Fault::Write(_) | Fault::All))?;
        if state.names.contains_key(name) {
            state.write(name, Write::Length(0));
            return Ok(());
        }
        state.last_file += 1;
        let file = state.last_file;
        state.files.insert(file, Content::default());
        state.change(Change::Create { name: name.into(), file });
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        let at = state.files[&state.file(name)?].content.len();
        state.refuse_if(|fault| fault == Fault::All)?;
        let room = match state.fault {
            Fault::Write(room) => room.min(bytes.len()),
            Fault::Room(total) => total.saturating_sub(state.size()).min(bytes.len()),
            _ => bytes.len(),
        };
        state.write(name, Write::Bytes { at, bytes: bytes[..room].to_vec() });
        if room < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.file(name)?;
        state.refuse_if(|fault| fault == Fault::All)?;
        state.write(name, Write::Length(length as usize));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        let number = state.file(name)?;
        state.refuse_if(|fault| matches!(fault, Fault::Sync | Fault::All))?;
        let file = state.files.get_mut(&number).expect("names have files");
        file.durable.clone_from(&file.content);
        file.unsynced.clear();
        // A new file becomes durable with its own sync.
        let created =
            |change: &mut Change| matches!(change, Change::Create { file, .. } if *file == number);
        for change in state.unsynced.extract_if(.., created) {
            change.apply(&mut state.durable_names);
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        let file = state.file(from)?;
        state.refuse_if(|fault| fault == Fault::All)?;
        state.change(Change::Rename { from: from.into(), to: to.into(), file });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.file(name)?;
        state.refuse_if(|fault| fault == Fault::All)?;
        state.change(Change::Remove { name: name.into() });
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.refuse_if(|fault| matches!(fault, Fault::Sync | Fault::SyncNames | Fault::All))?;
        state.durable_names.clone_from(&state.names);
        state.unsynced.clear();
        Ok(())
    }
}
