use super::*;

/// A parsed INI document, with the line numbers of sections and keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// File name for findings.
    pub file: String,
    /// Sections, in file order.
    pub sections: Vec<Section>,
    /// Syntax errors, and duplicate sections and keys.
    pub findings: Vec<Finding>,
}

impl Document {
    /// Parses `text`. Lines with errors are left out and reported in `findings`.
    pub fn parse(file: &str, text: &str) -> Self {
        let mut document = Self { file: file.into(), sections: Vec::new(), findings: Vec::new() };
        let text = blank_comments(text);
        let mut parser = ini_core::Parser::new(&text).auto_trim(true);
        while let Some(item) = parser.next() {
            if let Some(finding) = document.add(item, parser.line()) {
                document.findings.push(finding);
            }
        }
        document
    }

    fn add(&mut self, item: ini_core::Item, line: u32) -> Option<Finding> {
        match item {
            ini_core::Item::Section(header) => self.add_section(header, line),
            ini_core::Item::Property(key, Some(value)) => self.add_entry(key, value, line),
            ini_core::Item::Property(text, None) | ini_core::Item::Error(text) => {
                Some(self.finding(line, None, Problem::Syntax(text.into())))
            }
            ini_core::Item::SectionEnd | ini_core::Item::Comment(_) | ini_core::Item::Blank => None,
        }
    }

    fn add_section(&mut self, header: &str, line: u32) -> Option<Finding> {
        let (kind, name) = header.trim().split_once(' ').unwrap_or((header.trim(), ""));
        let section =
            Section { line, kind: kind.into(), name: name.trim().into(), entries: Vec::new() };
        let former = self.sections.iter().find(|s| s.header() == section.header()).map(|s| s.line);
        self.sections.push(section);
        former.map(|line_before| self.finding(line, None, Problem::DuplicateSection(line_before)))
    }

    fn add_entry(&mut self, key: &str, value: &str, line: u32) -> Option<Finding> {
        let Some(section) = self.sections.last_mut() else {
            return Some(self.finding(line, Some(key), Problem::Orphan));
        };
        let former = section.entries.iter().find(|entry| entry.key == key).map(|entry| entry.line);
        section.entries.push(Entry { line, key: key.into(), value: value.into() });
        former.map(|line_before| self.finding(line, Some(key), Problem::DuplicateKey(line_before)))
    }

    /// Findings for the `required` sections that are not among the `seen` ones.
    pub(crate) fn missing<'a>(
        &'a self,
        required: &'a [&str],
        seen: &'a [&str],
    ) -> impl Iterator<Item = Finding> + 'a {
        let missing = required.iter().filter(|kind| !seen.contains(kind));
        missing.map(|kind| Finding {
            file: self.file.clone(),
            line: 0,
            section: Some((*kind).into()),
            key: None,
            problem: Problem::MissingSection,
        })
    }

    fn finding(&self, line: u32, key: Option<&str>, problem: Problem) -> Finding {
        Finding {
            file: self.file.clone(),
            line,
            section: self.sections.last().map(Section::header),
            key: key.map(Into::into),
            problem,
        }
    }
}

/// Blanks lines that start with `#`, which the parser would treat as keys, and ends every line
/// with a newline, including the last one, because the parser counts lines by their ends.
fn blank_comments(text: &str) -> String {
    let line = |line: &str| if line.trim_start().starts_with('#') { "" } else { line }.to_owned();
    text.lines().map(|text| line(text) + "\n").collect()
}
