"""Error for invalid settings, independent of the file format."""


class SettingsError(Exception):
    """Invalid settings; ``problems`` holds one line for each error."""

    def __init__(self, problems: list[str]) -> None:
        """Create the error with one line for each problem."""
        super().__init__('\n'.join(problems))
        self.problems = problems
