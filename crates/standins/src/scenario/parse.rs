//! Parses scenario files into lists of steps.

use super::steps::{ScenarioLine, ScenarioStep};
use super::words::{column_of, split_line, FileError, LineWord};
use argh::{FromArgs, SubCommands};

/// A step with its position in the file.
#[derive(Clone, Debug)]
pub struct ParsedStep {
    /// Line number, from 1.
    pub line: usize,
    /// Words of the line, from which error columns are found.
    pub words: Vec<LineWord>,
    /// The parsed arguments of the verb.
    pub step: ScenarioStep,
}

impl ParsedStep {
    /// Returns the line without quotes, comment and extra spaces, as the output shows it.
    pub fn text(&self) -> String {
        let words: Vec<&str> = self.words.iter().map(|word| word.text.as_str()).collect();
        words.join(" ")
    }
}

/// Returns the names of all verbs, in the order of [`ScenarioStep`].
pub fn verbs() -> Vec<&'static str> {
    let commands = ScenarioStep::COMMANDS.iter();
    commands.map(|command| command.name).collect()
}

/// Returns the help text of a verb: its arguments and what they mean.
pub fn help(verb: &str) -> String {
    match ScenarioLine::from_args(&[], &[verb, "--help"]) {
        Ok(_) => String::new(),
        Err(exit) => exit.output,
    }
}

/// Parses the text of a file; skips empty lines and comments. References between steps are not checked here.
///
/// # Errors
///
/// Returns the position of the first word that is not allowed, and what is allowed.
pub fn parse_text(file: &str, text: &str) -> Result<Vec<ParsedStep>, FileError> {
    let mut steps = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        let error = |column, message| FileError {
            file: file.into(),
            line: line_number,
            column,
            message,
        };
        let words = split_line(line).map_err(|quote| {
            let message = format!("the quote {} is not closed on this line", quote.text);
            error(quote.column, message)
        })?;
        if words.is_empty() {
            continue;
        }
        match parse_words(&words) {
            Ok(step) => steps.push(ParsedStep {
                line: line_number,
                words,
                step,
            }),
            Err((column, message)) => return Err(error(column, message)),
        }
    }
    Ok(steps)
}

fn parse_words(words: &[LineWord]) -> Result<ScenarioStep, (usize, String)> {
    let texts: Vec<&str> = words.iter().map(|word| word.text.as_str()).collect();
    let verb = texts[0];
    let verbs = verbs();
    if !verbs.contains(&verb) {
        let message = format!("unknown verb '{verb}'; allowed: {}", verbs.join(", "));
        return Err((words[0].column, message));
    }
    // argh treats these words as a request for help at any position.
    let is_help = |word: &&LineWord| matches!(word.text.as_str(), "help" | "--help" | "-h");
    if let Some(word) = words.iter().skip(1).find(is_help) {
        let message = format!("'{}' is not allowed here; {}", word.text, usage(verb));
        return Err((word.column, message));
    }
    match ScenarioLine::from_args(&[], &texts) {
        Ok(line) => Ok(line.step),
        Err(exit) => {
            let column = offending_column(words, &exit.output);
            let message: Vec<&str> = exit.output.split_whitespace().collect();
            Err((column, format!("{}; {}", message.join(" "), usage(verb))))
        }
    }
}

/// Finds the column of the word that an error message of argh refers to; that of the verb if a word is missing. The
/// message quotes the word but gives no position.
fn offending_column(words: &[LineWord], message: &str) -> usize {
    let between = |from: &str, to: &str| {
        let start = message.find(from)? + from.len();
        let length = message[start..].find(to)?;
        Some(&message[start..start + length])
    };
    let value = between("with value '", "': ");
    if let (Some(option), Some(value)) = (between("Error parsing option '", "'"), value) {
        let mut pairs = words.windows(2);
        let pair = pairs.find(|pair| pair[0].text == option && pair[1].text == value);
        if let Some(pair) = pair {
            return pair[1].column;
        }
    }
    let unknown_quoted = || between("Unrecognized argument: \"", "\"");
    let unknown_unquoted = || between("Unrecognized argument: ", "\n");
    let missing_value = || between("No value provided for option '", "'");
    let word = value
        .or_else(unknown_quoted)
        .or_else(unknown_unquoted)
        .or_else(missing_value);
    column_of(words, word.unwrap_or_default())
}

fn usage(verb: &str) -> String {
    let help = help(verb);
    let line = help.lines().find(|line| line.starts_with("Usage:"));
    let line = line.unwrap_or_default().trim_start_matches("Usage:").trim();
    // argh shows `--` before positional arguments; scenario files do not need it.
    format!("usage: {}", line.replace("[--] ", ""))
}
