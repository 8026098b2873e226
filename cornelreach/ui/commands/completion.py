"""Command that prints a bash completion script."""

from cornelreach.ui import context as context_module

TEMPLATE = """\
# Bash completion for cornelreach; load it with: source <(cornelreach completion)
_cornelreach() {{
    local line="${{COMP_WORDS[*]:1:COMP_CWORD-1}}" words=""
    case "$line" in
{cases}
    esac
    [[ "${{COMP_WORDS[COMP_CWORD]}}" == -* ]] && words="{options}"
    COMPREPLY=($(compgen -W "$words" -- "${{COMP_WORDS[COMP_CWORD]}}"))
}}
complete -o default -F _cornelreach cornelreach
"""


def completion_script(usages: list[str], options: list[str]) -> str:
    """Return the script that completes the words of commands and their options."""
    next_words: dict[str, set[str]] = {}
    for usage in usages:
        words = [word for word in usage.split() if word.islower()]
        for index, word in enumerate(words):
            next_words.setdefault(" ".join(words[:index]), set()).add(word)
    cases = [
        f'        "{line}") words="{" ".join(sorted(words))}" ;;'
        for line, words in sorted(next_words.items())
    ]
    return TEMPLATE.format(cases="\n".join(cases), options=" ".join(options))


async def completion(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Print a bash completion script."""
    text = completion_script(arguments["usages"], arguments["options"])
    return context_module.Output({"script": text}, text.rstrip())
