//! The pages: links lead somewhere, and each index names the pages beside it.

use std::fs;
use std::path::{Path, PathBuf};

use test_case::test_case;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn pages(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder").flatten().map(|entry| entry.path());
    entries.filter(|path| path.extension().is_some_and(|kind| kind == "md")).collect()
}

/// Targets of the links in a page, without those that leave the repository.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    targets.filter(|target| !target.contains("://") && !target.starts_with('#')).collect()
}

#[test_case("."; "root")]
#[test_case("docs"; "docs")]
#[test_case("docs/operators"; "operators")]
#[test_case("docs/design"; "design")]
fn links_lead_somewhere(folder: &str) {
    let folder = root().join(folder);
    for page in pages(&folder) {
        let text = fs::read_to_string(&page).expect("a page");
        for link in links(&text) {
            let target = link.split('#').next().unwrap_or(link);
            assert!(folder.join(target).exists(), "{} links to {link}", page.display());
        }
    }
}

#[test_case("docs/operators"; "operators")]
#[test_case("docs/design"; "design")]
fn index_names_each_page(folder: &str) {
    let folder = root().join(folder);
    let index = fs::read_to_string(folder.join("README.md")).expect("an index");
    for page in pages(&folder) {
        let name = page.file_name().and_then(|name| name.to_str()).expect("a name");
        let listed = name == "README.md" || index.contains(&format!("({name})"));
        assert!(listed, "add {name} to {}/README.md", folder.display());
    }
}
