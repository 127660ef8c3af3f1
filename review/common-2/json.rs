//! A reader of JSON, enough for the bodies of the pages.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        let Json::Object(members) = self else { return &Json::Null };
        members.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
    }

    pub fn number(&self, name: &str) -> u64 {
        if let Json::Number(number) = self.get(name) { *number as u64 } else { 0 }
    }

    pub fn text(&self, name: &str) -> &str {
        if let Json::Text(text) = self.get(name) { text } else { "" }
    }
}

/// `text` as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            c if (c as u32) < 32 => quoted += &format!("\\u{:04x}", c as u32),
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, wanted: u8) -> Option<()> {
    skip(bytes, at);
    (*bytes.get(*at)? == wanted).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut members = Vec::new();
            if take(bytes, at, b'}').is_some() {
                return Some(Json::Object(members));
            }
            loop {
                skip(bytes, at);
                let name = string(bytes, at)?;
                take(bytes, at, b':')?;
                members.push((name, value(bytes, at)?));
                if take(bytes, at, b',').is_none() {
                    take(bytes, at, b'}')?;
                    return Some(Json::Object(members));
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            if take(bytes, at, b']').is_some() {
                return Some(Json::List(items));
            }
            loop {
                items.push(value(bytes, at)?);
                if take(bytes, at, b',').is_none() {
                    take(bytes, at, b']')?;
                    return Some(Json::List(items));
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \t\r\n".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                let c = match escaped {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                    }
                    other => other as char,
                };
                text.extend(c.to_string().bytes());
            }
            byte => {
                *at += 1;
                text.push(byte);
            }
        }
    }
}
