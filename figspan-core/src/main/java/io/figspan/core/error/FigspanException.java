package io.figspan.core.error;

/** Base class of all exceptions of figspan. The message consists of the location, the detail and the remedy. */
public class FigspanException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ProblemKind kind;
    private final transient Location location;
    private final String detail;

    public FigspanException(ProblemKind kind, String detail, Location location) {
        this(kind, detail, location, null);
    }

    public FigspanException(ProblemKind kind, String detail, Location location, Throwable cause) {
        super(location + ": " + detail + ". " + kind.remedy(), cause);
        this.kind = kind;
        this.location = location;
        this.detail = detail;
    }

    public ProblemKind kind() {
        return kind;
    }

    public Location location() {
        return location;
    }

    public String detail() {
        return detail;
    }
}
