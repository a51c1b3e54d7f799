//! Collects the declarations below a folder.

use std::{fs, path::Path};

use rustc_hash::FxHashMap;

use lentilhitch_types::{Findings, Place};

use crate::{Declaration, DeclarationKey, ServiceKind};

/// The ending of the names of declaration files.
pub const FILE_SUFFIX: &str = ".lentilhitch.json";

/// A declaration and the file it was read from.
#[derive(Clone, Debug)]
pub struct DeclarationFile {
    pub file: String,
    pub declaration: Declaration,
}

/// Reads every file below a folder whose name ends in [`FILE_SUFFIX`], in the order of their paths.
///
/// Problems of all files are found in one go, those between files included.
pub fn collect_declarations(folder: &Path, findings: &mut Findings) -> Vec<DeclarationFile> {
    let mut files = Vec::new();
    list_files(folder, &mut files, findings);
    files.sort();
    if files.is_empty() && findings.is_empty() {
        let place = Place { file: folder.display().to_string(), ..Place::default() };
        findings.push(place, format!("no file below this folder ends in {FILE_SUFFIX}"));
    }
    let mut declared = Vec::new();
    for file in files {
        match fs::read_to_string(&file) {
            Ok(text) => {
                let declaration = Declaration::parse(&file, &text, findings);
                declared
                    .extend(declaration.map(|declaration| DeclarationFile { file, declaration }));
            }
            Err(err) => {
                findings.push(Place { file, ..Place::default() }, format!("can't be read: {err}"));
            }
        }
    }
    check_together(&declared, findings);
    declared
}

fn list_files(folder: &Path, files: &mut Vec<String>, findings: &mut Findings) {
    let place = || Place { file: folder.display().to_string(), ..Place::default() };
    let entries = match fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(err) => return findings.push(place(), format!("can't be read: {err}")),
    };
    for entry in entries.flatten() {
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        let is_folder = entry.file_type().is_ok_and(|it| it.is_dir());
        if is_folder && !name.starts_with('.') {
            list_files(&path, files, findings);
        } else if name.ends_with(FILE_SUFFIX) {
            files.push(path.display().to_string());
        }
    }
}

fn check_together(declared: &[DeclarationFile], findings: &mut Findings) {
    let mut first_by_key: FxHashMap<DeclarationKey, &str> = FxHashMap::default();
    let mut first_by_use: FxHashMap<String, &str> = FxHashMap::default();
    for it in declared {
        let place = || Place { file: it.file.clone(), ..Place::default() };
        let key = it.declaration.key();
        if let Some(first) = first_by_key.get(&key) {
            findings.push(place(), format!("{key} is declared in {first} already"));
            continue;
        }
        first_by_key.insert(key.clone(), &it.file);
        for used in exclusive_uses(&it.declaration) {
            if let Some(first) = first_by_use.get(&used) {
                findings.push(place(), format!("{used} is used in {first} already"));
            }
            first_by_use.entry(used).or_insert(&it.file);
        }
    }
}

/// Models and paths, each of which only one service may have.
fn exclusive_uses(declaration: &Declaration) -> Vec<String> {
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
