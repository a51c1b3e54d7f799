//! Reads all declaration files in a folder and its subfolders.

use std::{fs, path::Path};

use rustc_hash::FxHashMap;

use lentilhitch_types::{Findings, SourcePosition};

use crate::{Declaration, DeclarationKey, ServiceKind};

/// File name suffix of declaration files.
pub const FILE_SUFFIX: &str = ".lentilhitch.json";

/// A declaration and the file it was read from.
#[derive(Clone, Debug)]
pub struct DeclarationFile {
    pub file: String,
    pub declaration: Declaration,
}

/// Reads every file in a folder and its subfolders whose name ends in [`FILE_SUFFIX`], in the order of their paths.
///
/// Reports the problems of all files together, including conflicts between files.
pub fn collect_declarations(folder: &Path, findings: &mut Findings) -> Vec<DeclarationFile> {
    let mut files = Vec::new();
    find_files(folder, &mut files, findings);
    files.sort();
    if files.is_empty() && findings.is_empty() {
        let position =
            SourcePosition { file: folder.display().to_string(), ..SourcePosition::default() };
        findings.push(position, format!("no file below this folder ends in {FILE_SUFFIX}"));
    }
    let mut declarations = Vec::new();
    for file in files {
        match fs::read_to_string(&file) {
            Ok(text) => {
                let declaration = Declaration::parse(&file, &text, findings);
                declarations
                    .extend(declaration.map(|declaration| DeclarationFile { file, declaration }));
            }
            Err(err) => {
                findings.push(
                    SourcePosition { file, ..SourcePosition::default() },
                    format!("can't be read: {err}"),
                );
            }
        }
    }
    check_duplicates(&declarations, findings);
    declarations
}

fn find_files(folder: &Path, files: &mut Vec<String>, findings: &mut Findings) {
    let position =
        || SourcePosition { file: folder.display().to_string(), ..SourcePosition::default() };
    let entries = match fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(err) => return findings.push(position(), format!("can't be read: {err}")),
    };
    for entry in entries.flatten() {
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        let is_folder = entry.file_type().is_ok_and(|it| it.is_dir());
        if is_folder && !name.starts_with('.') {
            find_files(&path, files, findings);
        } else if name.ends_with(FILE_SUFFIX) {
            files.push(path.display().to_string());
        }
    }
}

/// Reports keys, models and paths that more than one file declares.
fn check_duplicates(declarations: &[DeclarationFile], findings: &mut Findings) {
    let mut first_file_by_key: FxHashMap<DeclarationKey, &str> = FxHashMap::default();
    let mut first_file_by_name: FxHashMap<String, &str> = FxHashMap::default();
    for it in declarations {
        let position = || SourcePosition { file: it.file.clone(), ..SourcePosition::default() };
        let key = it.declaration.key();
        if let Some(first_file) = first_file_by_key.get(&key) {
            findings.push(position(), format!("{key} is declared in {first_file} already"));
            continue;
        }
        first_file_by_key.insert(key.clone(), &it.file);
        for name in exclusive_names(&it.declaration) {
            if let Some(first_file) = first_file_by_name.get(&name) {
                findings.push(position(), format!("{name} is used in {first_file} already"));
            }
            first_file_by_name.entry(name).or_insert(&it.file);
        }
    }
}

/// Returns descriptions of the models and paths of a service. Only one service may declare each of them.
fn exclusive_names(declaration: &Declaration) -> Vec<String> {
    let Declaration::Service(service) = declaration else { return Vec::new() };
    match &service.kind {
        ServiceKind::Language(language) => {
            language.models.iter().map(|it| format!("the model {it:?}")).collect()
        }
        ServiceKind::Application(application) => {
            let mut paths: Vec<_> =
                application.routes.iter().map(|it| format!("the path {:?}", it.path)).collect();
            paths.sort();
            paths.dedup();
            paths
        }
    }
}
