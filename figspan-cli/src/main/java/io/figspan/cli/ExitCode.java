package io.figspan.cli;

/** Exit codes of the command line. */
public enum ExitCode {
    OK(0, "done, and what was checked holds"),
    FAILED(1, "a check failed or a request was refused"),
    USAGE(2, "wrong flags, arguments or input file"),
    UNREACHABLE(3, "a host could not be reached in time"),
    OUTCOME_UNKNOWN(4, "an order may or may not have been run"),
    DIFFERENT(5, "the compared settings differ");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    public int code() {
        return code;
    }

    public String meaning() {
        return meaning;
    }
}
