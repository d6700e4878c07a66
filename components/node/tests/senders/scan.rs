//! Finds the functions of a source file, and the calls and words in them.

/// A function: its name, its signature and its body, without comments and literals.
#[derive(Debug, Clone)]
pub struct Function {
    pub name: String,
    pub signature: String,
    pub body: String,
}

/// Returns the source without its unit tests, comments, and the contents of literals.
pub fn strip(source: &str) -> String {
    let source = source.split("#[cfg(test)]\nmod ").next().unwrap_or(source);
    let chars: Vec<char> = source.chars().collect();
    let mut out = String::new();
    let mut at = 0;
    while at < chars.len() {
        let next = chars.get(at + 1).copied();
        match chars[at] {
            '/' if next == Some('/') => {
                while at < chars.len() && chars[at] != '\n' {
                    at += 1;
                }
            }
            '"' => {
                at += 1;
                while at < chars.len() && chars[at] != '"' {
                    at += if chars[at] == '\\' { 2 } else { 1 };
                }
                at += 1;
                out.push_str("\"\"");
            }
            // A character literal; a lifetime has no closing quote.
            '\'' if next == Some('\\') || chars.get(at + 2) == Some(&'\'') => {
                at += if next == Some('\\') { 3 } else { 2 };
                while at < chars.len() && chars[at] != '\'' {
                    at += 1;
                }
                at += 1;
                out.push_str("' '");
            }
            other => {
                out.push(other);
                at += 1;
            }
        }
    }
    out
}

fn is_word(char: char) -> bool {
    char.is_alphanumeric() || char == '_'
}

/// Returns the positions where `word` is a whole word of the text.
pub fn words(text: &str, word: &str) -> Vec<usize> {
    let is_whole = |at: &usize| {
        let before = text[..*at].chars().next_back();
        let after = text[at + word.len()..].chars().next();
        !before.is_some_and(is_word) && !after.is_some_and(is_word)
    };
    let found = text.match_indices(word).map(|(at, _)| at);
    found.filter(is_whole).collect()
}

/// Returns the positions where a method or function of this name is called or named by a path:
/// `x.name(..)`, `x::name(..)` or `x::name` as a value.
pub fn calls(text: &str, name: &str) -> Vec<usize> {
    let is_call = |at: &usize| {
        let before = text[..*at].trim_end();
        let after = text[at + name.len()..].trim_start();
        let is_path = before.ends_with("::");
        is_path || (before.ends_with('.') && (after.starts_with('(') || after.starts_with("::")))
    };
    words(text, name).into_iter().filter(is_call).collect()
}

/// Returns the position after the block that opens at `open`.
fn block_end(text: &str, open: usize) -> usize {
    let mut depth = 0;
    for (at, char) in text[open..].char_indices() {
        match char {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return open + at + 1;
        }
    }
    text.len()
}

/// Returns all functions with a body or without one, and the text that belongs to none.
pub fn functions(text: &str) -> (Vec<Function>, String) {
    let mut found = Vec::new();
    let mut rest = String::new();
    let mut done = 0;
    for start in words(text, "fn") {
        let is_function = text[start + 2..].trim_start().starts_with(is_word);
        if start < done || !is_function {
            continue;
        }
        let mut depth = 0;
        let signature_end = text[start..].char_indices().find(|(_, char)| {
            match char {
                '(' | '[' => depth += 1,
                ')' | ']' => depth -= 1,
                _ => {}
            }
            depth == 0 && matches!(char, '{' | ';')
        });
        let open = signature_end.map_or(text.len(), |(at, _)| start + at);
        let end = if text[open..].starts_with('{') {
            block_end(text, open)
        } else {
            open
        };
        let name = text[start + 2..].trim_start();
        let name: String = name.chars().take_while(|char| is_word(*char)).collect();
        rest.push_str(&text[done..start]);
        found.push(Function {
            name,
            signature: text[start..open].to_owned(),
            body: text[open..end].to_owned(),
        });
        done = end;
    }
    rest.push_str(&text[done..]);
    (found, rest)
}

/// Returns the traits of a source, each with its name and its text.
pub fn traits(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for start in words(text, "trait") {
        let name = text[start + 5..].trim_start();
        let name: String = name.chars().take_while(|char| is_word(*char)).collect();
        if let Some(open) = text[start..].find('{') {
            let open = start + open;
            let body = text[open + 1..block_end(text, open) - 1].to_owned();
            found.push((name, body));
        }
    }
    found
}
