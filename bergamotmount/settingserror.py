"""Error of settings that can't be used, whatever their format."""


class SettingsError(Exception):
    """Settings that can't be used; ``problems`` has a line for each fault."""

    def __init__(self, problems: list[str]) -> None:
        """Keep all problems of the file."""
        super().__init__('\n'.join(problems))
        self.problems = problems
