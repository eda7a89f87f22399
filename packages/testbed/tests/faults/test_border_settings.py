"""Guard against settings files that raise an exception or whose errors reveal a secret."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from redwingport_entry.settings import check_settings, load_settings
from redwingport_testbed.cluster.inspection import MINIMAL_SETTINGS

SECRET = MINIMAL_SETTINGS["peers"]["secret"]
KEYS = ("weight", "seeds", "url", "poll_s", "secret", "token_sha256", "tls_key", "file", "x")
VALUES = st.sampled_from(["nan", "inf", "-1", "1:2:3", "127.0.0.1:0", "a,b", "%(x)s", "9" * 5_000])


@given(
    st.dictionaries(
        st.one_of(
            st.sampled_from([*MINIMAL_SETTINGS, "operator a", "quotas", "DEFAULT"]), st.text()
        ),
        st.dictionaries(st.one_of(st.sampled_from(KEYS), st.text()), VALUES | st.text()),
    )
)
def test_arbitrary_settings_are_accepted_or_refused_with_their_section(
    sections: dict[str, dict[str, str]],
) -> None:
    merged = {
        name: {**MINIMAL_SETTINGS.get(name, {}), **section} for name, section in sections.items()
    }
    checked = check_settings({**MINIMAL_SETTINGS, **merged})
    if isinstance(checked, Err):
        assert checked.err_value and all(line.startswith("[") for line in checked.err_value)


LINES = st.one_of(
    st.sampled_from(["[peers]", "[entry]", "[", "secret", "secret =", "=", " x", "[DEFAULT]"]),
    st.sampled_from([f"secret = {SECRET}", f"secret {SECRET}", f" {SECRET}", f"secret: {SECRET}"]),
    st.text(max_size=30),
)


@given(st.lists(LINES, max_size=8))
def test_an_arbitrary_settings_file_is_refused_without_revealing_its_content(
    tmp_path_factory: pytest.TempPathFactory, lines: list[str]
) -> None:
    path = tmp_path_factory.getbasetemp() / "fuzzed.ini"
    path.write_text("\n".join(lines), encoding="utf-8", errors="replace")
    refused = load_settings(path)
    assert isinstance(refused, Err) and refused.err_value
    assert SECRET not in repr(refused)


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("platform", "url", "http://127.0.0.1:99999"),
        ("platform", "url", "http://a:80"),
        ("peers", "seeds", "127.0.0.1"),
        ("peers", "seeds", "127.0.0.1:9001, entry-2:9001"),
        ("peers", "seeds", "127.0.0.1:x"),
    ],
)
def test_an_address_that_cannot_be_dialed_is_refused(section: str, key: str, value: str) -> None:
    assert isinstance(
        check_settings({**MINIMAL_SETTINGS, section: {**MINIMAL_SETTINGS[section], key: value}}),
        Err,
    )


def test_settings_with_ipv6_addresses_are_accepted() -> None:
    peers = {**MINIMAL_SETTINGS["peers"], "seeds": "[::1]:9001, ::1:9002"}
    assert check_settings(
        {**MINIMAL_SETTINGS, "peers": peers, "platform": {"url": "http://[::1]:80"}}
    ).is_ok()
