"""Guard against settings errors that are reported one at a time, or that leak secrets."""

from pathlib import Path

from result import Err, Ok

from redwingport_entry.settings import check_settings, load_settings

Sections = dict[str, dict[str, str]]


def test_valid_sections_give_settings(sections: Sections) -> None:
    checked = check_settings(sections)
    assert isinstance(checked, Ok)
    assert checked.ok_value.entry.http_port == 8001


def test_all_errors_are_listed_at_once(sections: Sections) -> None:
    sections["entry"]["http_port"] = "99999"
    sections["entry"]["colour"] = "red"
    del sections["entry"]["domain"]
    sections["peers"]["secret"] = "short"
    sections["policy"] = {"chooser": "best"}
    sections["operator ann"] = {"token_sha256": "xyz", "teams": "dairy"}
    sections["extra"] = {}
    sections["operators"] = {}
    checked = check_settings(sections)
    assert isinstance(checked, Err)
    places = {line.split(":")[0] for line in checked.err_value}
    assert places == {
        "[entry] http_port",
        "[entry] colour",
        "[entry] domain",
        "[peers] secret",
        "[policy]",
        "[operator ann] token_sha256",
        "[extra]",
        "[operators]",
    }


def test_errors_and_settings_do_not_contain_the_secret(sections: Sections) -> None:
    assert "0123456789abcdef" not in repr(check_settings(sections))
    sections["peers"] = {"secret": "too-short-key"}
    assert "too-short-key" not in repr(check_settings(sections))


def test_malformed_or_missing_file_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text("not an ini file\n", encoding="utf-8")
    assert isinstance(load_settings(path), Err)
    assert isinstance(load_settings(tmp_path / "missing.ini"), Err)
