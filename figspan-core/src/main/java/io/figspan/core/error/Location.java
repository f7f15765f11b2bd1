package io.figspan.core.error;

/** Where an error was found: a source such as a file or field, and a line and column when they are known (else 0). */
public record Location(String source, int line, int column) {
    public Location {
        source = source == null ? "unknown" : source;
    }

    public static Location of(String source) {
        return new Location(source, 0, 0);
    }

    @Override
    public String toString() {
        return line > 0 ? source + ":" + line + ":" + column : source;
    }
}
