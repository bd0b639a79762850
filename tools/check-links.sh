#!/usr/bin/env bash
# Relative links of all pages resolve, each page in docs/ is linked from the index and links back,
# and the commands shown in README.md and docs/OPERATIONS.md exist with their options.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
fail() {
    echo "$1"
    status=1
}

mapfile -t pages < <(git ls-files --cached --others --exclude-standard '*.md')
for page in "${pages[@]}"; do
    while read -r target; do
        case "$target" in http://* | https://* | '#'* | '') continue ;; esac
        [ -e "$(dirname "$page")/${target%%#*}" ] || fail "$page: the link $target leads nowhere"
    done < <(grep -oE '\]\([^)]+\)' "$page" | sed -E 's/^\]\(//; s/\)$//')
done

for page in docs/*.md; do
    name=$(basename "$page")
    [ "$name" = README.md ] && continue
    grep -q "($name)" docs/README.md || fail "docs/README.md does not link $name"
    tail -n 1 "$page" | grep -q 'README.md' || fail "$page does not end with a link to the index"
done

# The code lines of a page, continuation lines joined. Inside a here-document there are no commands.
code_lines() {
    sed -nE 's/^    //p' "$1" | sed -e ':a' -e '/\\$/N; s/ *\\\n */ /; ta' |
        awk '/<<.*EOF/ { print; inside = 1; next } /^EOF/ { inside = 0; next } !inside'
}

check_cornelloom() { # page, words after the program's name
    local page=$1 sub=$2 word
    shift 2
    grep -q "add(\"$sub\"" src/cli/command_line.cpp || fail "$page: cornelloom has no command $sub"
    for word in "$@"; do
        [[ "$word" == --* ]] || continue
        grep -q "\"$word\"" src/cli/command_line.cpp || fail "$page: cornelloom has no option $word"
    done
}

known_programs=' apt-get cat cd chmod cmake cp ctest curl git grep head kill less mkdir openssl pkg-config printf rm sed sha256sum systemctl sudo tail tee umask '
check_line() { # page, line
    local page=$1 line=$2 words first
    read -ra words <<<"${line%%#*}"
    first=${words[0]:-}
    case "$first" in
    '' | '{'* | '"'* | EOF) return 0 ;;
    tools/* | .ci/*) [ -x "$first" ] || fail "$page: $first is no program" ;;
    *cornelloomd) [ -e apps/cornelloomd.cpp ] || fail "$page: there is no cornelloomd" ;;
    *cornelloom) check_cornelloom "$page" "${words[@]:1}" ;;
    build/bin/*)
        ls {apps,bench,examples,standins}/"$(basename "$first")".cpp >/dev/null 2>&1 ||
            fail "$page: $first is not built"
        ;;
    *) [[ "$known_programs" == *" $first "* ]] || fail "$page: what is $first?" ;;
    esac
}

for page in README.md docs/OPERATIONS.md; do
    while IFS= read -r line; do
        check_line "$page" "$line"
    done < <(code_lines "$page")
done
exit "$status"
