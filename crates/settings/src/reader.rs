use super::*;

/// Reads the keys of a section and collects findings. Keys that were not read are unknown keys.
pub(crate) struct Reader<'a> {
    file: &'a str,
    section: &'a Section,
    /// Keys that were read, present or not.
    known: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(
        document: &'a Document,
        section: &'a Section,
        findings: &'a mut Vec<Finding>,
    ) -> Self {
        Self { file: &document.file, section, known: Vec::new(), findings }
    }

    /// Value of `key`, `None` if it is absent or invalid.
    pub(crate) fn optional<T: FromStr<Err: fmt::Display>>(
        &mut self,
        key: &'static str,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.section.entries.iter().find(|entry| entry.key == key)?;
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(entry.line, Some(key), Problem::Value(error.to_string()));
                None
            }
        }
    }

    /// Value of `key`; a missing key is a finding.
    pub(crate) fn required<T: FromStr<Err: fmt::Display>>(
        &mut self,
        key: &'static str,
    ) -> Option<T> {
        let present = self.section.entries.iter().any(|entry| entry.key == key);
        if !present {
            self.report(self.section.line, Some(key), Problem::MissingKey);
        }
        self.optional(key)
    }

    /// Value of `key`, `None` if it is absent, empty or invalid.
    pub(crate) fn non_empty<T: FromStr<Err: fmt::Display>>(
        &mut self,
        key: &'static str,
    ) -> Option<T> {
        let empty = |entry: &Entry| entry.key == key && entry.value.is_empty();
        if self.section.entries.iter().any(empty) {
            self.known.push(key);
            return None;
        }
        self.optional(key)
    }

    /// Parses `text`, a part of the value of `key`.
    pub(crate) fn parse<T: FromStr<Err: fmt::Display>>(
        &mut self,
        key: &'static str,
        text: &str,
    ) -> Option<T> {
        let line = self.section.entries.iter().find(|entry| entry.key == key)?.line;
        let parsed = text.parse().map_err(|error: T::Err| error.to_string());
        parsed.map_err(|error| self.report(line, Some(key), Problem::Value(error))).ok()
    }

    /// Value of `key` in seconds, with fractions. A number that is no duration, such as a negative
    /// one, counts as absent.
    pub(crate) fn seconds(&mut self, key: &'static str) -> Option<Duration> {
        let seconds = self.non_empty::<f64>(key)?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Value of `key` in milliseconds.
    pub(crate) fn milliseconds(&mut self, key: &'static str) -> Option<Duration> {
        self.optional(key).map(Duration::from_millis)
    }

    /// Value of `key`, which is `on` or `off`.
    pub(crate) fn switch(&mut self, key: &'static str) -> Option<bool> {
        let text = self.non_empty::<String>(key)?;
        match text.as_str() {
            "on" => Some(true),
            "off" => Some(false),
            _ => {
                let line = self.section.entries.iter().find(|entry| entry.key == key)?.line;
                let problem = Problem::Value(format!("`{text}` is neither `on` nor `off`"));
                self.report(line, Some(key), problem);
                None
            }
        }
    }

    /// Name in the section header; a missing name is a finding.
    pub(crate) fn name(&mut self) -> Option<Name> {
        if self.section.name.is_empty() {
            let problem =
                Problem::Value(format!("name is missing, use `[{} NAME]`", self.section.kind));
            self.report(self.section.line, None, problem);
            return None;
        }
        Some(self.section.name.as_str().into())
    }

    /// Reports each key that was never read as an unknown key.
    pub(crate) fn finish(mut self) {
        for entry in &self.section.entries {
            if !self.known.contains(&entry.key.as_str()) {
                self.report(entry.line, Some(&entry.key), Problem::UnknownKey);
            }
        }
    }

    /// Reports the section as unknown.
    pub(crate) fn unknown_section(mut self) {
        self.report(self.section.line, None, Problem::UnknownSection);
    }

    fn report(&mut self, line: u32, key: Option<&str>, problem: Problem) {
        self.findings.push(Finding {
            file: self.file.into(),
            line,
            section: Some(self.section.header()),
            key: key.map(Into::into),
            problem,
        });
    }
}
